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

// Proofs knows at which time no newer configuration than the ones held is proven to have existed, and decides when the
// instance reads the store for such a proof. Its times are those of the boot clock. It is a state machine without
// goroutine, socket or clock, and isn't safe for concurrent use.
type Proofs struct {
	rand *rand.Rand
	// revocation is the bound of a revocation, and needed is true if the configuration held requires keys.
	revocation time.Duration
	needed     bool
	// latest belongs to the revision held, and former to the one before: requests are authorized with that until the
	// new one is in force in all parts.
	latest, former proven

	// reading is true while a read is in progress that may still give a recent proof, and failed if the last one failed.
	// readID is the number of the latest read, and readAt when it began.
	reading, failed bool
	readID          uint64
	readAt          time.Time
	// nextReadAt is when to read for want of proofs by others; zero while the proof isn't old.
	nextReadAt time.Time
}

type proven struct {
	revision uint64
	at       time.Time
}

// NewProofs returns the state of a new instance. With a revocation of 0, it needs no proofs.
func NewProofs(revocation time.Duration, seed uint64) *Proofs {
	// 4 selects another random stream than those of FetchPlanner and of package cluster.
	return &Proofs{revocation: revocation, rand: rand.New(rand.NewPCG(seed, 4))}
}

// Hold begins a new revision. A proof of an older one holds for it too: what was the newest one then isn't newer.
func (p *Proofs) Hold(accepted *site.Accepted) {
	p.former = p.latest
	p.latest.revision = accepted.Revision
	p.needed = accepted.Document.RequireKeys && p.revocation > 0
}

// Observe takes a proof that the revision was the newest one at a time. It reports whether it is the latest proof of the
// revision held. A proof of a newer revision doesn't count.
func (p *Proofs) Observe(revision uint64, at time.Time) bool {
	if p.revocation == 0 {
		return false
	}
	if p.former.revision >= revision {
		p.former.at = latest(p.former.at, at)
	}
	if p.latest.revision < revision || !at.After(p.latest.at) {
		return false
	}
	p.latest.at = at
	return true
}

// ProvenAt returns the time of the latest proof that holds for a revision; zero if there is none.
func (p *Proofs) ProvenAt(revision uint64) time.Time {
	switch {
	case revision == 0:
		return time.Time{}
	case revision >= p.latest.revision:
		return p.latest.at
	case revision >= p.former.revision:
		return p.former.at
	}
	return time.Time{}
}

// ReadDue reports whether to read the store now, and takes the read for begun; its result is passed to ReadEnded under the
// id returned. chosen tells that the instance is chosen to watch the store.
func (p *Proofs) ReadDue(now time.Time, chosen bool, instances int) (id uint64, due bool) {
	if !p.needed {
		return 0, false
	}
	p.tickRead(now)
	if p.reading || !(p.periodicReadDue(now, chosen) || p.oldProofReadDue(now, instances)) {
		return 0, false
	}
	p.readID++
	p.reading, p.readAt, p.nextReadAt = true, now, time.Time{}
	return p.readID, true
}

// tickRead takes a read for failed whose answer would be an old proof by now. The next one doesn't wait for its end.
func (p *Proofs) tickRead(now time.Time) {
	if p.reading && now.Sub(p.readAt) >= p.revocation/oldProofDivisor {
		p.reading, p.failed = false, true
	}
}

func (p *Proofs) periodicReadDue(now time.Time, chosen bool) bool {
	return chosen && !p.failed && now.Sub(p.readAt) >= p.revocation/watcherReadsPerBound
}

func (p *Proofs) oldProofReadDue(now time.Time, instances int) bool {
	old := p.revocation / oldProofDivisor
	if now.Sub(p.latest.at) < old {
		p.nextReadAt = time.Time{}
		return false
	}
	if p.nextReadAt.IsZero() {
		spread := max(old, time.Duration(instances)*proofReadSpread)
		wait := time.Duration(p.rand.Int64N(int64(spread)))
		if p.failed {
			wait += spread / 2
		}
		p.nextReadAt = now.Add(wait)
	}
	return !now.Before(p.nextReadAt)
}

// ReadEnded takes the result of a read. That of an earlier one than the latest only tells that the store answers.
func (p *Proofs) ReadEnded(id uint64, err error) {
	switch {
	case id == p.readID:
		p.reading, p.failed = false, err != nil
	case err == nil:
		p.failed = false
	}
}

// prove takes a proof that the revision was the newest one at a time; a zero time is none. s.mu must be held.
func (s *Sync) prove(revision uint64, at time.Time) {
	if !at.IsZero() && s.proofs.Observe(revision, at) {
		s.options.Members.SetProof(at)
	}
}

// ProvenAt returns the latest time at which no newer configuration than the one with the given revision is proven to
// have existed, by the boot clock; zero if there is none. It knows the latest two revisions that this instance has held.
func (s *Sync) ProvenAt(revision uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofs.ProvenAt(revision)
}
