// Package metrics defines the Prometheus metrics of an instance's requests and updates them
// from the events of packages dispatch and gateway. docs/METRICS.md lists them.
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

// Requests holds the metrics about scheduling decisions and ended requests.
type Requests struct {
	decisions  *prometheus.CounterVec
	queueWaits prometheus.Histogram
	requests   *prometheus.CounterVec
	durations  *prometheus.HistogramVec
	// firstEvent measures the time to the first event of an answer.
	firstEvent *prometheus.HistogramVec
	// refusals counts refused requests by workspace.
	refusals *prometheus.CounterVec

	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// ClassCounts counts the ended requests of one class. Each request counts once.
type ClassCounts struct {
	// InTime counts the requests that succeeded in time; see gateway.RequestOutcome. Late counts
	// those that succeeded later, and the failed ones that ran or may have run. Refused counts
	// those that ended with an error and the verdict not-run, also after failed attempts.
	InTime, Late, Refused uint64
}

// Class returns the counts of a class since the start of the instance. name is the Class of the
// requests' gateway.RequestOutcome.
func (r *Requests) Class(name string) ClassCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts, ok := r.classes[name]; ok {
		return *counts
	}
	return ClassCounts{}
}

// countByClass counts an ended request. A failed request that may have run counts as late,
// because a missing answer is worth as little to the caller as a late one.
func (r *Requests) countByClass(end gateway.RequestOutcome) {
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

// secondsBuckets covers request times from a few milliseconds to minutes.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300}

// NewRequests creates the metrics and registers them.
func NewRequests(registry prometheus.Registerer) *Requests {
	r := &Requests{
		classes: map[string]*ClassCounts{},
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "decisions_total", Help: "Scheduling decisions about requests, by action (dispatch, queue, refuse) and refusal code (empty unless refused).",
		}, []string{"action", "code"}),
		queueWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "queue_wait_seconds", Help: "Time from a request's arrival, or its last failed attempt, to its dispatch to a server, in seconds.", Buckets: secondsBuckets,
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Ended requests, by class, error code (empty on success), verdict, and whether they succeeded before their deadline.",
		}, []string{"class", "code", "verdict", "in_time"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to the end of its answer, in seconds, by class.", Buckets: secondsBuckets,
		}, []string{"class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "workspace_refusals_total", Help: "Requests that scheduling refused, by workspace.",
		}, []string{"workspace"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds", Help: "Time from a request's arrival to the first event of its answer, in seconds, by class.", Buckets: secondsBuckets,
		}, []string{"class"}),
	}
	registry.MustRegister(r.decisions, r.queueWaits, r.requests, r.durations, r.firstEvent, r.refusals)
	return r
}

var actionLabels = map[scheduling.Action]string{
	scheduling.Dispatch: "dispatch",
	scheduling.Queue:    "queue",
	scheduling.Refuse:   "refuse",
}

// ObserveDecision implements dispatch.Observer.
func (r *Requests) ObserveDecision(decided request.Request, d scheduling.Decision, waited time.Duration) {
	code := ""
	if d.Err != nil {
		code = string(d.Err.Code)
	}
	r.decisions.WithLabelValues(actionLabels[d.Action], code).Inc()
	if d.Action == scheduling.Refuse && decided.Workspace != "" {
		r.refusals.WithLabelValues(decided.Workspace).Inc()
	}
	if d.Action == scheduling.Dispatch {
		r.queueWaits.Observe(waited.Seconds())
	}
}

func (r *Requests) ObserveRequest(end gateway.RequestOutcome) {
	r.countByClass(end)
	inTime := "false"
	if end.InTime {
		inTime = "true"
	}
	r.requests.WithLabelValues(end.Class, string(end.Code), end.Verdict.String(), inTime).Inc()
	r.durations.WithLabelValues(end.Class).Observe(end.Duration.Seconds())
	if end.FirstEvent > 0 {
		r.firstEvent.WithLabelValues(end.Class).Observe(end.FirstEvent.Seconds())
	}
}
