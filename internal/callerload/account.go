package callerload

import "time"

// phase is what the connection of an account is doing.
type phase uint8

const (
	// idle means that no request has begun, or that the last one has ended.
	idle phase = iota
	// head and body mean that a part of a request is being read.
	head
	body
	// whole means that a request was read and has no whole answer yet. It never yields.
	whole
	// answer means that an answer is written, for which the caller may be slow.
	answer
)

const (
	// grace is how long a connection in a phase counts as new. Others yield before it.
	grace = time.Second
	// window is the time over which the bytes that a connection moves are counted.
	window = time.Second
)

// Yield says what ends when a connection yields.
type Yield uint8

const (
	// YieldReading ends what is being read from the connection, or closes it if that is nothing.
	YieldReading Yield = iota
	// YieldAnswer ends the answer that is being written to the connection.
	YieldAnswer
)

// Account is what the instance holds for one connection of a caller. Its methods are safe for concurrent use. A nil account has no
// bound.
type Account struct {
	budget *Budget
	// yield closes the connection, or ends what is being read from it or written to it.
	yield func(Yield)
	// The mutex of the budget guards all fields below.

	// index is the position among the accounts of the budget; -1 after Close.
	index int
	phase phase
	since time.Time
	// held is all that is charged, and request the part of it that the end of the request returns.
	held, request int64
	// headBytes is how many bytes were read of the head that is being read.
	headBytes int64
	moved     movedBytes
	// yielding is true once the account was told to yield, or was refused bytes.
	yielding bool
	// waiter is not nil while the account waits for bytes.
	waiter *waiter
}

// enter begins a phase.
func (a *Account) enter(now time.Time, p phase) { a.phase, a.since = p, now }

// yieldsBefore reports whether a yields before another account: one that isn't new, then one that has moved less, then one that holds
// more.
func (a *Account) yieldsBefore(now time.Time, other *Account) bool {
	if isNew, otherIsNew := a.isNew(now), other.isNew(now); isNew != otherIsNew {
		return otherIsNew
	}
	if moved, otherMoved := a.moved.recent(now), other.moved.recent(now); moved != otherMoved {
		return moved < otherMoved
	}
	return a.held > other.held
}

func (a *Account) isNew(now time.Time) bool { return now.Sub(a.since) < grace }

// mayYield reports whether the account can be told to yield. A new connection that holds nothing of a request can't: little is gained
// by closing it before its first bytes were read. Neither can one to which an answer is written only now.
func (a *Account) mayYield(now time.Time) bool {
	switch {
	case a.yielding || a.phase == whole:
		return false
	case a.phase == answer:
		return !a.isNew(now)
	}
	return a.request > 0 || !a.isNew(now)
}

// movedBytes counts the bytes that a connection has moved, in windows that follow each other.
type movedBytes struct {
	start             time.Time
	current, previous int64
}

func (m *movedBytes) add(now time.Time, n int64) {
	switch elapsed := now.Sub(m.start); {
	case elapsed >= 2*window:
		*m = movedBytes{start: now}
	case elapsed >= window:
		*m = movedBytes{start: m.start.Add(window), previous: m.current}
	}
	m.current += n
}

// recent returns about how many bytes were moved in the last window.
func (m *movedBytes) recent(now time.Time) int64 {
	elapsed := now.Sub(m.start)
	switch {
	case elapsed >= 2*window:
		return 0
	case elapsed >= window:
		return share(m.current, 2*window-elapsed)
	}
	return m.current + share(m.previous, window-elapsed)
}

// share returns the part of n for a part of a window.
func share(n int64, part time.Duration) int64 {
	return int64(float64(n) * float64(part) / float64(window))
}
