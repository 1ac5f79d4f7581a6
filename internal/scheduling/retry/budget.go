// Package retry decides whether a failed request may be dispatched again, from its verdict
// and from a budget of retries.
package retry

import (
	"time"

	"limpethub/internal/verdict"
)

const (
	// window is how long successes and retries count.
	window = 10 * time.Second
	// slotCount is how many slots the window is divided into.
	slotCount = 10
	// defaultSpare is how many retries per window are allowed without any success,
	// unless SetSpare changes it.
	defaultSpare = 3
)

// slot counts the events of one part of the window.
type slot struct {
	number    int64
	successes int
	retries   int
}

// Budget limits retries to a share of the recent successes plus a fixed number, so that
// retries can't multiply an overload.
type Budget struct {
	share        float64
	spareRetries float64
	slots        [slotCount]slot
	// deniedClass is the most urgent class for which no retry was left, and deniedAt when that was.
	deniedClass int
	deniedAt    time.Time
}

// NewBudget returns a budget that allows the given number of retries per success, from 0 to 1.
func NewBudget(share float64) *Budget { return &Budget{share: share, spareRetries: defaultSpare} }

// SetShare changes the number of retries per success.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetSpare changes how many retries per window are allowed without any success; 0 stands
// for the default.
func (b *Budget) SetSpare(retries float64) {
	if retries == 0 {
		retries = defaultSpare
	}
	b.spareRetries = retries
}

// Success counts a request that succeeded.
func (b *Budget) Success(now time.Time) { b.slotAt(now).successes++ }

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	current := b.slotAt(now)
	successes, retries := b.recent(current.number)
	if float64(retries) >= b.share*float64(successes)+b.spareRetries {
		return false
	}
	current.retries++
	return true
}

// TakeFor is Take for a request of a class, 0 being the most urgent. A class gets no retry while a
// more urgent one lacks them.
//
// The load is an overload in which servers refuse less urgent requests: their retries would use up
// the budget that requests of the same service and of more urgent classes need.
func (b *Budget) TakeFor(now time.Time, class int) bool {
	lacking := now.Sub(b.deniedAt) < window
	if lacking && class > b.deniedClass {
		return false
	}
	if b.Take(now) {
		return true
	}
	if !lacking || class <= b.deniedClass {
		b.deniedClass, b.deniedAt = class, now
	}
	return false
}

func (b *Budget) slotAt(now time.Time) *slot {
	number := now.UnixNano() / int64(window/slotCount)
	s := &b.slots[((number%slotCount)+slotCount)%slotCount]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (b *Budget) recent(number int64) (successes, retries int) {
	for _, s := range b.slots {
		if s.number > number-slotCount && s.number <= number {
			successes += s.successes
			retries += s.retries
		}
	}
	return successes, retries
}

// MayRetry reports whether a request may be dispatched again: it was proved not to have run, or
// it is idempotent.
func MayRetry(v verdict.Verdict, idempotent bool) bool {
	return v == verdict.NotRun || idempotent
}
