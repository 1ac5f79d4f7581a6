package daemon

import (
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/notices"
	"limpethub/internal/peers/digest"
	"limpethub/internal/residency"
	"limpethub/internal/store"
)

// peerCountsLifetime is how long a peer's request counts are used after they arrived.
const peerCountsLifetime = 1500 * time.Millisecond

// peerCounts holds the request counts of a peer's newest digest.
type peerCounts struct {
	counts     []digest.RefLoad
	sequence   uint64
	receivedAt time.Time
}

var _ digestExtension = (*residencyExtension)(nil)

func newResidencyExtension() *residencyExtension {
	return &residencyExtension{counts: map[string]peerCounts{}, versions: notices.NewVersions(), departures: notices.NewDepartures(), waits: notices.NewWaits()}
}

// ForHolder implements digestExtension. It always returns all counts.
func (x *residencyExtension) ForHolder(bool) digest.Digest {
	var d digest.Digest
	for ref, load := range x.refLoads() {
		d.RefLoads = append(d.RefLoads, digest.RefLoad{
			Ref: ref, Running: load.Running, Unstarted: load.Unstarted, Waiting: load.Waiting,
			PrefillMillis: load.PrefillTime.Milliseconds(),
		})
	}
	return d
}

func (x *residencyExtension) AddForAll(d *digest.Digest, round noticeRound) {
	if record, revision, ok := x.manager.Lease(); ok && (round.repeat || revision != x.leaseTold) {
		x.leaseTold = revision
		d.Lease = &digest.Lease{
			Holder: record.Holder, Term: record.Term, WriteID: record.WriteID,
			Revision: int64(revision), Released: record.Released, RecentLoads: x.manager.RecentLoads(),
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	d.Residencies = append(d.Residencies, x.versions.Take(now, round.maxVersions, round.repeat)...)
	for _, departure := range x.departures.Take(now, round.maxDepartures, round.repeat) {
		addDeparture(d, departure)
	}
}

func addDeparture(d *digest.Digest, departure notices.SentDeparture) {
	if departure.Revision != 0 {
		d.Removed = append(d.Removed, digest.ServerRemoved{Server: departure.Server, Revision: departure.Revision, FirstHand: departure.FirstHand})
		return
	}
	d.Leaving = append(d.Leaving, digest.ServerLeaving{Server: departure.Server, StartMillis: departure.StartMillis, FirstHand: departure.FirstHand})
}

// PublishChanges publishes changes that this instance observed as the placement holder: it
// applies them to its own watcher, and adds notices of them for the peers.
func (x *residencyExtension) PublishChanges(changes []residency.ResidencyChange) {
	now := time.Now()
	told := make([]discovery.ResidencyChange, 0, len(changes))
	x.mu.Lock()
	for _, c := range changes {
		notice := digest.Residency{Server: c.Server, StartMillis: c.StartMillis, Ref: c.Ref, Present: c.Present}
		x.versions.Publish(now, c.Term, notice)
		told = append(told, changeOf(notice))
	}
	x.mu.Unlock()
	x.watcher.ResidencyChanged(told)
}

func changeOf(notice digest.Residency) discovery.ResidencyChange {
	return discovery.ResidencyChange{Server: notice.Server, StartMillis: notice.StartMillis, Ref: notice.Ref, Present: notice.Present}
}

// AddDepartureNotice adds a notice of a server that this instance found to be leaving or gone.
func (x *residencyExtension) AddDepartureNotice(departure discovery.Departure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.departures.Publish(time.Now(), noticeOf(departure))
}

func noticeOf(departure discovery.Departure) notices.Departure {
	return notices.Departure{Server: departure.Server, StartMillis: departure.StartMillis, Revision: int64(departure.RemovedAt)}
}

// receiveVersions applies a peer's notices of versions as far as they are new, and reports whether any is to be passed on.
func (x *residencyExtension) receiveVersions(received []digest.Residency) (passOnAny bool) {
	now := time.Now()
	told := make([]discovery.ResidencyChange, 0, len(received))
	x.mu.Lock()
	for _, notice := range received {
		isNew, passOn := x.versions.Receive(now, notice)
		passOnAny = passOnAny || passOn
		if isNew {
			told = append(told, changeOf(notice))
		}
	}
	x.mu.Unlock()
	x.watcher.ResidencyChanged(told)
	return passOnAny
}

// receiveDepartures applies a peer's notices of servers that leave, and reports whether any is to be passed on.
func (x *residencyExtension) receiveDepartures(d digest.Digest) (passOnAny bool) {
	var received []discovery.Departure
	for _, l := range d.Leaving {
		received = append(received, discovery.Departure{Server: l.Server, StartMillis: l.StartMillis})
	}
	for _, r := range d.Removed {
		received = append(received, discovery.Departure{Server: r.Server, RemovedAt: store.Revision(r.Revision)})
	}
	now := time.Now()
	for _, departure := range received {
		x.watcher.Departed(departure)
		x.mu.Lock()
		passOn := x.departures.Receive(now, noticeOf(departure))
		x.mu.Unlock()
		passOnAny = passOnAny || passOn
	}
	return passOnAny
}

func (x *residencyExtension) Observe(d digest.Digest) {
	passOnDepartures := x.receiveDepartures(d)
	passOnVersions := x.receiveVersions(d.Residencies)
	if (passOnDepartures || passOnVersions) && x.onNotices != nil {
		x.onNotices()
	}
	if d.Lease != nil {
		x.manager.HolderReported(lease.Record{
			Holder: d.Lease.Holder, Term: d.Lease.Term, WriteID: d.Lease.WriteID, Released: d.Lease.Released,
		}, store.Revision(d.Lease.Revision), d.Lease.RecentLoads)
	}
	// A peer without requests sends no counts; its last ones expire after peerCountsLifetime.
	if len(d.RefLoads) == 0 {
		return
	}
	if x.recordCounts(d) {
		x.manager.Wake()
		x.answerWaiting(d)
	}
}

// copyFinder is the part of residency.Manager that answers need.
type copyFinder interface {
	Holding() bool
	UsableCopies(ref modelref.Ref, most int) []residency.ResidencyChange
}

var _ copyFinder = (*residency.Manager)(nil)

// copiesPerAnswer is how many copies of a version a peer that waits for it is told of.
const copiesPerAnswer = 2

// answerWaiting tells a peer where the versions are usable that it has waited for, if this instance holds the placement lease. See
// docs/design/notices-to-waiting.md.
func (x *residencyExtension) answerWaiting(d digest.Digest) {
	if x.answer == nil || !x.copies.Holding() {
		return
	}
	now := time.Now()
	var told []digest.Residency
	var refs []modelref.Ref
	for _, ref := range x.dueAnswers(now, d) {
		count := x.beginAnswer()
		copies := x.copies.UsableCopies(ref, copiesPerAnswer)
		for _, c := range copies {
			told = append(told, x.noticeFor(c, count))
		}
		if len(copies) > 0 {
			refs = append(refs, ref)
		}
	}
	if len(told) > 0 && x.answer(d.Instance, told) {
		x.recordAnswers(now, d.Instance, refs)
	}
}

// dueAnswers returns the versions that a peer waits for and should be told of.
func (x *residencyExtension) dueAnswers(now time.Time, d digest.Digest) []modelref.Ref {
	var waiting []modelref.Ref
	for _, load := range d.RefLoads {
		if load.Waiting > 0 {
			waiting = append(waiting, load.Ref)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.waits.Observe(now, d.Instance, waiting)
}

func (x *residencyExtension) beginAnswer() (count uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.versions.BeginAnswer()
}

func (x *residencyExtension) noticeFor(c residency.ResidencyChange, count uint64) digest.Residency {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.versions.Answer(c.Term, count, digest.Residency{Server: c.Server, StartMillis: c.StartMillis, Ref: c.Ref, Present: c.Present})
}

func (x *residencyExtension) recordAnswers(now time.Time, peer string, refs []modelref.Ref) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, ref := range refs {
		x.waits.Answered(now, peer, ref)
	}
}

// recordCounts records a peer's request counts and reports whether requests wait there. The
// datagrams of one digest have the same sequence number, and their counts are kept together. A
// lower number belongs to a digest that arrived late and is ignored, unless the last counts
// have expired: the peer may then have restarted and begun its sequence again.
func (x *residencyExtension) recordCounts(d digest.Digest) (waiting bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.counts[d.Instance]
	if d.Sequence < last.sequence && time.Since(last.receivedAt) < peerCountsLifetime {
		return false
	}
	if d.Sequence > last.sequence {
		last.counts = nil
	}
	last.counts = append(last.counts, d.RefLoads...)
	last.sequence, last.receivedAt = d.Sequence, time.Now()
	x.counts[d.Instance] = last
	for _, load := range d.RefLoads {
		waiting = waiting || load.Waiting > 0
	}
	return waiting
}

func (x *residencyExtension) Forget(instance string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.counts, instance)
	x.waits.Forget(instance)
}

// RequestCounts returns the request counts of all instances by version.
func (x *residencyExtension) RequestCounts(now time.Time) map[modelref.Ref]residency.RequestCounts {
	out := map[modelref.Ref]residency.RequestCounts{}
	add := func(ref modelref.Ref, more residency.RequestCounts) {
		counts := out[ref]
		counts.Running += more.Running
		counts.Unstarted += more.Unstarted
		counts.Waiting += more.Waiting
		counts.PrefillTime += more.PrefillTime
		out[ref] = counts
	}
	for ref, load := range x.refLoads() {
		add(ref, residency.RequestCounts(load))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, peer := range x.counts {
		if now.Sub(peer.receivedAt) > peerCountsLifetime {
			continue
		}
		for _, load := range peer.counts {
			add(load.Ref, residency.RequestCounts{
				Running: load.Running, Unstarted: load.Unstarted, Waiting: load.Waiting,
				PrefillTime: time.Duration(load.PrefillMillis) * time.Millisecond,
			})
		}
	}
	return out
}
