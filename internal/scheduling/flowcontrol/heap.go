package flowcontrol

import "container/heap"

// items is a heap of waiting items. position tells where an item stores its index
// in this heap, since an item is in two heaps at once.
type items struct {
	list     []*Item
	less     func(a, b *Item) bool
	position func(*Item) *int
}

var _ heap.Interface = (*items)(nil)

func byDeadline() items {
	return items{less: deadlineBefore, position: func(i *Item) *int { return &i.inLane }}
}

func byExpiry() items {
	return items{
		less:     func(a, b *Item) bool { return a.Expiry.Before(b.Expiry) },
		position: func(i *Item) *int { return &i.inExpiry },
	}
}

// deadlineBefore orders by deadline, then by arrival at the queue.
func deadlineBefore(a, b *Item) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.sequence < b.sequence
}

func (h *items) Len() int           { return len(h.list) }
func (h *items) Less(i, j int) bool { return h.less(h.list[i], h.list[j]) }

func (h *items) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	*h.position(h.list[i]) = i
	*h.position(h.list[j]) = j
}

// Push implements heap.Interface.
func (h *items) Push(x any) {
	item := x.(*Item)
	*h.position(item) = len(h.list)
	h.list = append(h.list, item)
}

// Pop implements heap.Interface.
func (h *items) Pop() any {
	last := len(h.list) - 1
	item := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return item
}

func (h *items) first() *Item {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}
