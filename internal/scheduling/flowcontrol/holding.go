package flowcontrol

import "container/heap"

// holding holds the waiting requests of a workspace and class in all lanes, the last one first.
type holding struct {
	items itemHeap
}

func (q *Queue) hold(item *Item) {
	holdings := q.holdings[item.Request.Class]
	h := holdings[item.Request.Workspace]
	if h == nil {
		h = &holding{items: lastFirst()}
		holdings[item.Request.Workspace] = h
	}
	item.holding = h
	heap.Push(&h.items, item)
}

func (q *Queue) release(item *Item) {
	heap.Remove(&item.holding.items, item.holdingIndex)
	if item.holding.items.Len() == 0 {
		delete(q.holdings[item.Request.Class], item.Request.Workspace)
	}
}

// GivesWay returns the waiting item that must be removed to make room for a new one in a class
// that is full: the last one of the workspace with the most waiting requests. It returns nil if the
// class isn't full, or if no other workspace has more waiting requests than the new item's.
//
// The load is a workspace at many times its usual demand, which would take all places of its class.
func (q *Queue) GivesWay(item *Item) *Item {
	if !q.Full(item.Request.Class) {
		return nil
	}
	holdings := q.holdings[item.Request.Class]
	most := 0
	if own := holdings[item.Request.Workspace]; own != nil {
		most = own.items.Len()
	}
	// The new item's own workspace would have one more. Equal ones don't displace each other.
	most++
	var last *Item
	for _, h := range holdings {
		if n := h.items.Len(); n > most || n == most && last != nil && goesBefore(last, h.items.first()) {
			most, last = n, h.items.first()
		}
	}
	return last
}

// Workspaces returns the number of waiting requests of each workspace that has any.
func (q *Queue) Workspaces() map[string]int {
	out := map[string]int{}
	for _, holdings := range q.holdings {
		for workspace, h := range holdings {
			out[workspace] += h.items.Len()
		}
	}
	return out
}
