// Package pace learns how fast a backend server is compared with the others of its service, and how many
// requests at once it runs well. It has no clock and decides nothing about requests.
//
// A sample is the time that something took, with the time that the same takes on servers of usual speed,
// so that a slow model or a long prompt says nothing about the server. All averages are of logarithms of
// that ratio: a sample that took twice as long and one that took half as long cancel out.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// factorHalfLife is how slowly a server's factor approaches 1 while nothing runs on it.
	factorHalfLife = 10 * time.Second
	// lightHalfLife is longer than crowdedHalfLife since a server whose slots are in use for a minute shows
	// nothing about its speed with few requests. What was learned with many requests fades sooner, so that a
	// lowered limit rises again and the server is tried with more.
	lightHalfLife, crowdedHalfLife = time.Minute, 10 * time.Second
	// crowdedLoad is the share of the slots from which a server counts as crowded.
	crowdedLoad = 0.5
	// deadBand is the logarithm of the ratio up to which a difference has no effect. From twice as much
	// on, it has its full effect.
	deadBand = 0.18
	// minLimitShare bounds the lowered limit, as a share of the slots. The bound keeps samples coming.
	minLimitShare = 0.2
	// maxPeerWeight bounds the weight of a peer's estimate, so that one peer with a fault in its
	// measurements doesn't outweigh all others.
	maxPeerWeight = 4
	// minKnownWeight is the weight from which an average counts for what is usual.
	minKnownWeight = 0.5
)

// Sample describes work that a server did.
type Sample struct {
	// Expected is how long the work takes on servers of usual speed, and Actual how long it took.
	Expected, Actual time.Duration
	// Running is how many requests the server had, and Slots how many it can run at once; 0 if unknown.
	Running, Slots int
	// Momentary is how long work took on the server's machine at that time, as a multiple of the usual time;
	// 0 if unknown.
	Momentary float64
	// Weight is how much the sample counts; 1 is usual.
	Weight float64
}

// Estimate is what samples that peers don't know yet show about a server.
type Estimate struct {
	// Light are the samples with less than half of the slots in use, Crowded the others.
	Light, Crowded Part
}

// Part is an average of samples.
type Part struct {
	// Factor is the time as a multiple of the usual time.
	Factor float64
	// Weight is the sum of the samples' weights; 0 if there are none.
	Weight float64
	// Load is the average share of the slots that was in use.
	Load float64
}

// Empty reports whether the estimate has no samples.
func (e Estimate) Empty() bool { return e.Light.Weight <= 0 && e.Crowded.Weight <= 0 }

// Usual is what is usual among the servers of a service, as logarithms.
type Usual struct {
	// Level is the median of the servers' averages, and Growth the median of how much they rise
	// when the server is crowded.
	Level, Growth float64
}

// Pace is what was learned of one server.
type Pace struct {
	usual Usual
	// recent holds all samples. Their load is 1 if the server was crowded, otherwise 0.
	recent cell
	// light and crowded hold the samples by load.
	light, crowded cell
	// ownLight and ownCrowded hold the samples of this instance that peers don't know yet.
	ownLight, ownCrowded cell
	lastSample           time.Time
}

// Observe learns from a sample of this instance.
func (p *Pace) Observe(now time.Time, s Sample) {
	if s.Expected <= 0 || s.Actual <= 0 || s.Weight <= 0 {
		return
	}
	logarithm := math.Log(float64(s.Actual) / float64(s.Expected))
	if s.Momentary > 0 {
		logarithm -= math.Log(s.Momentary)
	}
	load := 0.0
	if s.Slots > 0 {
		load = min(1, float64(s.Running)/float64(s.Slots))
	}
	p.learn(now, logarithm, load, s.Weight)
	own := &p.ownLight
	if load >= crowdedLoad {
		own = &p.ownCrowded
	}
	own.decay(now, recentHalfLife)
	own.add(logarithm, load, s.Weight)
}

// Merge learns from a peer's estimate. It isn't sent on.
func (p *Pace) Merge(now time.Time, e Estimate) {
	for _, part := range []Part{e.Light, e.Crowded} {
		if part.Weight <= 0 || !(part.Factor > 0) || math.IsInf(part.Factor, 0) {
			continue
		}
		p.learn(now, math.Log(part.Factor), min(max(part.Load, 0), 1), min(part.Weight, maxPeerWeight))
	}
}

func (p *Pace) learn(now time.Time, logarithm, load, weight float64) {
	p.lastSample = now
	p.decay(now)
	if load >= crowdedLoad {
		p.crowded.add(logarithm, load, weight)
		p.recent.add(logarithm, 1, weight)
		return
	}
	p.light.add(logarithm, load, weight)
	p.recent.add(logarithm, 0, weight)
}

func (p *Pace) decay(now time.Time) {
	p.recent.decay(now, factorHalfLife)
	p.light.decay(now, lightHalfLife)
	p.crowded.decay(now, crowdedHalfLife)
}

// Known reports whether there are samples that count for what is usual.
func (p *Pace) Known(now time.Time) bool {
	p.decay(now)
	return p.recent.weight >= minKnownWeight
}

// LastSample returns when the last sample was taken or came from a peer; zero if there was none.
func (p *Pace) LastSample() time.Time { return p.lastSample }

// SetUsual sets with what the server is compared.
func (p *Pace) SetUsual(u Usual) { p.usual = u }

// level returns the logarithm of the server's average, less what a crowded server usually adds.
func (p *Pace) level(growth float64) float64 {
	return (p.recent.mean() - growth*p.recent.meanLoad()) * p.recent.confidence()
}

// growth returns by how much the server's average rises when it is crowded. known is false if it wasn't
// seen both crowded and not.
func (p *Pace) growth() (growth float64, known bool) {
	if p.light.weight < minKnownWeight || p.crowded.weight < minKnownWeight {
		return 0, false
	}
	return (p.crowded.mean() - p.light.mean()) * min(p.crowded.confidence(), p.light.confidence()), true
}

// Factor returns how long the server takes, as a multiple of what is usual in its service. It is 1 if the
// difference is too small to matter.
func (p *Pace) Factor(now time.Time) float64 {
	p.decay(now)
	difference := p.level(p.usual.Growth) - p.usual.Level
	return math.Exp(difference * effect(difference))
}

// effect returns how much of a difference counts: nothing within the dead band, all of it from twice the
// dead band on. Between the two it rises, so that a small change of the difference never has a large effect.
func effect(difference float64) float64 {
	return min(max((math.Abs(difference)-deadBand)/deadBand, 0), 1)
}

// Limit returns the maximum number of concurrent requests for the server; 0 if it needs no limit of its own. A server
// gets one if it slows down under load more than is usual: the load at which it was measured, divided by the excess
// slowdown.
func (p *Pace) Limit(now time.Time, slots int) int {
	p.decay(now)
	growth, known := p.growth()
	excess := growth - max(0, p.usual.Growth)
	if slots <= 0 || !known || excess <= deadBand {
		return 0
	}
	strength := effect(excess)
	share := math.Pow(p.crowded.meanLoad()*math.Exp(-excess), strength)
	return max(1, int(math.Ceil(float64(slots)*max(minLimitShare, share))))
}

// Estimate returns what this instance's samples show that weren't returned before, for its peers. It is
// empty while neither these samples nor what is known of the server differ from what is usual.
func (p *Pace) Estimate(now time.Time) Estimate {
	p.decay(now)
	p.ownLight.decay(now, recentHalfLife)
	p.ownCrowded.decay(now, recentHalfLife)
	if !p.matters() {
		return Estimate{}
	}
	e := Estimate{Light: p.ownLight.part(), Crowded: p.ownCrowded.part()}
	p.ownLight, p.ownCrowded = cell{}, cell{}
	return e
}

// matters reports whether peers should know of the own samples. Half of the dead band suffices: a difference
// that several instances each find too small may have an effect together. Samples of usual speed matter
// too if the server counts as different, or its recovery would never be learned.
func (p *Pace) matters() bool {
	if math.Abs(p.level(p.usual.Growth)-p.usual.Level) > deadBand/2 {
		return true
	}
	if growth, known := p.growth(); known && growth-p.usual.Growth > deadBand/2 {
		return true
	}
	light := p.ownLight.weight > 0 && math.Abs(p.ownLight.mean()-p.usual.Level) > deadBand/2
	crowded := p.ownCrowded.weight > 0 && math.Abs(p.ownCrowded.mean()-p.usual.Level-p.usual.Growth) > deadBand/2
	return light || crowded
}

// minSentWeight is the weight from which samples are sent.
const minSentWeight = 0.05

func (c *cell) part() Part {
	if c.weight < minSentWeight {
		return Part{}
	}
	return Part{Factor: math.Exp(c.mean()), Weight: c.weight, Load: c.meanLoad()}
}

// UsualOf returns what is usual among servers. Those without samples count as usual ones. With medians, up to
// half of the servers can be slow without the others counting as fast.
func UsualOf(now time.Time, paces []*Pace) Usual {
	growths := make([]float64, 0, len(paces))
	for _, p := range paces {
		p.decay(now)
		if growth, known := p.growth(); known {
			growths = append(growths, growth)
		}
	}
	usual := Usual{Growth: max(0, median(growths))}
	levels := make([]float64, 0, len(paces))
	for _, p := range paces {
		levels = append(levels, p.level(usual.Growth))
	}
	usual.Level = median(levels)
	return usual
}

// median returns the median, and the mean of the two middle values of an even number; 0 for no values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
