// Package metrics holds an instance's Prometheus metrics. docs/METRICS.md lists them.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/gateway"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

const namespace = "limpethub"

// Requests counts decisions about requests and how requests end.
type Requests struct {
	decisions  *prometheus.CounterVec
	waits      prometheus.Histogram
	ends       *prometheus.CounterVec
	durations  *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec

	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// ClassCounts counts the ended requests of one class.
type ClassCounts struct {
	InTime, Late, Refused uint64
}

// Class returns the counts of a class.
func (r *Requests) Class(name string) ClassCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts, ok := r.classes[name]; ok {
		return *counts
	}
	return ClassCounts{}
}

// count adds one ended request. A failure that is no refusal counts as late: an
// answer that never came is worth as little as one that came late.
func (r *Requests) count(end gateway.RequestEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, ok := r.classes[end.Class]
	if !ok {
		counts = &ClassCounts{}
		r.classes[end.Class] = counts
	}
	switch {
	case end.InTime:
		counts.InTime++
	case end.Code != "" && end.Verdict == verdict.NotRun:
		counts.Refused++
	default:
		counts.Late++
	}
}

var _ gateway.Observer = (*Requests)(nil)

// secondsBuckets spans the times of requests, from a few milliseconds to minutes.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300}

// NewRequests makes the metrics and registers them.
func NewRequests(registry prometheus.Registerer) *Requests {
	r := &Requests{
		classes: map[string]*ClassCounts{},
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "decisions_total", Help: "Decisions about requests, by action and refusal code.",
		}, []string{"action", "code"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "queue_wait_seconds", Help: "Time from arrival to dispatch.", Buckets: secondsBuckets,
		}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Ended requests, by class, code (empty for success), verdict, and whether in time.",
		}, []string{"class", "code", "verdict", "in_time"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: secondsBuckets,
		}, []string{"class"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds", Help: "Time from arrival to the first token.", Buckets: secondsBuckets,
		}, []string{"class"}),
	}
	registry.MustRegister(r.decisions, r.waits, r.ends, r.durations, r.firstToken)
	return r
}

var actionLabels = map[scheduling.Action]string{
	scheduling.Dispatch: "dispatch",
	scheduling.Queue:    "queue",
	scheduling.Refuse:   "refuse",
}

// ObserveDecision implements dispatch.Observer.
func (r *Requests) ObserveDecision(_ request.Request, d scheduling.Decision, waited time.Duration) {
	code := ""
	if d.Err != nil {
		code = string(d.Err.Code)
	}
	r.decisions.WithLabelValues(actionLabels[d.Action], code).Inc()
	if d.Action == scheduling.Dispatch {
		r.waits.Observe(waited.Seconds())
	}
}

// ObserveRequest implements gateway.Observer.
func (r *Requests) ObserveRequest(end gateway.RequestEnd) {
	r.count(end)
	inTime := "false"
	if end.InTime {
		inTime = "true"
	}
	r.ends.WithLabelValues(end.Class, string(end.Code), end.Verdict.String(), inTime).Inc()
	r.durations.WithLabelValues(end.Class).Observe(end.Duration.Seconds())
	if end.FirstToken > 0 {
		r.firstToken.WithLabelValues(end.Class).Observe(end.FirstToken.Seconds())
	}
}
