package confsync

import (
	"context"
	"errors"
	"time"

	"limpethub/internal/pause"
	"limpethub/internal/store"
)

// watchLoop watches the store while this instance is one of the chosen watchers.
func (s *Sync) watchLoop(ctx context.Context) {
	wait := time.Duration(0)
	for pause.For(ctx, max(wait, syncTickPeriod)) {
		if !s.watching() {
			wait = 0
			continue
		}
		wait = s.watchOnce(ctx, wait)
	}
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
	entry, err := s.options.Store.Watch(watchCtx, s.key, after)
	switch {
	case err == nil:
		err = s.offerEntry(entry)
	case errors.Is(watchCtx.Err(), context.DeadlineExceeded):
		return 0 // Nothing changed within watchTimeout.
	}
	if err == nil {
		return 0
	}
	// ErrNotFound means that the key was deleted, which isn't logged as a failure of the watch.
	// The next watch waits as after a failure.
	if !errors.Is(err, store.ErrNotFound) && ctx.Err() == nil {
		s.options.Logger.WithError(err).Debug("Watching the store failed or returned an invalid value")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.nextRetryWait(previousWait)
}
