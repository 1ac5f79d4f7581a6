package discovery

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are those of a Watcher.
type metrics struct {
	// readIntervals is the time between the beginnings of two successful calls of the store.
	readIntervals prometheus.Histogram
	// left counts servers that were found to be leaving or gone, by origin.
	left *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		readIntervals: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "limpethub_servers_read_interval_seconds", Help: "Time between the beginnings of two successful reads of the servers' announcements, in seconds.",
			Buckets: []float64{0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10},
		}),
		left: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpethub_servers_left_total", Help: "Backend servers that were found to be leaving or gone, by where this instance learned it first (list, watch, peer, server, expiry, absence).",
		}, []string{"origin"}),
	}
}

// Collectors returns the metrics.
func (w *Watcher) Collectors() []prometheus.Collector {
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpethub_servers_view_age_seconds", Help: "Seconds since the last successful read of the servers' announcements began: what the store acknowledged before is known. 0 before the first read.",
	}, func() float64 { return w.ViewAge().Seconds() })
	return append(w.mu.Collectors(), age, w.metrics.readIntervals, w.metrics.left)
}

// ViewAge returns how long ago the last successful read of announcements began; 0 before the
// first one.
func (w *Watcher) ViewAge() time.Duration {
	readAt := w.readAt.Load()
	if readAt == nil {
		return 0
	}
	return time.Since(*readAt)
}

// recordRead records that a call of the store that began at the given time has succeeded.
func (w *Watcher) recordRead(began time.Time) {
	if last := w.readAt.Swap(&began); last != nil {
		w.metrics.readIntervals.Observe(began.Sub(*last).Seconds())
	}
}
