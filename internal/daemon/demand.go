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

// demandKey tells counters of one process apart.
type demandKey struct {
	ref   modelref.Ref
	class int
}

// demandCounter counts since the start of a process, so that a lost digest loses
// nothing: the next one holds the sum.
type demandCounter struct {
	requests uint64
	tokens   uint64
	// sent is what the last digest held.
	sentRequests uint64
}

// arrivals passes what the dispatcher observes to the metrics and the demand.
type arrivals struct {
	*metrics.Requests
	demand *demandBoard
}

var _ dispatch.Observer = (*arrivals)(nil)

// ObserveArrival implements dispatch.Observer.
func (a *arrivals) ObserveArrival(r request.Request) { a.demand.ObserveArrival(r) }

// demandBoard counts this instance's demand and keeps what peers say of theirs.
type demandBoard struct {
	process string

	mu   sync.Mutex
	own  map[demandKey]*demandCounter
	peer map[string]map[demandKey]demandCounter
}

var (
	_ placer.DemandSource = (*demandBoard)(nil)
	_ feed                = (*demandBoard)(nil)
)

func newDemandBoard(process string) *demandBoard {
	return &demandBoard{process: process, own: map[demandKey]*demandCounter{}, peer: map[string]map[demandKey]demandCounter{}}
}

// ObserveArrival counts a request.
func (b *demandBoard) ObserveArrival(r request.Request) {
	if r.Model == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := demandKey{ref: r.Model, class: r.Class}
	counter, ok := b.own[key]
	if !ok {
		counter = &demandCounter{}
		b.own[key] = counter
	}
	counter.requests++
	counter.tokens += uint64(r.MaxTokens)
}

// Take returns the counters to send: those that changed since the last call, or all.
func (b *demandBoard) Take(all bool) []digest.ModelDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []digest.ModelDemand
	for key, counter := range b.own {
		if !all && counter.sentRequests == counter.requests {
			continue
		}
		counter.sentRequests = counter.requests
		out = append(out, digest.ModelDemand{Ref: key.ref, Class: key.class, Requests: counter.requests, Tokens: counter.tokens})
	}
	return out
}

// ObserveDigest takes a peer's counters. Counters only grow, so late datagrams do no harm.
func (b *demandBoard) ObserveDigest(d digest.Digest) {
	if len(d.Demands) == 0 || d.Process == b.process {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	counters, ok := b.peer[d.Process]
	if !ok {
		counters = map[demandKey]demandCounter{}
		b.peer[d.Process] = counters
	}
	for _, m := range d.Demands {
		key := demandKey{ref: m.Ref, class: m.Class}
		if m.Requests >= counters[key].requests {
			counters[key] = demandCounter{requests: m.Requests, tokens: m.Tokens}
		}
	}
}

// ForHolder implements feed.
func (b *demandBoard) ForHolder(all bool) digest.Digest { return digest.Digest{Demands: b.Take(all)} }

// AddForAll implements feed. Only the placement holder needs demand.
func (b *demandBoard) AddForAll(*digest.Digest) {}

// Observe implements feed.
func (b *demandBoard) Observe(d digest.Digest) { b.ObserveDigest(d) }

// Forget drops the counters of an instance that died.
func (b *demandBoard) Forget(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for process := range b.peer {
		if name, _, _ := strings.Cut(process, processSeparator); name == instance {
			delete(b.peer, process)
		}
	}
}

// Samples implements placer.DemandSource.
func (b *demandBoard) Samples() []demand.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []demand.Sample
	for key, counter := range b.own {
		out = append(out, sample(b.process, key, *counter))
	}
	for process, counters := range b.peer {
		for key, counter := range counters {
			out = append(out, sample(process, key, counter))
		}
	}
	return out
}

func sample(process string, key demandKey, counter demandCounter) demand.Sample {
	return demand.Sample{Instance: process, Ref: key.ref, Class: key.class, Requests: counter.requests, Tokens: counter.tokens}
}
