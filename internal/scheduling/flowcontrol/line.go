package flowcontrol

import (
	"container/heap"

	"limpethub/internal/scheduling/fairshare"
)

// line holds the waiting requests of one class in a lane, in a heap per workspace. A heap of the
// workspaces gives the one that goes first. Requests without a workspace count as one workspace, so
// that a line of a deployment without workspaces is ordered by goesBefore alone.
type line struct {
	fair   *fairshare.Line
	groups map[string]*group
	order  groupHeap
	// waiting is the number of requests, hidden ones included.
	waiting int
}

// group holds the waiting requests of a workspace in a line.
type group struct {
	share *fairshare.Share
	items itemHeap
	// waiting is the number of requests; items lacks the hidden ones.
	waiting int
	// start is the start of share by which the group is placed in the heap. It may lag behind the
	// share's: that only grows, so it is corrected when the group comes first; see first.
	start float64
	// index is the position in the heap; -1 while items is empty.
	index int
}

func newLine(clock *fairshare.Clock) *line {
	return &line{fair: clock.NewLine(), groups: map[string]*group{}}
}

// add adds a new item.
func (l *line) add(item *Item) {
	g := l.groups[item.Request.Workspace]
	if g == nil {
		g = &group{share: l.fair.Enter(item.Request.Workspace), items: inOrder(), index: -1}
		g.start = g.share.Start()
		l.groups[item.Request.Workspace] = g
	}
	g.waiting++
	l.waiting++
	item.group = g
	if !item.Late {
		g.share.AddWaiting(item.Cost)
	}
	l.show(item)
}

// remove removes an item that isn't hidden.
func (l *line) remove(item *Item) {
	g := item.group
	l.hide(item)
	if !item.Late {
		g.share.AddWaiting(-item.Cost)
	}
	g.waiting--
	l.waiting--
	if g.waiting == 0 {
		l.fair.Leave(g.share)
		delete(l.groups, item.Request.Workspace)
	}
}

func (l *line) hide(item *Item) {
	heap.Remove(&item.group.items, item.laneIndex)
	l.fix(item.group)
}

func (l *line) show(item *Item) {
	heap.Push(&item.group.items, item)
	l.fix(item.group)
}

// markLate moves an item behind those that aren't late.
func (l *line) markLate(item *Item) {
	item.group.share.AddWaiting(-item.Cost)
	heap.Fix(&item.group.items, item.laneIndex)
	l.fix(item.group)
}

// fix moves a group whose items have changed to its place in the heap.
func (l *line) fix(g *group) {
	switch {
	case g.items.Len() == 0:
		heap.Remove(&l.order, g.index)
	case g.index < 0:
		heap.Push(&l.order, g)
	default:
		heap.Fix(&l.order, g.index)
	}
}

// first returns the item that goes first; nil if there is none.
func (l *line) first() *Item {
	for len(l.order) > 0 {
		g := l.order[0]
		if g.start == g.share.Start() {
			return g.items.first()
		}
		g.start = g.share.Start()
		heap.Fix(&l.order, 0)
	}
	return nil
}

// groupHeap orders the workspaces of a line: those with a request that isn't late first, then those
// with the earlier start, then by the deadlines of their first requests.
type groupHeap []*group

var _ heap.Interface = (*groupHeap)(nil)

func (h groupHeap) Len() int { return len(h) }

func (h groupHeap) Less(i, j int) bool {
	a, b := h[i].items.first(), h[j].items.first()
	if a.Late == b.Late && h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return goesBefore(a, b)
}

func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.index = len(*h)
	*h = append(*h, g)
}

func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	g.index = -1
	return g
}
