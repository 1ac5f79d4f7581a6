package fleet

import (
	"errors"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/store"
)

var (
	errUnreachable = errors.New("store is unreachable")
	// errUnchanged ends a watch that has waited for watchTimeout without a change.
	errUnchanged = errors.New("nothing has changed")
)

// storeEntry is one value that the configuration's key has had.
type storeEntry struct {
	revision int
	stored   confsync.Stored
	value    []byte
}

// fakeStore simulates the configuration's key in the key-value store, with injected faults.
type fakeStore struct {
	w        *world
	entries  []storeEntry
	watchers []*watcher

	unreachable bool
	// rejected holds the names of instances that get no answer.
	rejected      map[string]bool
	extraLatency  time.Duration
	stalePerMille int // of 1,000 reads, how many return a random one of the values so far
	lostPerMille  int // of 1,000 writes, how many take effect without an answer
	latePerMille  int // of 1,000 writes, how many are executed only after their timeout
	calls         int
	writeCalls    int
}

// watcher is a pending watch for an entry with a revision above afterRevision.
type watcher struct {
	instance      string
	afterRevision int
	done          func(*storeEntry, error)
}

const (
	storeTimeout = 2 * time.Second
	watchTimeout = time.Second
)

func (s *fakeStore) latency() time.Duration { return s.extraLatency + 2*time.Millisecond }

func (s *fakeStore) latest() *storeEntry {
	if len(s.entries) == 0 {
		return nil
	}
	return &s.entries[len(s.entries)-1]
}

// get reads the key. A nil entry means that the key is absent.
func (s *fakeStore) get(instance string, done func(*storeEntry, error)) {
	s.calls++
	s.w.schedule(s.latency(), func() {
		switch {
		case s.unreachable, s.rejected[instance]:
			done(nil, errUnreachable)
		case len(s.entries) > 1 && s.w.random.IntN(1000) < s.stalePerMille:
			done(&s.entries[s.w.random.IntN(len(s.entries))], nil)
		default:
			done(s.latest(), nil)
		}
	})
}

// compareAndSwap writes the key if its revision is the expected one.
func (s *fakeStore) compareAndSwap(next confsync.Stored, value []byte, expected int, done func(error)) {
	s.calls++
	s.writeCalls++
	switch {
	case s.unreachable:
		s.w.schedule(s.latency(), func() { done(errUnreachable) })
	case s.w.random.IntN(1000) < s.latePerMille:
		s.w.schedule(storeTimeout, func() { done(errTimeout) })
		s.w.schedule(2*storeTimeout, func() { _ = s.write(next, value, expected) })
	case s.w.random.IntN(1000) < s.lostPerMille:
		s.w.schedule(s.latency(), func() { _ = s.write(next, value, expected) })
		s.w.schedule(storeTimeout, func() { done(errTimeout) })
	default:
		s.w.schedule(s.latency(), func() { done(s.write(next, value, expected)) })
	}
}

func (s *fakeStore) write(next confsync.Stored, value []byte, expected int) error {
	current := 0
	if latest := s.latest(); latest != nil {
		current = latest.revision
	}
	if current != expected && s.w.defect != blindWrites {
		return store.ErrConflict
	}
	s.entries = append(s.entries, storeEntry{revision: current + 3, stored: next, value: value})
	s.w.oracle.observeWrite(next)
	s.notifyWatchers()
	return nil
}

// watch waits for an entry with a revision above afterRevision, for at most watchTimeout.
func (s *fakeStore) watch(instance string, afterRevision int, done func(*storeEntry, error)) {
	s.calls++
	w := &watcher{instance: instance, afterRevision: afterRevision, done: done}
	s.watchers = append(s.watchers, w)
	s.w.schedule(watchTimeout, func() { s.finishWatch(w, nil, errUnchanged) })
	s.w.schedule(s.latency(), s.notifyWatchers)
}

// notifyWatchers ends the watches that have a new entry, or all if the store is unreachable.
func (s *fakeStore) notifyWatchers() {
	latest := s.latest()
	for _, w := range append([]*watcher(nil), s.watchers...) {
		switch {
		case s.unreachable, s.rejected[w.instance]:
			s.finishWatch(w, nil, errUnreachable)
		case latest != nil && latest.revision > w.afterRevision:
			s.finishWatch(w, latest, nil)
		}
	}
}

func (s *fakeStore) finishWatch(w *watcher, entry *storeEntry, err error) {
	for i, other := range s.watchers {
		if other == w {
			s.watchers = append(s.watchers[:i:i], s.watchers[i+1:]...)
			s.w.schedule(s.latency(), func() { w.done(entry, err) })
			return
		}
	}
}
