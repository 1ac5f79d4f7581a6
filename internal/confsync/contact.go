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
	// confirmedAt is when the store last said what the newest revision is; zero means never.
	confirmedAt time.Time
	// failing is true from a failed read or watch until the next answer, failingSince the time
	// of that failure.
	failing      bool
	failingSince time.Time
}

// confirmed records that the store has answered what the newest revision is.
func (s *Sync) confirmed() {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.confirmedAt = now
	if !s.contact.failing {
		return
	}
	s.contact.failing = false
	s.options.Logger.WithField("away_ms", now.Sub(s.contact.failingSince).Milliseconds()).
		Info("The store confirms the configuration again")
}

// recordResult records the result of a read or watch of the configuration key. The first of
// several failures is logged.
func (s *Sync) recordResult(err error) {
	if err == nil || errors.Is(err, store.ErrNotFound) {
		s.confirmed()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
	// ConfirmedAt is when the store last said what the newest revision is; zero means never.
	ConfirmedAt time.Time
	// Watching is whether this instance watches the store for newer revisions.
	Watching bool
}

// Freshness returns how well this instance knows whether its configuration is the newest.
func (s *Sync) Freshness() Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Freshness{ConfirmedAt: s.contact.confirmedAt, Watching: s.planner.Watching()}
}
