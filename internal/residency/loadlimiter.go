package residency

import (
	"slices"
	"time"
)

const (
	// loadWindow is the time in which loads from the weight store are counted. In any window no
	// more may begin than the store's rate allows in that time, and loadBurst more.
	loadWindow = 5 * time.Second
	// loadBurst is the maximum number of loads from the weight store that may start at once.
	loadBurst = 3
	// weightStoreRateShare is the share of the weight store's rate that is used in the long run.
	weightStoreRateShare = 0.9
	// predecessorLateLoads is how many late orders of the previous holder a new one allows for,
	// for lateOrderWindow.
	predecessorLateLoads = 1
)

// unclearLoad is an order for a load whose answer was lost. It may still take effect, once, as
// long as the server expects an order of that number.
type unclearLoad struct {
	server         string
	startMillis    int64
	expectedOrders uint64
	until          time.Time
}

// loadLimiter decides how many loads from the weight store of one pool may be ordered. It isn't
// safe for concurrent use.
//
// The load is a series of losses of servers while orders arrive late: those of some seconds can
// then begin together with each other, with new ones, and with those of the next holder. Orders
// that may still take effect therefore count as loads of every window until they are settled.
type loadLimiter struct {
	// perSecond is the weight store's rate. tokens is a bucket, filled at a share of the rate.
	perSecond  float64
	tokens     float64
	refilledAt time.Time
	// begun holds when loads of the last window were ordered.
	begun   []time.Time
	unclear []unclearLoad
	// predecessorUntil is until when late orders of the previous holder may take effect.
	predecessorUntil time.Time
}

// recentLoads is what the lease's holder tells of its loads to its possible successors.
type recentLoads struct {
	// count is how many loads were ordered within loadWindow before at or may still take effect.
	count int
	at    time.Time
}

// newLoadLimiter returns the limiter of a new holder. previous are the loads of the last holder.
func newLoadLimiter(now time.Time, perSecond float64, previous recentLoads) *loadLimiter {
	l := &loadLimiter{perSecond: perSecond, tokens: loadBurst, refilledAt: now}
	if previous.at.IsZero() {
		return l
	}
	l.predecessorUntil = previous.at.Add(lateOrderWindow)
	l.begun = slices.Repeat([]time.Time{previous.at}, previous.count)
	return l
}

// advance adds tokens and forgets what is over. settled reports whether an unclear load can't take
// effect any more.
func (l *loadLimiter) advance(now time.Time, perSecond float64, settled func(unclearLoad) bool) {
	l.perSecond = perSecond
	l.tokens = min(loadBurst, l.tokens+weightStoreRateShare*perSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	l.begun = slices.DeleteFunc(l.begun, func(at time.Time) bool { return now.Sub(at) >= loadWindow })
	l.unclear = slices.DeleteFunc(l.unclear, func(u unclearLoad) bool { return now.After(u.until) || settled(u) })
}

// recent returns how many loads count in the present window.
func (l *loadLimiter) recent() int { return len(l.begun) + len(l.unclear) }

// allowed returns how many loads may be ordered now.
func (l *loadLimiter) allowed(now time.Time) int {
	inWindow := int(l.perSecond*loadWindow.Seconds()) + loadBurst - l.recent()
	if now.Before(l.predecessorUntil) {
		inWindow -= predecessorLateLoads
	}
	return max(0, min(int(l.tokens), inWindow))
}

// ordered records the order of a load.
func (l *loadLimiter) ordered(now time.Time) {
	l.tokens--
	l.begun = append(l.begun, now)
}

// unanswered records that an order of a load got no answer.
func (l *loadLimiter) unanswered(u unclearLoad) { l.unclear = append(l.unclear, u) }
