package placer

import (
	"errors"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/modelref"
)

func (c *core) contact(name string) *contact {
	t, ok := c.contacts[name]
	if !ok {
		t = &contact{}
		c.contacts[name] = t
	}
	return t
}

// stepServers takes inventories, fences servers and sends open orders again.
func (c *core) stepServers(now time.Time) {
	if c.ledger == nil {
		return
	}
	specs := specsOf(c.document)
	for _, spec := range specs {
		c.stepFence(now, spec)
		c.stepOrders(now, spec)
		c.stepInventory(now, spec, len(specs))
	}
}

// stepFence makes a server that honours fencing refuse the orders of earlier terms.
func (c *core) stepFence(now time.Time, spec ledger.Spec) {
	if !spec.HonoursFencing || c.ledger.Fenced(spec.Name) || c.phase != phaseActive {
		return
	}
	c.fence(now, spec.Name)
}

func (c *core) fence(now time.Time, server string) {
	t := c.contact(server)
	if now.Before(t.nextFence) {
		return
	}
	order, ok := c.ledger.Fence(server)
	if !ok {
		return
	}
	t.nextFence = now.Add(resendAfter)
	c.note(event{kind: eventFence, message: "Send fencing number.", server: server, order: order})
	c.emit(effect{kind: effectSubmit, server: server, order: order})
}

// stepOrders settles orders that a server doesn't show: one that honours fencing
// gets a newer number, which bars them; any other gets the same order again.
func (c *core) stepOrders(now time.Time, spec ledger.Spec) {
	if c.phase != phaseActive {
		return
	}
	for _, p := range c.ledger.Pending(spec.Name) {
		state, sent := c.sent[p.Order.ID]
		if c.waiting(p) || c.ledger.Shown(p) || (sent && now.Sub(state.at) < state.patience()) {
			continue
		}
		if spec.HonoursFencing {
			c.fence(now, spec.Name)
			return
		}
		c.resend(now, p)
	}
}

// waiting reports whether an order still waits for its write to the ledger key.
func (c *core) waiting(p ledger.Pending) bool {
	if c.write == nil {
		return false
	}
	for _, w := range c.write.orders {
		if w.Order.ID == p.Order.ID {
			return true
		}
	}
	return false
}

// resend sends an order again under its old id. An unload of what has become the last
// copy is canceled instead: a fence with the same id does nothing on a server that
// ignores fencing, and uses the id up, so that the unload can't run any more.
func (c *core) resend(now time.Time, p ledger.Pending) {
	if !c.lease.Holds(now) {
		return
	}
	if p.Order.Action == engine.ActionUnload && c.lastCopy(p) {
		p.Order = engine.Order{ID: p.Order.ID, Fence: p.Order.Fence, Action: engine.ActionFence}
	}
	if p.Order.Action == engine.ActionLoad && !c.bucket.takeOne(now, c.loadRate(now)) {
		return
	}
	c.note(event{kind: eventResend, message: "Send order again.", server: p.Server, ref: p.Order.Ref, order: p.Order})
	c.submit(now, p)
}

// lastCopy reports whether an unload would end a configured version's last copy.
func (c *core) lastCopy(p ledger.Pending) bool {
	return c.ledger.Holds(p.Server, p.Order.Ref) && c.wanted(p.Order.Ref) &&
		c.ledger.OtherCopies(p.Server, p.Order.Ref) == 0
}

func (c *core) wanted(ref modelref.Ref) bool {
	_, ok := c.document.Resolve(string(ref))
	return ok
}

func (c *core) submit(now time.Time, p ledger.Pending) {
	state := c.sent[p.Order.ID]
	c.sent[p.Order.ID] = sending{at: now, tries: state.tries + 1}
	c.contact(p.Server).nextAsk = now.Add(busyInventory)
	c.emit(effect{kind: effectSubmit, server: p.Server, order: p.Order})
}

// submitted takes a server's answer to an order. Only an inventory settles an order.
func (c *core) submitted(now time.Time, r result) {
	var stale *engine.StaleFenceError
	if !errors.As(r.err, &stale) || c.ledger == nil {
		return
	}
	if term := ledger.TermOf(stale.Seen); term > c.ledger.Term() {
		c.supersede(term)
	}
}

func (c *core) stepInventory(now time.Time, spec ledger.Spec, servers int) {
	t := c.contact(spec.Name)
	if t.asking || now.Before(t.nextAsk) {
		return
	}
	t.asking, t.asked = true, now
	t.nextAsk = now.Add(c.inventoryInterval(spec, servers))
	c.asks++
	c.ledger.Ask(spec.Name, c.asks)
	e := effect{kind: effectInventory, server: spec.Name, ask: c.asks}
	if now.Sub(t.reported) >= reportInterval || t.reported.IsZero() {
		e.report, t.reported = true, now
	}
	c.emit(e)
}

func (c *core) inventoryInterval(spec ledger.Spec, servers int) time.Duration {
	if len(c.ledger.Pending(spec.Name)) > 0 || !c.ledger.Ready(spec.Name) {
		return busyInventory
	}
	return max(idleInventory, time.Duration(servers)*idlePerServer)
}

func (c *core) inventoryTaken(now time.Time, r result) {
	if c.ledger == nil {
		return
	}
	t := c.contact(r.effect.server)
	if r.err != nil {
		c.ledger.Unreachable(r.effect.server, r.effect.ask)
		t.asking, t.failed = false, true
		return
	}
	if term := ledger.TermOf(r.inventory.Fence); term > c.ledger.Term() {
		c.supersede(term)
		return
	}
	o := c.ledger.Observe(r.effect.server, r.effect.ask, r.inventory)
	if o.Stale {
		return
	}
	t.asking, t.failed, t.answered = false, false, now
	c.learnSpeed(r)
	c.report(now, r.effect.server, o)
}

// speedShare is the share of the newest report in a server's speed.
const speedShare = 0.2

// learnSpeed takes the work that a server can do from its load report.
func (c *core) learnSpeed(r result) {
	if r.report.StepMillis <= 0 || r.report.MaxBatch <= 0 {
		return
	}
	speed := float64(r.report.MaxBatch) * millisPerSecond / r.report.StepMillis
	if old := c.speeds[r.effect.server]; old > 0 {
		speed = (1-speedShare)*old + speedShare*speed
	}
	c.speeds[r.effect.server] = speed
}

func (c *core) report(now time.Time, server string, o ledger.Observation) {
	if o.Restarted {
		c.note(event{kind: eventRestart, message: "Server process is a new one, its memory is empty.", server: server, warn: true})
	}
	for _, s := range o.Settled {
		c.settled(now, s)
	}
	for _, s := range o.Surprises {
		message := "A version went that no order of ours unloaded."
		if s.Appeared {
			message = "A version came that no order of ours loaded; its memory counts as taken."
		}
		c.note(event{kind: eventSurprise, message: message, server: server, ref: s.Ref, warn: true})
	}
}

func (c *core) settled(now time.Time, s ledger.Settled) {
	if c.dirty.IsZero() {
		c.dirty = now
	}
	delete(c.sent, s.Pending.Order.ID)
	if s.Pending.Order.Action == engine.ActionLoad && s.State == engine.OrderDone {
		c.loaded[copyKey{s.Pending.Server, s.Pending.Order.Ref}] = now
	}
	e := event{
		kind:    eventSettled,
		message: "Order " + string(s.State) + ".",
		server:  s.Pending.Server,
		ref:     s.Pending.Order.Ref,
		order:   s.Pending.Order,
		reason:  s.Reason,
	}
	if s.State == "" {
		e.message = "Order was barred by a newer fencing number."
	}
	c.note(e)
}
