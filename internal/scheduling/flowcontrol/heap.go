package flowcontrol

import "container/heap"

// itemHeap is a heap of waiting items. index returns where an item stores its position in
// this heap: an item is in several heaps at once and has a position in each.
type itemHeap struct {
	list  []*Item
	less  func(a, b *Item) bool
	index func(*Item) *int
}

var _ heap.Interface = (*itemHeap)(nil)

func inOrder() itemHeap {
	return itemHeap{less: goesBefore, index: func(i *Item) *int { return &i.laneIndex }}
}

// lastFirst is the reverse of inOrder.
func lastFirst() itemHeap {
	return itemHeap{
		less:  func(a, b *Item) bool { return goesBefore(b, a) },
		index: func(i *Item) *int { return &i.holdingIndex },
	}
}

func byCheckAt() itemHeap {
	return itemHeap{
		less:  func(a, b *Item) bool { return a.CheckAt.Before(b.CheckAt) },
		index: func(i *Item) *int { return &i.checkIndex },
	}
}

// goesBefore orders the items of one workspace and class: those that aren't late first, then by deadline, then
// by the order in which they were pushed.
func goesBefore(a, b *Item) bool {
	if a.Late != b.Late {
		return b.Late
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.sequence < b.sequence
}

func (h *itemHeap) Len() int           { return len(h.list) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.list[i], h.list[j]) }

func (h *itemHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	*h.index(h.list[i]) = i
	*h.index(h.list[j]) = j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	*h.index(item) = len(h.list)
	h.list = append(h.list, item)
}

func (h *itemHeap) Pop() any {
	last := len(h.list) - 1
	item := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return item
}

func (h *itemHeap) first() *Item {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}
