package dispatch

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/scheduling"
	"limpethub/internal/scheduling/quota"
)

// SetServers gives the scheduler the set of known servers, which replaces the previous set.
func (d *Dispatcher) SetServers(servers []scheduling.Server) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.SetServers(now, servers) })
}

// ObserveReport gives the scheduler a server's load report.
func (d *Dispatcher) ObserveReport(server string, report engine.Report) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveReport(now, server, report) })
}

// ObserveLoad gives the scheduler the load that a server stated in an answer.
func (d *Dispatcher) ObserveLoad(server string, load engine.StatedLoad) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveLoad(now, server, load) })
}

// ObserveResident tells the scheduler which models and adapters are resident on a server.
func (d *Dispatcher) ObserveResident(server string, refs []modelref.Ref) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveResident(now, server, refs) })
}

// ObservePaused tells the scheduler that a server wants no requests until the given time.
func (d *Dispatcher) ObservePaused(server string, until time.Time) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObservePaused(now, server, until) })
}

// ObserveLimit tells the scheduler how many requests a second a server takes from all instances
// together; nil means that it names none any more.
func (d *Dispatcher) ObserveLimit(server string, limit *quota.Limit) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveLimit(now, server, limit) })
}

// ObserveBrittle tells the scheduler whether a server says that it falls over if it must turn requests away.
func (d *Dispatcher) ObserveBrittle(server string, brittle bool) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveBrittle(now, server, brittle) })
}

// ObserveCall tells the scheduler that something else than a dispatched request was sent to a server.
func (d *Dispatcher) ObserveCall(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ObserveCall(d.now(), server)
}

// SetInstances tells the scheduler which instances share the limits of servers.
func (d *Dispatcher) SetInstances(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetInstances(d.now(), names)
}

// ObserveUnreachable tells the scheduler that a server did not answer.
func (d *Dispatcher) ObserveUnreachable(server string) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveUnreachable(now, server) })
}

// ObserveReachable tells the scheduler that a server that did not answer does so again.
func (d *Dispatcher) ObserveReachable(server string) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveReachable(now, server) })
}

// ObserveDigest gives the scheduler a peer's digest of its load on a server.
func (d *Dispatcher) ObserveDigest(digest scheduling.ServerDigest) {
	d.handleEvent(func(now time.Time) []scheduling.Decision { return d.scheduler.ObserveDigest(now, digest) })
}

// ForgetPeer drops the request counts in the digests of a failed peer; see
// scheduling.Scheduler.ForgetPeer.
func (d *Dispatcher) ForgetPeer(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ForgetPeer(instance)
}
