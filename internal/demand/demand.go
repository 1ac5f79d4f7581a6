// Package demand estimates, per model or adapter version, how much work callers
// ask for at a site. It reads cumulative counters of all instances, is quick to see
// a burst and slow to forget one. It has no clock.
package demand

import (
	"math"
	"sort"
	"time"

	"limpethub/internal/modelref"
)

// Sample is one instance's cumulative count for one version and class since the
// instance's process started. Counters count what callers asked for, served or not.
type Sample struct {
	// Instance is unique to a process of an instance, so that a restart starts anew.
	Instance string
	Ref      modelref.Ref
	// Class is the index of the class, 0 the most urgent.
	Class int
	// Requests counts requests.
	Requests uint64
	// Tokens counts the tokens that those requests need.
	Tokens uint64
}

// Estimate is the demand for one version.
type Estimate struct {
	Ref modelref.Ref
	// Requests is the estimated rate, in requests per second.
	Requests float64
	// Tokens is the estimated rate, in tokens per second.
	Tokens float64
	// Weight is the mean class weight of the requests.
	Weight float64
	// LastUsed is when the last request was counted.
	LastUsed time.Time
}

// Config sets the time constants.
type Config struct {
	// Fast is the time constant of the average that sees bursts.
	Fast time.Duration
	// Middle is the time constant of the average that sizes them.
	Middle time.Duration
	// Steady is the time constant of the average that follows the mean.
	Steady time.Duration
	// Forget is the time constant by which a past peak fades.
	Forget time.Duration
	// Deviations is by how many standard deviations the fast and the middle average must
	// exceed the held estimate before they raise it.
	Deviations float64
}

// DefaultConfig returns the usual time constants.
func DefaultConfig() Config {
	return Config{
		Fast:       2 * time.Second,
		Middle:     15 * time.Second,
		Steady:     3 * time.Minute,
		Forget:     30 * time.Minute,
		Deviations: 4,
	}
}

type counterKey struct {
	instance string
	ref      modelref.Ref
	class    int
}

type counter struct {
	requests, tokens uint64
	seen             time.Time
}

type track struct {
	fast, middle, steady, held float64
	tokensPerRequest           float64
	weight                     float64
	pending                    float64
	pendingTokens              float64
	pendingWeight              float64
	lastUsed                   time.Time
}

// Tracker turns samples into estimates. It isn't safe for concurrent use.
type Tracker struct {
	config   Config
	weights  []float64
	counters map[counterKey]counter
	tracks   map[modelref.Ref]*track
	// instances holds when each instance was last heard.
	instances map[string]time.Time
	last      time.Time
}

// New makes a tracker. The weights are those of the classes, by index.
func New(config Config, weights []float64) *Tracker {
	return &Tracker{
		config:   config,
		weights:  weights,
		counters: map[counterKey]counter{},
		tracks:   map[modelref.Ref]*track{},

		instances: map[string]time.Time{},
	}
}

// SetWeights replaces the class weights.
func (t *Tracker) SetWeights(weights []float64) { t.weights = weights }

// instanceForget is how long the counters of a silent instance are kept.
const instanceForget = 10 * time.Minute

// Update takes the newest sample of each instance, version and class, and moves the
// estimates on to now. The first counters of an instance only set its start.
func (t *Tracker) Update(now time.Time, samples []Sample) {
	for _, s := range samples {
		t.count(now, s)
	}
	for _, s := range samples {
		t.instances[s.Instance] = now
	}
	elapsed := now.Sub(t.last)
	if t.last.IsZero() || elapsed <= 0 {
		t.last = now
		return
	}
	t.last = now
	for _, tr := range t.tracks {
		tr.advance(elapsed, t.config)
	}
	t.forgetSilent(now)
}

func (t *Tracker) count(now time.Time, s Sample) {
	key := counterKey{s.Instance, s.Ref, s.Class}
	old, known := t.counters[key]
	t.counters[key] = counter{requests: s.Requests, tokens: s.Tokens, seen: now}
	_, heard := t.instances[s.Instance]
	if !known && !heard {
		return
	}
	if s.Requests <= old.requests {
		return
	}
	tr := t.track(s.Ref)
	requests := float64(s.Requests - old.requests)
	tr.lastUsed = now
	tr.pending += requests
	tr.pendingTokens += float64(s.Tokens) - float64(old.tokens)
	tr.pendingWeight += requests * t.weight(s.Class)
}

func (t *Tracker) track(ref modelref.Ref) *track {
	tr, ok := t.tracks[ref]
	if !ok {
		tr = &track{}
		t.tracks[ref] = tr
	}
	return tr
}

func (t *Tracker) weight(class int) float64 {
	if class < 0 || class >= len(t.weights) {
		return 1
	}
	return t.weights[class]
}

func (t *Tracker) forgetSilent(now time.Time) {
	for key, c := range t.counters {
		if now.Sub(c.seen) > instanceForget {
			delete(t.counters, key)
		}
	}
	for instance, seen := range t.instances {
		if now.Sub(seen) > instanceForget {
			delete(t.instances, instance)
		}
	}
}

// mixShare is the share of the newest requests in the averages of size and weight.
const mixShare = 0.2

func (tr *track) advance(elapsed time.Duration, config Config) {
	rate := tr.pending / elapsed.Seconds()
	tr.fast = blend(tr.fast, rate, elapsed, config.Fast)
	tr.middle = blend(tr.middle, rate, elapsed, config.Middle)
	tr.steady = blend(tr.steady, rate, elapsed, config.Steady)
	if tr.pending > 0 {
		tr.tokensPerRequest = mix(tr.tokensPerRequest, tr.pendingTokens/tr.pending)
		tr.weight = mix(tr.weight, tr.pendingWeight/tr.pending)
	}
	tr.pending, tr.pendingTokens, tr.pendingWeight = 0, 0, 0
	tr.held *= math.Exp(-elapsed.Seconds() / config.Forget.Seconds())
	tr.held = max(tr.held, config.sure(tr.fast, config.Fast), config.sure(tr.middle, config.Middle))
}

// rate is the estimate: a burst is held, the noise of the mean isn't.
func (tr *track) rate() float64 { return max(tr.held, tr.steady) }

// sure is the part of an average that the noise of a Poisson stream doesn't explain.
func (c Config) sure(average float64, constant time.Duration) float64 {
	deviation := math.Sqrt(average / (2 * constant.Seconds()))
	return average - c.Deviations*deviation
}

func blend(old, value float64, elapsed, constant time.Duration) float64 {
	keep := math.Exp(-elapsed.Seconds() / constant.Seconds())
	return keep*old + (1-keep)*value
}

func mix(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return (1-mixShare)*old + mixShare*value
}

// Estimates returns the demand of all versions seen, sorted by reference.
func (t *Tracker) Estimates() []Estimate {
	out := make([]Estimate, 0, len(t.tracks))
	for ref, tr := range t.tracks {
		out = append(out, Estimate{
			Ref:      ref,
			Requests: tr.rate(),
			Tokens:   tr.rate() * tr.tokensPerRequest,
			Weight:   tr.weight,
			LastUsed: tr.lastUsed,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Ref < out[j].Ref })
	return out
}
