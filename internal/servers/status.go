package servers

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/site"
)

// Server returns the name and address of a polled server. It implements forward.Directory.
func (m *Monitor) Server(name string) (engine.Server, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.polled[name]
	if !ok {
		return engine.Server{}, false
	}
	return engine.Server{Name: name, Address: p.config.Address}, true
}

// Status is the last known state of one server.
type Status struct {
	Config site.Server
	// Report is the last report; zero if none was read.
	Report engine.Report
	// ReportedAt is the time when Report was read.
	ReportedAt time.Time
	// Leaving is set if the platform's list or the server's report says so.
	Leaving bool
	// Unreachable is set after failuresUntilUnreachable failed report requests in a row.
	Unreachable bool
}

// Statuses returns the state of all servers in the order of the configuration.
func (m *Monitor) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document == nil {
		return nil
	}
	statuses := make([]Status, 0, len(m.document.Servers))
	for _, s := range m.document.Servers {
		status := Status{Config: s, Leaving: m.instances[s.Name].Leaving}
		if p, ok := m.polled[s.Name]; ok {
			status.Report, status.ReportedAt, status.Unreachable = p.report, p.reportedAt, p.unreachable
			status.Leaving = status.Leaving || p.leaving
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Leaving returns the names of the servers that are leaving.
func (m *Monitor) Leaving() []string {
	var names []string
	for _, status := range m.Statuses() {
		if status.Leaving {
			names = append(names, status.Config.Name)
		}
	}
	return names
}

// ReachableShare returns the share of servers, 0 to 1, that are not known to be unreachable. It
// is 1 if there are no servers. It counts for the placement lease: an instance that
// reaches fewer servers claims the lease later and may release it to one that reaches more.
func (m *Monitor) ReachableShare() float64 {
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
