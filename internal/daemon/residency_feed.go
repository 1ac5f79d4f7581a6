package daemon

import (
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/peers/digest"
	"limpethub/internal/residency"
	"limpethub/internal/store"
)

const (
	// peerLoadLifetime is how long a peer's counts are believed.
	peerLoadLifetime = 1500 * time.Millisecond
	// newsLifetime is how long news is repeated, since datagrams get lost.
	newsLifetime = 700 * time.Millisecond
)

// peerLoads is what a peer last said of its requests.
type peerLoads struct {
	loads    []digest.RefLoad
	sequence uint64
	seen     time.Time
}

// toldNews and leavingNews are repeated until they run out.
type toldNews struct {
	news  digest.Residency
	until time.Time
}

type leavingNews struct {
	news  digest.ServerLeaving
	until time.Time
}

var _ feed = (*residencyFeed)(nil)

func newResidencyFeed() *residencyFeed { return &residencyFeed{peers: map[string]peerLoads{}} }

// ForHolder implements feed.
func (f *residencyFeed) ForHolder(bool) digest.Digest {
	var d digest.Digest
	for ref, load := range f.load() {
		d.RefLoads = append(d.RefLoads, digest.RefLoad{Ref: ref, Running: load.Running, Unbegun: load.Unstarted, Waiting: load.Waiting})
	}
	return d
}

// AddForAll implements feed.
func (f *residencyFeed) AddForAll(d *digest.Digest) {
	now := time.Now()
	if record, revision, ok := f.manager.Lease(); ok {
		d.Lease = &digest.Lease{
			Holder: record.Holder, Term: record.Term, WriteID: record.WriteID,
			Revision: int64(revision), Released: record.Released,
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.told[:0]
	for _, t := range f.told {
		if now.Before(t.until) {
			kept = append(kept, t)
			d.Residencies = append(d.Residencies, t.news)
		}
	}
	f.told = kept
	leaving := f.leaving[:0]
	for _, l := range f.leaving {
		if now.Before(l.until) {
			leaving = append(leaving, l)
			d.Leaving = append(d.Leaving, l.news)
		}
	}
	f.leaving = leaving
}

// Tell takes news of the placement holder, which this instance is.
func (f *residencyFeed) Tell(moved []residency.ResidencyChange) {
	until := time.Now().Add(newsLifetime)
	f.mu.Lock()
	for _, m := range moved {
		f.replace(toldNews{news: digest.Residency{Server: m.Server, Born: m.StartMillis, Ref: m.Ref, Present: m.Present}, until: until})
	}
	f.mu.Unlock()
	for _, m := range moved {
		f.watcher.ResidencyChanged(m.Server, m.StartMillis, m.Ref, m.Present)
	}
}

// replace drops older news of the same version on the same server. The lock is held.
func (f *residencyFeed) replace(t toldNews) {
	for i := range f.told {
		if f.told[i].news.Server == t.news.Server && f.told[i].news.Ref == t.news.Ref {
			f.told[i] = t
			return
		}
	}
	f.told = append(f.told, t)
}

// ServerLeaves takes what this instance learned of a server.
func (f *residencyFeed) ServerLeaves(s discovery.KnownServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, leavingNews{
		news:  digest.ServerLeaving{Server: s.ID, Born: s.StartMillis},
		until: time.Now().Add(newsLifetime),
	})
}

// Observe implements feed.
func (f *residencyFeed) Observe(d digest.Digest) {
	for _, m := range d.Residencies {
		f.watcher.ResidencyChanged(m.Server, m.Born, m.Ref, m.Present)
	}
	for _, l := range d.Leaving {
		f.watcher.Leaving(l.Server, l.Born)
	}
	if d.Lease != nil {
		f.manager.HolderReported(lease.Record{
			Holder: d.Lease.Holder, Term: d.Lease.Term, WriteID: d.Lease.WriteID, Released: d.Lease.Released,
		}, store.Revision(d.Lease.Revision))
	}
	if len(d.RefLoads) == 0 {
		return
	}
	if f.observeLoads(d) {
		f.manager.Wake()
	}
}

// observeLoads notes a peer's counts, and reports whether requests wait there. The
// datagrams of one digest add up.
func (f *residencyFeed) observeLoads(d digest.Digest) (waiting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.peers[d.Instance]
	if d.Sequence < last.sequence && time.Since(last.seen) < peerLoadLifetime {
		return false
	}
	if d.Sequence > last.sequence {
		last.loads = nil
	}
	last.loads = append(last.loads, d.RefLoads...)
	last.sequence, last.seen = d.Sequence, time.Now()
	f.peers[d.Instance] = last
	for _, load := range d.RefLoads {
		waiting = waiting || load.Waiting > 0
	}
	return waiting
}

// Forget implements feed.
func (f *residencyFeed) Forget(instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, instance)
}

// Gauges adds up the requests of all instances.
func (f *residencyFeed) Gauges(now time.Time) map[modelref.Ref]residency.RequestCounts {
	out := map[modelref.Ref]residency.RequestCounts{}
	add := func(ref modelref.Ref, more residency.RequestCounts) {
		g := out[ref]
		g.Running += more.Running
		g.Unstarted += more.Unstarted
		g.Waiting += more.Waiting
		out[ref] = g
	}
	for ref, load := range f.load() {
		add(ref, residency.RequestCounts(load))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if now.Sub(peer.seen) > peerLoadLifetime {
			continue
		}
		for _, load := range peer.loads {
			add(load.Ref, residency.RequestCounts{Running: load.Running, Unstarted: load.Unbegun, Waiting: load.Waiting})
		}
	}
	return out
}
