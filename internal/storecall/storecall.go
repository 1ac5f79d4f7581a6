// Package storecall wraps the key-value store (package store) for one instance: it limits
// the call rate, backs off with jitter while the store is unreachable, bounds the duration
// of each call and counts calls by purpose.
package storecall

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"limpethub/internal/store"
)

// Purpose is what a call is for. It is the label purpose in the metrics.
type Purpose string

const (
	PurposeConfig Purpose = "config"
	PurposeLease  Purpose = "lease"
	PurposeLedger Purpose = "ledger"
	// PurposeStreams is for the software versions that began streams.
	PurposeStreams Purpose = "streams"
	PurposeOther   Purpose = "other"
)

// Options configures a Store.
type Options struct {
	// Store is the wrapped store.
	Store store.Store
	// CallsPerSecond is the instance's call budget, and Burst the number of calls that
	// it may make at once; 0 means the defaults.
	CallsPerSecond float64
	Burst          int
	// Timeout bounds a call, and WatchTimeout a watch; 0 means the defaults.
	Timeout, WatchTimeout time.Duration
	// MaxBackOff bounds the back-off after failures; 0 means the default.
	MaxBackOff time.Duration
	// Registerer registers the metrics; nil means that they are not exported.
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the jitter of the back-off.
	Seed uint64
}

// Defaults of the options.
const (
	DefaultCallsPerSecond = 20
	DefaultBurst          = 40
	// DefaultTimeout allows the store 5 s for an answer, with a margin of 1 s.
	DefaultTimeout      = 6 * time.Second
	DefaultWatchTimeout = 30 * time.Second
)

// Store is a store.Store with a call budget, back-off and metrics.
type Store struct {
	options Options
	limiter *rate.Limiter
	metrics *metrics
	purpose Purpose

	// shared is the mutable state that all views of one Store share, as they share limiter
	// and metrics; see For.
	shared *sharedState
}

// sharedState holds the back-off and health of the store, under one mutex.
type sharedState struct {
	mu      sync.Mutex
	backOff backOff
	rand    *rand.Rand
	health  Health
	closed  bool
	// backOffEnded is closed when an answer ends the back-off, and then replaced.
	backOffEnded chan struct{}
}

var (
	_ store.Store            = (*Store)(nil)
	_ store.PrefixReader     = (*Store)(nil)
	_ store.ProgressReporter = (*Store)(nil)
)

var errNoPrefixReader = errors.New("storecall: the store can't read or watch all keys below a prefix")

func New(options Options) *Store {
	if options.CallsPerSecond == 0 {
		options.CallsPerSecond = DefaultCallsPerSecond
	}
	if options.Burst == 0 {
		options.Burst = DefaultBurst
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.WatchTimeout == 0 {
		options.WatchTimeout = DefaultWatchTimeout
	}
	if options.MaxBackOff == 0 {
		options.MaxBackOff = maxBackOff
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	// Other parts of the instance use the same seed with other numbers than 3, so that
	// their random sequences differ from this one.
	return &Store{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
		metrics: newMetrics(options.Registerer),
		purpose: PurposeOther,
		shared: &sharedState{
			backOff: backOff{maxWait: options.MaxBackOff}, rand: rand.New(rand.NewPCG(options.Seed, 3)),
			backOffEnded: make(chan struct{}),
		},
	}
}

// For returns a view of the Store whose calls are counted under a purpose. All views
// share one budget, one back-off and one health.
func (s *Store) For(purpose Purpose) *Store {
	view := *s
	view.purpose = purpose
	return &view
}

// SetCallsPerSecond changes the budget that all views share.
func (s *Store) SetCallsPerSecond(callsPerSecond float64) {
	s.limiter.SetLimit(rate.Limit(callsPerSecond))
}

func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	return call(ctx, s, opGet, s.options.Timeout, func(ctx context.Context) (store.Entry, error) {
		return s.options.Store.Get(ctx, key)
	})
}

func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	return call(ctx, s, opSwap, s.options.Timeout, func(ctx context.Context) (store.Revision, error) {
		return s.options.Store.CompareAndSwap(ctx, key, value, expected, lease)
	})
}

func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	return callNoResult(ctx, s, opDelete, func(ctx context.Context) error {
		return s.options.Store.Delete(ctx, key, expected)
	})
}

// Watch implements store.Store. However long it waits, it counts as one call.
func (s *Store) Watch(ctx context.Context, key string, after store.Revision, progress func()) (store.Entry, error) {
	return call(ctx, s, opWatch, s.options.WatchTimeout, func(ctx context.Context) (store.Entry, error) {
		return s.options.Store.Watch(ctx, key, after, progress)
	})
}

// ProgressInterval implements store.ProgressReporter; 0 if the wrapped store doesn't.
func (s *Store) ProgressInterval() time.Duration {
	if reporter, ok := s.options.Store.(store.ProgressReporter); ok {
		return reporter.ProgressInterval()
	}
	return 0
}

func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return call(ctx, s, opGrant, s.options.Timeout, func(ctx context.Context) (store.LeaseID, error) {
		return s.options.Store.Grant(ctx, ttl)
	})
}

func (s *Store) Renew(ctx context.Context, lease store.LeaseID) error {
	return callNoResult(ctx, s, opRenew, func(ctx context.Context) error {
		return s.options.Store.Renew(ctx, lease)
	})
}

func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	return callNoResult(ctx, s, opRevoke, func(ctx context.Context) error {
		return s.options.Store.Revoke(ctx, lease)
	})
}

// List implements store.PrefixReader. It fails if the wrapped store doesn't implement it.
func (s *Store) List(ctx context.Context, prefix string, stale bool) (store.Listing, error) {
	reader, ok := s.options.Store.(store.PrefixReader)
	if !ok {
		return store.Listing{}, errNoPrefixReader
	}
	return call(ctx, s, opList, s.options.Timeout, func(ctx context.Context) (store.Listing, error) {
		return reader.List(ctx, prefix, stale)
	})
}

// WatchPrefix implements store.PrefixReader. It fails if the wrapped store doesn't
// implement it. However long it waits, it counts as one call.
func (s *Store) WatchPrefix(ctx context.Context, prefix string, after store.Revision) (store.Changes, error) {
	reader, ok := s.options.Store.(store.PrefixReader)
	if !ok {
		return store.Changes{}, errNoPrefixReader
	}
	return call(ctx, s, opWatch, s.options.WatchTimeout, func(ctx context.Context) (store.Changes, error) {
		return reader.WatchPrefix(ctx, prefix, after)
	})
}

// callNoResult is call for operations that return only an error.
func callNoResult(ctx context.Context, s *Store, op operation, do func(context.Context) error) error {
	_, err := call(ctx, s, op, s.options.Timeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, do(ctx)
	})
	return err
}

// call waits until the back-off and the budget allow a call, and then makes it.
func call[T any](ctx context.Context, s *Store, op operation, timeout time.Duration, do func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := s.admit(ctx, op); err != nil {
		return zero, err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := s.options.Now()
	result, err := do(callCtx)
	idleWatch := op == opWatch && err != nil && callCtx.Err() != nil
	s.recordResult(op, began, err, ctx.Err() != nil || idleWatch)
	if err != nil {
		return zero, err
	}
	return result, nil
}

// admit waits until the back-off and the budget allow a call. It refuses the call with
// ErrThrottled if that takes longer than Options.Timeout, if the caller cancels the call
// meanwhile, or after Close. The metrics count the refusal under the wait that failed; a
// call after Close counts as "back_off".
func (s *Store) admit(ctx context.Context, op operation) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	if err := s.waitBackOff(ctx); err != nil {
		s.metrics.countRefused(op, s.purpose, "back_off")
		return fmt.Errorf("%w: backing off: %w", store.ErrThrottled, err)
	}
	if err := s.limiter.Wait(ctx); err != nil {
		s.metrics.countRefused(op, s.purpose, "budget")
		return fmt.Errorf("%w: %w", store.ErrThrottled, err)
	}
	return nil
}

// waitBackOff waits until the back-off has passed or the store has answered another call, which ends it.
func (s *Store) waitBackOff(ctx context.Context) error {
	for {
		s.shared.mu.Lock()
		wait := s.shared.backOff.notBefore.Sub(s.options.Now())
		closed, ended := s.shared.closed, s.shared.backOffEnded
		s.shared.mu.Unlock()
		if closed {
			return errClosed
		}
		if wait <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-ended:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// endBackOff ends the back-off after an answer. s.shared.mu must be held.
func (s *Store) endBackOff() {
	if s.shared.backOff.waitBound == 0 {
		return
	}
	s.shared.backOff.reset()
	close(s.shared.backOffEnded)
	s.shared.backOffEnded = make(chan struct{})
}

// recordResult counts a call and updates back-off and health. With ignoreFailure, a
// failure changes neither: a call that its caller canceled, or a watch that ended
// without a change, says nothing about the store. Neither does one that got no answer and began before the store's last one.
func (s *Store) recordResult(op operation, began time.Time, err error, ignoreFailure bool) {
	s.metrics.countCall(op, s.purpose, resultOf(err))
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	switch {
	case answered(err):
		s.endBackOff()
		s.shared.health = Health{Reachable: true, LastAnswer: s.options.Now()}
	case !ignoreFailure && (errors.Is(err, store.ErrThrottled) || !began.Before(s.shared.health.LastAnswer)):
		s.shared.backOff.fail(s.options.Now(), s.backOffFrom(began, err), s.shared.rand)
		s.shared.health = Health{LastAnswer: s.shared.health.LastAnswer, Err: err}
	}
}

// backOffFrom returns the time from which the back-off after a failed call counts: a refusal of the store, or the beginning of a
// call without an answer. Such a call has often taken longer than the back-off, and a store that is reached again must be
// noticed soon.
func (s *Store) backOffFrom(began time.Time, err error) time.Time {
	if errors.Is(err, store.ErrThrottled) {
		return s.options.Now()
	}
	return began
}

// answered reports whether the store answered the call; an error such as ErrConflict is
// an answer, too. ErrThrottled is not, so that the instance backs off.
func answered(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrUndecodable) ||
		errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrLeaseLost)
}
