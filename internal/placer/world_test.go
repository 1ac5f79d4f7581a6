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

// The two keys in the fake service.
const (
	leaseKeyName  = "lease"
	ledgerKeyName = "ledger"
)

// queued is an order on its way to an engine. It may arrive at any time.
type queued struct {
	order  engine.Order
	server int
	// notBefore is when the order may arrive at the earliest, while faults go on.
	notBefore time.Time
	// executed is true for a further copy of an order that arrived before.
	executed bool
}

// holder is one instance with its own, pausable view.
type holder struct {
	core   *core
	name   string
	starts int
	paused bool
	// suspended is a pause in which the holder's own clock stands still, and behind is
	// how far that has set it back.
	suspended bool
	behind    time.Duration
	outbox    []effect
	mailbox   []mail
}

// mail is a result on its way to a holder.
type mail struct {
	result result
	// notBefore is when it may be delivered at the earliest, while faults go on.
	notBefore time.Time
}

// breakage is a deliberate fault of a broken variant. All fields may be nil.
type breakage struct {
	// beforeTick may meddle with a holder's state.
	beforeTick func(w *world, h *holder)
	// onResult may forge what a holder learns.
	onResult func(w *world, h *holder, r *result)
	// policy wraps the planner.
	policy func(placement.Policy) placement.Policy
	// careless names a key whose writes go through whatever revision they expect.
	careless string
	// flatFence gives all orders the fencing number 1.
	flatFence bool
	// only names the one invariant that is checked; empty means all.
	only invariant
	// salt varies the run of a seed.
	salt uint64
	// swallowFence makes engines answer a fence and not take it.
	swallowFence bool
	// loadsFactor multiplies the weight store's limits that holders see.
	loadsFactor int
}

// world is the truth: keys, engines, orders on their way, and holders that see it
// late. It advances only by its methods.
type world struct {
	now      time.Time
	document *site.Document
	seen     *site.Document
	keys     *fakeKeys
	away     bool
	engines  []*fakeEngine
	cut      []bool
	queue    []queued
	holders  []*holder
	random   *rand.Rand
	broken   breakage
	chaos    bool
	// reliable takes the lateness out of calls and orders.
	reliable bool
	counts   map[modelref.Ref]uint64
	oracle   *oracle
}

func newWorld(doc *site.Document, holders int, seed uint64, broken breakage) *world {
	w := &world{
		now:      time.Unix(1_000_000, 0),
		document: doc,
		seen:     doc,
		keys:     newFakeKeys(),
		engines:  newFakeEngines(doc),
		cut:      make([]bool, len(doc.Servers)),
		random:   rand.New(rand.NewPCG(seed, broken.salt)),
		broken:   broken,
		chaos:    true,
		counts:   map[modelref.Ref]uint64{},
	}
	w.keys.careless = broken.careless
	if broken.loadsFactor > 1 {
		changed := *doc
		changed.Budgets.ConcurrentLoads *= broken.loadsFactor
		w.seen = &changed
	}
	w.oracle = newOracle(w)
	for i := range holders {
		h := &holder{name: fmt.Sprintf("h%d", i)}
		w.startHolder(h)
		w.holders = append(w.holders, h)
	}
	return w
}

// startHolder begins a new process, which knows nothing.
func (w *world) startHolder(h *holder) {
	h.starts++
	h.paused, h.behind, h.mailbox = false, 0, nil
	instance := fmt.Sprintf("%s.%d", h.name, h.starts)
	config := lease.Config{
		Instance: instance, TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: time.Second,
	}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	var policy placement.Policy = &chaosPolicy{world: w, inner: placement.NewValue(), random: random}
	if w.broken.policy != nil {
		policy = w.broken.policy(policy)
	}
	tracker := demand.New(demand.DefaultConfig(), nil)
	h.core = newCore(instance, testCell, policy, lease.New(config, random), tracker, random)
}

// advance moves time on and gives each running holder a tick.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		e.advance(w.now)
	}
	for _, h := range w.holders {
		if h.paused && h.suspended {
			h.behind += d
		}
		if h.paused {
			continue
		}
		if w.broken.beforeTick != nil {
			w.broken.beforeTick(w, h)
		}
		h.core.configure(w.seen, nil)
		h.outbox = append(h.outbox, h.core.tick(w.clock(h), w.samples())...)
		w.oracle.watch(h)
	}
}

// clock is the time as a holder sees it.
func (w *world) clock(h *holder) time.Time { return w.now.Add(-h.behind) }

func (w *world) samples() []demand.Sample {
	var out []demand.Sample
	for _, u := range w.document.Units() {
		n := w.counts[u.Ref]
		out = append(out, demand.Sample{Instance: "gateway", Ref: u.Ref, Class: u.Class, Requests: n, Tokens: n * 100})
	}
	return out
}

// deliver gives a running holder the nth result of its mailbox.
func (w *world) deliver(h *holder, n int) {
	r := h.mailbox[n].result
	h.mailbox = slices.Delete(h.mailbox, n, n+1)
	if w.broken.onResult != nil {
		w.broken.onResult(w, h, &r)
	}
	h.outbox = append(h.outbox, h.core.handle(w.clock(h), r)...)
	w.oracle.watch(h)
}

// arrive lets the nth queued order reach its engine.
func (w *world) arrive(n int) {
	q := w.queue[n]
	w.queue = slices.Delete(w.queue, n, n+1)
	for i := range w.queue {
		if w.queue[i].order.ID == q.order.ID {
			w.queue[i].executed = true
		}
	}
	if w.broken.swallowFence && q.order.Action == engine.ActionFence {
		return
	}
	w.oracle.arriving(q)
	// The holder learns of a refusal from the inventory.
	_ = w.engines[q.server].obey(w.now, q.order)
}

// restartEngine begins a new engine process. Orders that never arrived still may;
// further copies of an order that the old process took die with its connections.
func (w *world) restartEngine(i int) {
	w.oracle.disturbed(i)
	took := w.engines[i].outcomes
	w.engines[i].restart()
	w.queue = slices.DeleteFunc(w.queue, func(q queued) bool {
		return q.server == i && (q.executed || slices.ContainsFunc(took, func(o engine.OrderOutcome) bool { return o.ID == q.order.ID }))
	})
	for _, h := range w.holders {
		h.outbox = slices.DeleteFunc(h.outbox, func(e effect) bool {
			return e.kind == effectSubmit && slices.ContainsFunc(took, func(o engine.OrderOutcome) bool { return o.ID == e.order.ID })
		})
	}
}

// foreignUnload is somebody else's order on a server that doesn't check its orders.
func (w *world) foreignUnload(i, n int) {
	e := w.engines[i]
	if n >= len(e.holdings) || e.holdings[n].State != engine.StateResident {
		return
	}
	w.oracle.disturbed(i)
	e.holdings = slices.Delete(e.holdings, n, n+1)
}

// flow performs a holder's calls in order and delivers their results, as on a good
// network, but for a few that stay behind. Orders wait in the engines' queues.
func (w *world) flow(h *holder) {
	for n := 0; n < len(h.outbox); {
		if w.random.IntN(20) == 0 {
			n++
			continue
		}
		w.perform(h, n, fateDone)
	}
	for n := 0; !h.paused && n < len(h.mailbox); {
		if w.now.Before(h.mailbox[n].notBefore) {
			n++
			continue
		}
		w.deliver(h, n)
	}
}

// settleAll performs, delivers and lets arrive all that is open, without faults.
func (w *world) settleAll() {
	for _, h := range w.holders {
		for len(h.outbox) > 0 {
			w.perform(h, 0, fateDone)
		}
	}
	for len(w.queue) > 0 {
		w.arrive(0)
	}
	for _, h := range w.holders {
		for !h.paused && len(h.mailbox) > 0 {
			w.deliver(h, 0)
		}
	}
}

// unloadOpen reports whether an unload of a version may still reach an engine.
func (w *world) unloadOpen(server int, ref modelref.Ref) bool {
	name := w.engines[server].spec.Name
	unloads := func(o engine.Order) bool { return o.Action == engine.ActionUnload && o.Ref == ref }
	if slices.ContainsFunc(w.queue, func(q queued) bool { return q.server == server && unloads(q.order) }) {
		return true
	}
	for _, h := range w.holders {
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

// heal ends all faults.
func (w *world) heal() {
	w.away, w.chaos = false, false
	for i := range w.cut {
		w.cut[i] = false
	}
	for _, h := range w.holders {
		h.paused = false
	}
}

// converge heals the world and lets it work undisturbed.
func (w *world) converge(d time.Duration, check func()) {
	w.heal()
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(200 * time.Millisecond)
		w.settleAll()
		check()
	}
}

func (w *world) describe() string {
	var b strings.Builder
	for i, e := range w.engines {
		fmt.Fprintf(&b, "%s honours=%v fence=%d used=%d/%d cut=%v:", e.spec.Name, e.spec.HonoursFencing, e.fence, e.used(), e.spec.MemoryMB, w.cut[i])
		for _, h := range e.holdings {
			fmt.Fprintf(&b, " %s(%s)", h.Ref, h.State)
		}
		b.WriteString("\n")
	}
	for _, h := range w.holders {
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
