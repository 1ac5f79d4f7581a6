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
	// peerCountsLifetime is how long a peer's request counts are used after they arrived.
	peerCountsLifetime = 1500 * time.Millisecond
	// noticeLifetime is how long a notice is repeated in digests, since datagrams can be
	// lost.
	noticeLifetime = 700 * time.Millisecond
)

// peerCounts holds the request counts of a peer's newest digest.
type peerCounts struct {
	counts     []digest.RefLoad
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

func newResidencyGossip() *residencyGossip { return &residencyGossip{counts: map[string]peerCounts{}} }

// ForHolder implements digestExtension. It always returns all counts.
func (g *residencyGossip) ForHolder(bool) digest.Digest {
	var d digest.Digest
	for ref, load := range g.refLoads() {
		d.RefLoads = append(d.RefLoads, digest.RefLoad{Ref: ref, Running: load.Running, Unstarted: load.Unstarted, Waiting: load.Waiting})
	}
	return d
}

// AddForAll implements digestExtension.
func (g *residencyGossip) AddForAll(d *digest.Digest) {
	now := time.Now()
	if record, revision, ok := g.manager.Lease(); ok {
		d.Lease = &digest.Lease{
			Holder: record.Holder, Term: record.Term, WriteID: record.WriteID,
			Revision: int64(revision), Released: record.Released,
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := g.residencyNotices[:0]
	for _, n := range g.residencyNotices {
		if now.Before(n.until) {
			kept = append(kept, n)
			d.Residencies = append(d.Residencies, n.entry)
		}
	}
	g.residencyNotices = kept
	keptLeaving := g.leavingNotices[:0]
	for _, n := range g.leavingNotices {
		if now.Before(n.until) {
			keptLeaving = append(keptLeaving, n)
			d.Leaving = append(d.Leaving, n.entry)
		}
	}
	g.leavingNotices = keptLeaving
}

// PublishChanges publishes changes that this instance observed as the placement holder: it
// applies them to its own watcher, and adds notices of them for the peers.
func (g *residencyGossip) PublishChanges(changes []residency.ResidencyChange) {
	until := time.Now().Add(noticeLifetime)
	g.mu.Lock()
	for _, c := range changes {
		g.setResidencyNotice(residencyNotice{entry: digest.Residency{Server: c.Server, StartMillis: c.StartMillis, Ref: c.Ref, Present: c.Present}, until: until})
	}
	g.mu.Unlock()
	for _, c := range changes {
		g.watcher.ResidencyChanged(c.Server, c.StartMillis, c.Ref, c.Present)
	}
}

// setResidencyNotice adds a notice, in place of an older one about the same version on the
// same server. The caller holds mu.
func (g *residencyGossip) setResidencyNotice(notice residencyNotice) {
	for i := range g.residencyNotices {
		if g.residencyNotices[i].entry.Server == notice.entry.Server && g.residencyNotices[i].entry.Ref == notice.entry.Ref {
			g.residencyNotices[i] = notice
			return
		}
	}
	g.residencyNotices = append(g.residencyNotices, notice)
}

// AddLeavingNotice adds a notice of a server that this instance found to be leaving.
func (g *residencyGossip) AddLeavingNotice(s discovery.KnownServer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leavingNotices = append(g.leavingNotices, leavingNotice{
		entry: digest.ServerLeaving{Server: s.ID, StartMillis: s.StartMillis},
		until: time.Now().Add(noticeLifetime),
	})
}

// Observe implements digestExtension.
func (g *residencyGossip) Observe(d digest.Digest) {
	for _, r := range d.Residencies {
		g.watcher.ResidencyChanged(r.Server, r.StartMillis, r.Ref, r.Present)
	}
	for _, l := range d.Leaving {
		g.watcher.Leaving(l.Server, l.StartMillis)
	}
	if d.Lease != nil {
		g.manager.HolderReported(lease.Record{
			Holder: d.Lease.Holder, Term: d.Lease.Term, WriteID: d.Lease.WriteID, Released: d.Lease.Released,
		}, store.Revision(d.Lease.Revision))
	}
	// A peer without requests sends no counts; its last ones expire after peerCountsLifetime.
	if len(d.RefLoads) == 0 {
		return
	}
	if g.recordCounts(d) {
		g.manager.Wake()
	}
}

// recordCounts records a peer's request counts and reports whether requests wait there. The
// datagrams of one digest have the same sequence number, and their counts are kept together. A
// lower number belongs to a digest that arrived late and is ignored, unless the last counts
// have expired: the peer may then have restarted and begun its sequence again.
func (g *residencyGossip) recordCounts(d digest.Digest) (waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.counts[d.Instance]
	if d.Sequence < last.sequence && time.Since(last.receivedAt) < peerCountsLifetime {
		return false
	}
	if d.Sequence > last.sequence {
		last.counts = nil
	}
	last.counts = append(last.counts, d.RefLoads...)
	last.sequence, last.receivedAt = d.Sequence, time.Now()
	g.counts[d.Instance] = last
	for _, load := range d.RefLoads {
		waiting = waiting || load.Waiting > 0
	}
	return waiting
}

// Forget implements digestExtension.
func (g *residencyGossip) Forget(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.counts, instance)
}

// RequestCounts returns the request counts of all instances by version.
func (g *residencyGossip) RequestCounts(now time.Time) map[modelref.Ref]residency.RequestCounts {
	out := map[modelref.Ref]residency.RequestCounts{}
	add := func(ref modelref.Ref, more residency.RequestCounts) {
		counts := out[ref]
		counts.Running += more.Running
		counts.Unstarted += more.Unstarted
		counts.Waiting += more.Waiting
		out[ref] = counts
	}
	for ref, load := range g.refLoads() {
		add(ref, residency.RequestCounts(load))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range g.counts {
		if now.Sub(peer.receivedAt) > peerCountsLifetime {
			continue
		}
		for _, load := range peer.counts {
			add(load.Ref, residency.RequestCounts{Running: load.Running, Unstarted: load.Unstarted, Waiting: load.Waiting})
		}
	}
	return out
}
