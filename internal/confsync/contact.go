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
	sentAt time.Time
}

func (s *Sync) newWatchProgress() *watchProgress {
	return &watchProgress{sync: s, held: s.heldRevision(), sentAt: s.options.BootNow()}
}

// unchanged records an answer that the revision in the store is still the one that the watch began with, so that no newer
// configuration than the one held exists. The store sends the call of the next answer only after that.
func (p *watchProgress) unchanged() {
	s := p.sync
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer()
	s.confirm(s.planner.Held())
	if s.watchProves {
		s.prove(p.held, p.sentAt)
	}
	p.sentAt = s.options.BootNow()
}

// confirm records that the store answered with a revision of the configuration. An older one than
// that held confirms nothing. s.mu must be held.
func (s *Sync) confirm(revision uint64) {
	if revision < s.planner.Held() {
		return
	}
	s.planner.Confirmed(s.options.Now())
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

// recordResult records the result of a read or watch of the configuration key. The first of
// several failures is logged.
func (s *Sync) recordResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrNotFound) {
		s.recordAnswer()
		if err != nil {
			s.confirm(0) // There is no configuration yet.
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
		ProvenAt: s.proofs.ProvenAt(s.planner.Held()),
	}
}
