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

// Times of the core.
const (
	// busyInventory is the time between inventories of a server with something open.
	busyInventory = 200 * time.Millisecond
	// idleInventory is the least time between inventories of a quiet server, and
	// idlePerServer what each server of the cell adds to it.
	idleInventory = 2 * time.Second
	idlePerServer = 100 * time.Millisecond
	// reportInterval is the time between reads of a server's load report.
	reportInterval = 15 * time.Second
	// millisPerSecond converts step times.
	millisPerSecond = 1000
	// planInterval is the time between plans.
	planInterval = time.Second
	// resendAfter is when an order that its server doesn't show is sent again, or
	// barred by a newer fencing number.
	resendAfter = 3 * time.Second
	// firstLook is how long a new holder waits for the servers' inventories before it
	// plans without those that are missing.
	firstLook = 5 * time.Second
	// unreachableGrace is how long a server may be silent before its copies no longer
	// count as reachable.
	unreachableGrace = 5 * time.Second
	// demandWarmUp is how long estimates are too young to move copies by.
	demandWarmUp = 15 * time.Second
	// flushAfter is how long settled orders may stay in the stored ledger.
	flushAfter = 2 * time.Second
	// staleOrder is the age at which an order that was never sent is withdrawn.
	staleOrder = 5 * time.Second
	// storeRetry is the longest random wait after a failed store call.
	storeRetry = time.Second
)

// phase is how far a holder's takeover got.
type phase uint8

const (
	// phaseIdle is a candidate, or a holder that hasn't read the ledger.
	phaseIdle phase = iota
	// phaseTakeover is a holder whose own record isn't in the ledger key yet.
	phaseTakeover
	// phaseActive is a holder that may order.
	phaseActive
)

// writeState is the ledger write that is under way or whose outcome is unclear.
type writeState struct {
	// attempts holds the ids of the tries that may have landed.
	attempts []string
	record   ledger.Record
	// orders are sent once the write is known to be in force.
	orders []ledger.Pending
	began  time.Time
	// unclear is true when the key must be read to learn the outcome.
	unclear bool
}

// sending is what is known of an order that was sent.
type sending struct {
	at    time.Time
	tries int
}

// mostPatience is how many times resendAfter the longest wait between tries is.
const mostPatience = 8

// patience is the wait until the next try.
func (s sending) patience() time.Duration {
	return resendAfter * time.Duration(min(s.tries, mostPatience))
}

// contact is the core's traffic with one server.
type contact struct {
	asking    bool
	asked     time.Time
	nextAsk   time.Time
	answered  time.Time
	failed    bool
	nextFence time.Time
	reported  time.Time
}

// core is the decision part of a placer: it takes times, results and samples and
// returns effects. It has no goroutine, clock or socket.
type core struct {
	instance string
	cell     string
	random   *rand.Rand
	policy   placement.Policy
	lease    *lease.Machine
	tracker  *demand.Tracker

	document *site.Document
	leaving  []string
	// speeds holds the work that servers can do, in tokens per second.
	speeds map[string]float64

	phase    phase
	ledger   *ledger.Ledger
	revision store.Revision
	write    *writeState
	writes   uint64
	dirty    time.Time

	storeBusy bool
	storeAway bool
	nextStore time.Time

	// asks numbers inventory requests, over all terms.
	asks     uint64
	contacts map[string]*contact
	sent     map[string]sending
	bucket   bucket
	took     time.Time
	started  time.Time
	nextPlan time.Time
	plan     placement.Plan
	planned  time.Time
	// reasons says why each copy was loaded, and loaded when.
	reasons map[copyKey]string
	loaded  map[copyKey]time.Time

	effects []effect
	events  []event
}

func newCore(instance, cell string, policy placement.Policy, l *lease.Machine, t *demand.Tracker, random *rand.Rand) *core {
	return &core{
		instance: instance,
		cell:     cell,
		random:   random,
		policy:   policy,
		lease:    l,
		tracker:  t,
		speeds:   map[string]float64{},
		contacts: map[string]*contact{},
		sent:     map[string]sending{},
		reasons:  map[copyKey]string{},
		loaded:   map[copyKey]time.Time{},
	}
}

// configure takes the configuration in force and the servers that are leaving.
func (c *core) configure(doc *site.Document, leaving []string) {
	c.leaving = leaving
	if doc == c.document {
		return
	}
	c.document = doc
	if c.ledger != nil {
		c.ledger.SetServers(specsOf(doc))
		c.ledger.SetUnits(doc.Units())
	}
	weights := make([]float64, 0, len(doc.Classes))
	for _, class := range doc.Classes {
		weights = append(weights, class.Weight)
	}
	c.tracker.SetWeights(weights)
}

func specsOf(doc *site.Document) []ledger.Spec {
	var out []ledger.Spec
	for _, s := range doc.Servers {
		if s.Kind == site.KindEngine {
			out = append(out, ledger.Spec{
				Name:           s.Name,
				FailureDomain:  s.FailureDomain,
				MemoryMB:       s.MemoryMB,
				HonoursFencing: s.HonoursFencing,
			})
		}
	}
	return out
}

// tick moves everything on to now and returns what is to be done.
func (c *core) tick(now time.Time, samples []demand.Sample) []effect {
	if c.started.IsZero() {
		c.started = now
	}
	c.tracker.Update(now, samples)
	c.stepLease(now)
	if c.document != nil && c.stepHolder(now) {
		c.stepLedger(now)
		c.stepServers(now)
		c.stepPlan(now)
	}
	return c.take()
}

func (c *core) take() []effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *core) emit(e effect) { c.effects = append(c.effects, e) }

func (c *core) note(e event) { c.events = append(c.events, e) }

// drainEvents returns the events since the last call.
func (c *core) drainEvents() []event {
	out := c.events
	c.events = nil
	return out
}

// stepLease asks the lease for its next call.
func (c *core) stepLease(now time.Time) {
	todo := c.lease.Next(now)
	switch todo.Step {
	case lease.Read:
		c.emit(effect{kind: effectReadLease})
	case lease.Write:
		c.emit(effect{kind: effectWriteLease, value: todo.Record.Encode(), expected: todo.Expected})
	}
}

// stepHolder starts or ends this instance's term. It reports whether the instance
// may act as the holder, be it only on servers that honour fencing.
func (c *core) stepHolder(now time.Time) bool {
	holds, lapsed := c.lease.Holds(now), c.lease.Lapsed(now)
	if !holds && !lapsed {
		c.abandon("Lease went to another instance.")
		return false
	}
	if c.ledger != nil && c.ledger.Term() != c.lease.Term() {
		c.abandon("Lease has a new term.")
	}
	if c.phase == phaseActive {
		return true
	}
	return holds
}

// abandon drops the ledger of an ended term. Orders that were never sent are
// forgotten with it.
func (c *core) abandon(message string) {
	if c.ledger == nil && c.phase == phaseIdle {
		return
	}
	c.note(event{kind: eventSuperseded, message: message})
	c.phase, c.ledger, c.write = phaseIdle, nil, nil
	c.contacts, c.sent = map[string]*contact{}, map[string]sending{}
	c.plan = placement.Plan{}
}

// supersede ends this instance's term, since a higher one was seen.
func (c *core) supersede(term uint64) {
	c.lease.Superseded(term)
	c.abandon("A holder with a newer term acts.")
}

// recording reports whether orders are written to the ledger key before they are
// sent. Without it only servers that honour fencing get orders.
func (c *core) recording(now time.Time) bool { return c.lease.Holds(now) && !c.storeAway }

// handle takes the outcome of an effect.
func (c *core) handle(now time.Time, r result) []effect {
	switch r.effect.kind {
	case effectReadLease:
		c.leaseRead(now, r)
	case effectWriteLease:
		c.lease.WriteEnded(now, r.revision, r.err)
	case effectReadLedger:
		c.ledgerRead(now, r)
	case effectWriteLedger:
		c.ledgerWritten(now, r)
	case effectInventory:
		c.inventoryTaken(now, r)
	case effectSubmit:
		c.submitted(now, r)
	}
	return c.take()
}
