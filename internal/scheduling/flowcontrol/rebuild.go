package flowcontrol

import (
	"container/heap"
	"sort"
)

// All lists the waiting items in the order in which they came.
func (q *Queue) All() []*Item {
	out := make([]*Item, 0, len(q.byID))
	for _, item := range q.byID {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].sequence < out[j].sequence })
	return out
}

// SetAside hides an item from its lane until PutBack; it still waits.
func (q *Queue) SetAside(item *Item) {
	heap.Remove(&item.lane.classes[item.Request.Class], item.inLane)
}

// PutBack ends SetAside.
func (q *Queue) PutBack(item *Item) {
	heap.Push(&item.lane.classes[item.Request.Class], item)
}

// Restore adds an item of an earlier queue, also above the limit of its class: a
// request that was accepted isn't dropped by a new configuration.
func (q *Queue) Restore(lane *Lane, item *Item) { q.add(lane, item) }
