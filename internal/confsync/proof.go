package confsync

import (
	"math/rand/v2"
	"time"

	"limpethub/internal/site"
)

const (
	// watcherReadsPerBound is how many times in the bound of a revocation each instance that is chosen to watch the
	// store reads it. A read proves more than an answer to a watch of the same time, whose proof is as old as the
	// watch was long. One read a second by a few instances keeps the proofs of all well below half of 5 s.
	watcherReadsPerBound = 5
	// oldProofDivisor gives the age from which an instance reads the store itself, as a part of the bound.
	oldProofDivisor = 3
	// proofReadSpread spreads the reads of the instances whose proofs are old: together they begin at most one per
	// proofReadSpread, so that most hear of the first ones that succeed.
	proofReadSpread = 10 * time.Millisecond
)

// proofLog knows, for the latest two revisions held, at which time no newer one is proven to have existed. It has two,
// since requests are authorized with the former one until the new one is in force in all parts.
type proofLog struct{ latest, former proven }

type proven struct {
	revision uint64
	at       time.Time
}

// hold begins a new revision. A proof of an older one holds for it too: what was the newest then is older than it.
func (l *proofLog) hold(revision uint64) {
	l.former = l.latest
	l.latest.revision = revision
}

// observe takes a proof that the revision was the newest one at a time. It reports whether it is the latest proof of the
// revision held. One of a newer revision than that proves the opposite and doesn't count.
func (l *proofLog) observe(revision uint64, at time.Time) bool {
	if l.former.revision >= revision {
		l.former.at = latest(l.former.at, at)
	}
	if l.latest.revision < revision || !at.After(l.latest.at) {
		return false
	}
	l.latest.at = at
	return true
}

// provenAt returns the time of the latest proof that holds for a revision; zero if there is none.
func (l *proofLog) provenAt(revision uint64) time.Time {
	switch {
	case l.latest.revision == 0:
		return time.Time{}
	case revision >= l.latest.revision:
		return l.latest.at
	case revision >= l.former.revision && l.former.revision > 0:
		return l.former.at
	}
	return time.Time{}
}

// proofReads decides when an instance reads the store for a proof. Its times are those of the boot clock. It is a state
// machine without goroutine, socket or clock.
type proofReads struct {
	rand *rand.Rand
	// bound is the bound of a revocation; 0 means that no proofs are needed.
	bound time.Duration
	// reading is true while a read is in progress, and failed if the last one failed.
	reading, failed bool
	beganAt         time.Time
	// nextAt is when to read next for want of a proof by others; zero while the proof isn't old.
	nextAt time.Time
}

// due reports whether to read now, and takes the read for begun. chosen tells that the instance is chosen to watch the
// store, and provenAt is the time of the latest proof.
func (r *proofReads) due(now time.Time, chosen bool, provenAt time.Time, instances int) bool {
	if r.bound == 0 || r.reading || !(r.periodicDue(now, chosen) || r.oldDue(now, provenAt, instances)) {
		return false
	}
	r.reading, r.beganAt, r.nextAt = true, now, time.Time{}
	return true
}

func (r *proofReads) periodicDue(now time.Time, chosen bool) bool {
	return chosen && !r.failed && now.Sub(r.beganAt) >= r.bound/watcherReadsPerBound
}

func (r *proofReads) oldDue(now, provenAt time.Time, instances int) bool {
	old := r.bound / oldProofDivisor
	if now.Sub(provenAt) < old {
		r.nextAt = time.Time{}
		return false
	}
	if r.nextAt.IsZero() {
		spread := max(old, time.Duration(instances)*proofReadSpread)
		r.nextAt = now.Add(time.Duration(r.rand.Int64N(int64(spread))))
	}
	return !now.Before(r.nextAt)
}

// ended takes the result of a read.
func (r *proofReads) ended(err error) { r.reading, r.failed = false, err != nil }

// prove takes a proof that the revision was the newest one at a time; a zero time is none. s.mu must be held.
func (s *Sync) prove(revision uint64, at time.Time) {
	if s.options.Revocation == 0 || at.IsZero() || !s.proofs.observe(revision, at) {
		return
	}
	s.options.Members.SetProof(at)
}

// holdProofs begins the proofs of a revision that comes into force. s.mu must be held.
func (s *Sync) holdProofs(accepted *site.Accepted) {
	s.proofs.hold(accepted.Revision)
	s.proofReads.bound = 0
	if accepted.Document.RequireKeys {
		s.proofReads.bound = s.options.Revocation
	}
}

// proofReadDue reports whether to read the store for a proof now. s.mu must be held.
func (s *Sync) proofReadDue() bool {
	return s.proofReads.due(s.options.BootNow(), s.planner.role.chosen, s.proofs.latest.at, len(s.planner.reachableMembers))
}

// ProvenAt returns the latest time at which no newer configuration than the one with the given revision is proven to
// have existed, by the boot clock; zero if there is none. It knows the latest two revisions that this instance has held.
func (s *Sync) ProvenAt(revision uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofs.provenAt(revision)
}
