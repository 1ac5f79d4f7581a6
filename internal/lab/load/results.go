package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpethub/internal/verdict"
)

// Range and precision of latency histograms, in microseconds.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 10 * 60 * 1_000_000
	latencyDigits    = 3
)

// FailureKey tells failures apart.
type FailureKey struct {
	Code    verdict.Code    `json:"code"`
	Verdict verdict.Verdict `json:"verdict"`
}

// ClassResult counts the requests of one class.
type ClassResult struct {
	// Asked is how many requests callers wanted answered; Sent how often they sent one.
	Asked int `json:"asked"`
	Sent  int `json:"sent"`
	// InTime counts whole answers before the deadline; Late those after it and those
	// that the caller no longer waited for.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Tokens is how many tokens the answers in time had.
	Tokens int `json:"tokens"`
	// Failed counts requests whose last answer was a failure.
	Failed map[FailureKey]int `json:"-"`
	// Cut counts answers without their end marker; Unreachable those without a
	// connection; Foreign and Disordered broken promises.
	Cut         int `json:"cut"`
	Unreachable int `json:"unreachable"`
	Foreign     int `json:"foreign"`
	Disordered  int `json:"disordered"`

	// FirstToken and BetweenTokens are in microseconds, of answers in time.
	FirstToken    *hdrhistogram.Histogram `json:"-"`
	BetweenTokens *hdrhistogram.Histogram `json:"-"`
}

func newClassResult() *ClassResult {
	return &ClassResult{
		Failed:        map[FailureKey]int{},
		FirstToken:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		BetweenTokens: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
	}
}

// Attainment is the share of requests that were answered whole and in time.
func (c *ClassResult) Attainment() float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Asked)
}

// Results counts by class. It is safe for concurrent use while a run is going on.
type Results struct {
	mu      sync.Mutex
	Classes map[string]*ClassResult
}

func newResults() *Results { return &Results{Classes: map[string]*ClassResult{}} }

func (r *Results) classLocked(name string) *ClassResult {
	c, ok := r.Classes[name]
	if !ok {
		c = newClassResult()
		r.Classes[name] = c
	}
	return c
}

// ending is how one request ended for its caller.
type ending struct {
	ask  Ask
	sent int
	// took is the time from the arrival to the end.
	took    time.Duration
	arrived time.Time
	pieces  []time.Time
	err     error
}

// record counts one request.
func (r *Results) record(e ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classLocked(e.ask.Class)
	c.Asked++
	c.Sent += e.sent
	var failure *Failure
	switch {
	case e.err == nil && e.took <= e.ask.Timeout:
		c.InTime++
		c.recordTimes(e)
	case e.err == nil, errors.Is(e.err, errGaveUp):
		c.Late++
	case errors.As(e.err, &failure):
		c.Failed[FailureKey{Code: failure.Code, Verdict: failure.Verdict}]++
	case errors.Is(e.err, ErrForeign):
		c.Foreign++
	case errors.Is(e.err, ErrOrder):
		c.Disordered++
	case errors.Is(e.err, ErrCut):
		c.Cut++
	default:
		c.Unreachable++
	}
}

func (c *ClassResult) recordTimes(e ending) {
	c.Tokens += len(e.pieces)
	for i, at := range e.pieces {
		if i == 0 {
			_ = c.FirstToken.RecordValue(at.Sub(e.arrived).Microseconds())
			continue
		}
		_ = c.BetweenTokens.RecordValue(max(minLatencyMicros, at.Sub(e.pieces[i-1]).Microseconds()))
	}
}

// Total sums all classes.
func (r *Results) Total() *ClassResult {
	total := newClassResult()
	for _, c := range r.Classes {
		total.Asked += c.Asked
		total.Sent += c.Sent
		total.InTime += c.InTime
		total.Late += c.Late
		total.Tokens += c.Tokens
		total.Cut += c.Cut
		total.Unreachable += c.Unreachable
		total.Foreign += c.Foreign
		total.Disordered += c.Disordered
		for key, n := range c.Failed {
			total.Failed[key] += n
		}
		total.FirstToken.Merge(c.FirstToken)
		total.BetweenTokens.Merge(c.BetweenTokens)
	}
	return total
}
