package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/pause"
	"limpethub/internal/store"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a retry after a failure. After a call without an
	// answer it counts from the call's beginning.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minOutage is how long calls of the store must have failed, counted from the last success,
	// for servers that are missing afterwards to get a grace period.
	minOutage = 1500 * time.Millisecond
	// returnTime is what the first call after an absence may take.
	returnTime = 250 * time.Millisecond
	// lastLook is how long before missing servers are given up the announcements are read once more.
	lastLook = 200 * time.Millisecond
	// tickPeriod is how often the registry removes what has expired.
	tickPeriod = 100 * time.Millisecond
	// batchPause is how long changes are collected before the next watch. Each watch that
	// ends costs a call of the store, and most changes are irrelevant here. Instances also tell each
	// other of servers that leave, so most learn of them earlier.
	batchPause = time.Second
	// batchPausePerInstance keeps the watches of all instances together below about 25 per
	// second, for up to 75 instances. With more instances, the pause stays at maxBatchPause,
	// which limits how much later an instance learns of a new server, or at what
	// Options.LeavingBound leaves for it.
	batchPausePerInstance = 40 * time.Millisecond
	maxBatchPause         = 3 * time.Second
	// readTime is what a read may take, from the end of the pause until its servers count: the store's answer, an
	// attempt that the store cuts and its repetition, and waits for the processor.
	readTime = time.Second
	// minBatchPause is the shortest pause, also if Options.LeavingBound is too short for it.
	minBatchPause = 250 * time.Millisecond
)

// MinLeavingBound is the shortest Options.LeavingBound that an instance can keep.
const MinLeavingBound = minBatchPause + readTime

// MinInTouchDelay is the shortest time after the end of a cut from the store by which an instance has given up the servers that left
// meanwhile, also if no other instance can tell what happened.
const MinInTouchDelay = maxRetryDelay + returnTime + outageGracePeriod + tickPeriod

// Run reads announcements until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.tickLoop(ctx) })
	loops.Go(func() { w.absenceLoop(ctx) })
	defer loops.Wait()
	retryDelay := minRetryDelay
	var revision store.Revision
	listed := false
	for ctx.Err() == nil {
		began := time.Now()
		var err error
		if listed {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx)
		}
		switch {
		case err == nil && !listed:
			retryDelay, listed = minRetryDelay, true
			// Instances that start or recover together mustn't go on reading together: a change right after
			// their read would stay unknown to all of them.
			w.pauseBeforeRead(ctx, rand.N(w.batchPause()))
			continue
		case err == nil:
			retryDelay = minRetryDelay
			w.pauseBeforeRead(ctx, w.batchPause())
			continue
		case errors.Is(err, store.ErrCompacted):
			w.options.Logger.WithField("revision", revision).Info("History of announcements is gone, listing again")
			// The store is in service: earlier failures are no reason to wait before the listing.
			listed, retryDelay = false, minRetryDelay
			w.recordCompacted(time.Now(), errors.Is(err, store.ErrRestored))
		default:
			w.recordFailure(ctx, err)
		}
		wait := retryDelay
		if !errors.Is(err, store.ErrThrottled) {
			wait -= time.Since(began)
		}
		pause.For(ctx, wait)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// pauseBeforeRead waits before the next read, for a shorter time if servers are missing that would otherwise be given up before it.
func (w *Watcher) pauseBeforeRead(ctx context.Context, wait time.Duration) {
	w.mu.Lock()
	if giveUpAt, missing := w.registry.MissingUntil(); missing {
		if left := time.Until(giveUpAt) - lastLook; left > 0 {
			wait = min(wait, left)
		}
	}
	w.lastPause = wait
	w.mu.Unlock()
	pause.For(ctx, wait)
}

// recordCompacted records an answer of the store which says that the history is gone. restored says that the store came back
// from an older copy.
func (w *Watcher) recordCompacted(now time.Time, restored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restored = restored
	w.recordAnswer(now)
}

// batchPause returns the pause before the next watch.
func (w *Watcher) batchPause() time.Duration {
	longest := w.longestBatchPause()
	if w.options.Instances == nil || (w.options.DecidesPlacement != nil && w.options.DecidesPlacement()) {
		return min(batchPause, longest)
	}
	return min(pause.SharedInterval(batchPause, batchPausePerInstance, w.options.Instances(), maxBatchPause), longest)
}

// longestBatchPause returns the longest pause after which a read is still in time for LeavingBound.
func (w *Watcher) longestBatchPause() time.Duration {
	if w.options.LeavingBound == 0 {
		return maxBatchPause
	}
	return min(max(w.options.LeavingBound-readTime, minBatchPause), maxBatchPause)
}

func (w *Watcher) list(ctx context.Context) (store.Revision, error) {
	succeeded := w.options.OnRead()
	began := time.Now()
	update, err := w.options.Source.List(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	w.update(cause{origin: originList, revision: update.Revision}, func(r *Registry) {
		w.recordAnswer(now)
		ended, restored := w.ended, w.restored
		w.ended, w.restored = nil, false
		w.listed(r, now, update.Announced, ended, restored)
		w.markUnusable(now, update)
		r.Confirmed(now)
	})
	w.recordRead(began)
	succeeded()
	return update.Revision, nil
}

// listed applies a listing. ended is the absence that it ends, nil if there was none. The caller holds the lock.
func (w *Watcher) listed(r *Registry, now time.Time, announced []Server, ended *absence, restored bool) {
	switch {
	case restored:
		// In an older copy, servers that announced themselves lately are missing until they do
		// so again, as after an outage.
		r.Listed(now, announced, true)
	case ended != nil:
		r.Listed(ended.until, announced, true)
		w.noteAbsence(ended.since, ended.until)
	default:
		r.Listed(now, announced, false)
	}
}

func (w *Watcher) watch(ctx context.Context, after store.Revision) (store.Revision, error) {
	succeeded := w.options.OnRead()
	began := time.Now()
	update, err := w.options.Source.Watch(ctx, after)
	if err != nil {
		return after, err
	}
	now := time.Now()
	w.update(cause{origin: originWatch, revision: update.Revision}, func(r *Registry) {
		w.recordAnswer(now)
		if w.ended != nil {
			// The watch goes on from the revision before the absence, so that nothing is missing after it.
			w.noteAbsence(w.ended.since, w.ended.until)
			w.ended = nil
		}
		for _, removal := range update.Removed {
			known, _ := r.Server(removal.ID)
			if r.Removed(now, removal.ID, removal.Revision) {
				w.options.OnDeparture(Departure{Server: removal.ID, StartMillis: known.StartMillis, RemovedAt: removal.Revision})
			}
		}
		w.markUnusable(now, update)
		for _, s := range update.Announced {
			r.Announced(now, s)
		}
		r.Confirmed(now)
	})
	w.recordRead(began)
	if w.options.OnAnnounced != nil {
		w.options.OnAnnounced(slices.Concat(update.Announced, update.Withdrawn))
	}
	succeeded()
	return max(update.Revision, after), nil
}

// maxLoggedUnusable limits how many servers are remembered whose announcements can't be used.
const maxLoggedUnusable = 1000

// markUnusable removes the servers whose announcements can't be used, and logs each once until it announces
// itself properly or is removed. The caller holds the lock.
func (w *Watcher) markUnusable(now time.Time, update Update) {
	for _, s := range update.Announced {
		delete(w.unusable, s.ID)
	}
	for _, removal := range update.Removed {
		delete(w.unusable, removal.ID)
	}
	for _, entry := range update.Unusable {
		w.registry.Unusable(now, entry.ID)
		if w.unusable[entry.ID] || len(w.unusable) >= maxLoggedUnusable {
			continue
		}
		w.unusable[entry.ID] = true
		w.options.Logger.WithError(entry.Err).WithField("server", entry.ID).Warn("Ignored the announcement of a server: it can't be used")
	}
}

// recordAnswer records an answer of the store. If the store may have been away before it, that is an absence until the
// next listing: calls had been failing and none had been answered for longer than minOutage, or this instance had called it
// later than it wanted to, as a process that stood still. It logs the end of a failure, with the time since the last answer before
// it. The caller holds the lock.
func (w *Watcher) recordAnswer(now time.Time) {
	gap := now.Sub(w.lastAnswerAt)
	if w.failing && gap > minOutage || gap > w.lastPause+minOutage {
		w.contacts.add(Contact{Since: now, Until: now})
		w.noteReturn(now)
	} else {
		w.contacts.add(Contact{Since: w.lastAnswerAt, Until: now})
	}
	if w.failing {
		// away_ms is the time since the last successful call, last_failure_ms the time since the end of the last failed one.
		w.options.Logger.WithFields(logrus.Fields{
			"away_ms": gap.Milliseconds(), "failed": w.failed, "last_failure_ms": now.Sub(w.lastFailureAt).Milliseconds(),
		}).Info("Announcements can be read again")
	}
	w.lastAnswerAt, w.failing, w.failed = now, false, 0
}

// noteReturn notes the absence that an answer ends, together with an earlier one that no listing has followed.
func (w *Watcher) noteReturn(now time.Time) {
	since := w.lastAnswerAt
	if w.ended != nil {
		since = w.ended.since
	}
	w.ended = &absence{since: since, until: now}
}

func (w *Watcher) recordFailure(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	w.failed++
	w.lastFailureAt = time.Now()
	if w.failing {
		w.options.Logger.WithError(err).Debug("Announcements still can't be read")
		return
	}
	w.failing = true
	w.options.Logger.WithError(err).Warn("Announcements can't be read, the last ones stay")
}

func (w *Watcher) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.update(cause{origin: originExpiry}, func(r *Registry) { r.Tick(now) })
		}
	}
}
