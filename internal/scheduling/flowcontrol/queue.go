// Package flowcontrol holds the requests that wait on one instance for room on a server.
// Requests are ordered by class, then those that can still meet their latency objective come
// first, then by the service of their workspace (package fairshare), then by deadline. The queue of
// each class is bounded, and a floor guarantees less urgent classes a minimum share of the
// dispatches.
package flowcontrol

import (
	"container/heap"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/fairshare"
)

// Item is a waiting request.
type Item struct {
	Request request.Request
	// MayHaveRun is true if an earlier attempt of the request may have run.
	MayHaveRun bool
	// Work is the predicted duration of the request on a server, without waiting.
	Work time.Duration
	// PrefillTime is the predicted time to prefill the request's prompt.
	PrefillTime time.Duration
	// Cost is what the request counts as service to its workspace, in tokens; 0 in a deployment
	// without workspaces.
	Cost float64
	// CheckAt is when the request must be checked again because it may no longer be able
	// to meet its deadline. The check may move it to a later time.
	CheckAt time.Time
	// LateAt is from when the request can't meet its latency objective any more; zero if it
	// has none. Late is set from then on, see MarkLate.
	LateAt time.Time
	Late   bool

	lane         *Lane
	group        *group
	holding      *holding
	sequence     uint64
	laneIndex    int
	checkIndex   int
	holdingIndex int
}

// Start returns the virtual time at which the request starts if it is the next one of its
// workspace; see fairshare.Share.Start. The item must be waiting.
func (i *Item) Start() float64 { return i.group.share.Start() }

// Lane returns the lane that the item was pushed to.
func (i *Item) Lane() *Lane { return i.lane }

// Lane holds the waiting requests for one target in a line per class.
type Lane struct {
	lines       []*line
	work        []time.Duration
	prefillTime []time.Duration
	// lateWork and latePrefillTime are the parts of work and prefillTime of late items.
	lateWork        []time.Duration
	latePrefillTime []time.Duration
	length          int
}

// Len returns the number of requests that wait in the lane.
func (l *Lane) Len() int { return l.length }

// First returns the waiting request of a class that goes first, or nil.
func (l *Lane) First(class int) *Item { return l.lines[class].first() }

// Waiting returns the number of requests of a class that wait in the lane.
func (l *Lane) Waiting(class int) int { return l.lines[class].waiting }

// Fair returns how the lane divides the service of a class among workspaces.
func (l *Lane) Fair(class int) *fairshare.Line { return l.lines[class].fair }

// WorkUpTo returns the sum of the predicted durations of the requests in the lane that go before
// a new one of the class: those of more urgent classes and those of the class that aren't late.
// share is the share of the latter that counts; see fairshare.Line.ShareAhead.
func (l *Lane) WorkUpTo(class int, share float64) time.Duration {
	return sumUpTo(l.work, class-1) + scale(l.work[class]-l.lateWork[class], share)
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

func sumUpTo(times []time.Duration, class int) time.Duration {
	var sum time.Duration
	for c := 0; c <= class; c++ {
		sum += times[c]
	}
	return sum
}

// PrefillTimeUpTo returns the sum of the predicted prefill times of the requests that WorkUpTo
// counts.
func (l *Lane) PrefillTimeUpTo(class int, share float64) time.Duration {
	return sumUpTo(l.prefillTime, class-1) + scale(l.prefillTime[class]-l.latePrefillTime[class], share)
}

// PrefillTime returns the sum of the predicted prefill times of all requests in the lane.
func (l *Lane) PrefillTime() time.Duration { return sumUpTo(l.prefillTime, len(l.prefillTime)-1) }

// Work returns the sum of the predicted durations of all requests of the class in the lane.
func (l *Lane) Work(class int) time.Duration { return l.work[class] }

// Queue holds all waiting requests of an instance, in one lane per target.
type Queue struct {
	limits   []int
	lengths  []int
	clocks   []*fairshare.Clock
	holdings []map[string]*holding
	byID     map[request.ID]*Item
	checks   itemHeap
	sequence uint64
}

// New returns an empty queue; limits holds the maximum number of waiting requests of each
// class.
func New(limits []int) *Queue {
	q := &Queue{
		limits:  limits,
		lengths: make([]int, len(limits)),
		byID:    map[request.ID]*Item{},
		checks:  byCheckAt(),
	}
	for range limits {
		q.clocks = append(q.clocks, fairshare.NewClock())
		q.holdings = append(q.holdings, map[string]*holding{})
	}
	return q
}

func (q *Queue) NewLane() *Lane {
	classes := len(q.limits)
	l := &Lane{
		lines: make([]*line, classes), work: make([]time.Duration, classes), prefillTime: make([]time.Duration, classes),
		lateWork: make([]time.Duration, classes), latePrefillTime: make([]time.Duration, classes),
	}
	for c := range l.lines {
		l.lines[c] = newLine(q.clocks[c])
	}
	return l
}

// Len returns the number of waiting requests of all classes; Length is for one class.
func (q *Queue) Len() int { return len(q.byID) }

// Length returns the number of waiting requests of a class.
func (q *Queue) Length(class int) int { return q.lengths[class] }

// Full reports whether the class has reached its limit of waiting requests.
func (q *Queue) Full(class int) bool { return q.lengths[class] >= q.limits[class] }

// Has reports whether the request is waiting.
func (q *Queue) Has(id request.ID) bool { return q.byID[id] != nil }

// Push adds an item to a lane. It returns false and adds nothing if the class is full or
// a request with the same ID is already waiting.
func (q *Queue) Push(lane *Lane, item *Item) bool {
	if q.Full(item.Request.Class) || q.Has(item.Request.ID) {
		return false
	}
	q.add(lane, item)
	return true
}

func (q *Queue) add(lane *Lane, item *Item) {
	class := item.Request.Class
	q.sequence++
	item.sequence = q.sequence
	item.lane = lane
	q.byID[item.Request.ID] = item
	q.lengths[class]++
	lane.length++
	lane.work[class] += item.Work
	lane.prefillTime[class] += item.PrefillTime
	if item.Late {
		lane.countLate(item, 1)
	}
	lane.lines[class].add(item)
	q.hold(item)
	heap.Push(&q.checks, item)
}

// Remove removes a waiting item from its lane and the queue.
func (q *Queue) Remove(item *Item) {
	class := item.Request.Class
	lane := item.lane
	delete(q.byID, item.Request.ID)
	q.lengths[class]--
	lane.length--
	lane.work[class] -= item.Work
	lane.prefillTime[class] -= item.PrefillTime
	if item.Late {
		lane.countLate(item, -1)
	}
	lane.lines[class].remove(item)
	q.release(item)
	heap.Remove(&q.checks, item.checkIndex)
}

// MarkLate records that an item can't meet its latency objective any more. The others of its class
// go before it from now on.
//
// The load is an overload that lasts: in the order of their arrival, all requests would wait
// so long that none meets its objective.
func (q *Queue) MarkLate(item *Item) {
	if item.Late {
		return
	}
	item.Late = true
	item.lane.countLate(item, 1)
	item.lane.lines[item.Request.Class].markLate(item)
	heap.Fix(&item.holding.items, item.holdingIndex)
}

// countLate adds an item to the sums over late items, or with sign -1 removes it.
func (l *Lane) countLate(item *Item, sign time.Duration) {
	l.lateWork[item.Request.Class] += sign * item.Work
	l.latePrefillTime[item.Request.Class] += sign * item.PrefillTime
}

// Cancel removes a request by its ID and reports whether it was waiting.
func (q *Queue) Cancel(id request.ID) bool {
	item := q.byID[id]
	if item == nil {
		return false
	}
	q.Remove(item)
	return true
}

// DueForCheck returns an item whose CheckAt has passed, without removing it, or nil.
func (q *Queue) DueForCheck(now time.Time) *Item {
	first := q.checks.first()
	if first == nil || now.Before(first.CheckAt) {
		return nil
	}
	return first
}

// SetCheckAt changes when the item must be checked again.
func (q *Queue) SetCheckAt(item *Item, at time.Time) {
	item.CheckAt = at
	heap.Fix(&q.checks, item.checkIndex)
}

// CheckLane makes all items of a lane due for a check.
func (q *Queue) CheckLane(lane *Lane, now time.Time) {
	for _, line := range lane.lines {
		for _, g := range line.order {
			q.checkAll(g.items.list, now)
		}
	}
}

func (q *Queue) checkAll(items []*Item, now time.Time) {
	for _, item := range items {
		if item.CheckAt.After(now) {
			q.SetCheckAt(item, now)
		}
	}
}

// NextCheck returns the earliest CheckAt, or the zero time if nothing waits.
func (q *Queue) NextCheck() time.Time {
	first := q.checks.first()
	if first == nil {
		return time.Time{}
	}
	return first.CheckAt
}
