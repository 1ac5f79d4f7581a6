package callerload

import (
	"slices"
	"time"
)

const (
	// connectionBytes is charged for each open connection: its buffers, its goroutines and what the HTTP server keeps for it.
	connectionBytes = 16 << 10
	// freeHeadBytes is the part of a head that connectionBytes covers. headFactor is what each further byte of it is charged: it is
	// held once as it was read and once as it was decoded.
	freeHeadBytes = 4 << 10
	headFactor    = 2
	// smallBytes is how much a request may hold to use the part of the budget that is kept for small ones, and keptShare is that part
	// of the limit.
	smallBytes = 16 << 10
	keptShare  = 8
	// keptFromAnswers is the part of the limit that isn't for the answers of larger requests either. They may use the other half of what is
	// kept: requests that have run mustn't lose their answers because the bodies of others leave no room.
	keptFromAnswers = 2 * keptShare
	// maxVictims is how many accounts yield for one charge at most. A charge that would need more is refused.
	maxVictims = 8
)

// state decides which charges are granted and which accounts yield. It has no lock and no clock of its own.
type state struct {
	limit int64
	// held is what all accounts hold, and yielding the part of it of accounts that were told to yield.
	held, yielding int64
	accounts       []*Account
	// waiters are those that wait for bytes, the first one first, and wanted is what they wait for.
	waiters []*waiter
	wanted  int64
	counts  Counts
}

// waiter is a charge that waits until others have yielded.
type waiter struct {
	account *Account
	bytes   int64
	// longest is how long it waits at most.
	longest time.Duration
	// decided is closed once the charge was granted or refused, and granted says which.
	decided chan struct{}
	granted bool
}

// outcome is what becomes of a charge: it is granted, refused, or waits for the victims or, without any, for those that end by
// themselves.
type outcome struct {
	granted bool
	waiter  *waiter
	victims []victim
}

// victim is an account that has to yield, and what ends with that.
type victim struct {
	account *Account
	ends    Yield
}

func (s *state) open(now time.Time, a *Account) {
	a.index = len(s.accounts)
	a.enter(now, idle)
	s.accounts = append(s.accounts, a)
	s.add(a, connectionBytes)
}

func (s *state) close(a *Account) {
	if a.index < 0 {
		return
	}
	s.add(a, -a.held)
	last := s.accounts[len(s.accounts)-1]
	s.accounts[a.index], last.index = last, a.index
	s.accounts[len(s.accounts)-1] = nil
	s.accounts = s.accounts[:len(s.accounts)-1]
	a.index = -1
	s.grant()
}

// add changes what an account holds.
func (s *state) add(a *Account, n int64) {
	a.held += n
	s.held += n
	if a.yielding {
		s.yielding += n
	}
}

// release returns a part of what the request of an account holds. An account that was closed holds nothing.
func (s *state) release(a *Account, n int64) {
	if a.index < 0 {
		return
	}
	a.request -= n
	s.add(a, -n)
	s.grant()
}

func (s *state) take(a *Account, n int64) {
	a.request += n
	s.add(a, n)
}

// received records bytes that were read from a connection, and returns how many the account is charged for them.
func (s *state) received(now time.Time, a *Account, n int64, begins bool) (charged int64) {
	a.moved.add(now, n)
	if begins {
		a.enter(now, head)
		a.headBytes = 0
	}
	if a.phase != head {
		return 0
	}
	before := max(a.headBytes, freeHeadBytes)
	a.headBytes += n
	return headFactor * max(0, a.headBytes-before)
}

// isSmall reports whether a request stays small with n bytes more.
func (a *Account) isSmall(n int64) bool { return a.request+n <= smallBytes }

// room returns how many bytes are free for n bytes more of an account.
func (s *state) room(a *Account, n int64) int64 {
	free := s.limit - s.held
	switch {
	case a.isSmall(n):
		return free
	case a.phase == whole:
		return free - s.limit/keptFromAnswers
	}
	return free - s.limit/keptShare
}

// hold charges bytes that belong to no connection of a caller, if there is room.
func (s *state) hold(n int64) bool {
	if n > s.room(&Account{}, n) {
		return false
	}
	s.held += n
	return true
}

// ask decides about a charge. The bytes of an answer wait for others also if none of them yields: the answers before it may be
// delivered soon.
func (s *state) ask(now time.Time, a *Account, n int64) outcome {
	if a.yielding || a.index < 0 {
		return outcome{}
	}
	room := s.room(a, n)
	if n <= room && (a.isSmall(n) || len(s.waiters) == 0) {
		s.take(a, n)
		return outcome{granted: true}
	}
	chosen, ok := s.victimsFor(now, a, n+s.wanted-room-s.yielding)
	w := &waiter{account: a, bytes: n, longest: maxWait, decided: make(chan struct{})}
	switch {
	case a.phase == whole:
		w.longest = maxAnswerWait
	case !ok:
		s.refuse(a)
		return outcome{}
	}
	out := outcome{waiter: w}
	for _, v := range chosen {
		out.victims = append(out.victims, s.evict(v))
	}
	a.waiter = w
	s.waiters = append(s.waiters, w)
	s.wanted += n
	return out
}

// victimsFor returns the accounts that yield to free a number of bytes. It reports false, and returns none, if those that yield
// before a can't free them.
func (s *state) victimsFor(now time.Time, a *Account, missing int64) (chosen []*Account, ok bool) {
	for missing > 0 {
		v := s.next(now, chosen)
		if v == nil || v == a || len(chosen) == maxVictims {
			return nil, false
		}
		chosen = append(chosen, v)
		missing -= v.held
	}
	return chosen, true
}

// next returns the account that yields next, apart from those that were chosen.
func (s *state) next(now time.Time, chosen []*Account) (first *Account) {
	for _, a := range s.accounts {
		if a.mayYield(now) && !slices.Contains(chosen, a) && (first == nil || a.yieldsBefore(now, first)) {
			first = a
		}
	}
	return first
}

// evict makes an account yield.
func (s *state) evict(a *Account) victim {
	s.markYielding(a)
	if a.waiter != nil {
		s.decide(a.waiter, false)
	}
	switch a.phase {
	case answer:
		s.counts.AnswersEnded++
		return victim{a, YieldAnswer}
	case body:
		s.counts.BodiesEnded++
	default:
		s.counts.ConnectionsClosed++
	}
	return victim{a, YieldReading}
}

// refuse records that an account gets no bytes.
func (s *state) refuse(a *Account) {
	s.markYielding(a)
	s.counts.Refused++
}

func (s *state) markYielding(a *Account) {
	a.yielding = true
	s.yielding += a.held
}

// grant grants the charges that wait, in their order, as far as there is room.
func (s *state) grant() {
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		if w.bytes > s.room(w.account, w.bytes) {
			return
		}
		s.take(w.account, w.bytes)
		s.decide(w, true)
	}
}

// decide ends the wait of a charge.
func (s *state) decide(w *waiter, granted bool) {
	s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
	s.wanted -= w.bytes
	w.account.waiter = nil
	w.granted = granted
	close(w.decided)
}

// expire refuses a charge that has waited for too long, unless it was decided meanwhile.
func (s *state) expire(w *waiter) {
	if w.account.waiter != w {
		return
	}
	s.decide(w, false)
	s.refuse(w.account)
	s.grant()
}
