package metrics

import "github.com/prometheus/client_golang/prometheus"

// Cause says why the connection of a caller ended without a complete answer to a whole request. It is one of the constants
// below, or the verdict.Code of the failure that broke the answer off.
type Cause string

const (
	// CauseNone means that the answer is complete.
	CauseNone Cause = ""
	// CausePanic means that the code that served the request has panicked.
	CausePanic Cause = "panic"
	// CauseStopping means that this instance stops, and ends the requests in progress.
	CauseStopping Cause = "stopping"
	// CauseCallerLeft means that the caller has closed or reset the connection.
	CauseCallerLeft Cause = "caller_left"
	// CauseNotRead means that the caller didn't read the answer in time.
	CauseNotRead Cause = "not_read"
)

// Cuts counts the requests of callers, and the connections that ended without a complete answer to one of them. Both are split
// by whether the configuration has changed recently, so that the shares can be compared. It is safe for concurrent use.
type Cuts struct {
	requests *prometheus.CounterVec
	cuts     *prometheus.CounterVec
}

// NewCuts creates the metrics and registers them.
func NewCuts(registry prometheus.Registerer) *Cuts {
	c := &Cuts{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "caller_requests_total", Help: "Requests whose head was read from a caller, by whether the configuration has changed recently.",
		}, []string{"configuration"}),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "caller_cuts_total", Help: "Requests of callers that were read and whose connection ended without a complete answer, by cause and by whether the configuration has changed recently.",
		}, []string{"cause", "configuration"}),
	}
	registry.MustRegister(c.requests, c.cuts)
	return c
}

// ObserveRequest counts a request. recent is true if the configuration has changed recently.
func (c *Cuts) ObserveRequest(recent bool) {
	c.requests.WithLabelValues(configurationLabel(recent)).Inc()
}

// ObserveCut counts a connection that ended without a complete answer. recent is true if the configuration has changed recently.
func (c *Cuts) ObserveCut(cause Cause, recent bool) {
	c.cuts.WithLabelValues(string(cause), configurationLabel(recent)).Inc()
}

func configurationLabel(recent bool) string {
	if recent {
		return "recent"
	}
	return "settled"
}
