package daemon

import (
	"strings"
	"sync"

	"limpethub/internal/demand"
	"limpethub/internal/dispatch"
	"limpethub/internal/metrics"
	"limpethub/internal/modelref"
	"limpethub/internal/peers/digest"
	"limpethub/internal/placer"
	"limpethub/internal/request"
)

// demandKey identifies one counter of a process.
type demandKey struct {
	ref   modelref.Ref
	class int
}

// demandCounter holds totals since the start of a process. They make up for lost digests,
// because the next digest contains the totals again.
type demandCounter struct {
	requests uint64
	tokens   uint64
	// sentRequests is the value of requests in the last digest.
	sentRequests uint64
}

// demandObserver passes the dispatcher's observations to the metrics and counts arriving
// requests as demand.
type demandObserver struct {
	*metrics.Requests
	demand *demandTracker
}

var _ dispatch.Observer = (*demandObserver)(nil)

// ObserveArrival implements dispatch.Observer.
func (a *demandObserver) ObserveArrival(r request.Request) { a.demand.ObserveArrival(r) }

// demandTracker counts this instance's demand and keeps the counters that peers send.
type demandTracker struct {
	// process is the name of this process; see Daemon.processName.
	process string

	mu          sync.Mutex
	ownCounters map[demandKey]*demandCounter
	// peerCounters holds the counters of peers by the name of their process.
	peerCounters map[string]map[demandKey]demandCounter
}

var (
	_ placer.DemandSource = (*demandTracker)(nil)
	_ digestExtension     = (*demandTracker)(nil)
)

func newDemandTracker(process string) *demandTracker {
	return &demandTracker{process: process, ownCounters: map[demandKey]*demandCounter{}, peerCounters: map[string]map[demandKey]demandCounter{}}
}

// ObserveArrival counts a request. Requests without a model are no demand.
func (b *demandTracker) ObserveArrival(r request.Request) {
	if r.Model == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := demandKey{ref: r.Model, class: r.Class}
	counter, ok := b.ownCounters[key]
	if !ok {
		counter = &demandCounter{}
		b.ownCounters[key] = counter
	}
	counter.requests++
	counter.tokens += uint64(r.MaxTokens)
}

// Take returns the counters to send: all, or those whose requests changed since the last
// call.
func (b *demandTracker) Take(all bool) []digest.ModelDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []digest.ModelDemand
	for key, counter := range b.ownCounters {
		if !all && counter.sentRequests == counter.requests {
			continue
		}
		counter.sentRequests = counter.requests
		out = append(out, digest.ModelDemand{Ref: key.ref, Class: key.class, Requests: counter.requests, Tokens: counter.tokens})
	}
	return out
}

// ObserveDigest records a peer's counters. They only increase, so a lower count comes from
// a datagram that arrived late and is ignored.
func (b *demandTracker) ObserveDigest(d digest.Digest) {
	if len(d.Demands) == 0 || d.Process == b.process {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	counters, ok := b.peerCounters[d.Process]
	if !ok {
		counters = map[demandKey]demandCounter{}
		b.peerCounters[d.Process] = counters
	}
	for _, m := range d.Demands {
		key := demandKey{ref: m.Ref, class: m.Class}
		if m.Requests >= counters[key].requests {
			counters[key] = demandCounter{requests: m.Requests, tokens: m.Tokens}
		}
	}
}

// ForHolder implements digestExtension.
func (b *demandTracker) ForHolder(all bool) digest.Digest { return digest.Digest{Demands: b.Take(all)} }

// AddForAll implements digestExtension. It adds nothing, since only the placement holder
// needs demand.
func (b *demandTracker) AddForAll(*digest.Digest) {}

// Observe implements digestExtension.
func (b *demandTracker) Observe(d digest.Digest) { b.ObserveDigest(d) }

// Forget drops the counters of all processes of an instance that died.
func (b *demandTracker) Forget(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for process := range b.peerCounters {
		if name, _, _ := strings.Cut(process, processSeparator); name == instance {
			delete(b.peerCounters, process)
		}
	}
}

// Samples implements placer.DemandSource.
func (b *demandTracker) Samples() []demand.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []demand.Sample
	for key, counter := range b.ownCounters {
		out = append(out, newSample(b.process, key, *counter))
	}
	for process, counters := range b.peerCounters {
		for key, counter := range counters {
			out = append(out, newSample(process, key, counter))
		}
	}
	return out
}

func newSample(process string, key demandKey, counter demandCounter) demand.Sample {
	return demand.Sample{Instance: process, Ref: key.ref, Class: key.class, Requests: counter.requests, Tokens: counter.tokens}
}
