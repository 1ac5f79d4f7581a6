package servers

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
)

// poll reads one server's load reports until ctx ends.
func (m *Monitor) poll(ctx context.Context, server engine.Server) {
	ticker := time.NewTicker(m.options.Intervals.Poll)
	defer ticker.Stop()
	failures := 0
	for {
		report, err := m.readReport(ctx, server)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			failures = 0
			m.recordReport(server.Name, report)
		default:
			failures++
			if failures == failuresUntilUnreachable {
				m.recordUnreachable(server.Name, err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Monitor) readReport(ctx context.Context, server engine.Server) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Intervals.PollTimeout)
	defer cancel()
	return m.options.Reporter.Report(ctx, server)
}

// recordReport stores a server's report and passes it to the sink.
func (m *Monitor) recordReport(name string, report engine.Report) {
	m.mu.Lock()
	p, ok := m.polled[name]
	if !ok {
		m.mu.Unlock()
		return
	}
	recovered := p.unreachable
	changed := p.leaving != report.Leaving
	p.unreachable, p.leaving, p.report, p.reportedAt = false, report.Leaving, report, time.Now()
	m.mu.Unlock()
	if recovered {
		m.options.Logger.WithField("server", name).Info("server is reachable again")
	}
	if changed {
		m.options.Logger.WithFields(logrus.Fields{"server": name, "leaving": report.Leaving}).Info("server changed its leaving state")
		m.publish()
	}
	m.options.Sink.ObserveReport(name, report)
}

// recordUnreachable marks a server as unreachable and tells the sink.
func (m *Monitor) recordUnreachable(name string, cause error) {
	m.mu.Lock()
	p, ok := m.polled[name]
	if ok {
		p.unreachable = true
	}
	m.mu.Unlock()
	if !ok {
		return
	}
	// Package explain searches logs for this message.
	m.options.Logger.WithFields(logrus.Fields{"server": name, "error": cause.Error()}).Warn("server unreachable")
	m.options.Sink.ObserveUnreachable(name)
}
