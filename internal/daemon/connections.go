package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"limpethub/internal/connlimit"
)

// connectionLogPeriod is the least time between two lines about connections for which there is no room.
const connectionLogPeriod = 10 * time.Second

// Reasons for which connections are closed at the limit of a listener.
const (
	reasonYielded = "yielded"
	reasonRefused = "refused"
)

// connectionMetrics counts the connections of all listeners, and those that are closed at a limit.
type connectionMetrics struct {
	open, most *prometheus.GaugeVec
	closed     *prometheus.CounterVec
	lines      *rate.Limiter
	logger     *logrus.Entry
}

var _ connlimit.Observer = (*connectionMetrics)(nil)

func newConnectionMetrics(logger *logrus.Entry) *connectionMetrics {
	return &connectionMetrics{
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "limpethub_connections_open", Help: "Open connections, by listener.",
		}, []string{"listener"}),
		most: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "limpethub_connections_max", Help: "Connections that a listener may have open.",
		}, []string{"listener"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpethub_connections_closed_total", Help: "Connections closed since a listener had as many as it may, by listener and reason.",
		}, []string{"listener", "reason"}),
		lines:  rate.NewLimiter(rate.Every(connectionLogPeriod), 1),
		logger: logger,
	}
}

// Collectors returns the metrics.
func (m *connectionMetrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.open, m.most, m.closed}
}

// limit returns the options of a listener that may have so many connections open.
func (m *connectionMetrics) limit(listener string, maxConnections int) connlimit.Options {
	m.most.WithLabelValues(listener).Set(float64(maxConnections))
	return connlimit.Options{Name: listener, MaxConnections: maxConnections, Observer: m}
}

// Opened implements connlimit.Observer.
func (m *connectionMetrics) Opened(listener string) { m.open.WithLabelValues(listener).Inc() }

// Closed implements connlimit.Observer.
func (m *connectionMetrics) Closed(listener string) { m.open.WithLabelValues(listener).Dec() }

// Yielded implements connlimit.Observer.
func (m *connectionMetrics) Yielded(listener string, n int) {
	m.closed.WithLabelValues(listener, reasonYielded).Add(float64(n))
	m.log(listener)
}

// Refused implements connlimit.Observer.
func (m *connectionMetrics) Refused(listener string) {
	m.closed.WithLabelValues(listener, reasonRefused).Inc()
	m.log(listener)
}

func (m *connectionMetrics) log(listener string) {
	if m.lines.Allow() {
		m.logger.WithField("listener", listener).Warn("A listener has as many connections as it may; those that wait longest without a whole request are closed")
	}
}
