package placer

import (
	"errors"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/modelref"
)

// callsTo returns the state of the calls to a server, creating it if needed.
func (c *core) callsTo(name string) *serverCalls {
	calls, ok := c.calls[name]
	if !ok {
		calls = &serverCalls{}
		c.calls[name] = calls
	}
	return calls
}

// stepServers requests inventories, fences servers and resends pending orders.
func (c *core) stepServers(now time.Time) {
	if c.ledger == nil {
		return
	}
	specs := engineSpecs(c.document)
	for _, spec := range specs {
		c.stepFence(now, spec)
		c.stepOrders(now, spec)
		c.stepInventory(now, spec, len(specs))
	}
}

// stepFence makes a server that honours fencing refuse the orders of earlier terms.
func (c *core) stepFence(now time.Time, spec ledger.ServerSpec) {
	if !spec.HonoursFencing || c.ledger.Fenced(spec.Name) || c.phase != phaseActive {
		return
	}
	c.sendFenceOrder(now, spec.Name)
}

// sendFenceOrder sends a fence order, which does nothing but raise the fencing number
// below which the server refuses orders.
func (c *core) sendFenceOrder(now time.Time, server string) {
	calls := c.callsTo(server)
	if now.Before(calls.nextFence) {
		return
	}
	order, ok := c.ledger.NewFenceOrder(server)
	if !ok {
		return
	}
	calls.nextFence = now.Add(resendAfter)
	c.addEvent(event{kind: eventFence, message: "Sending fence order.", server: server, order: order})
	c.addEffect(effect{kind: effectSubmit, server: server, order: order})
}

// stepOrders handles sent orders that their server's inventory doesn't list. A server
// that honours fencing gets a newer fencing number, so that it refuses the order if it
// arrives late; any other server gets the same order again.
func (c *core) stepOrders(now time.Time, spec ledger.ServerSpec) {
	if c.phase != phaseActive {
		return
	}
	for _, p := range c.ledger.Pending(spec.Name) {
		state, sent := c.sentOrders[p.Order.ID]
		if c.awaitsLedgerWrite(p) || c.ledger.ListedByServer(p) || (sent && now.Sub(state.sentAt) < state.resendDelay()) {
			continue
		}
		if spec.HonoursFencing {
			c.sendFenceOrder(now, spec.Name)
			return
		}
		c.resend(now, p)
	}
}

// awaitsLedgerWrite reports whether an order still waits for its write to the ledger key.
func (c *core) awaitsLedgerWrite(p ledger.Pending) bool {
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

// resend sends an order again with the same id. An unload of what is by now the last
// copy is canceled instead: a fence order with the same id has no effect on a server
// that ignores fencing, and uses up the id, so that the unload can't run any more.
func (c *core) resend(now time.Time, p ledger.Pending) {
	if !c.lease.Holds(now) {
		return
	}
	if p.Order.Action == engine.ActionUnload && c.removesLastCopy(p) {
		p.Order = engine.Order{ID: p.Order.ID, Fence: p.Order.Fence, Action: engine.ActionFence}
	}
	if p.Order.Action == engine.ActionLoad && !c.loadBucket.take(now, c.loadRate(now)) {
		return
	}
	c.addEvent(event{kind: eventResend, message: "Sending order again, or a fence order that cancels it.", server: p.Server, ref: p.Order.Ref, order: p.Order})
	c.submit(now, p)
}

// removesLastCopy reports whether an unload order would remove the last copy of a
// configured version.
func (c *core) removesLastCopy(p ledger.Pending) bool {
	return c.ledger.Holds(p.Server, p.Order.Ref) && c.configured(p.Order.Ref) &&
		c.ledger.OtherCopies(p.Server, p.Order.Ref) == 0
}

func (c *core) configured(ref modelref.Ref) bool {
	_, ok := c.document.Resolve(string(ref))
	return ok
}

func (c *core) submit(now time.Time, p ledger.Pending) {
	state := c.sentOrders[p.Order.ID]
	c.sentOrders[p.Order.ID] = sentOrder{sentAt: now, sendCount: state.sendCount + 1}
	c.callsTo(p.Server).nextInventory = now.Add(busyInventoryInterval)
	c.addEffect(effect{kind: effectSubmit, server: p.Server, order: p.Order})
}

// handleSubmit processes a server's answer to an order. It only looks for a newer term:
// an order is settled by an inventory alone.
func (c *core) handleSubmit(now time.Time, r result) {
	var stale *engine.StaleFenceError
	if !errors.As(r.err, &stale) || c.ledger == nil {
		return
	}
	if term := ledger.TermOf(stale.HighestFence); term > c.ledger.Term() {
		c.yieldTo(term)
	}
}

func (c *core) stepInventory(now time.Time, spec ledger.ServerSpec, servers int) {
	calls := c.callsTo(spec.Name)
	if calls.inventoryInFlight || now.Before(calls.nextInventory) {
		return
	}
	calls.inventoryInFlight, calls.inventoryRequestedAt = true, now
	calls.nextInventory = now.Add(c.inventoryInterval(spec, servers))
	c.lastInventoryNumber++
	c.ledger.RequestSent(spec.Name, c.lastInventoryNumber)
	e := effect{kind: effectInventory, server: spec.Name, inventoryNumber: c.lastInventoryNumber}
	if now.Sub(calls.reportRequestedAt) >= reportInterval || calls.reportRequestedAt.IsZero() {
		e.withReport, calls.reportRequestedAt = true, now
	}
	c.addEffect(e)
}

func (c *core) inventoryInterval(spec ledger.ServerSpec, servers int) time.Duration {
	if len(c.ledger.Pending(spec.Name)) > 0 || !c.ledger.Ready(spec.Name) {
		return busyInventoryInterval
	}
	return max(idleInventoryInterval, time.Duration(servers)*idleInventoryPerServer)
}

func (c *core) handleInventory(now time.Time, r result) {
	if c.ledger == nil {
		return
	}
	calls := c.callsTo(r.effect.server)
	if r.err != nil {
		c.ledger.Unreachable(r.effect.server, r.effect.inventoryNumber)
		calls.inventoryInFlight, calls.lastFailed = false, true
		return
	}
	if term := ledger.TermOf(r.inventory.Fence); term > c.ledger.Term() {
		c.yieldTo(term)
		return
	}
	o := c.ledger.Observe(r.effect.server, r.effect.inventoryNumber, r.inventory)
	if o.Stale {
		// This isn't the answer to the last request, so inventoryInFlight stays as it is.
		return
	}
	calls.inventoryInFlight, calls.lastFailed, calls.answeredAt = false, false, now
	c.updateThroughput(r)
	c.addObservationEvents(now, r.effect.server, o)
}

// throughputSmoothing is the weight of the newest report in the moving average of a
// server's throughput.
const throughputSmoothing = 0.2

// updateThroughput updates a server's throughput from its report. A decode step yields one
// token for each request in the batch, so a full batch yields MaxBatch tokens per step.
func (c *core) updateThroughput(r result) {
	if r.report.StepMillis <= 0 || r.report.MaxBatch <= 0 {
		return
	}
	throughput := float64(r.report.MaxBatch) * millisPerSecond / r.report.StepMillis
	if old := c.throughputs[r.effect.server]; old > 0 {
		throughput = (1-throughputSmoothing)*old + throughputSmoothing*throughput
	}
	c.throughputs[r.effect.server] = throughput
}

func (c *core) addObservationEvents(now time.Time, server string, o ledger.Observation) {
	if o.Restarted {
		c.addEvent(event{kind: eventRestart, message: "Server process was restarted; its memory is empty.", server: server, warn: true})
	}
	for _, s := range o.Settled {
		c.orderSettled(now, s)
	}
	for _, s := range o.UnexpectedChanges {
		message := "A version disappeared without an unload order of this lease holder."
		if s.Appeared {
			message = "A version appeared without a load order of this lease holder; its memory counts as committed."
		}
		c.addEvent(event{kind: eventUnexpectedChange, message: message, server: server, ref: s.Ref, warn: true})
	}
}

func (c *core) orderSettled(now time.Time, s ledger.SettledOrder) {
	if c.dirtySince.IsZero() {
		c.dirtySince = now
	}
	delete(c.sentOrders, s.Pending.Order.ID)
	if s.Pending.Order.Action == engine.ActionLoad && s.State == engine.OrderDone {
		c.loadedAt[copyKey{s.Pending.Server, s.Pending.Order.Ref}] = now
	}
	e := event{
		kind:    eventSettled,
		message: "Order ended: " + string(s.State) + ".",
		server:  s.Pending.Server,
		ref:     s.Pending.Order.Ref,
		order:   s.Pending.Order,
		reason:  s.Reason,
	}
	// The state is empty if a newer fencing number canceled the order.
	if s.State == "" {
		e.message = "Order was canceled by a newer fencing number."
	}
	c.addEvent(e)
}
