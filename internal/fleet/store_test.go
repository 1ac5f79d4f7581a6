package fleet

import (
	"errors"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/store"
)

var errAway = errors.New("store is away")

// version is one value of the configuration's key.
type version struct {
	revision int
	stored   confsync.Stored
	value    []byte
}

// fakeStore is the key-value service's one key, with faults.
type fakeStore struct {
	w        *world
	versions []version
	watchers []*watcher

	away       bool
	slow       time.Duration
	stalePer   int // of 1,000 reads, how many give an older value
	lostPer    int // of 1,000 writes, how many answers are lost
	latePer    int // of 1,000 writes, how many take effect after their timeout
	calls      int
	writeCalls int
}

type watcher struct {
	after int
	done  func(*version, error)
}

const (
	storeTimeout = 2 * time.Second
	watchTimeout = 5 * time.Second
)

func (s *fakeStore) latency() time.Duration { return s.slow + 2*time.Millisecond }

func (s *fakeStore) latest() *version {
	if len(s.versions) == 0 {
		return nil
	}
	return &s.versions[len(s.versions)-1]
}

// get reads the key. A nil version means that it is absent.
func (s *fakeStore) get(done func(*version, error)) {
	s.calls++
	s.w.after(s.latency(), func() {
		switch {
		case s.away:
			done(nil, errAway)
		case len(s.versions) > 1 && s.w.rand.IntN(1000) < s.stalePer:
			done(&s.versions[s.w.rand.IntN(len(s.versions))], nil)
		default:
			done(s.latest(), nil)
		}
	})
}

// swap writes the key if its revision is the expected one.
func (s *fakeStore) swap(next confsync.Stored, value []byte, expected int, done func(error)) {
	s.calls++
	s.writeCalls++
	switch {
	case s.away:
		s.w.after(s.latency(), func() { done(errAway) })
	case s.w.rand.IntN(1000) < s.latePer:
		s.w.after(storeTimeout, func() { done(errTimeout) })
		s.w.after(2*storeTimeout, func() { _ = s.write(next, value, expected) })
	case s.w.rand.IntN(1000) < s.lostPer:
		s.w.after(s.latency(), func() { _ = s.write(next, value, expected) })
		s.w.after(storeTimeout, func() { done(errTimeout) })
	default:
		s.w.after(s.latency(), func() { done(s.write(next, value, expected)) })
	}
}

func (s *fakeStore) write(next confsync.Stored, value []byte, expected int) error {
	current := 0
	if latest := s.latest(); latest != nil {
		current = latest.revision
	}
	if current != expected && s.w.broken != blindWrites {
		return store.ErrConflict
	}
	s.versions = append(s.versions, version{revision: current + 3, stored: next, value: value})
	s.w.oracle.written(next)
	s.wake()
	return nil
}

func (s *fakeStore) watch(after int, done func(*version, error)) {
	s.calls++
	w := &watcher{after: after, done: done}
	s.watchers = append(s.watchers, w)
	s.w.after(watchTimeout, func() { s.finish(w, nil, errTimeout) })
	s.w.after(s.latency(), s.wake)
}

func (s *fakeStore) wake() {
	latest := s.latest()
	for _, w := range append([]*watcher(nil), s.watchers...) {
		switch {
		case s.away:
			s.finish(w, nil, errAway)
		case latest != nil && latest.revision > w.after:
			s.finish(w, latest, nil)
		}
	}
}

func (s *fakeStore) finish(w *watcher, entry *version, err error) {
	for i, other := range s.watchers {
		if other == w {
			s.watchers = append(s.watchers[:i:i], s.watchers[i+1:]...)
			s.w.after(s.latency(), func() { w.done(entry, err) })
			return
		}
	}
}
