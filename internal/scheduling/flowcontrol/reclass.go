package flowcontrol

import "sort"

// All lists the waiting items in the order in which they came.
func (q *Queue) All() []*Item {
	out := make([]*Item, 0, len(q.byID))
	for _, item := range q.byID {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].sequence < out[j].sequence })
	return out
}

// Restore adds an item of an earlier queue, also above the limit of its class: a
// request that was accepted isn't dropped by a new configuration.
func (q *Queue) Restore(lane *Lane, item *Item) { q.add(lane, item) }
