package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/membership"
)

// Periods at which the shells feed the machines.
const (
	machineTick = 100 * time.Millisecond
	spreadTick  = 200 * time.Millisecond
	listPeriod  = 2 * time.Second
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// path is a direction between two instances.
type path struct{ from, to string }

// world is a fleet with its network, store and list.
type world struct {
	now    time.Time
	seq    uint64
	queue  eventQueue
	rand   *rand.Rand
	nodes  []*node
	byName map[string]*node
	store  *fakeStore
	oracle *oracle
	broken variant

	cut        map[path]bool
	lossPerMil int
	maxDelay   time.Duration

	listFrozen  []membership.Listed
	listMissing map[string]bool
	phantom     bool

	settings membership.Settings
	events   int
	actions  int
	messages int
	bytes    int
	changes  int
}

// node is one instance; its process may be restarted.
type node struct {
	w     *world
	id    membership.Identity
	epoch int
	// firstIncarnation is that of the current process at its start.
	firstIncarnation uint64

	up          bool
	leaving     bool
	pausedUntil time.Time

	machine  *membership.Machine
	spread   *confsync.FetchPlanner
	held     confsync.Stored
	storeRev int
	watching bool

	membersVersion uint64
}

func newWorld(n, domains int, seed uint64, broken variant) *world {
	w := &world{
		now:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rand:        rand.New(rand.NewPCG(seed, 7)),
		byName:      map[string]*node{},
		cut:         map[path]bool{},
		listMissing: map[string]bool{},
		maxDelay:    2 * time.Millisecond,
		broken:      broken,
		settings:    membership.DefaultSettings(),
	}
	w.oracle = newOracle(w)
	w.store = &fakeStore{w: w}
	for i := range n {
		node := &node{w: w, id: membership.Identity{
			Name:          fmt.Sprintf("entry-%04d", i),
			CallerAddress: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7443", i>>16, i>>8&255, i&255),
			FailureDomain: fmt.Sprintf("zone-%d", i%domains),
		}}
		w.nodes = append(w.nodes, node)
		w.byName[node.id.Name] = node
	}
	return w
}

// after plans an event.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// advance runs all events of the next stretch of time.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.events++
		e.run()
	}
	w.now = end
}

// start runs a new process of the instance, which remembers nothing.
func (n *node) start() {
	n.epoch++
	n.up, n.leaving, n.pausedUntil = true, false, time.Time{}
	incarnation := uint64(n.w.now.UnixMilli())
	n.firstIncarnation = incarnation
	seed := n.w.rand.Uint64()
	n.machine = membership.New(n.id, incarnation, n.w.settings, seed)
	n.spread = confsync.NewFetchPlanner(n.id.Name, seed)
	n.held, n.storeRev, n.watching, n.membersVersion = confsync.Stored{}, 0, false, 0
	n.w.oracle.started(n)
	n.every(machineTick, func() { n.send(n.machine.Tick(n.w.now)) })
	n.every(spreadTick, n.tickSpread)
	n.every(listPeriod, func() { n.machine.SetListed(n.w.now, n.w.list()) })
}

func (n *node) stop() { n.up = false }

// every repeats an action of the current process, starting within one period.
func (n *node) every(period time.Duration, action func()) {
	epoch := n.epoch
	var repeat func()
	repeat = func() {
		if n.epoch != epoch || !n.up {
			return
		}
		n.when(epoch, action)
		n.w.after(period, repeat)
	}
	n.w.after(time.Duration(n.w.rand.Int64N(int64(period))), repeat)
}

// when runs an event of a process now, or after its pause.
func (n *node) when(epoch int, action func()) {
	switch {
	case n.epoch != epoch || !n.up:
	case n.w.now.Before(n.pausedUntil):
		wait := n.pausedUntil.Sub(n.w.now)
		n.w.after(wait, func() { n.when(epoch, action) })
	default:
		action()
		n.w.oracle.check(n)
	}
}

// passes reports whether a message from one instance reaches another.
func (w *world) passes(from, to string) bool {
	return !w.cut[path{from, to}] && w.rand.IntN(1000) >= w.lossPerMil
}

func (w *world) delay() time.Duration {
	return time.Millisecond/2 + time.Duration(w.rand.Int64N(int64(w.maxDelay)))
}

func (n *node) send(sends []membership.OutgoingMessage) {
	for _, send := range sends {
		n.w.messages++
		if measureBytes {
			n.w.measure(send)
		}
		to := n.w.byName[send.To]
		if to == nil || !n.w.passes(n.id.Name, send.To) {
			continue
		}
		message := n.w.broken.tamper(to, send.Message)
		epoch := to.epoch
		n.w.after(n.w.delay(), func() { to.when(epoch, func() { to.receive(message) }) })
	}
}

func (n *node) receive(message membership.Message) {
	n.spread.ObserveRevision(message.From, message.Revision)
	n.send(n.machine.Receive(n.w.now, message))
}

// list is the platform's list as the world shows it now.
func (w *world) list() []membership.Listed {
	if w.listFrozen != nil {
		return w.listFrozen
	}
	var out []membership.Listed
	for _, n := range w.nodes {
		if !w.listMissing[n.id.Name] {
			out = append(out, membership.Listed{Identity: n.id})
		}
	}
	if w.phantom {
		out = append(out, membership.Listed{Identity: membership.Identity{
			Name: "phantom", PeerAddress: "10.9.9.9:7443", FailureDomain: "zone-0",
		}})
	}
	return out
}
