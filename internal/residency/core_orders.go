package residency

import (
	"fmt"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// pendingUnload is an unload that the instances were told of but whose order has not been sent.
type pendingUnload struct {
	// noticeSentAt is when the instances were told.
	move         Move
	noticeSentAt time.Time
}

// serverListStable reports whether the known servers are probably all servers. A new holder
// that planned with only the first of them would treat the models of all others as lost.
func (c *core) serverListStable(now time.Time) bool {
	return now.Sub(c.leaseChangedAt) > maxServerWait || now.Sub(c.lastNewServerAt) >= serverQuietPeriod
}

// issueOrders plans each pool and sends the orders of the plan.
func (c *core) issueOrders(now time.Time) {
	c.sendPendingUnloads(now)
	for _, pool := range c.document.Pools {
		for _, m := range Plan(c.snapshot(now, pool)) {
			c.applyMove(now, pool, m)
		}
	}
}

// sendPendingUnloads sends the unload orders whose notice period is over.
func (c *core) sendPendingUnloads(now time.Time) {
	for id, pending := range c.pendingUnloads {
		if now.Sub(pending.noticeSentAt) < unloadNoticePeriod {
			continue
		}
		delete(c.pendingUnloads, id)
		srv := c.servers[id]
		switch {
		case srv == nil:
		case srv.acceptsOrders(now):
			c.sendOrder(srv, pending.move)
		default:
			c.takeBackRemovals(srv)
		}
	}
}

// takeBackRemovals tells all instances of the versions that are usable on a server although they were told otherwise, since the
// unload wasn't sent or wasn't carried out.
func (c *core) takeBackRemovals(srv *trackedServer) {
	_, unloadPending := c.pendingUnloads[srv.server.ID]
	if unloadPending || srv.sendingOrder {
		return
	}
	for ref := range srv.residentVersions() {
		if srv.toldGone[ref] {
			c.recordChange(srv, ref, true)
		}
	}
}

// applyMove checks a move against the server's state and sends its order. For the unload of
// a model it first tells all instances and leaves the order to sendPendingUnloads.
func (c *core) applyMove(now time.Time, pool site.Pool, m Move) {
	srv := c.servers[m.Server]
	if err := c.checkMove(now, pool, srv, m); err != nil {
		c.log("Order not sent", map[string]any{"server": m.Server, "ref": m.Ref, "action": m.Action, "reason": err.Error()}, true)
		return
	}
	if _, isModel := c.models[m.Ref]; m.Action == engine.ActionUnload && isModel {
		c.pendingUnloads[m.Server] = pendingUnload{move: m, noticeSentAt: now}
		srv.nextLoad, srv.nextLoadUntil = m.For, now.Add(nextLoadTimeout)
		c.recordModelRemoval(srv, m.Ref)
		return
	}
	if m.FromWeightStore {
		c.weightLoads[pool.Service].ordered(now)
	}
	c.sendOrder(srv, m)
}

// recordModelRemoval tells all instances that a model and its adapters on a server are no
// longer usable, so that they send no more requests for them to the server.
func (c *core) recordModelRemoval(srv *trackedServer, ref modelref.Ref) {
	c.recordChange(srv, ref, false)
	for adapter := range srv.adapters {
		if c.adapters[adapter].Base == ref {
			c.recordChange(srv, adapter, false)
		}
	}
}

// checkMove checks a move against the server's state. A load must never exceed the server's
// memory or its adapter slots, whatever the plan says.
func (c *core) checkMove(now time.Time, pool site.Pool, srv *trackedServer, m Move) error {
	if srv == nil || !srv.acceptsOrders(now) {
		return fmt.Errorf("server doesn't accept orders now")
	}
	if m.Action != engine.ActionLoad {
		return nil
	}
	reserved := c.reservedOn(now, srv)
	if adapter, ok := c.adapters[m.Ref]; ok {
		if srv.models[adapter.Base] != engine.StateResident {
			return fmt.Errorf("base %s is not resident", adapter.Base)
		}
		if len(srv.adapters)+reserved.slots >= pool.AdapterSlots {
			return fmt.Errorf("all %d adapter slots are in use, %d of them by late orders", pool.AdapterSlots, reserved.slots)
		}
	}
	committedMB := reserved.memoryMB
	for ref := range srv.models {
		committedMB += c.sizeMB(ref)
	}
	for ref := range srv.adapters {
		committedMB += c.sizeMB(ref)
	}
	if sizeMB := c.sizeMB(m.Ref); committedMB+sizeMB > pool.MemoryMB {
		return fmt.Errorf("%d MB committed, load needs %d MB, server has %d MB", committedMB, sizeMB, pool.MemoryMB)
	}
	return nil
}

// sendOrder asks for the call that sends an order. It logs the order now, before the call; the
// outcome is logged as "Order answered".
func (c *core) sendOrder(srv *trackedServer, m Move) {
	order := engine.SequencedOrder{
		Action: m.Action, Ref: m.Ref,
		Holder: c.instance, Fence: c.lease.Term(), ExpectedOrders: srv.sequence,
	}
	srv.sendingOrder = true
	if _, isAdapter := c.adapters[m.Ref]; isAdapter && m.Action == engine.ActionUnload {
		srv.adapters[m.Ref] = engine.StateUnloading
		c.recordChange(srv, m.Ref, false)
	}
	c.log("Order", map[string]any{
		"server": m.Server, "ref": m.Ref, "action": m.Action, "from_store": m.FromWeightStore,
		"expected": order.ExpectedOrders, "fence": order.Fence, "reason": m.Reason,
	}, false)
	c.ordersInProgress++
	c.emit(srv, effect{kind: effectOrder, order: order, fromWeightStore: m.FromWeightStore})
}
