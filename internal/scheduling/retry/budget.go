// Package retry decides whether a failed request may be dispatched again.
package retry

import (
	"time"

	"limpethub/internal/verdict"
)

const (
	// window is how long a success counts as recent.
	window = 10 * time.Second
	// slots divide the window.
	slots = 10
	// spare is how many retries per window are allowed without any success, unless
	// SetSpare says otherwise.
	spare = 3
)

type slot struct {
	number    int64
	successes int
	retries   int
}

// Budget allows retries as a share of recent successes, so that they can't multiply
// an overload.
type Budget struct {
	share float64
	extra float64
	slots [slots]slot
}

// NewBudget makes a budget; share is retries per success, 0 to 1.
func NewBudget(share float64) *Budget { return &Budget{share: share, extra: spare} }

// SetShare changes the share.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetSpare changes how many retries per window are allowed without any success; 0
// means the default.
func (b *Budget) SetSpare(retries float64) {
	if retries == 0 {
		retries = spare
	}
	b.extra = retries
}

// Success counts a request that ended well.
func (b *Budget) Success(now time.Time) { b.at(now).successes++ }

// Take uses up one retry if the budget has one.
func (b *Budget) Take(now time.Time) bool {
	current := b.at(now)
	successes, retries := b.recent(current.number)
	if float64(retries) >= b.share*float64(successes)+b.extra {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) at(now time.Time) *slot {
	number := now.UnixNano() / int64(window/slots)
	s := &b.slots[((number%slots)+slots)%slots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (b *Budget) recent(number int64) (successes, retries int) {
	for _, s := range b.slots {
		if s.number > number-slots && s.number <= number {
			successes += s.successes
			retries += s.retries
		}
	}
	return successes, retries
}

// MayRepeat reports whether a request may be dispatched again: it was proved not
// to have run, or it is idempotent.
func MayRepeat(v verdict.Verdict, idempotent bool) bool {
	return v == verdict.NotRun || idempotent
}
