package placer

import (
	"math/rand/v2"
	"time"

	"limpethub/internal/demand"
	"limpethub/internal/lease"
	"limpethub/internal/ledger"
	"limpethub/internal/placement"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// Intervals and timeouts of the core.
const (
	// busyInventoryInterval is the time between inventories of a server that has pending
	// orders or isn't ready for orders in this term yet.
	busyInventoryInterval = 200 * time.Millisecond
	// idleInventoryInterval is the minimum time between inventories of any other server.
	// In large cells it is idleInventoryPerServer for each server of the cell, to bound
	// the rate of inventory requests.
	idleInventoryInterval  = 2 * time.Second
	idleInventoryPerServer = 100 * time.Millisecond
	// reportInterval is the minimum time between reads of a server's report.
	reportInterval  = 15 * time.Second
	millisPerSecond = 1000
	// planInterval is the longest time between plans.
	planInterval = time.Second
	// resendAfter is how long a sent order may be missing from its server's inventory
	// before it is sent again or canceled by a newer fencing number. Each further resend
	// waits longer.
	resendAfter = 3 * time.Second
	// takeoverInventoryTimeout is how long a new lease holder waits for the servers'
	// inventories before it plans without the missing ones.
	takeoverInventoryTimeout = 5 * time.Second
	// unreachableGrace is how long a server may fail to answer before its copies count
	// as unreachable.
	unreachableGrace = 5 * time.Second
	// demandWarmUp is the time after the start in which demand estimates are based on too
	// little data to place copies by demand.
	demandWarmUp = 15 * time.Second
	// settledOrderDelay is how long settled or withdrawn orders may stay in the stored
	// ledger before it is written again.
	settledOrderDelay = 2 * time.Second
	// unsentOrderTimeout is the age at which an order that was never sent is withdrawn.
	unsentOrderTimeout = 5 * time.Second
	// storeRetryJitter is the range of the random delay after a failed store call. A
	// quarter of it is added as a minimum delay.
	storeRetryJitter = time.Second
)

// phase is the progress of a lease holder's takeover.
type phase uint8

const (
	// phaseIdle applies to a candidate, and to a lease holder that hasn't read the ledger.
	phaseIdle phase = iota
	// phaseTakeover applies to a lease holder that hasn't written its own ledger record yet.
	phaseTakeover
	// phaseActive applies to a lease holder that may give orders.
	phaseActive
)

// writeState is a ledger write that is in progress or unclear.
type writeState struct {
	// writeIDs holds the ids of all attempts of the write that may have taken effect.
	writeIDs []string
	record   ledger.Record
	// orders are sent once the write is known to have taken effect. They are withdrawn
	// instead if that takes longer than unsentOrderTimeout or the lease is lost.
	orders    []ledger.Pending
	startedAt time.Time
	// unclear is true when the answer was lost or a conflict was reported, so that the
	// key must be read to learn the outcome.
	unclear bool
}

// sentOrder records when and how often an order was sent.
type sentOrder struct {
	sentAt    time.Time
	sendCount int
}

// maxResendFactor limits the delay between two sends of an order, as a multiple of
// resendAfter.
const maxResendFactor = 8

// resendDelay is the time to wait after the last send; it grows with each send.
func (s sentOrder) resendDelay() time.Duration {
	return resendAfter * time.Duration(min(s.sendCount, maxResendFactor))
}

type serverCalls struct {
	// inventoryInFlight is true while an inventory request waits for its answer.
	inventoryInFlight    bool
	inventoryRequestedAt time.Time
	// nextInventory is the earliest time of the next inventory request.
	nextInventory time.Time
	// answeredAt is the time of the last inventory, lastFailed is true if the last
	// inventory request failed.
	answeredAt time.Time
	lastFailed bool
	// nextFence is the earliest time of the next fence order.
	nextFence         time.Time
	reportRequestedAt time.Time
}

// core makes the decisions of a Placer. It takes times, results of calls and demand
// samples, and returns the calls to make next as effects. It has no goroutine, clock or
// socket, so that tests can run it in simulated time.
type core struct {
	instance string
	cell     string
	random   *rand.Rand
	policy   placement.Policy
	lease    *lease.Machine
	tracker  *demand.Tracker

	// document is the configuration in force; nil before there is one.
	document *site.Document
	// leaving lists the servers that are about to stop.
	leaving []string
	// throughputs holds the throughput of servers, in tokens per second.
	throughputs map[string]float64

	phase  phase
	ledger *ledger.Ledger
	// revision is that of the ledger key, as last read or written.
	revision   store.Revision
	write      *writeState
	writeCount uint64
	// dirtySince is since when the ledger key needs another write, because an order was
	// settled or withdrawn or because the key may lack an order; zero if it needs none.
	dirtySince time.Time

	ledgerCallInFlight bool
	// storeUnavailable is true after a failed call for the ledger key, until one succeeds.
	storeUnavailable bool
	nextLedgerCall   time.Time

	// lastInventoryNumber is the number of the last inventory request. It isn't reset
	// between terms, so that late answers of an earlier term are recognized.
	lastInventoryNumber uint64
	calls               map[string]*serverCalls
	sentOrders          map[string]sentOrder
	loadBucket          tokenBucket
	// tookOverAt is when the current term began, startedAt when the core first ticked.
	tookOverAt time.Time
	startedAt  time.Time
	nextPlan   time.Time
	plan       placement.Plan
	plannedAt  time.Time
	// loadReasons holds why each copy was last loaded, and loadedAt when that load
	// completed. Entries stay after the copy is unloaded.
	loadReasons map[copyKey]string
	loadedAt    map[copyKey]time.Time

	effects []effect
	events  []event
}

func newCore(instance, cell string, policy placement.Policy, l *lease.Machine, t *demand.Tracker, random *rand.Rand) *core {
	return &core{
		instance:    instance,
		cell:        cell,
		random:      random,
		policy:      policy,
		lease:       l,
		tracker:     t,
		throughputs: map[string]float64{},
		calls:       map[string]*serverCalls{},
		sentOrders:  map[string]sentOrder{},
		loadReasons: map[copyKey]string{},
		loadedAt:    map[copyKey]time.Time{},
	}
}

// configure sets the configuration in force and the servers that are leaving.
func (c *core) configure(doc *site.Document, leaving []string) {
	c.leaving = leaving
	if doc == c.document {
		return
	}
	c.document = doc
	if c.ledger != nil {
		c.ledger.SetServers(engineSpecs(doc))
		c.ledger.SetUnits(doc.Units())
	}
	weights := make([]float64, 0, len(doc.Classes))
	for _, class := range doc.Classes {
		weights = append(weights, class.Weight)
	}
	c.tracker.SetWeights(weights)
}

func engineSpecs(doc *site.Document) []ledger.ServerSpec {
	var out []ledger.ServerSpec
	for _, s := range doc.Servers {
		if s.Kind == site.KindEngine {
			out = append(out, ledger.ServerSpec{
				Name:           s.Name,
				FailureDomain:  s.FailureDomain,
				MemoryMB:       s.MemoryMB,
				HonoursFencing: s.HonoursFencing,
			})
		}
	}
	return out
}

// tick advances the core to now and returns the calls to make.
func (c *core) tick(now time.Time, samples []demand.Sample) []effect {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.tracker.Update(now, samples)
	c.stepLease(now)
	if c.document != nil && c.stepHolder(now) {
		c.stepLedger(now)
		c.stepServers(now)
		c.stepPlan(now)
	}
	return c.takeEffects()
}

func (c *core) takeEffects() []effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *core) addEffect(e effect) { c.effects = append(c.effects, e) }

func (c *core) addEvent(e event) { c.events = append(c.events, e) }

// takeEvents returns the events since the last call.
func (c *core) takeEvents() []event {
	out := c.events
	c.events = nil
	return out
}

// stepLease starts the next call for the lease key, if one is due.
func (c *core) stepLease(now time.Time) {
	todo := c.lease.Next(now)
	switch todo.Step {
	case lease.Read:
		c.addEffect(effect{kind: effectReadLease})
	case lease.Write:
		c.addEffect(effect{kind: effectWriteLease, value: todo.Record.Encode(), expected: todo.Expected})
	}
}

// stepHolder ends this instance's term if it is over, and reports whether the instance may
// act as the lease holder. An active holder whose lease has expired may go on acting while
// no successor is known, but only on servers that honour fencing.
func (c *core) stepHolder(now time.Time) bool {
	holds, lapsed := c.lease.Holds(now), c.lease.Lapsed(now)
	if !holds && !lapsed {
		c.endTerm("Lease is no longer held.")
		return false
	}
	if c.ledger != nil && c.ledger.Term() != c.lease.Term() {
		c.endTerm("Lease was acquired again with a new term.")
	}
	if c.phase == phaseActive {
		return true
	}
	return holds
}

// endTerm discards the state of an ended term, including orders that were never sent.
func (c *core) endTerm(message string) {
	if c.ledger == nil && c.phase == phaseIdle {
		return
	}
	c.addEvent(event{kind: eventSuperseded, message: message})
	c.phase, c.ledger, c.write = phaseIdle, nil, nil
	c.calls, c.sentOrders = map[string]*serverCalls{}, map[string]sentOrder{}
	c.plan = placement.Plan{}
}

// yieldTo ends this instance's term after a record or a server showed that another
// instance may give orders, in the given term.
func (c *core) yieldTo(term uint64) {
	c.lease.Supersede(term)
	c.endTerm("Another instance may give orders, in the same term as this instance or in a newer one.")
}

// recording reports whether orders are written to the ledger key before they are sent, as
// LeaseStatus.Recording shows. While they can't be written, only servers that honour
// fencing are given orders.
func (c *core) recording(now time.Time) bool { return c.lease.Holds(now) && !c.storeUnavailable }

// handle processes the outcome of a call and returns the calls to make next.
func (c *core) handle(now time.Time, r result) []effect {
	switch r.effect.kind {
	case effectReadLease:
		c.handleLeaseRead(now, r)
	case effectWriteLease:
		c.lease.WriteEnded(now, r.revision, r.err)
	case effectReadLedger:
		c.handleLedgerRead(now, r)
	case effectWriteLedger:
		c.handleLedgerWrite(now, r)
	case effectInventory:
		c.handleInventory(now, r)
	case effectSubmit:
		c.handleSubmit(now, r)
	}
	return c.takeEffects()
}
