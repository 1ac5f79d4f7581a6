package modelengine

import (
	"container/heap"
	"strconv"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// run is one request in the engine.
type run struct {
	id       request.ID
	model    modelref.Ref
	priority int
	deadline time.Time
	sequence uint64
	// chat is true for /v1/chat/completions.
	chat        bool
	prompt      string
	prefillLeft float64
	// tokens is how many tokens exist; limit is how many the answer has.
	tokens, limit int
	state         engine.RunState
	// changed is closed and replaced when tokens or state change.
	changed chan struct{}
}

func newRun(id request.ID) *run {
	return &run{id: id, state: engine.RunWaiting, changed: make(chan struct{})}
}

// announce wakes all that wait for the run.
func (r *run) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// ended reports whether no more tokens will come.
func (r *run) ended() bool {
	return r.state != engine.RunWaiting && r.state != engine.RunRunning
}

func (r *run) finish(state engine.RunState) {
	if r.ended() {
		return
	}
	r.state = state
	r.announce()
}

// Token is the text of the piece at an offset of a request's answer. Whoever reads
// it can tell whose it is and where it belongs.
func Token(id request.ID, offset int) string {
	return string(id) + "#" + strconv.Itoa(offset) + " "
}

// runQueue orders waiting runs by priority, then deadline, then arrival.
type runQueue []*run

var _ heap.Interface = (*runQueue)(nil)

func (q runQueue) Len() int { return len(q) }

func (q runQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.sequence < b.sequence
}

func (q runQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *runQueue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}

// waitingTokens is how many tokens the waiting runs still need.
func (q runQueue) waitingTokens() int {
	total := 0
	for _, r := range q {
		total += r.limit
	}
	return total
}
