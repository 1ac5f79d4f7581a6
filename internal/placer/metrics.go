package placer

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

const metricsNamespace = "limpethub"

// metrics holds the Prometheus metrics of a Placer.
type metrics struct {
	events    *prometheus.CounterVec
	moves     *prometheus.CounterVec
	committed *prometheus.GaugeVec
	capacity  *prometheus.GaugeVec
	holding   prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless r is nil.
func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: "placement", Name: "events_total",
			Help: "Placement events, by kind: lease (takeover, invalid lease key), move (new order), settled (order with known outcome), resend, fence, surprise (unexpected change), restart (of a server), shortfall (version that can't be placed), superseded (end of a term), ledger (invalid ledger key) and refused (move that the ledger refused).",
		}, []string{"kind"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: "placement", Name: "moves_total",
			Help: "Orders to load, unload or change role that were entered in the ledger, by action.",
		}, []string{"action"}),
		committed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Subsystem: "placement", Name: "committed_mebibytes",
			Help: "Accelerator memory that is in use or reserved for pending orders, by server.",
		}, []string{"server"}),
		capacity: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Subsystem: "placement", Name: "capacity_mebibytes",
			Help: "Accelerator memory, by server.",
		}, []string{"server"}),
		holding: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Subsystem: "placement", Name: "holding",
			Help: "1 on the instance that may give orders to the cell's servers, otherwise 0.",
		}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.events, m.moves, m.committed, m.capacity, m.holding} {
		if err := r.Register(c); err != nil {
			return nil, fmt.Errorf("placer: register metrics: %w", err)
		}
	}
	return m, nil
}

func (m *metrics) count(e event) {
	m.events.WithLabelValues(string(e.kind)).Inc()
	if e.kind == eventMove {
		m.moves.WithLabelValues(string(e.order.Action)).Inc()
	}
}

// updateGauges sets the gauges from the core's state. An instance that may not give orders
// has no series of the memory gauges.
func (m *metrics) updateGauges(c *core) {
	if c.phase != phaseActive || c.ledger == nil {
		m.holding.Set(0)
		m.committed.Reset()
		m.capacity.Reset()
		return
	}
	m.holding.Set(1)
	for _, a := range c.ledger.Accounts() {
		m.committed.WithLabelValues(a.Spec.Name).Set(float64(a.CommittedMB))
		m.capacity.WithLabelValues(a.Spec.Name).Set(float64(a.CapacityMB))
	}
}
