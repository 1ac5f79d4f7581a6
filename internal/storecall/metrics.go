package storecall

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/store"
)

// operation is the kind of a call. It is the label operation in the metrics, whose values
// may not change because dashboards and alerts refer to them.
type operation string

const (
	opGet    operation = "get"
	opSwap   operation = "compare_and_swap"
	opDelete operation = "delete"
	// opWatch counts both Watch and WatchPrefix.
	opWatch  operation = "watch"
	opGrant  operation = "grant"
	opRenew  operation = "renew"
	opRevoke operation = "revoke"
	opList   operation = "list"
)

type metrics struct {
	calls   *prometheus.CounterVec
	refused *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpethub_store_calls_total",
			Help: "Calls to the key-value store, by operation, purpose and result. A watch counts as one call, with the result \"error\" if it reaches its timeout without a change.",
		}, []string{"operation", "purpose", "result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpethub_store_calls_refused_total",
			Help: "Calls to the key-value store that this instance refused itself, because its call budget was used up (\"budget\"), or because it was backing off after failures or stopping (\"back_off\"). Calls that the caller canceled while they waited count, too.",
		}, []string{"operation", "purpose", "reason"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.refused)
	}
	return m
}

func (m *metrics) countCall(op operation, purpose Purpose, result string) {
	m.calls.WithLabelValues(string(op), string(purpose), result).Inc()
}

func (m *metrics) countRefused(op operation, purpose Purpose, reason string) {
	m.refused.WithLabelValues(string(op), string(purpose), reason).Inc()
}

// resultOf returns the value of the label result for a call that ended with err. The value
// "error" includes calls that the caller canceled and watches that reached their timeout
// without a change.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrLeaseLost):
		return "lease_lost"
	case errors.Is(err, store.ErrCompacted):
		return "compacted"
	case errors.Is(err, store.ErrThrottled):
		return "throttled"
	case errors.Is(err, store.ErrUndecodable):
		return "undecodable"
	}
	return "error"
}
