// Package storecall wraps the key-value service for one instance: it keeps the
// calls within a budget, backs off with jitter while the service is away, bounds
// the time of each call and counts calls by purpose.
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

	"limpethub/internal/pause"
	"limpethub/internal/store"
)

// Purpose says what a call is for, in metrics.
type Purpose string

// Purposes of calls.
const (
	PurposeConfig Purpose = "config"
	PurposeLease  Purpose = "lease"
	PurposeLedger Purpose = "ledger"
	PurposeOther  Purpose = "other"
)

// Options are the settings of a Store.
type Options struct {
	// Store is the service.
	Store store.Store
	// CallsPerSecond is the instance's budget of calls; Burst is how many may come
	// at once. 0 means the defaults.
	CallsPerSecond float64
	Burst          int
	// Timeout bounds a call, WatchTimeout a watch. 0 means the defaults.
	Timeout, WatchTimeout time.Duration
	// MaxBackOff bounds the wait after failures; 0 means the default.
	MaxBackOff time.Duration
	// Registerer takes the metrics; it may be nil.
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed is the source of jitter.
	Seed uint64
}

// Defaults of the options.
const (
	DefaultCallsPerSecond = 20
	DefaultBurst          = 40
	// DefaultTimeout is above a slow answer of 5 s.
	DefaultTimeout      = 6 * time.Second
	DefaultWatchTimeout = 30 * time.Second
)

// Store is a store.Store with budget, back-off and counts.
type Store struct {
	options Options
	limiter *rate.Limiter
	metrics *metrics
	purpose Purpose

	// gate is shared by the views that For returns.
	gate *gate
}

type gate struct {
	mu      sync.Mutex
	backOff backOff
	rand    *rand.Rand
	health  Health
	closed  bool
}

var (
	_ store.Store        = (*Store)(nil)
	_ store.PrefixReader = (*Store)(nil)
)

var errNoPrefixes = errors.New("storecall: the service can't read many keys at once")

// New wraps a service.
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
	return &Store{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
		metrics: newMetrics(options.Registerer),
		purpose: PurposeOther,
		gate:    &gate{backOff: backOff{most: options.MaxBackOff}, rand: rand.New(rand.NewPCG(options.Seed, 3))},
	}
}

// For returns a view whose calls are counted for a purpose. Views share one budget
// and one back-off.
func (s *Store) For(purpose Purpose) *Store {
	view := *s
	view.purpose = purpose
	return &view
}

// SetCallsPerSecond changes the budget of all views, from now on.
func (s *Store) SetCallsPerSecond(callsPerSecond float64) {
	s.limiter.SetLimit(rate.Limit(callsPerSecond))
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	return call(ctx, s, opGet, s.options.Timeout, func(ctx context.Context) (store.Entry, error) {
		return s.options.Store.Get(ctx, key)
	})
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	return call(ctx, s, opSwap, s.options.Timeout, func(ctx context.Context) (store.Revision, error) {
		return s.options.Store.CompareAndSwap(ctx, key, value, expected, lease)
	})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	return callError(ctx, s, opDelete, func(ctx context.Context) error {
		return s.options.Store.Delete(ctx, key, expected)
	})
}

// Watch implements store.Store. The whole wait is one call.
func (s *Store) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	return call(ctx, s, opWatch, s.options.WatchTimeout, func(ctx context.Context) (store.Entry, error) {
		return s.options.Store.Watch(ctx, key, after)
	})
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return call(ctx, s, opGrant, s.options.Timeout, func(ctx context.Context) (store.LeaseID, error) {
		return s.options.Store.Grant(ctx, ttl)
	})
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, lease store.LeaseID) error {
	return callError(ctx, s, opRenew, func(ctx context.Context) error {
		return s.options.Store.Renew(ctx, lease)
	})
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	return callError(ctx, s, opRevoke, func(ctx context.Context) error {
		return s.options.Store.Revoke(ctx, lease)
	})
}

// List implements store.PrefixReader, if the service does.
func (s *Store) List(ctx context.Context, prefix string, stale bool) (store.Listing, error) {
	reader, ok := s.options.Store.(store.PrefixReader)
	if !ok {
		return store.Listing{}, errNoPrefixes
	}
	return call(ctx, s, opList, s.options.Timeout, func(ctx context.Context) (store.Listing, error) {
		return reader.List(ctx, prefix, stale)
	})
}

// WatchPrefix implements store.PrefixReader, if the service does. The whole wait is one
// call.
func (s *Store) WatchPrefix(ctx context.Context, prefix string, after store.Revision) (store.Changes, error) {
	reader, ok := s.options.Store.(store.PrefixReader)
	if !ok {
		return store.Changes{}, errNoPrefixes
	}
	return call(ctx, s, opWatch, s.options.WatchTimeout, func(ctx context.Context) (store.Changes, error) {
		return reader.WatchPrefix(ctx, prefix, after)
	})
}

func callError(ctx context.Context, s *Store, op operation, do func(context.Context) error) error {
	_, err := call(ctx, s, op, s.options.Timeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, do(ctx)
	})
	return err
}

// call passes the budget and the back-off, then makes one call of the service.
func call[T any](ctx context.Context, s *Store, op operation, timeout time.Duration, do func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := s.admit(ctx, op); err != nil {
		return zero, err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := do(callCtx)
	idleWatch := op == opWatch && err != nil && callCtx.Err() != nil
	s.settle(op, err, ctx.Err() != nil || idleWatch)
	if err != nil {
		return zero, err
	}
	return result, nil
}

// admit waits for the back-off and the budget, no longer than a call may take.
func (s *Store) admit(ctx context.Context, op operation) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	if err := s.waitBackOff(ctx); err != nil {
		s.metrics.refuse(op, s.purpose, "back_off")
		return fmt.Errorf("%w: backing off: %w", store.ErrThrottled, err)
	}
	if err := s.limiter.Wait(ctx); err != nil {
		s.metrics.refuse(op, s.purpose, "budget")
		return fmt.Errorf("%w: %w", store.ErrThrottled, err)
	}
	return nil
}

func (s *Store) waitBackOff(ctx context.Context) error {
	for {
		s.gate.mu.Lock()
		wait := s.gate.backOff.until.Sub(s.options.Now())
		closed := s.gate.closed
		s.gate.mu.Unlock()
		if closed {
			return errClosed
		}
		if wait <= 0 {
			return ctx.Err()
		}
		if !pause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// settle counts the call and adjusts the back-off. A call that its own caller gave
// up says nothing about the service.
func (s *Store) settle(op operation, err error, givenUp bool) {
	s.metrics.count(op, s.purpose, resultOf(err))
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	switch {
	case answered(err):
		s.gate.backOff.reset()
		s.gate.health = Health{Reachable: true, LastAnswer: s.options.Now()}
	case !givenUp:
		s.gate.backOff.fail(s.options.Now(), s.gate.rand)
		s.gate.health = Health{LastAnswer: s.gate.health.LastAnswer, Err: err}
	}
}

// answered reports whether the service gave an answer.
func answered(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) ||
		errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrLeaseLost)
}
