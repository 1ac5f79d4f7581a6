// Package demand estimates, for each model or adapter version, how much work callers request
// at a site. It reads the cumulative counters of all instances, raises an estimate quickly in
// a burst and lowers it slowly. It has no clock.
package demand

import (
	"math"
	"sort"
	"time"

	"limpethub/internal/modelref"
)

// Sample is one instance's cumulative count for one version and class since the instance's
// process started. It counts all requests of callers, whether or not they were served.
type Sample struct {
	// Instance identifies one process of an instance, unlike the instance's name. A restarted
	// instance has a new value, because its counters start at zero again.
	Instance string
	Ref      modelref.Ref
	// Class is the index of the class; 0 is the most urgent.
	Class int
	// Requests is the number of requests.
	Requests uint64
	// Tokens is the number of tokens that those requests need.
	Tokens uint64
}

// Estimate is the estimated demand for one version.
type Estimate struct {
	Ref modelref.Ref
	// Requests is the rate in requests per second.
	Requests float64
	// Tokens is the rate in tokens per second.
	Tokens float64
	// Weight is the mean weight of the requests' classes. The weight of a class is the value of
	// a request that finishes in time, relative to other classes.
	Weight float64
	// LastUsed is when the last request was counted.
	LastUsed time.Time
}

// Config holds the time constants and the threshold of the estimate.
//
// Three exponential averages follow the rate of requests: a fast, a middle and a steady one. The
// fast and the middle average, each less its random fluctuation, raise a peak that decays
// slowly. The estimate is the larger of this peak and the steady average. It thereby rises
// within seconds in a burst and falls slowly, and random fluctuations don't raise it.
type Config struct {
	// Fast is the time constant of the average that detects bursts.
	Fast time.Duration
	// Middle is the time constant of the average that measures the size of bursts.
	Middle time.Duration
	// Steady is the time constant of the average that follows the mean rate.
	Steady time.Duration
	// PeakDecay is the time constant with which a past peak decays.
	PeakDecay time.Duration
	// Deviations is the number of standard deviations of its random fluctuation that is
	// subtracted from the fast and the middle average before they may raise the peak.
	Deviations float64
}

func DefaultConfig() Config {
	return Config{
		Fast:       2 * time.Second,
		Middle:     15 * time.Second,
		Steady:     3 * time.Minute,
		PeakDecay:  30 * time.Minute,
		Deviations: 4,
	}
}

// counterKey identifies one cumulative counter.
type counterKey struct {
	process string
	ref     modelref.Ref
	class   int
}

type counter struct {
	requests, tokens uint64
	lastUpdated      time.Time
}

// versionDemand holds the averages of one version. Rates are in requests per second. peakRate
// is the peak of past bursts, which decays slowly. The pending fields sum up what was counted since
// the last update.
type versionDemand struct {
	fastRate, middleRate, steadyRate, peakRate float64
	tokensPerRequest                           float64
	weight                                     float64
	pendingRequests                            float64
	pendingTokens                              float64
	pendingWeight                              float64
	lastUsed                                   time.Time
}

// Tracker turns samples into estimates. It isn't safe for concurrent use.
type Tracker struct {
	config   Config
	weights  []float64
	counters map[counterKey]counter
	versions map[modelref.Ref]*versionDemand
	// processLastHeard is when each process of an instance last sent a sample.
	processLastHeard map[string]time.Time
	lastUpdate       time.Time
}

// New makes a tracker. weights are the class weights, by the index of the class; a class without
// one has the weight 1.
func New(config Config, weights []float64) *Tracker {
	return &Tracker{
		config:   config,
		weights:  weights,
		counters: map[counterKey]counter{},
		versions: map[modelref.Ref]*versionDemand{},

		processLastHeard: map[string]time.Time{},
	}
}

// SetWeights replaces the class weights, as given to New.
func (t *Tracker) SetWeights(weights []float64) { t.weights = weights }

// counterRetention is how long the counters of a process without samples are kept.
const counterRetention = 10 * time.Minute

// Update counts the latest sample of each process, version and class, and advances the estimates
// to now. The counters in the first samples of a process only set the values to count from.
func (t *Tracker) Update(now time.Time, samples []Sample) {
	for _, s := range samples {
		t.count(now, s)
	}
	// This follows the loop above, so that all samples in a process's first update count as its
	// first. A counter that a known process adds later is counted from zero.
	for _, s := range samples {
		t.processLastHeard[s.Instance] = now
	}
	elapsed := now.Sub(t.lastUpdate)
	if t.lastUpdate.IsZero() || elapsed <= 0 {
		t.lastUpdate = now
		return
	}
	t.lastUpdate = now
	for _, v := range t.versions {
		v.advance(elapsed, t.config)
	}
	t.forgetInactiveProcesses(now)
}

func (t *Tracker) count(now time.Time, s Sample) {
	key := counterKey{s.Instance, s.Ref, s.Class}
	old, counterKnown := t.counters[key]
	t.counters[key] = counter{requests: s.Requests, tokens: s.Tokens, lastUpdated: now}
	_, processKnown := t.processLastHeard[s.Instance]
	if !counterKnown && !processKnown {
		return
	}
	if s.Requests <= old.requests {
		return
	}
	v := t.version(s.Ref)
	requests := float64(s.Requests - old.requests)
	v.lastUsed = now
	v.pendingRequests += requests
	v.pendingTokens += float64(s.Tokens) - float64(old.tokens)
	v.pendingWeight += requests * t.weight(s.Class)
}

func (t *Tracker) version(ref modelref.Ref) *versionDemand {
	v, ok := t.versions[ref]
	if !ok {
		v = &versionDemand{}
		t.versions[ref] = v
	}
	return v
}

func (t *Tracker) weight(class int) float64 {
	if class < 0 || class >= len(t.weights) {
		return 1
	}
	return t.weights[class]
}

func (t *Tracker) forgetInactiveProcesses(now time.Time) {
	for key, c := range t.counters {
		if now.Sub(c.lastUpdated) > counterRetention {
			delete(t.counters, key)
		}
	}
	for process, lastHeard := range t.processLastHeard {
		if now.Sub(lastHeard) > counterRetention {
			delete(t.processLastHeard, process)
		}
	}
}

// newestShare is the share that the requests since the last update have in the averages
// tokensPerRequest and weight.
const newestShare = 0.2

func (v *versionDemand) advance(elapsed time.Duration, config Config) {
	rate := v.pendingRequests / elapsed.Seconds()
	v.fastRate = exponentialAverage(v.fastRate, rate, elapsed, config.Fast)
	v.middleRate = exponentialAverage(v.middleRate, rate, elapsed, config.Middle)
	v.steadyRate = exponentialAverage(v.steadyRate, rate, elapsed, config.Steady)
	if v.pendingRequests > 0 {
		v.tokensPerRequest = averageWithNewest(v.tokensPerRequest, v.pendingTokens/v.pendingRequests)
		v.weight = averageWithNewest(v.weight, v.pendingWeight/v.pendingRequests)
	}
	v.pendingRequests, v.pendingTokens, v.pendingWeight = 0, 0, 0
	v.peakRate *= math.Exp(-elapsed.Seconds() / config.PeakDecay.Seconds())
	v.peakRate = max(v.peakRate, config.significantRate(v.fastRate, config.Fast), config.significantRate(v.middleRate, config.Middle))
}

// estimatedRate returns the estimated rate. The result includes the peak of a burst, but not
// the random fluctuations around the mean rate.
func (v *versionDemand) estimatedRate() float64 { return max(v.peakRate, v.steadyRate) }

// significantRate returns an average rate less c.Deviations standard deviations of its random
// fluctuation: a likely lower bound of the real rate. For an exponential average of a Poisson
// stream, the variance is average/(2*timeConstant).
func (c Config) significantRate(average float64, timeConstant time.Duration) float64 {
	deviation := math.Sqrt(average / (2 * timeConstant.Seconds()))
	return average - c.Deviations*deviation
}

// exponentialAverage returns the exponential average after the value has lasted for elapsed. old is
// the average before.
func exponentialAverage(old, value float64, elapsed, timeConstant time.Duration) float64 {
	oldWeight := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	return oldWeight*old + (1-oldWeight)*value
}

// averageWithNewest returns the average after a new value, which gets the weight newestShare. An
// old average of 0 means that there is no earlier value.
func averageWithNewest(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return (1-newestShare)*old + newestShare*value
}

// Estimates returns the demand for all versions that ever had a request, sorted by reference.
func (t *Tracker) Estimates() []Estimate {
	out := make([]Estimate, 0, len(t.versions))
	for ref, v := range t.versions {
		out = append(out, Estimate{
			Ref:      ref,
			Requests: v.estimatedRate(),
			Tokens:   v.estimatedRate() * v.tokensPerRequest,
			Weight:   v.weight,
			LastUsed: v.lastUsed,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Ref < out[j].Ref })
	return out
}
