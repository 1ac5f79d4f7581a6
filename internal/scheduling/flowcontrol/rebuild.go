package flowcontrol

import "sort"

// All returns the waiting items in the order in which they were pushed.
func (q *Queue) All() []*Item {
	out := make([]*Item, 0, len(q.byID))
	for _, item := range q.byID {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].sequence < out[j].sequence })
	return out
}

// Hide hides an item from its lane until Unhide. The item still counts as waiting. It must
// be made visible again with Unhide before it can be removed or canceled.
func (q *Queue) Hide(item *Item) {
	item.lane.lines[item.Request.Class].hide(item)
}

// Unhide makes a hidden item visible in its lane again.
func (q *Queue) Unhide(item *Item) {
	item.lane.lines[item.Request.Class].show(item)
}

// Restore adds an item of an earlier queue even if its class is full: a request that was
// accepted isn't dropped by a new configuration.
func (q *Queue) Restore(lane *Lane, item *Item) { q.add(lane, item) }
