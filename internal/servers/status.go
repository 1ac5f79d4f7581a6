package servers

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/site"
)

// Server implements the forwarder's directory.
func (m *Monitor) Server(name string) (engine.Server, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, ok := m.watches[name]
	if !ok {
		return engine.Server{}, false
	}
	return engine.Server{Name: name, Address: w.config.Address}, true
}

// Status is what the monitor knows of one server.
type Status struct {
	Config site.Server
	// Report is the last report read; zero if none was.
	Report engine.Report
	// Seen is when it was read.
	Seen        time.Time
	Leaving     bool
	Unreachable bool
}

// Statuses lists all servers in the order of the configuration.
func (m *Monitor) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document == nil {
		return nil
	}
	out := make([]Status, 0, len(m.document.Servers))
	for _, s := range m.document.Servers {
		status := Status{Config: s, Leaving: m.listed[s.Name].Leaving}
		if w, ok := m.watches[s.Name]; ok {
			status.Report, status.Seen, status.Unreachable = w.report, w.seen, w.unreachable
			status.Leaving = status.Leaving || w.leaving
		}
		out = append(out, status)
	}
	return out
}

// Leaving lists the servers that are leaving.
func (m *Monitor) Leaving() []string {
	var out []string
	for _, status := range m.Statuses() {
		if status.Leaving {
			out = append(out, status.Config.Name)
		}
	}
	return out
}

// Reach is the share of servers, 0 to 1, that answered their last reports.
func (m *Monitor) Reach() float64 {
	statuses := m.Statuses()
	if len(statuses) == 0 {
		return 1
	}
	reached := 0
	for _, status := range statuses {
		if !status.Unreachable {
			reached++
		}
	}
	return float64(reached) / float64(len(statuses))
}
