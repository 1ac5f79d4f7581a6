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
	// unloadNoticePeriod is the time between telling all instances of an unload and sending
	// its order. Requests for the model that are already on their way can arrive in that time.
	unloadNoticePeriod = 60 * time.Millisecond
	// A new holder starts planning when no new server has appeared for serverQuietPeriod, or
	// after maxServerWait at the latest.
	serverQuietPeriod = 1800 * time.Millisecond
	maxServerWait     = 8 * time.Second
	// lateStepGap is the time between two steps from which on a step is logged as late.
	lateStepGap = 500 * time.Millisecond
)

// effectKind is the kind of call that an effect makes.
type effectKind uint8

const (
	effectReadLease effectKind = iota + 1
	effectWriteLease
	effectReadState
	effectOrder
)

// effect is a call that the core asks the Manager to make.
type effect struct {
	kind effectKind
	// operation is for reads and writes of the lease.
	operation lease.Operation
	// server, serverStartMillis and term are for state reads and orders. term is the lease
	// term in which the core asked for the call.
	server            engine.Server
	serverStartMillis int64
	order             engine.SequencedOrder
	term              uint64
	// fromWeightStore is true for the order of a load from the weight store.
	fromWeightStore bool
}

// result is the outcome of an effect's call.
type result struct {
	effect effect
	// entry is the lease key as read by effectReadLease. revision is the one that a write of
	// the key by effectWriteLease created.
	entry    store.Entry
	revision store.Revision
	// state is the result of effectReadState, answer the one of effectOrder.
	state  engine.SequencedState
	answer engine.OrderAnswer
	// times says when an order was on its way.
	times orderTimes
	err   error
}

// orderTimes are the times of one order. Those of what hasn't happened are zero.
type orderTimes struct {
	// askedAt is when the call began, checkedAt when the lease was checked last, right before the order was
	// written, writtenAt when the write returned, and endedAt when the call ended.
	askedAt, checkedAt, writtenAt, endedAt time.Time
	// leaseLeft is how long the lease was valid at checkedAt, its margin included.
	leaseLeft time.Duration
}

// logFields adds the times, in ms since the call began, to the fields of a log line.
func (t orderTimes) logFields(fields map[string]any) {
	fields["ended_ms"] = t.endedAt.Sub(t.askedAt).Milliseconds()
	if !t.checkedAt.IsZero() {
		fields["checked_ms"], fields["lease_left_ms"] = t.checkedAt.Sub(t.askedAt).Milliseconds(), t.leaseLeft.Milliseconds()
	}
	if !t.writtenAt.IsZero() {
		fields["written_ms"] = t.writtenAt.Sub(t.askedAt).Milliseconds()
	}
}

// ResidencyChange says that a version has become usable on a server, or has ceased to be.
type ResidencyChange struct {
	Server      string
	StartMillis int64
	Ref         modelref.Ref
	Present     bool
	// Term is that of the lease under which the change was found.
	Term uint64
}

// logLine is a log line that the Manager writes for the core.
type logLine struct {
	message string
	fields  map[string]any
	warn    bool
}

// core makes the decisions of the Manager. It has no goroutine, clock or socket.
type core struct {
	instance string
	lease    *lease.Machine
	// takeoverDelay is how long a new holder waits before its first order, so that no order
	// of the previous holder can still arrive.
	takeoverDelay time.Duration
	// orderLeeway is how long the lease must last when an order is decided on, and when it is sent.
	orderLeeway time.Duration
	holdsLease  bool
	// leaseChangedAt is when this instance last gained or lost the lease.
	leaseChangedAt time.Time
	// lastStepAt is when the step before this one began.
	lastStepAt time.Time
	// ordersInProgress is how many orders were asked for whose calls haven't ended.
	ordersInProgress int

	// document is the configuration in use; models and adapters are its entries by version.
	document *site.Document
	models   map[modelref.Ref]site.Model
	adapters map[modelref.Ref]site.Adapter

	// servers, knownServers and pendingUnloads are by the server's id.
	servers map[string]*trackedServer
	// knownServers are the servers of the last step. lastNewServerAt is when a step last had
	// a server that the step before it didn't have.
	knownServers    map[string]bool
	lastNewServerAt time.Time
	pendingUnloads  map[string]pendingUnload
	needTracker     *NeedTracker
	// requestsByServer is the number of requests on each server, by the server's id.
	requestsByServer map[string]int
	// weightLoads limits the loads from the weight store of each pool, by its service.
	weightLoads map[string]*loadLimiter
	// reportedLoads is what the lease's holder told last of its loads, over all pools.
	reportedLoads recentLoads

	effects  []effect
	changes  []ResidencyChange
	logLines []logLine
}

func newCore(instance string, machine *lease.Machine, takeoverDelay time.Duration) *core {
	return &core{
		instance: instance, lease: machine, takeoverDelay: takeoverDelay,
		servers: map[string]*trackedServer{}, pendingUnloads: map[string]pendingUnload{},
		needTracker: NewNeedTracker(), weightLoads: map[string]*loadLimiter{},
		models: map[modelref.Ref]site.Model{}, adapters: map[modelref.Ref]site.Adapter{},
	}
}

// configure applies a new configuration.
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

// observation is the input of one step from the rest of the instance.
type observation struct {
	document      *site.Document
	servers       []discovery.KnownServer
	requestCounts map[modelref.Ref]RequestCounts
	// requestsByServer is the number of requests on each server, by the server's id.
	requestsByServer map[string]int
}

func (c *core) step(now time.Time, o observation) {
	c.configure(o.document)
	c.needTracker.Update(now, o.requestCounts)
	c.requestsByServer = o.requestsByServer
	c.recordNewServers(now, o.servers)
	c.logLateStep(now)
	c.stepLease(now)
	if !c.updateHolding(now) || c.document == nil {
		return
	}
	c.syncServers(o.servers)
	c.advanceWeightLoads(now)
	for _, srv := range c.servers {
		c.stepServer(now, srv)
	}
	if c.mayOrder(now) && now.Sub(c.leaseChangedAt) >= c.takeoverDelay && c.serverListStable(now) {
		c.issueOrders(now)
	}
}

// mayOrder reports whether this instance holds the lease for long enough for an order.
func (c *core) mayOrder(now time.Time) bool {
	return c.lease.Holds(now) && c.lease.ExpiresAt().Sub(now) >= c.orderLeeway
}

// recordNewServers records when this instance last learned of a new server. It runs in every
// step, so that the time is known when the instance gains the lease.
func (c *core) recordNewServers(now time.Time, servers []discovery.KnownServer) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
		if !c.knownServers[s.ID] {
			c.lastNewServerAt = now
		}
	}
	c.knownServers = present
}

func (c *core) stepLease(now time.Time) {
	c.lease.SetBusy(c.ordersInProgress > 0)
	operation := c.lease.Next(now)
	switch operation.Step {
	case lease.Read:
		c.effects = append(c.effects, effect{kind: effectReadLease, operation: operation})
	case lease.Write:
		switch {
		case operation.Record.Released:
			c.log("Lease is being released", map[string]any{"term": operation.Record.Term}, false)
		case operation.Record.Term != c.lease.Term():
			c.logClaim(now, operation)
		}
		c.effects = append(c.effects, effect{kind: effectWriteLease, operation: operation})
	}
}

// logClaim logs on what a claim of the lease rests.
func (c *core) logClaim(now time.Time, claim lease.Operation) {
	record := c.lease.Record()
	c.log("Claiming the lease", map[string]any{
		"term": claim.Record.Term, "former": record.Holder, "released": record.Released,
		"unchanged_ms": now.Sub(c.lease.UnchangedSince()).Milliseconds(),
	}, false)
}

// logLateStep logs a step that runs late, as without enough processor time, on an instance that holds the lease.
func (c *core) logLateStep(now time.Time) {
	gap := now.Sub(c.lastStepAt)
	if c.holdsLease && gap >= lateStepGap {
		c.log("Placement runs late", map[string]any{
			"gap_ms": gap.Milliseconds(), "lease_left_ms": c.lease.ExpiresAt().Sub(now).Milliseconds(), "orders": c.ordersInProgress,
		}, true)
	}
	c.lastStepAt = now
}

// updateHolding resets the core's state if this instance has gained or lost the lease, and
// reports whether it holds the lease.
func (c *core) updateHolding(now time.Time) bool {
	holds := c.lease.Holds(now)
	if holds == c.holdsLease {
		return holds
	}
	c.holdsLease, c.leaseChangedAt = holds, now
	if !holds {
		c.reportedLoads = recentLoads{count: c.recentWeightLoads(), at: now}
	}
	clear(c.servers)
	clear(c.pendingUnloads)
	clear(c.weightLoads)
	message := "Lease is lost, giving no more orders"
	if holds {
		message = "Lease is held, taking over placement"
	}
	c.log(message, map[string]any{
		"term": c.lease.Term(), "lease_left_ms": c.lease.ExpiresAt().Sub(now).Milliseconds(), "orders": c.ordersInProgress,
	}, !holds)
	return holds
}

// advanceWeightLoads advances the limiters of loads from the weight store to now.
func (c *core) advanceWeightLoads(now time.Time) {
	for _, pool := range c.document.Pools {
		limiter := c.weightLoads[pool.Service]
		if limiter == nil {
			limiter = newLoadLimiter(now, pool.LoadsPerSecond, c.reportedLoads)
			c.weightLoads[pool.Service] = limiter
		}
		limiter.advance(now, pool.LoadsPerSecond, c.isSettled)
	}
}

// isSettled reports whether a load whose answer was lost can't take effect any more, since the
// same process of the server has accepted an order of that number. A restarted process may.
func (c *core) isSettled(u unclearLoad) bool {
	srv := c.servers[u.server]
	return srv != nil && srv.server.StartMillis == u.startMillis && srv.sequence > u.expectedOrders
}

// recentWeightLoads counts the loads from the weight store in the present window.
func (c *core) recentWeightLoads() int {
	count := 0
	for _, limiter := range c.weightLoads {
		count += limiter.recent()
	}
	return count
}

// loadsForSuccessor returns how many loads from the weight store a successor counts as its own: while this
// instance holds the lease those of its window, and afterwards those that it told or was told last.
func (c *core) loadsForSuccessor(now time.Time) int {
	switch {
	case c.holdsLease:
		return c.recentWeightLoads()
	case now.Sub(c.reportedLoads.at) < loadWindow:
		return c.reportedLoads.count
	}
	return 0
}

// syncServers adds new servers, updates known ones and drops those that are gone.
func (c *core) syncServers(servers []discovery.KnownServer) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		if _, pooled := c.document.Pool(s.Service); !pooled {
			continue
		}
		present[s.ID] = true
		if srv := c.servers[s.ID]; srv != nil {
			if srv.updateAnnouncement(s) {
				// The unload was for a model in the memory of the process before.
				delete(c.pendingUnloads, s.ID)
			}
			continue
		}
		c.servers[s.ID] = newTrackedServer(s)
	}
	for id := range c.servers {
		if !present[id] {
			delete(c.servers, id)
			delete(c.pendingUnloads, id)
		}
	}
}

func (c *core) stepServer(now time.Time, srv *trackedServer) {
	for _, ref := range srv.takeUsableAdapters(now) {
		c.recordChange(srv, ref, true)
	}
	if srv.readDue(now) && !srv.server.Leaving && !srv.server.Paused(now) {
		srv.readingState = true
		c.emit(srv, effect{kind: effectReadState})
	}
}

func (c *core) emit(srv *trackedServer, e effect) {
	e.server = engine.Server{Name: srv.server.ID, Address: srv.server.Address, StartMillis: srv.server.StartMillis}
	e.serverStartMillis = srv.server.StartMillis
	e.term = c.lease.Term()
	c.effects = append(c.effects, e)
}

// recordChange records what all instances are to be told of a version on a server.
func (c *core) recordChange(srv *trackedServer, ref modelref.Ref, present bool) {
	if present {
		delete(srv.toldGone, ref)
	} else {
		srv.toldGone[ref] = true
	}
	c.changes = append(c.changes, ResidencyChange{Server: srv.server.ID, StartMillis: srv.server.StartMillis, Ref: ref, Present: present, Term: c.lease.Term()})
}

func (c *core) log(message string, fields map[string]any, warn bool) {
	c.logLines = append(c.logLines, logLine{message: message, fields: fields, warn: warn})
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
