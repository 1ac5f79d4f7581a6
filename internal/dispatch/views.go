package dispatch

import (
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
)

// RetryAfter returns when a caller whose request was refused should come back.
func (d *Dispatcher) RetryAfter(r request.Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RetryAfter(d.now(), r)
}

// Digest returns this instance's outstanding work and samples per server, to send to peers. It also logs
// which servers were found slow or have recovered since the last call.
func (d *Dispatcher) Digest() []scheduling.ServerDigest {
	d.mu.Lock()
	digests, changes := d.scheduler.Digest(), d.scheduler.TakeSpeedChanges()
	d.mu.Unlock()
	d.logSpeedChanges(changes)
	return digests
}

// DigestOf returns this instance's outstanding work on some servers, to send to peers without delay.
func (d *Dispatcher) DigestOf(servers []string) []scheduling.ServerDigest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.DigestOf(servers)
}

// ServerSpeeds returns what the scheduler assumes of the speed of each server.
func (d *Dispatcher) ServerSpeeds() []scheduling.ServerSpeed {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ServerSpeeds(d.now())
}

// SlowProbes returns how many requests were sent to slow servers to see whether they still are.
func (d *Dispatcher) SlowProbes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.SlowProbes()
}

// Preview returns what the scheduler would decide now about a request, without admitting it.
func (d *Dispatcher) Preview(r request.Request) scheduling.Preview {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Preview(d.now(), r)
}

// RefLoads returns this instance's requests per model or adapter version.
func (d *Dispatcher) RefLoads() map[modelref.Ref]scheduling.RefLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RefLoads(d.now())
}

// ServerLoads returns the estimated number of requests of all instances per server.
func (d *Dispatcher) ServerLoads() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ServerLoads(d.now())
}

// ClassLoads returns this instance's requests per class.
func (d *Dispatcher) ClassLoads() []scheduling.ClassLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.ClassLoads()
}

// WorkspacesWaiting returns the number of waiting requests of each workspace that has any.
func (d *Dispatcher) WorkspacesWaiting() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.WorkspacesWaiting()
}
