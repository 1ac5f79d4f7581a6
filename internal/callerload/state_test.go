package callerload

import (
	"testing"
	"time"
)

const kib = 1 << 10

var start = time.Unix(1000, 0)

// later is a time at which no account of start is new, and whose last window has none of the bytes of start.
var later = start.Add(2 * window)

func newState(limit int64) *state { return &state{limit: limit} }

// reading opens an account whose body is being read since the given time, and charges it.
func reading(t *testing.T, s *state, at time.Time, n int64) *Account {
	t.Helper()
	a := &Account{}
	s.open(at, a)
	a.enter(at, body)
	if got := s.ask(at, a, n); !got.granted {
		t.Fatalf("%d bytes beside %d of %d aren't granted", n, s.held, s.limit)
	}
	return a
}

func wantVictim(t *testing.T, got outcome, want *Account) {
	t.Helper()
	if len(got.victims) != 1 || got.victims[0].account != want || got.waiter == nil {
		t.Fatalf("got %d victims, waits %v; want the one", len(got.victims), got.waiter != nil)
	}
}

// Guards against callers that stop in the middle of their bodies and lock out all others.
func TestTheOneThatMovedLeastYields(t *testing.T) {
	s := newState(1000 * kib)
	moving, stopped := reading(t, s, start, 400*kib), reading(t, s, start, 400*kib)
	s.received(later, moving, 1, false)
	next := &Account{}
	s.open(later, next)
	got := s.ask(later, next, 100*kib)
	wantVictim(t, got, stopped)
	if s.release(stopped, 400*kib); !got.waiter.granted || next.request != 100*kib {
		t.Errorf("granted %v with %d bytes after the victim's bytes came back, want 102400", got.waiter.granted, next.request)
	}
	if s.counts != (Counts{BodiesEnded: 1}) {
		t.Errorf("counted %+v, want one body", s.counts)
	}
}

func TestOfEqualsTheOneThatHoldsMostYields(t *testing.T) {
	s := newState(1000 * kib)
	reading(t, s, start, 300*kib)
	most := reading(t, s, start, 500*kib)
	next := &Account{}
	s.open(later, next)
	wantVictim(t, s.ask(later, next, 100*kib), most)
}

// Guards against a new connection that yields before it could send anything, and against one that nobody can make yield if all are new.
func TestNewOnesYieldLast(t *testing.T) {
	s := newState(1000 * kib)
	old, fresh := reading(t, s, start, 400*kib), reading(t, s, later, 400*kib)
	s.received(later, old, 100, false)
	next := &Account{}
	s.open(later, next)
	wantVictim(t, s.ask(later, next, 100*kib), old)
	another := &Account{}
	s.open(later, another)
	s.received(later, another, 1, false)
	got := s.ask(later, another, 400*kib)
	wantVictim(t, got, fresh)
}

// Guards against a whole request that is cut off, and against others that yield in vain beside it.
func TestWholeRequestsNeverYield(t *testing.T) {
	s := newState(1000 * kib)
	running, small := reading(t, s, start, 700*kib), reading(t, s, start, 10*kib)
	running.enter(start, whole)
	next := &Account{}
	s.open(later, next)
	if got := s.ask(later, next, 500*kib); got.granted || got.waiter != nil || len(got.victims) > 0 {
		t.Errorf("got %+v, want a refusal at once", got)
	}
	if running.yielding || small.yielding {
		t.Error("an account yields for a charge that is refused all the same")
	}
	if !next.yielding || s.counts != (Counts{Refused: 1}) {
		t.Errorf("counted %+v, want one refusal", s.counts)
	}
}

// Guards against whole bodies at slow servers that lock out ordinary callers.
func TestAPartIsKeptForSmallRequests(t *testing.T) {
	s := newState(800 * kib)
	running := reading(t, s, start, 650*kib)
	running.enter(start, whole)
	large, small := &Account{}, &Account{}
	s.open(later, large)
	s.open(later, small)
	if got := s.ask(later, large, smallBytes+1); got.granted {
		t.Error("a large request got bytes of the part that is kept")
	}
	if got := s.ask(later, small, smallBytes); !got.granted {
		t.Error("a small request got no bytes")
	}
	if got := s.ask(later, small, 1); got.granted {
		t.Error("a request that is no longer small got bytes of the part that is kept")
	}
}

// Guards against limits that a slow caller meets while there is room.
func TestNobodyYieldsInCalm(t *testing.T) {
	s := newState(1000 * kib)
	slow := reading(t, s, start, 100*kib)
	for range 5 {
		a := reading(t, s, later, 100*kib)
		s.close(a)
	}
	if slow.yielding {
		t.Error("a slow body yields while there is room")
	}
	s.close(slow)
	if s.held != 0 || len(s.accounts) != 0 || s.yielding != 0 {
		t.Errorf("%d bytes of %d accounts are held after all were closed, %d yielding", s.held, len(s.accounts), s.yielding)
	}
}

// Guards against a charge that waits for ever, and bytes that are lost with it.
func TestChargeThatWaitsTooLongIsRefused(t *testing.T) {
	s := newState(1000 * kib)
	victim := reading(t, s, start, 800*kib)
	next := &Account{}
	s.open(later, next)
	got := s.ask(later, next, 100*kib)
	wantVictim(t, got, victim)
	s.expire(got.waiter)
	if got.waiter.granted || s.wanted != 0 || len(s.waiters) != 0 || !next.yielding {
		t.Errorf("granted %v, %d bytes wanted by %d", got.waiter.granted, s.wanted, len(s.waiters))
	}
	s.close(victim)
	s.close(next)
	if s.held != 0 || s.yielding != 0 {
		t.Errorf("%d bytes held, %d yielding, want none", s.held, s.yielding)
	}
}

// Guards against heads that no bound counts.
func TestLongHeadsAreCharged(t *testing.T) {
	s := newState(1000 * kib)
	a := &Account{}
	s.open(start, a)
	if got := s.received(start, a, freeHeadBytes, true); got != 0 {
		t.Errorf("charged %d bytes for a short head, want none", got)
	}
	if got := s.received(start, a, 100, false); got != headFactor*100 {
		t.Errorf("charged %d bytes for 100 more, want %d", got, headFactor*100)
	}
	a.enter(start, body)
	if got := s.received(start, a, 100, false); got != 0 {
		t.Errorf("charged %d bytes of a body as those of a head, want none", got)
	}
}

// Guards against a connection that counts as one that moves long after it has stopped, or as stopped since a window has just begun.
func TestRecentBytes(t *testing.T) {
	var m movedBytes
	m.add(start, 100)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{{0, 100}, {window / 2, 100}, {window * 3 / 2, 50}, {2 * window, 0}} {
		if got := m.recent(start.Add(c.after)); got != c.want {
			t.Errorf("after %v: %d bytes, want %d", c.after, got, c.want)
		}
	}
	m.add(start.Add(window*3/2), 40)
	if got := m.recent(start.Add(window * 3 / 2)); got != 90 {
		t.Errorf("%d bytes of two windows, want 90", got)
	}
}

// answering opens an account to which an answer is written since the given time.
func answering(t *testing.T, s *state, at time.Time, n int64) *Account {
	t.Helper()
	a := reading(t, s, at, n)
	a.enter(at, answer)
	return a
}

// Guards against callers that don't read their answers and lock out all others: the one that reads least yields, with its answer.
func TestTheAnswerThatIsReadLeastYields(t *testing.T) {
	s := newState(1000 * kib)
	read, unread := answering(t, s, start, 400*kib), answering(t, s, start, 400*kib)
	read.moved.add(later, 1)
	next := &Account{}
	s.open(later, next)
	next.enter(later, whole)
	got := s.ask(later, next, 100*kib)
	wantVictim(t, got, unread)
	if got.victims[0].ends != YieldAnswer || s.counts != (Counts{AnswersEnded: 1}) {
		t.Errorf("ends %v, counted %+v, want an answer", got.victims[0].ends, s.counts)
	}
}

// Guards against an answer that is ended before its caller could read it, and against one that is refused though those before it
// will soon be delivered.
func TestAnswersWaitForThoseThatAreNew(t *testing.T) {
	s := newState(1000 * kib)
	before := answering(t, s, later, 700*kib)
	next := &Account{}
	s.open(later, next)
	next.enter(later, whole)
	got := s.ask(later, next, 300*kib)
	if len(got.victims) != 0 || got.waiter == nil {
		t.Fatalf("%d victims, waits %v; want a wait without any", len(got.victims), got.waiter != nil)
	}
	if s.close(before); !got.waiter.granted {
		t.Error("not granted after the answer before it was delivered")
	}
}

// Guards against requests that have run and lose their answers, because the bodies of others that are in progress take all memory.
func TestAnswersHaveRoomBesideWholeRequests(t *testing.T) {
	s := newState(1600 * kib)
	for range 14 {
		running := reading(t, s, start, 84*kib)
		running.enter(start, whole)
	}
	if got := s.ask(later, s.accounts[0], 84*kib); !got.granted {
		t.Error("an answer waits for the bodies of others")
	}
	next := &Account{}
	s.open(later, next)
	if got := s.ask(later, next, 84*kib); got.granted {
		t.Error("a body takes the room of answers")
	}
}
