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
	// peerLoadLifetime is how long a peer's counts are used after they arrived.
	peerLoadLifetime = 1500 * time.Millisecond
	// noticeLifetime is how long a notice is repeated in digests, since datagrams can be
	// lost.
	noticeLifetime = 700 * time.Millisecond
)

// peerLoads holds the request counts of a peer's newest digest.
type peerLoads struct {
	loads      []digest.RefLoad
	sequence   uint64
	receivedAt time.Time
}

// residencyNotice is repeated in digests until it expires.
type residencyNotice struct {
	entry digest.Residency
	until time.Time
}

// leavingNotice is repeated in digests until it expires.
type leavingNotice struct {
	entry digest.ServerLeaving
	until time.Time
}

var _ digestExtension = (*residencyGossip)(nil)

func newResidencyGossip() *residencyGossip { return &residencyGossip{peers: map[string]peerLoads{}} }

// ForHolder implements digestExtension. It always returns all counts.
func (f *residencyGossip) ForHolder(bool) digest.Digest {
	var d digest.Digest
	for ref, load := range f.refLoads() {
		d.RefLoads = append(d.RefLoads, digest.RefLoad{Ref: ref, Running: load.Running, Unbegun: load.Unstarted, Waiting: load.Waiting})
	}
	return d
}

// AddForAll implements digestExtension.
func (f *residencyGossip) AddForAll(d *digest.Digest) {
	now := time.Now()
	if record, revision, ok := f.manager.Lease(); ok {
		d.Lease = &digest.Lease{
			Holder: record.Holder, Term: record.Term, WriteID: record.WriteID,
			Revision: int64(revision), Released: record.Released,
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.residencyNotices[:0]
	for _, t := range f.residencyNotices {
		if now.Before(t.until) {
			kept = append(kept, t)
			d.Residencies = append(d.Residencies, t.entry)
		}
	}
	f.residencyNotices = kept
	leaving := f.leavingNotices[:0]
	for _, l := range f.leavingNotices {
		if now.Before(l.until) {
			leaving = append(leaving, l)
			d.Leaving = append(d.Leaving, l.entry)
		}
	}
	f.leavingNotices = leaving
}

// Tell applies changes that this instance observed as the placement holder to its own
// watcher, and adds notices of them for the peers.
func (f *residencyGossip) Tell(changes []residency.ResidencyChange) {
	until := time.Now().Add(noticeLifetime)
	f.mu.Lock()
	for _, m := range changes {
		f.setResidencyNotice(residencyNotice{entry: digest.Residency{Server: m.Server, Born: m.StartMillis, Ref: m.Ref, Present: m.Present}, until: until})
	}
	f.mu.Unlock()
	for _, m := range changes {
		f.watcher.ResidencyChanged(m.Server, m.StartMillis, m.Ref, m.Present)
	}
}

// setResidencyNotice adds a notice, in place of an older one about the same version on the
// same server. The caller holds mu.
func (f *residencyGossip) setResidencyNotice(notice residencyNotice) {
	for i := range f.residencyNotices {
		if f.residencyNotices[i].entry.Server == notice.entry.Server && f.residencyNotices[i].entry.Ref == notice.entry.Ref {
			f.residencyNotices[i] = notice
			return
		}
	}
	f.residencyNotices = append(f.residencyNotices, notice)
}

// ServerLeaves adds a notice of a server that this instance found to be leaving.
func (f *residencyGossip) ServerLeaves(s discovery.KnownServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leavingNotices = append(f.leavingNotices, leavingNotice{
		entry: digest.ServerLeaving{Server: s.ID, Born: s.StartMillis},
		until: time.Now().Add(noticeLifetime),
	})
}

// Observe implements digestExtension.
func (f *residencyGossip) Observe(d digest.Digest) {
	for _, r := range d.Residencies {
		f.watcher.ResidencyChanged(r.Server, r.Born, r.Ref, r.Present)
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
	if f.recordLoads(d) {
		f.manager.Wake()
	}
}

// recordLoads records a peer's counts and reports whether requests wait there. The datagrams
// of one digest have the same sequence number, and their counts are kept together.
func (f *residencyGossip) recordLoads(d digest.Digest) (waiting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.peers[d.Instance]
	if d.Sequence < last.sequence && time.Since(last.receivedAt) < peerLoadLifetime {
		return false
	}
	if d.Sequence > last.sequence {
		last.loads = nil
	}
	last.loads = append(last.loads, d.RefLoads...)
	last.sequence, last.receivedAt = d.Sequence, time.Now()
	f.peers[d.Instance] = last
	for _, load := range d.RefLoads {
		waiting = waiting || load.Waiting > 0
	}
	return waiting
}

// Forget implements digestExtension.
func (f *residencyGossip) Forget(instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, instance)
}

// Gauges returns the requests of all instances by version.
func (f *residencyGossip) Gauges(now time.Time) map[modelref.Ref]residency.RequestCounts {
	out := map[modelref.Ref]residency.RequestCounts{}
	add := func(ref modelref.Ref, more residency.RequestCounts) {
		g := out[ref]
		g.Running += more.Running
		g.Unstarted += more.Unstarted
		g.Waiting += more.Waiting
		out[ref] = g
	}
	for ref, load := range f.refLoads() {
		add(ref, residency.RequestCounts(load))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if now.Sub(peer.receivedAt) > peerLoadLifetime {
			continue
		}
		for _, load := range peer.loads {
			add(load.Ref, residency.RequestCounts{Running: load.Running, Unstarted: load.Unbegun, Waiting: load.Waiting})
		}
	}
	return out
}
