package residency

import (
	"time"

	"limpethub/internal/modelref"
)

const (
	// overdueAfter is from when on a version is overdue whose requests wait without being served. An adapter loads within
	// milliseconds, and a model within a second or two once there is memory for it.
	overdueAfter = time.Second
	// busyVictimAfter is for how long a version must have been overdue so that one that is in use may give way to it.
	// Versions that are all in use all the time then have their turns.
	busyVictimAfter = 3 * time.Second
)

// overdueFor returns for how long requests have waited for a version without being served; 0 if it isn't overdue.
//
// The load is more versions in use than there is memory or slots for: those in place are never idle, and by the number of waiting
// requests a rare version would never have its turn.
func (p *planner) overdueFor(ref modelref.Ref) time.Duration {
	need := p.Needs[ref]
	if need.Waiting == 0 || need.UnservedSince.IsZero() {
		return 0
	}
	if age := p.Now.Sub(need.UnservedSince); age >= overdueAfter {
		return age
	}
	return 0
}

// overdueFirst reports whether x goes before y, if they differ in that: overdue versions go before others, and among
// themselves the one that was unserved for longest.
func (p *planner) overdueFirst(x, y modelref.Ref) (before, differ bool) {
	ageX, ageY := p.overdueFor(x), p.overdueFor(y)
	return ageX > ageY, ageX != ageY
}

// minIdleFor returns how long another version must have been idle so that it may give way to a version, where minIdle is usual:
// less for an overdue one, and nothing once it has been overdue for long.
func (p *planner) minIdleFor(ref modelref.Ref, minIdle time.Duration) time.Duration {
	switch age := p.overdueFor(ref); {
	case age >= busyVictimAfter:
		return 0
	case age > 0:
		return min(minIdle, idleNow)
	}
	return minIdle
}

// idleNow is the least time without a request after which a version counts as idle at all.
const idleNow = time.Millisecond
