package peerrelay

import (
	"context"
	"sync"
	"time"
)

const (
	// lagPeriod is how often it is measured by how much this process is late.
	lagPeriod = 100 * time.Millisecond
	// lagWeight is the weight of the last measurement in the mean.
	lagWeight = 0.25
	// maxLag is by how much this process may be late and still take in requests of others: its own callers'
	// answers are late by as much.
	maxLag = 40 * time.Millisecond
)

// lagMeter measures by how much a process runs late, as it does without enough processor time.
type lagMeter struct {
	mean time.Duration
	last time.Time
}

// observe takes a tick, which was due lagPeriod after the last one.
func (m *lagMeter) observe(now time.Time) {
	if !m.last.IsZero() {
		late := max(0, now.Sub(m.last)-lagPeriod)
		m.mean += time.Duration(lagWeight * float64(late-m.mean))
	}
	m.last = now
}

// tooLate reports whether the process has no time for requests of others.
//
// The load is that of most instances on the few that reach the servers: a helper that takes in all that it is
// offered serves neither them nor its own callers in time.
func (m *lagMeter) tooLate() bool { return m.mean > maxLag }

// guardedLag is a lagMeter for several goroutines.
type guardedLag struct {
	mu    sync.Mutex
	meter lagMeter
}

func (g *guardedLag) tooLate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meter.tooLate()
}

// run measures until ctx ends.
func (g *guardedLag) run(ctx context.Context, now func() time.Time) {
	ticker := time.NewTicker(lagPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.mu.Lock()
			g.meter.observe(now())
			g.mu.Unlock()
		}
	}
}
