package confsync

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/pause"
	"limpethub/internal/site"
)

// Apply writes a change that is based on revision base to the store. It returns the accepted
// configuration, which is then in force on this instance. Errors are *ConflictError or
// *UnclearError, or wrap ErrNotAccepted; only an accepted value that can't be encoded gives
// another error. Applying a change again with the same change id is safe. It returns the
// outcome of the first time as long as the change is among the latest maxRecentChanges, and a
// *ConflictError after that.
func (s *Sync) Apply(ctx context.Context, base uint64, changeID string, document site.Document) (site.Accepted, error) {
	applier, err := NewApplier(base, changeID, document)
	if err != nil {
		return site.Accepted{}, err
	}
	s.mu.Lock()
	applier.UseHeld(s.held)
	s.mu.Unlock()
	wait := time.Duration(0)
	for applier.Step() != StepDone {
		previousStep := applier.Step()
		s.applyStep(ctx, applier)
		// A step that leads to the end or from a read to a write made progress and needs no wait.
		if applier.Step() == StepDone || previousStep == StepRead && applier.Step() == StepWrite {
			continue
		}
		wait = min(max(2*wait, minApplyWait), maxApplyWait)
		if !pause.For(ctx, wait) {
			return site.Accepted{}, applier.GiveUp(ctx.Err())
		}
	}
	return s.finishApply(applier, base, changeID)
}

func (s *Sync) applyStep(ctx context.Context, applier *Applier) {
	switch applier.Step() {
	case StepRead:
		entry, err := s.options.Store.Get(ctx, s.key)
		applier.Read(entry, err)
	case StepWrite:
		value, expected := applier.Write()
		_, err := s.options.Store.CompareAndSwap(ctx, s.key, value, expected, 0)
		applier.Written(err)
	}
}

func (s *Sync) finishApply(applier *Applier, base uint64, changeID string) (site.Accepted, error) {
	log := s.options.Logger.WithFields(logrus.Fields{"base": base, "change": changeID})
	stored, err := applier.Result()
	if err != nil {
		log.WithError(err).Warn("Change not accepted or its outcome unclear")
		return site.Accepted{}, err
	}
	value, err := stored.Encode()
	if err != nil {
		return site.Accepted{}, err
	}
	s.offer("an operator", stored, value)
	log.WithField("revision", applier.ownChange().Revision).Info("Change accepted")
	return applier.ownChange(), nil
}
