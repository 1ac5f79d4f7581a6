package residency

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// handle takes the end of a call.
func (c *core) handle(now time.Time, r result) {
	switch r.effect.kind {
	case effectReadLease:
		c.leaseRead(now, r)
	case effectWriteLease:
		c.lease.WriteEnded(now, r.revision, r.err)
	case effectState:
		c.stateRead(now, r)
	case effectOrder:
		c.orderAnswered(now, r)
	}
}

func (c *core) leaseRead(now time.Time, r result) {
	if err := c.lease.ReadEnded(now, r.entry, r.err); err != nil {
		c.note("Lease key can't be read", map[string]any{"error": err.Error()}, true)
	}
}

// accountOf returns the account that a result is about; nil when the result belongs to
// an earlier term or an earlier start of the server.
func (c *core) accountOf(r result) *account {
	a := c.accounts[r.effect.server.Name]
	if a == nil || !c.holding || r.effect.term != c.lease.Term() || r.effect.born != a.server.Born {
		return nil
	}
	return a
}

func (c *core) stateRead(now time.Time, r result) {
	a := c.accounts[r.effect.server.Name]
	if a == nil {
		return
	}
	a.asking = false
	if c.accountOf(r) == nil {
		return
	}
	if r.err != nil {
		a.nextAsk = now.Add(retryAsk)
		a.failures++
		c.note("Account of a server can't be read", map[string]any{"server": a.server.ID, "error": r.err.Error()}, true)
		return
	}
	before := a.holdings()
	if a.observe(now, r.state) {
		return
	}
	c.tellDifference(a, before)
}

// holdings lists what can be used on the server as far as the holder knows.
func (a *account) holdings() map[modelref.Ref]bool {
	out := map[modelref.Ref]bool{}
	for _, held := range []map[modelref.Ref]engine.HoldingState{a.models, a.adapters} {
		for ref, state := range held {
			if state == engine.StateResident {
				out[ref] = true
			}
		}
	}
	return out
}

// tellDifference tells all instances what an account showed beyond what was known.
func (c *core) tellDifference(a *account, before map[modelref.Ref]bool) {
	after := a.holdings()
	for ref := range after {
		if !before[ref] {
			c.move(a, ref, true)
		}
	}
	for ref := range before {
		if !after[ref] {
			c.move(a, ref, false)
		}
	}
}

func (c *core) orderAnswered(now time.Time, r result) {
	a := c.accounts[r.effect.server.Name]
	if a == nil {
		return
	}
	a.ordering = false
	if c.accountOf(r) == nil {
		return
	}
	order := r.effect.order
	_, adapter := c.adapters[order.Ref]
	switch {
	case r.err != nil:
		a.unclear(now, order)
	case r.answer == engine.OrderAccepted:
		a.accepted(now, order, adapter, c.takes(a, order))
		if !adapter && order.Action == engine.ActionUnload {
			c.dropAdapters(a, order.Ref)
		}
	case r.answer == engine.OrderHolds && adapter && order.Action == engine.ActionUnload:
		a.accepted(now, order, adapter, 0)
	default:
		a.distrust(now)
	}
	c.noteAnswer(a, r)
}

// takes predicts how long a server carries out a model order.
func (c *core) takes(a *account, order engine.SequencedOrder) time.Duration {
	m := c.models[order.Ref]
	switch {
	case order.Action == engine.ActionUnload:
		return pollPeriod
	case a.inMemory[order.Ref]:
		return millis(m.WarmMillis)
	case a.onDisk[order.Ref]:
		return millis(m.DiskMillis)
	}
	return millis(m.LoadMillis)
}

// dropAdapters notes that the adapters of an unloaded model go with it.
func (c *core) dropAdapters(a *account, base modelref.Ref) {
	for adapter := range a.adapters {
		if c.adapters[adapter].Base == base {
			delete(a.adapters, adapter)
			delete(a.usableFrom, adapter)
		}
	}
}

var answerWords = map[engine.OrderAnswer]string{
	engine.OrderAccepted: "accepted",
	engine.OrderHolds:    "already so",
	engine.OrderConflict: "another order came first",
	engine.OrderRefused:  "refused",
}

func (c *core) noteAnswer(a *account, r result) {
	fields := map[string]any{
		"server": a.server.ID, "ref": r.effect.order.Ref, "action": r.effect.order.Action,
		"expected": r.effect.order.Expected, "answer": answerWords[r.answer],
	}
	if r.err != nil {
		fields["answer"], fields["error"] = "none", r.err.Error()
	}
	c.note("Order answered", fields, r.err != nil)
}
