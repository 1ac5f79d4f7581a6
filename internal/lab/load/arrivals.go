package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
)

// bytesPerToken is how many bytes of a prompt make one token.
const bytesPerToken = 4

// Ask is one request that a caller wants answered.
type Ask struct {
	// At is when the request comes, from the start of the run.
	At      time.Duration
	ID      request.ID
	Class   string
	Timeout time.Duration
	// Caller is the number of the caller that asks.
	Caller int
	// Model is empty for a service call.
	Model     modelref.Ref
	Prompt    string
	MaxTokens int
	// Service is empty for a model request.
	Service    string
	Idempotent bool
}

// Plan says what to generate.
type Plan struct {
	Shape    Shape
	Document *site.Document
	// PerSecond is the mean rate of model requests.
	PerSecond float64
	// ServiceFactor multiplies the rates of service calls; 0 means none.
	ServiceFactor float64
	Duration      time.Duration
	Callers       int
	Seed          uint64
	// ShiftBy turns the popularity of each class's models by that many ranks.
	ShiftBy int
	// Label makes ids unique among runs. It holds letters, digits and '-' only.
	Label string
}

// generator draws asks from a seeded source.
type generator struct {
	plan  Plan
	rng   *rand.Rand
	units map[string][]site.Unit
	zipfs map[string][]float64
	count int
}

// Arrivals returns all asks of a plan in the order in which they come. The same plan
// gives the same asks.
func Arrivals(p Plan) []Ask {
	g := &generator{plan: p, rng: rand.New(rand.NewPCG(p.Seed, p.Seed)), units: map[string][]site.Unit{}, zipfs: map[string][]float64{}}
	for _, c := range p.Shape.Classes {
		g.units[c.Class] = turn(unitsOf(p.Document, c.Class), p.ShiftBy)
		g.zipfs[c.Class] = zipf(len(g.units[c.Class]), p.Shape.ZipfExponent)
	}
	var out []Ask
	for _, at := range g.times(p.PerSecond) {
		out = append(out, g.modelAsk(at))
	}
	for _, s := range p.Shape.Services {
		for _, at := range g.times(s.PerSecond * p.ServiceFactor) {
			out = append(out, g.serviceAsk(at, s))
		}
	}
	slices.SortStableFunc(out, func(a, b Ask) int { return int(a.At - b.At) })
	return out
}

// turn moves the first n units to the end.
func turn(units []site.Unit, n int) []site.Unit {
	if len(units) == 0 {
		return nil
	}
	n %= len(units)
	return slices.Concat(units[n:], units[:n])
}

// times draws the moments of a Poisson process with bursts.
func (g *generator) times(perSecond float64) []time.Duration {
	if perSecond <= 0 {
		return nil
	}
	var out []time.Duration
	bursts := g.plan.Shape.Bursts
	calm := perSecond * bursts.calmRate()
	for at, burst := time.Duration(0), false; at < g.plan.Duration; burst = !burst {
		rate, mean := calm, bursts.CalmMean
		if burst {
			rate, mean = calm*bursts.Factor, bursts.BurstMean
		}
		end := min(g.plan.Duration, at+g.exponential(mean))
		for at += g.exponential(interval(rate)); at < end; at += g.exponential(interval(rate)) {
			out = append(out, at)
		}
		at = end
	}
	return out
}

func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean))
}

func (g *generator) next(at time.Duration) Ask {
	g.count++
	id := request.ID(fmt.Sprintf("%s-%d", g.plan.Label, g.count))
	return Ask{At: at, ID: id, Caller: g.rng.IntN(g.plan.Callers)}
}

func (g *generator) modelAsk(at time.Duration) Ask {
	ask := g.next(at)
	c := g.class()
	unit := g.units[c.Class][pick(g.rng, g.zipfs[c.Class])]
	ask.Class = c.Class
	ask.Timeout = c.Timeout
	ask.Model = unit.Ref
	ask.MaxTokens = c.AnswerTokens.draw(g.rng)
	ask.Idempotent = true
	ask.Prompt = g.prompt(c, unit.Ref, ask.ID)
	return ask
}

func (g *generator) serviceAsk(at time.Duration, s ServiceLoad) Ask {
	ask := g.next(at)
	ask.Service = s.Service
	ask.Class = s.Class
	ask.Timeout = s.Timeout
	ask.Idempotent = s.Idempotent
	return ask
}

// class draws a class by its share.
func (g *generator) class() ClassLoad {
	weights := make([]float64, len(g.plan.Shape.Classes))
	for i, c := range g.plan.Shape.Classes {
		weights[i] = c.Share
	}
	return g.plan.Shape.Classes[pick(g.rng, weights)]
}

// pick draws an index by weights that sum to 1.
func pick(rng *rand.Rand, weights []float64) int {
	left := rng.Float64()
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// prompt is one of the model's shared prefixes and then text of the request's own.
func (g *generator) prompt(c ClassLoad, ref modelref.Ref, id request.ID) string {
	size := c.PromptTokens.draw(g.rng) * bytesPerToken
	prefix := ""
	if c.Prefixes > 0 {
		start := fmt.Sprintf("Guide %d of %s. ", g.rng.IntN(c.Prefixes), ref)
		prefix = fill(start, min(size, c.PrefixTokens*bytesPerToken))
	}
	return prefix + fill(string(id)+" ", size-len(prefix))
}

// fill repeats text up to a size in bytes.
func fill(text string, size int) string {
	return strings.Repeat(text, size/len(text)+1)[:size]
}
