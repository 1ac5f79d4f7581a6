package confsync

import (
	"context"
	"time"

	"limpethub/internal/pause"
)

// watchLoop watches the store while the planner says so.
func (s *Sync) watchLoop(ctx context.Context) {
	wait := time.Duration(0)
	watched := false
	for pause.For(ctx, max(wait, syncTickPeriod)) {
		if watching := s.watching(); watching != watched {
			watched = watching
			s.logRole(watching)
		}
		if !watched {
			wait = 0
			continue
		}
		wait = s.watchOnce(ctx, wait)
	}
}

func (s *Sync) logRole(watching bool) {
	if watching {
		s.mu.Lock()
		backup := s.planner.Backup()
		s.mu.Unlock()
		s.options.Logger.WithField("backup", backup).Info("Watching the store for a newer configuration")
		return
	}
	s.options.Logger.Info("No longer watching the store for a newer configuration")
}

func (s *Sync) watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Watching()
}

// watchOnce waits for one change. It takes the wait before this watch and returns the wait
// before the next one, which is longer after each failure.
func (s *Sync) watchOnce(ctx context.Context, previousWait time.Duration) time.Duration {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	s.mu.Lock()
	after := s.storeRevision
	s.mu.Unlock()
	progress := s.newWatchProgress()
	entry, err := s.options.Store.Watch(watchCtx, s.key, after, progress.unchanged)
	answeredAt := progress.answeredAt()
	switch {
	case err == nil:
		// The answer may hold further changes of the key, so it proves nothing.
		err = s.offerEntry(entry, callTime{usual: answeredAt})
	case watchCtx.Err() != nil:
		return 0 // Nothing changed within watchTimeout, or the instance stops.
	}
	s.recordResult(err, answeredAt)
	if err == nil {
		return 0
	}
	// ErrNotFound means that the key was deleted. The next watch waits as after a failure.
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.WatchRetryWait(previousWait)
}
