package confsync

import (
	"time"

	"github.com/sirupsen/logrus"
)

// InForceStep is a step by which a configuration comes into force on an instance.
type InForceStep string

// The steps that package confsync takes.
const (
	// StepHeard is from the first word of a configuration newer than the one in force, by a peer or the store, until
	// that one or a newer one is in force.
	StepHeard InForceStep = "heard"
	// StepFetch is a call of a peer for its configuration, with or without success. StepStoreRead is a read of the store.
	StepFetch     InForceStep = "fetch"
	StepStoreRead InForceStep = "read"
)

// heardRevision is the first revision newer than the one in force that this instance has heard of; zero if there is none.
type heardRevision struct {
	revision uint64
	at       time.Time
}

// hear notes that a revision exists. s.mu must be held.
func (s *Sync) hear(source string, revision uint64) {
	if revision <= s.planner.Held() || s.heard.revision != 0 {
		return
	}
	s.heard = heardRevision{revision: revision, at: s.options.Now()}
	s.options.Logger.WithFields(logrus.Fields{"revision": revision, "source": source, "before": s.planner.Held()}).
		Info("Heard of a newer configuration")
}

// endHeard ends the step that hear began, and returns how long it took. s.mu must be held.
func (s *Sync) endHeard() time.Duration {
	if s.heard.revision == 0 {
		return 0
	}
	took := s.options.Now().Sub(s.heard.at)
	s.options.ObserveStep(StepHeard, took)
	s.heard = heardRevision{}
	return took
}

// reportUnobtained logs, once for each revision, that this instance has heard of one which it doesn't get. s.mu must be held.
func (s *Sync) reportUnobtained() {
	revision, unobtained := s.planner.Unobtained()
	if !unobtained || revision == s.reportedUnobtained {
		return
	}
	s.reportedUnobtained = revision
	s.options.Logger.WithFields(logrus.Fields{"revision": revision, "before": s.planner.Held()}).
		Warn("A newer configuration was heard of, but the store doesn't have it and no peer hands it over")
}
