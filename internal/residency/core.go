package residency

import (
	"fmt"
	"slices"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

const (
	// unloadNotice is how long before its order an unload is told to all instances, so
	// that no request for the model is on its way.
	unloadNotice = 60 * time.Millisecond
	// settling is how long no new server must have shown up for a new holder to plan, and
	// longestSettling how long it waits for that at most.
	settling        = 1800 * time.Millisecond
	longestSettling = 8 * time.Second
	// loadBurst is how many loads from the weight store may begin at once.
	loadBurst = 3
	// loadShare is the part of the weight store's rate that is used: orders that are
	// carried out late may fall together.
	loadShare = 0.9
)

// effectKind says what call an effect makes.
type effectKind uint8

const (
	effectReadLease effectKind = iota + 1
	effectWriteLease
	effectState
	effectOrder
)

// effect is a call that the core wants made.
type effect struct {
	kind   effectKind
	todo   lease.Todo
	server engine.Server
	born   int64
	order  engine.SequencedOrder
	// term is the term in which the effect was decided on.
	term uint64
}

// result is how a call ended.
type result struct {
	effect effect
	record lease.Record
	// revision is the lease key's.
	revision int64
	state    engine.SequencedState
	answer   engine.OrderAnswer
	err      error
}

// Moved is news that a version can be used on a server from now on, or no longer.
type Moved struct {
	Server  string
	Born    int64
	Ref     modelref.Ref
	Present bool
}

// line is a log line that the core wants written.
type line struct {
	message string
	fields  map[string]any
	warn    bool
}

// notice is an unload that was announced and waits for its order.
type notice struct {
	move Move
	at   time.Time
}

// core is the decision part of the Manager. It has no goroutine, clock or socket.
type core struct {
	instance string
	lease    *lease.Machine
	// takeover is how long a new holder waits before its first order, until no order of
	// the last one can be on its way.
	takeover time.Duration
	holding  bool
	since    time.Time

	document *site.Document
	models   map[modelref.Ref]site.Model
	adapters map[modelref.Ref]site.Adapter

	accounts map[string]*account
	// seen are the servers of the last step, and cameLast is when one was last new.
	seen     map[string]bool
	cameLast time.Time
	notices  map[string]notice
	tracker  *Tracker
	requests map[string]int
	// loads is how many loads may begin now, per service, and refilled when that was so.
	loads    map[string]float64
	refilled time.Time

	effects []effect
	moved   []Moved
	lines   []line
}

func newCore(instance string, machine *lease.Machine, takeover time.Duration) *core {
	return &core{
		instance: instance, lease: machine, takeover: takeover,
		accounts: map[string]*account{}, notices: map[string]notice{},
		tracker: NewTracker(), loads: map[string]float64{},
		models: map[modelref.Ref]site.Model{}, adapters: map[modelref.Ref]site.Adapter{},
	}
}

// configure takes the configuration in force.
func (c *core) configure(document *site.Document) {
	if document == nil || document == c.document {
		return
	}
	c.document = document
	clear(c.models)
	clear(c.adapters)
	for _, m := range document.Models {
		c.models[m.Ref()] = m
	}
	for _, a := range document.Adapters {
		c.adapters[a.Ref()] = a
	}
}

// observation is what the rest of the instance knows at one moment.
type observation struct {
	document *site.Document
	servers  []discovery.Known
	gauges   map[modelref.Ref]Gauge
	// requests is how many requests each server has.
	requests map[string]int
}

// step moves everything on to now.
func (c *core) step(now time.Time, o observation) {
	c.configure(o.document)
	c.tracker.Update(now, o.gauges)
	c.requests = o.requests
	c.noteNew(now, o.servers)
	c.stepLease(now)
	if !c.stepHolder(now) || c.document == nil {
		return
	}
	c.refill(now)
	c.sync(o.servers)
	for _, a := range c.accounts {
		c.stepAccount(now, a)
	}
	if now.Sub(c.since) >= c.takeover && c.settled(now) {
		c.giveOrders(now)
	}
}

// settled reports whether the servers that are known are probably all there are. A new
// holder that plans with the first of them takes the models of all others for lost.
func (c *core) settled(now time.Time) bool {
	return now.Sub(c.since) > longestSettling || now.Sub(c.cameLast) >= settling
}

// noteNew notes when a server was last new to this instance, be it the holder or not.
func (c *core) noteNew(now time.Time, servers []discovery.Known) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
		if !c.seen[s.ID] {
			c.cameLast = now
		}
	}
	c.seen = known
}

func (c *core) stepLease(now time.Time) {
	if todo := c.lease.Next(now); todo.Step != lease.Wait {
		kind := effectReadLease
		if todo.Step == lease.Write {
			kind = effectWriteLease
		}
		c.effects = append(c.effects, effect{kind: kind, todo: todo})
	}
}

// stepHolder starts or ends this instance's term, and reports whether it holds.
func (c *core) stepHolder(now time.Time) bool {
	holds := c.lease.Holds(now)
	if holds == c.holding {
		return holds
	}
	c.holding, c.since = holds, now
	clear(c.accounts)
	clear(c.notices)
	clear(c.loads)
	message := "Lease is lost, giving no more orders"
	if holds {
		message = "Lease is held, taking over placement"
	}
	c.note(message, map[string]any{"term": c.lease.Term()}, !holds)
	return holds
}

// refill lets loads from the weight store begin at its rate.
func (c *core) refill(now time.Time) {
	elapsed := now.Sub(c.refilled)
	c.refilled = now
	for _, pool := range c.document.Pools {
		if _, started := c.loads[pool.Service]; !started {
			c.loads[pool.Service] = c.firstLoads()
			continue
		}
		more := loadShare * pool.LoadsPerSecond * elapsed.Seconds()
		c.loads[pool.Service] = min(loadBurst, c.loads[pool.Service]+more)
	}
}

// firstLoads is how many loads a new holder may begin at once. The last holder may have
// begun as many as the rate allows right until its end.
func (c *core) firstLoads() float64 {
	return min(loadBurst, max(1, c.lease.Vacant().Seconds()))
}

// sync takes the servers that exist.
func (c *core) sync(servers []discovery.Known) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		if _, pooled := c.document.Pool(s.Service); !pooled {
			continue
		}
		present[s.ID] = true
		if a := c.accounts[s.ID]; a != nil {
			a.announce(s)
			continue
		}
		c.accounts[s.ID] = newAccount(s)
	}
	for id := range c.accounts {
		if !present[id] {
			delete(c.accounts, id)
			delete(c.notices, id)
		}
	}
}

func (c *core) stepAccount(now time.Time, a *account) {
	for _, ref := range a.promote(now) {
		c.move(a, ref, true)
	}
	if a.due(now) && !a.server.Leaving {
		a.asking = true
		c.emit(a, effect{kind: effectState})
	}
}

func (c *core) emit(a *account, e effect) {
	e.server = engine.Server{Name: a.server.ID, Address: a.server.Address}
	e.born = a.server.Born
	e.term = c.lease.Term()
	c.effects = append(c.effects, e)
}

func (c *core) move(a *account, ref modelref.Ref, present bool) {
	c.moved = append(c.moved, Moved{Server: a.server.ID, Born: a.server.Born, Ref: ref, Present: present})
}

// giveOrders plans each pool and gives the orders that the plan asks for.
func (c *core) giveOrders(now time.Time) {
	c.sendNotified(now)
	for _, pool := range c.document.Pools {
		for _, m := range Plan(c.snapshot(now, pool)) {
			c.apply(now, pool, m)
		}
	}
}

// sendNotified gives the unloads that all instances know of by now.
func (c *core) sendNotified(now time.Time) {
	for id, n := range c.notices {
		if now.Sub(n.at) < unloadNotice {
			continue
		}
		delete(c.notices, id)
		if a := c.accounts[id]; a != nil && a.ready() {
			c.order(a, n.move)
		}
	}
}

func (c *core) snapshot(now time.Time, pool site.Pool) Snapshot {
	s := Snapshot{Now: now, Needs: c.tracker.Needs(), StoreLoads: int(c.loads[pool.Service])}
	for _, m := range c.document.Models {
		if m.Service == pool.Service {
			s.Models = append(s.Models, Model{Ref: m.Ref(), MemoryMB: m.MemoryMB,
				Load: millis(m.LoadMillis), Disk: millis(m.DiskMillis), Warm: millis(m.WarmMillis)})
		}
	}
	for _, a := range c.document.Adapters {
		if base, ok := c.models[a.Base]; ok && base.Service == pool.Service {
			s.Adapters = append(s.Adapters, Adapter{Ref: a.Ref(), Base: a.Base, MemoryMB: a.MemoryMB})
		}
	}
	for _, id := range c.sortedAccounts() {
		if a := c.accounts[id]; a.server.Service == pool.Service && !a.server.Leaving && a.failures < lostAfter {
			s.Servers = append(s.Servers, c.view(now, pool, a))
		}
	}
	return s
}

func (c *core) sortedAccounts() []string {
	out := make([]string, 0, len(c.accounts))
	for id := range c.accounts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (c *core) view(now time.Time, pool site.Pool, a *account) ServerView {
	_, noticed := c.notices[a.server.ID]
	view := ServerView{
		ID: a.server.ID, FailureDomain: a.server.FailureDomain,
		Ready:    a.ready() && !noticed,
		MemoryMB: pool.MemoryMB, ReservedMB: a.reserved(now, c.sizeOf),
		AdapterSlots: pool.AdapterSlots,
		Models:       a.models, Adapters: a.adapters,
		InMemory: a.inMemory, OnDisk: a.onDisk,
		Requests: c.requests[a.server.ID],
	}
	if now.Before(a.goalUntil) {
		view.Goal = a.goal
	}
	if !a.known {
		// Until the server's own account was read, its announcement tells what it holds.
		view.Models = c.announced(a.server.Resident)
	}
	if noticed {
		view.Models = withState(view.Models, c.notices[a.server.ID].move.Ref, engine.StateUnloading)
	}
	return view
}

// announced picks the models out of what a server announced.
func (c *core) announced(refs []modelref.Ref) map[modelref.Ref]engine.HoldingState {
	out := map[modelref.Ref]engine.HoldingState{}
	for _, ref := range refs {
		if _, model := c.models[ref]; model {
			out[ref] = engine.StateResident
		}
	}
	return out
}

func withState(models map[modelref.Ref]engine.HoldingState, ref modelref.Ref, state engine.HoldingState) map[modelref.Ref]engine.HoldingState {
	if _, model := models[ref]; !model {
		return models
	}
	out := make(map[modelref.Ref]engine.HoldingState, len(models))
	for r, s := range models {
		out[r] = s
	}
	out[ref] = state
	return out
}

func (c *core) sizeOf(ref modelref.Ref) int64 {
	if m, ok := c.models[ref]; ok {
		return m.MemoryMB
	}
	return c.adapters[ref].MemoryMB
}

// apply checks a move against the account and gives its order. A model unload is told
// to all instances first.
func (c *core) apply(now time.Time, pool site.Pool, m Move) {
	a := c.accounts[m.Server]
	if err := c.check(now, pool, a, m); err != nil {
		c.note("Order is not given", map[string]any{"server": m.Server, "ref": m.Ref, "action": m.Action, "reason": err.Error()}, true)
		return
	}
	if _, model := c.models[m.Ref]; m.Action == engine.ActionUnload && model {
		c.notices[m.Server] = notice{move: m, at: now}
		a.goal, a.goalUntil = m.For, now.Add(goalTime)
		c.leave(a, m.Ref)
		return
	}
	if m.FromStore {
		c.loads[pool.Service]--
	}
	c.order(a, m)
}

// leave tells that a version and its adapters on a server get no more requests.
func (c *core) leave(a *account, ref modelref.Ref) {
	c.move(a, ref, false)
	for adapter := range a.adapters {
		if c.adapters[adapter].Base == ref {
			c.move(a, adapter, false)
		}
	}
}

// check verifies an order against what the server holds. Nothing may exceed the
// server's memory or its slots, whatever the plan says.
func (c *core) check(now time.Time, pool site.Pool, a *account, m Move) error {
	if a == nil || !a.ready() {
		return fmt.Errorf("the server takes no order now")
	}
	if m.Action != engine.ActionLoad {
		return nil
	}
	if adapter, ok := c.adapters[m.Ref]; ok {
		if a.models[adapter.Base] != engine.StateResident {
			return fmt.Errorf("base %s isn't resident", adapter.Base)
		}
		if len(a.adapters) >= pool.AdapterSlots {
			return fmt.Errorf("all %d adapter slots are taken", pool.AdapterSlots)
		}
	}
	committed := a.reserved(now, c.sizeOf)
	for ref := range a.models {
		committed += c.sizeOf(ref)
	}
	for ref := range a.adapters {
		committed += c.sizeOf(ref)
	}
	if size := c.sizeOf(m.Ref); committed+size > pool.MemoryMB {
		return fmt.Errorf("%d MB committed + %d MB > %d MB", committed, size, pool.MemoryMB)
	}
	return nil
}

func (c *core) order(a *account, m Move) {
	order := engine.SequencedOrder{
		Action: m.Action, Ref: m.Ref,
		Holder: c.instance, Fence: c.lease.Term(), Expected: a.sequence,
	}
	a.ordering = true
	if _, adapter := c.adapters[m.Ref]; adapter && m.Action == engine.ActionUnload {
		c.move(a, m.Ref, false)
	}
	c.note("Order", map[string]any{
		"server": m.Server, "ref": m.Ref, "action": m.Action, "from_store": m.FromStore,
		"expected": order.Expected, "fence": order.Fence, "reason": m.Reason,
	}, false)
	c.emit(a, effect{kind: effectOrder, order: order})
}

func (c *core) note(message string, fields map[string]any, warn bool) {
	c.lines = append(c.lines, line{message: message, fields: fields, warn: warn})
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
