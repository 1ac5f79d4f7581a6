package storecall

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/store"
)

// scriptedStore ends each read with the next of its outcomes, after the delay of that.
type scriptedStore struct {
	store.Store
	mu       sync.Mutex
	outcomes []outcome
}

type outcome struct {
	delay time.Duration
	err   error
}

func (s *scriptedStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	next := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	s.mu.Unlock()
	time.Sleep(next.delay)
	return store.Entry{}, next.err
}

// TestFailureOfAnEarlierCallSetsNoBackOff guards against calls that wait, and a store that counts as unreachable, for a call which
// began before the store's last answer and only then failed.
func TestFailureOfAnEarlierCallSetsNoBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Store: &scriptedStore{outcomes: []outcome{{5 * time.Second, errUnavailable}, {0, nil}, {0, nil}}}})
		go func() { _, _ = s.Get(context.Background(), "key") }()
		time.Sleep(4 * time.Second)
		_, _ = s.Get(context.Background(), "key")
		time.Sleep(time.Second)
		synctest.Wait()
		if health := s.Health(); !health.Reachable {
			t.Errorf("the store has answered after the failed call began, and counts as unreachable: %v", health.Err)
		}
		began := time.Now()
		_, _ = s.Get(context.Background(), "key")
		if waited := time.Since(began); waited > 0 {
			t.Errorf("the next call waited %v, want not at all", waited)
		}
	})
}

// TestCallsGoOnAtTheStoresAnswer guards against calls that go on waiting, as the last failure has set it, after the store has
// answered another call.
func TestCallsGoOnAtTheStoresAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerAfter = 10 * time.Second
		outcomes := []outcome{{answerAfter, nil}}
		for range 20 {
			outcomes = append(outcomes, outcome{0, errUnavailable})
		}
		inner := &scriptedStore{outcomes: outcomes}
		s := New(Options{Store: inner, Timeout: time.Minute})
		began := time.Now()
		go func() { _, _ = s.Get(context.Background(), "key") }()
		synctest.Wait()
		for time.Since(began) < answerAfter-time.Second {
			_, _ = s.Get(context.Background(), "key")
		}
		inner.mu.Lock()
		inner.outcomes = []outcome{{0, nil}}
		inner.mu.Unlock()
		_, _ = s.Get(context.Background(), "key")
		if waited := time.Since(began); waited > answerAfter {
			t.Errorf("the call went on %v after the store had answered another one, want at once", waited-answerAfter)
		}
	})
}

// TestThrottledCallSetsABackOffThoughAnotherOneWasAnswered guards against an instance that goes on calling a store which says that it
// gets too many calls, since it answers some of them.
func TestThrottledCallSetsABackOffThoughAnotherOneWasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Store: &scriptedStore{outcomes: []outcome{{50 * time.Millisecond, store.ErrThrottled}, {0, nil}, {0, nil}}}})
		go func() { _, _ = s.Get(context.Background(), "key") }()
		time.Sleep(20 * time.Millisecond)
		_, _ = s.Get(context.Background(), "key")
		time.Sleep(30 * time.Millisecond)
		synctest.Wait()
		began := time.Now()
		_, _ = s.Get(context.Background(), "key")
		if time.Since(began) == 0 {
			t.Error("the next call didn't wait, though the store has just said that it gets too many")
		}
	})
}

// TestCallWithoutAnAnswerIsFollowedByTheNextAtOnce guards against an instance that notices late that the store is reached again: a call
// without an answer has taken longer than the back-off, which isn't added to it.
func TestCallWithoutAnAnswerIsFollowedByTheNextAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Store: &scriptedStore{outcomes: []outcome{{5 * time.Second, errUnavailable}, {5 * time.Second, errUnavailable}, {0, nil}}}})
		began := time.Now()
		for range 3 {
			_, _ = s.Get(context.Background(), "key")
		}
		if waited := time.Since(began) - 10*time.Second; waited > 0 {
			t.Errorf("the calls waited %v beside the 10 s that two of them took, want not at all", waited)
		}
	})
}
