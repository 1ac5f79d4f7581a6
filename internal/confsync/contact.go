package confsync

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/store"
)

// storeContact is what this instance's own reads and watches of the configuration have shown of
// the store. Sync.mu guards it.
type storeContact struct {
	// failing is true from a failed read or watch until the next answer, failingSince the time
	// of that failure.
	failing      bool
	failingSince time.Time
}

// watchProgress takes the answers of the store to one watch.
type watchProgress struct {
	sync *Sync
	// held is the revision held when the watch began, or a newer one. sentAt is a time before the next answer's call
	// was sent.
	held   uint64
	sentAt callTime
}

// callTime is the time of a call of the store by the clocks of confirmations and of proofs.
type callTime struct{ usual, boot time.Time }

func (s *Sync) callTime() callTime {
	return callTime{usual: s.options.Now(), boot: s.options.BootNow()}
}

func (s *Sync) newWatchProgress() *watchProgress {
	return &watchProgress{sync: s, held: s.heldRevision(), sentAt: s.callTime()}
}

// answeredAt returns the time of the answer to the watch's last call, at the latest: now, but no later than the store waits
// with it.
func (p *watchProgress) answeredAt() time.Time {
	now, latest := p.sync.options.Now(), p.sentAt.usual.Add(p.sync.planner.role.progressInterval)
	if now.After(latest) {
		return latest
	}
	return now
}

// unchanged records an answer that the revision in the store is still the one that the watch began with, so that no newer
// configuration than the one held exists. The store sends the call of the next answer only after that.
func (p *watchProgress) unchanged() {
	s := p.sync
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer()
	s.confirm(s.planner.Held(), p.answeredAt())
	if s.watchProves {
		s.prove(p.held, p.sentAt.boot)
	}
	p.sentAt = s.callTime()
}

// confirm records that the store had a revision of the configuration at a time. An older one than
// that held confirms nothing. s.mu must be held.
func (s *Sync) confirm(revision uint64, at time.Time) {
	if revision < s.planner.Held() {
		return
	}
	s.planner.Confirmed(at)
	s.options.Members.SetConfirmation(s.planner.Confirmation())
}

// recordAnswer records that a read or watch was answered, and logs the end of a failure. s.mu must
// be held.
func (s *Sync) recordAnswer() {
	if !s.contact.failing {
		return
	}
	s.contact.failing = false
	s.options.Logger.WithField("away_ms", s.options.Now().Sub(s.contact.failingSince).Milliseconds()).
		Info("The store confirms the configuration again")
}

// recordResult records the result of a read or watch of the configuration key, and the time for which an answer holds. The
// first of several failures is logged.
func (s *Sync) recordResult(err error, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrNotFound) {
		s.recordAnswer()
		if err != nil {
			s.confirm(0, at) // There is no configuration yet.
		}
		return
	}
	if s.contact.failing {
		return
	}
	s.contact.failing, s.contact.failingSince = true, s.options.Now()
	s.options.Logger.WithError(err).WithFields(logrus.Fields{
		"revision": s.planner.Held(), "watching": s.planner.Watching(),
	}).Warn("The store doesn't confirm the configuration; the one in force stays")
}

// Freshness says how well an instance knows whether its configuration is the newest.
type Freshness struct {
	// ConfirmedAt is when the store last said, to this instance or to a peer that told it, that
	// there is no newer one; zero means never.
	ConfirmedAt time.Time
	// Watching is whether this instance watches the store for newer revisions.
	Watching bool
	// Heard is the highest revision that this instance has heard of.
	Heard uint64
	// ProvenAt is the latest time at which no newer configuration than the one held is proven to have existed, by the
	// boot clock; zero means that none is known.
	ProvenAt time.Time
}

// Freshness returns how well this instance knows whether its configuration is the newest.
func (s *Sync) Freshness() Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Freshness{
		ConfirmedAt: s.planner.Confirmation().At, Watching: s.planner.Watching(),
		Heard: s.planner.Highest(), ProvenAt: s.proofs.ProvenAt(s.planner.Held()),
	}
}
