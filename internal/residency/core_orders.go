package residency

import (
	"fmt"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// notice is an unload that was announced and waits for its order.
type notice struct {
	move Move
	at   time.Time
}

// settled reports whether the servers that are known are probably all there are. A new
// holder that plans with the first of them takes the models of all others for lost.
func (c *core) settled(now time.Time) bool {
	return now.Sub(c.since) > longestSettling || now.Sub(c.cameLast) >= settling
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
