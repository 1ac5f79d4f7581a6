// Package flowcontrol holds the requests that wait on one instance, ordered by
// class and then by deadline, bounded per class, with a floor for low classes.
package flowcontrol

import (
	"container/heap"
	"time"

	"limpethub/internal/request"
)

// Item is a waiting request.
type Item struct {
	Request request.Request
	// Unclear is true when an earlier attempt of the request may have run.
	Unclear bool
	// Work is the predicted duration of the request on a server.
	Work time.Duration
	// Reading is the predicted time to read the request's prompt.
	Reading time.Duration
	// Expiry is when the request is looked at again because it may no longer be able
	// to meet its deadline.
	Expiry time.Time

	lane     *Lane
	sequence uint64
	inLane   int
	inExpiry int
}

// Lane returns the lane in which the item waits.
func (i *Item) Lane() *Lane { return i.lane }

// Lane holds the waiting requests for one target, a heap per class.
type Lane struct {
	classes []items
	work    []time.Duration
	reading []time.Duration
	length  int
}

// Len is how many requests wait in the lane.
func (l *Lane) Len() int { return l.length }

// First returns the waiting request of a class with the earliest deadline, or nil.
func (l *Lane) First(class int) *Item { return l.classes[class].first() }

// WorkUpTo is the predicted work waiting in the lane of a class and the more
// urgent ones.
func (l *Lane) WorkUpTo(class int) time.Duration {
	var sum time.Duration
	for c := 0; c <= class; c++ {
		sum += l.work[c]
	}
	return sum
}

// ReadingUpTo is the predicted time to read the prompts that wait in the lane, of a class
// and the more urgent ones.
func (l *Lane) ReadingUpTo(class int) time.Duration {
	var sum time.Duration
	for c := 0; c <= class; c++ {
		sum += l.reading[c]
	}
	return sum
}

// Work is the predicted work waiting in the lane of a class.
func (l *Lane) Work(class int) time.Duration { return l.work[class] }

// Queue holds all waiting requests of an instance.
type Queue struct {
	limits   []int
	lengths  []int
	byID     map[request.ID]*Item
	expiry   items
	sequence uint64
}

// New makes a queue; limits holds the most waiting requests per class.
func New(limits []int) *Queue {
	return &Queue{
		limits:  limits,
		lengths: make([]int, len(limits)),
		byID:    map[request.ID]*Item{},
		expiry:  byExpiry(),
	}
}

// NewLane makes an empty lane of the queue.
func (q *Queue) NewLane() *Lane {
	l := &Lane{classes: make([]items, len(q.limits)), work: make([]time.Duration, len(q.limits)), reading: make([]time.Duration, len(q.limits))}
	for c := range l.classes {
		l.classes[c] = byDeadline()
	}
	return l
}

// Len is how many requests wait.
func (q *Queue) Len() int { return len(q.byID) }

// Length is how many requests of a class wait.
func (q *Queue) Length(class int) int { return q.lengths[class] }

// Full reports whether no more requests of a class may wait.
func (q *Queue) Full(class int) bool { return q.lengths[class] >= q.limits[class] }

// Has reports whether the request waits.
func (q *Queue) Has(id request.ID) bool { return q.byID[id] != nil }

// Push adds an item to a lane. It reports false, and adds nothing, when the class
// is full or a request with the same ID waits.
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
	lane.reading[class] += item.Reading
	heap.Push(&lane.classes[class], item)
	heap.Push(&q.expiry, item)
}

// Remove takes an item out.
func (q *Queue) Remove(item *Item) {
	class := item.Request.Class
	lane := item.lane
	delete(q.byID, item.Request.ID)
	q.lengths[class]--
	lane.length--
	lane.work[class] -= item.Work
	lane.reading[class] -= item.Reading
	heap.Remove(&lane.classes[class], item.inLane)
	heap.Remove(&q.expiry, item.inExpiry)
}

// Cancel takes a request out by its ID and reports whether it waited.
func (q *Queue) Cancel(id request.ID) bool {
	item := q.byID[id]
	if item == nil {
		return false
	}
	q.Remove(item)
	return true
}

// Expired returns, without removing it, an item whose expiry has come, or nil.
func (q *Queue) Expired(now time.Time) *Item {
	first := q.expiry.first()
	if first == nil || now.Before(first.Expiry) {
		return nil
	}
	return first
}

// SetExpiry moves the time at which an item is looked at again.
func (q *Queue) SetExpiry(item *Item, at time.Time) {
	item.Expiry = at
	heap.Fix(&q.expiry, item.inExpiry)
}

// NextExpiry is the earliest expiry; zero when nothing waits.
func (q *Queue) NextExpiry() time.Time {
	first := q.expiry.first()
	if first == nil {
		return time.Time{}
	}
	return first.Expiry
}
