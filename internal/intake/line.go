package intake

import (
	"slices"
	"time"
)

const (
	// turnsPerProcessor is how many turns are held at once for each processor that the process may use.
	turnsPerProcessor = 4
	// restInterval is the longest time for which turns are given to those that wait before there is a rest.
	restInterval = 5 * time.Millisecond
	// maxTurn is how long a turn counts as held. A request that keeps it longer is taken to wait for something.
	maxTurn = 20 * time.Millisecond
)

// kind says what a turn is asked for.
type kind uint8

const (
	connections kind = iota
	requests
	kinds
)

// line decides who holds a turn. Turns are given in the order in which they were asked for; connections and requests alternate, so
// that neither waits for all of the other. It has no lock and no clock of its own.
type line struct {
	// limit is how many turns are held at once.
	limit int
	// held has the turns that are held, the oldest first.
	held []*Turn
	// waiting has those who wait, the oldest first, and last is the kind of the last one that got a turn.
	waiting [kinds][]*Turn
	last    kind
	// resting is true from the time at which a rest is due until its end, and restedAt is the end of the last one.
	resting  bool
	restedAt time.Time
}

// enter asks for a turn. It reports whether the turn is held at once; otherwise it is one of those that a later call returns.
func (l *line) enter(now time.Time, t *Turn, k kind) bool {
	l.expire(now)
	if l.resting || l.waits() || len(l.held) >= l.limit {
		l.waiting[k] = append(l.waiting[k], t)
		return false
	}
	l.hold(now, t)
	return true
}

// leave ends a turn, if it is held, and returns the turns that are held from now on.
func (l *line) leave(now time.Time, t *Turn) []*Turn {
	l.held = slices.DeleteFunc(l.held, func(other *Turn) bool { return other == t })
	return l.give(now)
}

// rested ends a rest and returns the turns that are held from now on.
func (l *line) rested(now time.Time) []*Turn {
	l.resting, l.restedAt = false, now
	return l.give(now)
}

// give gives the free turns to those who wait. If a rest is due, it begins that instead.
func (l *line) give(now time.Time) (given []*Turn) {
	l.expire(now)
	for !l.resting && l.waits() && len(l.held) < l.limit {
		if now.Sub(l.restedAt) >= restInterval {
			l.resting = true
			return given
		}
		t := l.next()
		l.hold(now, t)
		given = append(given, t)
	}
	return given
}

func (l *line) waits() bool { return len(l.waiting[connections])+len(l.waiting[requests]) > 0 }

// next removes and returns the one that is next. Somebody must wait.
func (l *line) next() *Turn {
	l.last = (l.last + 1) % kinds
	if len(l.waiting[l.last]) == 0 {
		l.last = (l.last + 1) % kinds
	}
	queue := l.waiting[l.last]
	t := queue[0]
	queue[0] = nil
	l.waiting[l.last] = queue[1:]
	return t
}

func (l *line) hold(now time.Time, t *Turn) {
	t.heldSince = now
	l.held = append(l.held, t)
}

// expire ends the turns that have been held for too long.
func (l *line) expire(now time.Time) {
	for len(l.held) > 0 && now.Sub(l.held[0].heldSince) >= maxTurn {
		l.held = slices.Delete(l.held, 0, 1)
	}
}

func (l *line) holds(t *Turn) bool { return slices.Contains(l.held, t) }
