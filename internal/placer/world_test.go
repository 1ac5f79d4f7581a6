package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/ledger"
	"limpethub/internal/modelref"
	"limpethub/internal/placement"
	"limpethub/internal/site"
)

// Keys in the fake store.
const (
	leaseKeyName  = "lease"
	ledgerKeyName = "ledger"
)

// queuedOrder is an order in flight to an engine. Orders may overtake each other.
type queuedOrder struct {
	order  engine.Order
	server int
	// notBefore is the earliest arrival time while faults are injected.
	notBefore time.Time
	// arrived is true for a duplicate of an order that has already arrived.
	arrived bool
}

// instance is one candidate for the lease, with its calls and results in flight. It can be
// paused.
type instance struct {
	core       *core
	name       string
	startCount int
	paused     bool
	// clockStopped is true during a pause in which the instance's clock stands still;
	// clockLag is how far its clock is behind for that reason.
	clockStopped bool
	clockLag     time.Duration
	outbox       []effect
	mailbox      []delayedResult
}

// delayedResult is a result in flight to an instance.
type delayedResult struct {
	result result
	// notBefore is the earliest delivery time while faults are injected.
	notBefore time.Time
}

// mutation is a deliberate defect of the placer or the simulation. The zero value has none.
type mutation struct {
	// beforeTick may change an instance's state.
	beforeTick func(w *world, h *instance)
	// onResult may change a result before an instance receives it.
	onResult   func(w *world, h *instance, r *result)
	wrapPolicy func(placement.Policy) placement.Policy
	// unconditionalKey names a key whose writes succeed whatever revision they expect.
	unconditionalKey string
	// constantFence gives all orders the fencing number 1.
	constantFence bool
	// onlyInvariant names the one invariant to check; empty means all.
	onlyInvariant invariant
	// salt is part of the random seed, so that the same rapid seed gives another run.
	salt uint64
	// ignoreFenceOrders drops fence orders before they reach an engine.
	ignoreFenceOrders bool
	// loadsFactor multiplies the limit on concurrent loads that instances see.
	loadsFactor int
}

// world is the simulation: the store, the engines, orders in flight, and the instances,
// which learn of its state with delays. Its time advances only by its methods.
type world struct {
	now      time.Time
	document *site.Document
	// instanceDocument is the configuration that instances get.
	instanceDocument *site.Document
	store            *fakeStore
	storeDown        bool
	engines          []*fakeEngine
	// unreachable is true, per server, while no call reaches it.
	unreachable []bool
	orderQueue  []queuedOrder
	instances   []*instance
	random      *rand.Rand
	mutation    mutation
	// chaos is true while chaosPolicy adds moves.
	chaos bool
	// delaysOff turns off random delays of results and orders.
	delaysOff     bool
	requestCounts map[modelref.Ref]uint64
	oracle        *oracle
}

func newWorld(doc *site.Document, instanceCount int, seed uint64, mutation mutation) *world {
	w := &world{
		now:              time.Unix(1_000_000, 0),
		document:         doc,
		instanceDocument: doc,
		store:            newFakeStore(),
		engines:          newFakeEngines(doc),
		unreachable:      make([]bool, len(doc.Servers)),
		random:           rand.New(rand.NewPCG(seed, mutation.salt)),
		mutation:         mutation,
		chaos:            true,
		requestCounts:    map[modelref.Ref]uint64{},
	}
	w.store.unconditionalKey = mutation.unconditionalKey
	if mutation.loadsFactor > 1 {
		changed := *doc
		changed.Budgets.ConcurrentLoads *= mutation.loadsFactor
		w.instanceDocument = &changed
	}
	w.oracle = newOracle(w)
	for i := range instanceCount {
		h := &instance{name: fmt.Sprintf("h%d", i)}
		w.startInstance(h)
		w.instances = append(w.instances, h)
	}
	return w
}

// startInstance starts a new process of an instance, which has no state.
func (w *world) startInstance(h *instance) {
	h.startCount++
	h.paused, h.clockLag, h.mailbox = false, 0, nil
	name := fmt.Sprintf("%s.%d", h.name, h.startCount)
	config := lease.Config{
		Instance: name, TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: time.Second,
	}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	var policy placement.Policy = &chaosPolicy{world: w, inner: placement.NewValue(), random: random}
	if w.mutation.wrapPolicy != nil {
		policy = w.mutation.wrapPolicy(policy)
	}
	tracker := demand.New(demand.DefaultConfig(), nil)
	h.core = newCore(name, testCell, policy, lease.New(config, random), tracker, random)
}

// advance moves time forward and ticks each running instance.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		e.advance(w.now)
	}
	for _, h := range w.instances {
		if h.paused && h.clockStopped {
			h.clockLag += d
		}
		if h.paused {
			continue
		}
		if w.mutation.beforeTick != nil {
			w.mutation.beforeTick(w, h)
		}
		h.core.configure(w.instanceDocument, nil)
		h.outbox = append(h.outbox, h.core.tick(w.clock(h), w.samples())...)
		w.oracle.observeEvents(h)
	}
}

// clock returns the time by an instance's clock.
func (w *world) clock(h *instance) time.Time { return w.now.Add(-h.clockLag) }

func (w *world) samples() []demand.Sample {
	var out []demand.Sample
	for _, u := range w.document.Units() {
		n := w.requestCounts[u.Ref]
		out = append(out, demand.Sample{Instance: "gateway", Ref: u.Ref, Class: u.Class, Requests: n, Tokens: n * 100})
	}
	return out
}

// deliverResult passes the nth result in an instance's mailbox to the instance.
func (w *world) deliverResult(h *instance, n int) {
	r := h.mailbox[n].result
	h.mailbox = slices.Delete(h.mailbox, n, n+1)
	if w.mutation.onResult != nil {
		w.mutation.onResult(w, h, &r)
	}
	h.outbox = append(h.outbox, h.core.handle(w.clock(h), r)...)
	w.oracle.observeEvents(h)
}

// deliverOrder lets the nth order in the queue arrive at its engine.
func (w *world) deliverOrder(n int) {
	q := w.orderQueue[n]
	w.orderQueue = slices.Delete(w.orderQueue, n, n+1)
	for i := range w.orderQueue {
		if w.orderQueue[i].order.ID == q.order.ID {
			w.orderQueue[i].arrived = true
		}
	}
	if w.mutation.ignoreFenceOrders && q.order.Action == engine.ActionFence {
		return
	}
	w.oracle.observeArrival(q)
	// The instance learns from the inventory whether the order was refused.
	_ = w.engines[q.server].submit(w.now, q.order)
}

// restartEngine starts a new engine process. Orders in flight may still arrive, but
// duplicates of orders that the old process received are lost with its connections.
func (w *world) restartEngine(i int) {
	w.oracle.exemptVersionsOn(i)
	executed := w.engines[i].outcomes
	w.engines[i].restart()
	w.orderQueue = slices.DeleteFunc(w.orderQueue, func(q queuedOrder) bool {
		return q.server == i && (q.arrived || slices.ContainsFunc(executed, func(o engine.OrderOutcome) bool { return o.ID == q.order.ID }))
	})
	for _, h := range w.instances {
		h.outbox = slices.DeleteFunc(h.outbox, func(e effect) bool {
			return e.kind == effectSubmit && slices.ContainsFunc(executed, func(o engine.OrderOutcome) bool { return o.ID == e.order.ID })
		})
	}
}

// foreignUnload is an unload by a third party on a server that doesn't check who orders.
func (w *world) foreignUnload(i, n int) {
	e := w.engines[i]
	if n >= len(e.holdings) || e.holdings[n].State != engine.StateResident {
		return
	}
	w.oracle.exemptVersionsOn(i)
	e.holdings = slices.Delete(e.holdings, n, n+1)
}

// performAndDeliver makes an instance's calls in order and delivers their results, as on a
// working network, except that one call in 20 isn't made yet. Orders stay in the queue.
func (w *world) performAndDeliver(h *instance) {
	for n := 0; n < len(h.outbox); {
		if w.random.IntN(20) == 0 {
			n++
			continue
		}
		w.perform(h, n, faultNone)
	}
	for n := 0; !h.paused && n < len(h.mailbox); {
		if w.now.Before(h.mailbox[n].notBefore) {
			n++
			continue
		}
		w.deliverResult(h, n)
	}
}

// completeAll makes all calls and delivers all orders and results, without faults and
// regardless of their delays.
func (w *world) completeAll() {
	for _, h := range w.instances {
		for len(h.outbox) > 0 {
			w.perform(h, 0, faultNone)
		}
	}
	for len(w.orderQueue) > 0 {
		w.deliverOrder(0)
	}
	for _, h := range w.instances {
		for !h.paused && len(h.mailbox) > 0 {
			w.deliverResult(h, 0)
		}
	}
}

// unloadPending reports whether an unload of a version may still arrive at an engine.
func (w *world) unloadPending(server int, ref modelref.Ref) bool {
	name := w.engines[server].spec.Name
	unloads := func(o engine.Order) bool { return o.Action == engine.ActionUnload && o.Ref == ref }
	if slices.ContainsFunc(w.orderQueue, func(q queuedOrder) bool { return q.server == server && unloads(q.order) }) {
		return true
	}
	for _, h := range w.instances {
		if slices.ContainsFunc(h.outbox, func(e effect) bool { return e.server == name && unloads(e.order) }) {
			return true
		}
		if h.core.ledger == nil {
			continue
		}
		if slices.ContainsFunc(h.core.ledger.Pending(name), func(p ledger.Pending) bool { return unloads(p.Order) }) {
			return true
		}
	}
	return false
}

// endFaults makes the store and all engines reachable, ends pauses and stops the moves of
// chaosPolicy. Clocks that are behind stay so, and lost copies stay lost.
func (w *world) endFaults() {
	w.storeDown, w.chaos = false, false
	for i := range w.unreachable {
		w.unreachable[i] = false
	}
	for _, h := range w.instances {
		h.paused = false
	}
}

// runWithoutFaults ends all faults and runs the simulation for a duration. Delays of
// results and orders have no effect, because completeAll ignores them.
func (w *world) runWithoutFaults(d time.Duration, check func()) {
	w.endFaults()
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(200 * time.Millisecond)
		w.completeAll()
		check()
	}
}

func (w *world) describe() string {
	var b strings.Builder
	for i, e := range w.engines {
		fmt.Fprintf(&b, "%s honours=%v fence=%d used=%d/%d unreachable=%v:", e.spec.Name, e.spec.HonoursFencing, e.fence, e.usedMB(), e.spec.MemoryMB, w.unreachable[i])
		for _, h := range e.holdings {
			fmt.Fprintf(&b, " %s(%s)", h.Ref, h.State)
		}
		b.WriteString("\n")
	}
	for _, h := range w.instances {
		fmt.Fprintf(&b, "%s phase=%d term=%d holds=%v paused=%v\n", h.name, h.core.phase, h.core.lease.Term(), h.core.lease.Holds(w.clock(h)), h.paused)
		if h.core.ledger == nil {
			continue
		}
		for _, a := range h.core.ledger.Accounts() {
			fmt.Fprintf(&b, "  %s ready=%v committed=%d pending=%v\n", a.Spec.Name, a.Ready, a.CommittedMB, a.Pending)
		}
		fmt.Fprintf(&b, "  plan %+v\n", h.core.plan)
	}
	return b.String()
}
