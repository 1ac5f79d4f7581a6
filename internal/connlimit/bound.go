// Package connlimit limits the open connections of listeners, so that callers can't take the descriptors that connections to
// servers, peers and the store need. Once a listener has as many as it may, the connection that has waited longest without a
// whole request is closed for a new one. A connection whose request was read whole is never closed for another one.
package connlimit

import (
	"sync"
	"time"
)

// grace is how long a connection may wait without a whole request before it can be closed for another one. New connections wait as
// long while all others are younger, so that it limits how fast a crowd can be let in and closed again.
const grace = 20 * time.Millisecond

// bound decides which connections of one listener stay. It has no clock. It is safe for concurrent use.
type bound struct {
	max int

	mu   sync.Mutex
	open map[*entry]struct{}
	// yielding is the number of open connections that are being closed for others.
	yielding int
	// removed gets a value when a connection is removed.
	removed chan struct{}
}

// entry is what is known of one connection. The mutex of its bound guards it.
type entry struct {
	// waitingSince is when the connection was accepted, its last request ended, or the first byte of the present one came.
	waitingSince time.Time
	// begun is true from the first byte of a request on.
	begun bool
	// requests is the number of whole requests that are in progress.
	requests int
	// yields is true once the connection is to be closed for another one, after the requests in progress.
	yields bool
	// interrupt ends a read of the connection that waits for bytes.
	interrupt func()
}

func newBound(limit int) *bound {
	return &bound{max: limit, open: map[*entry]struct{}{}, removed: make(chan struct{}, 1)}
}

// add counts a connection, whatever the limit.
func (b *bound) add(e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[e] = struct{}{}
}

// remove stops counting a connection. A second call does nothing.
func (b *bound) remove(e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, isOpen := b.open[e]; !isOpen {
		return
	}
	delete(b.open, e)
	if e.yields {
		b.yielding--
	}
	select {
	case b.removed <- struct{}{}:
	default:
	}
}

// room says whether a connection that was just added may stay.
type room uint8

const (
	// hasRoom means that it may.
	hasRoom room = iota
	// waitsForRoom means that it has to wait for another one to close.
	waitsForRoom
	// noRoom means that all others have requests in progress.
	noRoom
)

// makeRoom makes the connections yield that have waited longest without a whole request, as many as are too many. It returns how
// many it made yield, and whether there is room for the newest connection.
func (b *bound) makeRoom(now time.Time, newest *entry) (yielded int, r room) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.open)-b.yielding > b.max {
		victim := b.longestWaiting(newest)
		if victim == nil {
			return yielded, noRoom
		}
		if now.Sub(victim.waitingSince) < grace {
			return yielded, waitsForRoom
		}
		victim.yields = true
		b.yielding++
		yielded++
		victim.interrupt()
	}
	if len(b.open) > b.max {
		return yielded, waitsForRoom
	}
	return yielded, hasRoom
}

// longestWaiting returns the connection that has waited longest without a whole request; nil if there is none but the newest one.
// The lock is held.
func (b *bound) longestWaiting(newest *entry) *entry {
	var longest *entry
	for e := range b.open {
		if e == newest || e.yields || e.requests > 0 {
			continue
		}
		if longest == nil || e.waitingSince.Before(longest.waitingSince) {
			longest = e
		}
	}
	return longest
}

// begins records that bytes came on a connection.
func (b *bound) begins(now time.Time, e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !e.begun {
		e.begun, e.waitingSince = true, now
	}
}

// requestWhole records that a request was read whole.
func (b *bound) requestWhole(e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.requests++
}

// requestEnded records the end of a request that was read whole.
func (b *bound) requestEnded(now time.Time, e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.requests--
	e.begun, e.waitingSince = false, now
}

// yields reports whether a connection is to be closed for another one.
func (b *bound) yields(e *entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return e.yields
}
