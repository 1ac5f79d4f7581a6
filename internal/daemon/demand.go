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
	// tokens is the sum of the requests' MaxTokens.
	tokens uint64
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

func (o *demandObserver) ObserveArrival(r request.Request) { o.demand.ObserveArrival(r) }

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
func (t *demandTracker) ObserveArrival(r request.Request) {
	if r.Model == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := demandKey{ref: r.Model, class: r.Class}
	counter, ok := t.ownCounters[key]
	if !ok {
		counter = &demandCounter{}
		t.ownCounters[key] = counter
	}
	counter.requests++
	counter.tokens += uint64(r.MaxTokens)
}

// Next returns the counters to send next, and marks them as sent: all, or those whose number of
// requests has changed since it was last sent.
func (t *demandTracker) Next(all bool) []digest.ModelDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []digest.ModelDemand
	for key, counter := range t.ownCounters {
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
func (t *demandTracker) ObserveDigest(d digest.Digest) {
	if len(d.Demands) == 0 || d.Process == t.process {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counters, ok := t.peerCounters[d.Process]
	if !ok {
		counters = map[demandKey]demandCounter{}
		t.peerCounters[d.Process] = counters
	}
	for _, m := range d.Demands {
		key := demandKey{ref: m.Ref, class: m.Class}
		if m.Requests >= counters[key].requests {
			counters[key] = demandCounter{requests: m.Requests, tokens: m.Tokens}
		}
	}
}

func (t *demandTracker) ForHolder(all bool) digest.Digest { return digest.Digest{Demands: t.Next(all)} }

// AddForAll implements digestExtension. It adds nothing, since only the placement holder
// needs demand.
func (t *demandTracker) AddForAll(*digest.Digest, noticeRound) {}

func (t *demandTracker) Observe(d digest.Digest) { t.ObserveDigest(d) }

// Forget drops the counters of a dead instance. They include those of its former processes,
// because an instance that restarts gets a new process name.
func (t *demandTracker) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for process := range t.peerCounters {
		if name, _, _ := strings.Cut(process, processSeparator); name == instance {
			delete(t.peerCounters, process)
		}
	}
}

func (t *demandTracker) Samples() []demand.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []demand.Sample
	for key, counter := range t.ownCounters {
		out = append(out, newSample(t.process, key, *counter))
	}
	for process, counters := range t.peerCounters {
		for key, counter := range counters {
			out = append(out, newSample(process, key, counter))
		}
	}
	return out
}

// newSample returns a counter as a sample. The sample's Instance is the name of a process, so
// that the counters of a restarted instance, which begin at 0 again, are kept apart from those
// of its former process.
func newSample(process string, key demandKey, counter demandCounter) demand.Sample {
	return demand.Sample{Instance: process, Ref: key.ref, Class: key.class, Requests: counter.requests, Tokens: counter.tokens}
}
