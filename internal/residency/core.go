package residency

import (
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/store"
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
	// entry is the lease key as a read found it, revision what a write of it made.
	entry    store.Entry
	revision store.Revision
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

func (c *core) note(message string, fields map[string]any, warn bool) {
	c.lines = append(c.lines, line{message: message, fields: fields, warn: warn})
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
