package scheduling

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simClock is the virtual time of a simulation, with the calls that are due in it.
type simClock struct {
	now      time.Time
	events   simEvents
	sequence int
	random   *rand.Rand
}

// newSimClock returns a clock at epoch. The seeds are those of the simulation's random numbers.
func newSimClock(seed1, seed2 uint64) simClock {
	return simClock{now: epoch, random: rand.New(rand.NewPCG(seed1, seed2))}
}

// after schedules a call of do in virtual time.
func (c *simClock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, simEvent{at: c.now.Add(d), sequence: c.sequence, do: do})
}

// every schedules a call of do once per period, starting at a random time in the first one.
func (c *simClock) every(period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		c.after(period, again)
	}
	c.after(time.Duration(c.random.Int64N(int64(period))), again)
}

// runUntil makes the scheduled calls in the order of their times, until none is left or the time has come to end.
func (c *simClock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.now.Before(end) {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.do()
	}
}

// simEvent is a call that is due at a time. Calls of the same time are made in the order in which they were scheduled.
type simEvent struct {
	at       time.Time
	sequence int
	do       func()
}

// simEvents is a heap of calls, the next one first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
