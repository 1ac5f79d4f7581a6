package modelengine

import (
	"context"
	"time"

	"limpethub/internal/engine"
)

// maxOrders is how many orders the inventory remembers.
const maxOrders = 256

// take accepts an order. A stale one is refused with the fencing number seen; one
// that is already known isn't carried out again.
func (e *Engine) take(order engine.Order) (engine.OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.HonoursFencing {
		if order.Fence < e.fence {
			e.stats.StaleOrders++
			return engine.OrderOutcome{}, &engine.StaleFenceError{HighestFence: e.fence}
		}
		e.fence = order.Fence
	}
	if known := e.orderLocked(order.ID); known != nil {
		return *known, nil
	}
	outcome := engine.OrderOutcome{ID: order.ID, Fence: order.Fence, Action: order.Action, Ref: order.Ref, State: engine.OrderRunning}
	e.orders = append(e.orders, outcome)
	if len(e.orders) > maxOrders {
		e.orders = append(e.orders[:0], e.orders[maxOrders/2:]...)
	}
	e.applyLocked(order)
	e.recordLocked(time.Now())
	return *e.orderLocked(order.ID), nil
}

func (e *Engine) orderLocked(id string) *engine.OrderOutcome {
	for i := range e.orders {
		if e.orders[i].ID == id {
			return &e.orders[i]
		}
	}
	return nil
}

// settleLocked records how an order ended; an empty reason means done.
func (e *Engine) settleLocked(id, reason string) {
	outcome := e.orderLocked(id)
	if outcome == nil {
		return
	}
	outcome.State = engine.OrderDone
	if reason != "" {
		outcome.State = engine.OrderFailed
		outcome.Reason = reason
	}
}

func (e *Engine) applyLocked(order engine.Order) {
	switch order.Action {
	case engine.ActionLoad:
		e.applyLoadLocked(order)
	case engine.ActionUnload:
		e.applyUnloadLocked(order)
	case engine.ActionRole:
		e.role = order.Role
		e.settleLocked(order.ID, "")
	case engine.ActionFence:
		e.settleLocked(order.ID, "")
	default:
		e.settleLocked(order.ID, "unknown action")
	}
}

func (e *Engine) applyLoadLocked(order engine.Order) {
	if reason := e.reserveLocked(order.Ref, order.Base, order.MemoryMB); reason != "" {
		e.settleLocked(order.ID, reason)
		return
	}
	e.stats.Loads++
	go e.load(e.life, order)
}

// load fetches the weights of a reserved version.
func (e *Engine) load(life context.Context, order engine.Order) {
	var err error
	if e.options.Weights != nil {
		err = e.options.Weights.Load(life, order.MemoryMB)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	if err != nil {
		delete(e.holdings, order.Ref)
		e.settleLocked(order.ID, err.Error())
		return
	}
	e.holdings[order.Ref].state = engine.StateResident
	e.settleLocked(order.ID, "")
	e.recordLocked(time.Now())
}

func (e *Engine) applyUnloadLocked(order engine.Order) {
	if reason := e.releaseLocked(order.Ref); reason != "" {
		e.settleLocked(order.ID, reason)
		return
	}
	e.stats.Unloads++
	go e.unload(e.life, order)
}

// unload waits until the version's requests have ended, then frees its memory.
func (e *Engine) unload(life context.Context, order engine.Order) {
	wait := e.options.UnloadTime
	for {
		select {
		case <-time.After(max(wait, time.Millisecond)):
		case <-life.Done():
			return
		}
		if e.unloaded(life, order) {
			return
		}
		wait = drainPoll
	}
}

func (e *Engine) unloaded(life context.Context, order engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return true
	}
	if e.busyLocked(order.Ref) {
		return false
	}
	delete(e.holdings, order.Ref)
	e.settleLocked(order.ID, "")
	e.recordLocked(time.Now())
	return true
}
