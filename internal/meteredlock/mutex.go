// Package meteredlock has a mutex that measures how long it is waited for and held.
package meteredlock

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// buckets are those of both histograms, in seconds.
var buckets = []float64{0.0001, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5}

// Mutex is a mutual exclusion lock. The zero Mutex is unlocked and measures nothing.
type Mutex struct {
	mu         sync.Mutex
	wait, hold prometheus.Histogram
	lockedAt   time.Time
}

var _ sync.Locker = (*Mutex)(nil)

// Measure begins to measure, with the lock's name as a label. It must be called before the first Lock.
func (m *Mutex) Measure(name string) {
	histogram := func(metric, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: metric, Help: help, Buckets: buckets, ConstLabels: prometheus.Labels{"lock": name},
		})
	}
	m.wait = histogram("limpethub_lock_wait_seconds", "Time for which a lock was waited for, in seconds, by lock.")
	m.hold = histogram("limpethub_lock_hold_seconds", "Time for which a lock was held, in seconds, by lock.")
}

// Collectors returns the metrics; none before Measure.
func (m *Mutex) Collectors() []prometheus.Collector {
	if m.wait == nil {
		return nil
	}
	return []prometheus.Collector{m.wait, m.hold}
}

// Lock implements sync.Locker.
func (m *Mutex) Lock() {
	if m.wait == nil {
		m.mu.Lock()
		return
	}
	before := time.Now()
	m.mu.Lock()
	m.lockedAt = time.Now()
	m.wait.Observe(m.lockedAt.Sub(before).Seconds())
}

// Unlock implements sync.Locker.
func (m *Mutex) Unlock() {
	if m.wait == nil {
		m.mu.Unlock()
		return
	}
	held := time.Since(m.lockedAt)
	m.mu.Unlock()
	m.hold.Observe(held.Seconds())
}
