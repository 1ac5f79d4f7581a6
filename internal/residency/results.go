package residency

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// handle processes the result of a call.
func (c *core) handle(now time.Time, r result) {
	switch r.effect.kind {
	case effectReadLease:
		c.handleLeaseRead(now, r)
	case effectWriteLease:
		c.lease.WriteEnded(now, r.revision, r.err)
	case effectReadState:
		c.handleStateRead(now, r)
	case effectOrder:
		c.ordersInProgress--
		c.handleOrderAnswer(now, r)
	}
}

func (c *core) handleLeaseRead(now time.Time, r result) {
	if err := c.lease.ReadEnded(now, r.entry, r.err); err != nil {
		c.log("Lease key can't be read", map[string]any{"error": err.Error()}, true)
	}
}

// serverOf returns the server that a result is about. It returns nil if the result belongs
// to an earlier term or to an earlier process of the server.
func (c *core) serverOf(r result) *trackedServer {
	srv := c.servers[r.effect.server.Name]
	if srv == nil || !c.holdsLease || r.effect.term != c.lease.Term() || r.effect.serverStartMillis != srv.server.StartMillis {
		return nil
	}
	return srv
}

func (c *core) handleStateRead(now time.Time, r result) {
	srv := c.servers[r.effect.server.Name]
	if srv == nil {
		return
	}
	// This comes before the check of the result, because a restart of the server during the
	// read leaves the flag set.
	srv.readingState = false
	if c.serverOf(r) == nil {
		return
	}
	if r.err != nil {
		srv.nextReadAt = now.Add(stateRetryDelay)
		srv.readFailures++
		c.log("Account of a server can't be read", map[string]any{"server": srv.server.ID, "error": r.err.Error()}, true)
		return
	}
	before := srv.residentVersions()
	if srv.updateState(now, r.state) {
		return
	}
	c.recordDifferences(srv, before)
	c.takeBackRemovals(srv)
}

// residentVersions returns the versions in StateResident, which can serve requests. Before the first read of the server's
// state these are the announced ones, which all instances know.
func (s *trackedServer) residentVersions() map[modelref.Ref]bool {
	if !s.stateRead {
		return setOf(s.server.Resident)
	}
	out := map[modelref.Ref]bool{}
	for _, held := range []map[modelref.Ref]engine.HoldingState{s.models, s.adapters} {
		for ref, state := range held {
			if state == engine.StateResident {
				out[ref] = true
			}
		}
	}
	return out
}

// isResident reports whether a version is in StateResident, as residentVersions says.
func (s *trackedServer) isResident(ref modelref.Ref) bool {
	if !s.stateRead {
		return slices.Contains(s.server.Resident, ref)
	}
	return s.models[ref] == engine.StateResident || s.adapters[ref] == engine.StateResident
}

// recordDifferences records how the server's new state differs from the one known before, so
// that all instances are told.
func (c *core) recordDifferences(srv *trackedServer, before map[modelref.Ref]bool) {
	after := srv.residentVersions()
	for ref := range after {
		if !before[ref] {
			c.recordChange(srv, ref, true)
		}
	}
	for ref := range before {
		if !after[ref] {
			c.recordChange(srv, ref, false)
		}
	}
}

func (c *core) handleOrderAnswer(now time.Time, r result) {
	srv := c.servers[r.effect.server.Name]
	if srv == nil {
		c.logLateAnswer(r)
		return
	}
	// This comes before the check of the result, as in handleStateRead.
	srv.sendingOrder = false
	order := r.effect.order
	if c.serverOf(r) == nil {
		c.logLateAnswer(r)
		if c.holdsLease && mayStillArrive(r.err) && r.effect.serverStartMillis != srv.server.StartMillis {
			srv.recordUnansweredEarlier(now, order)
		}
		return
	}
	_, isAdapter := c.adapters[order.Ref]
	switch {
	case r.err != nil && !mayStillArrive(r.err):
		srv.requireStateRead(now)
	case r.err != nil:
		srv.recordUnanswered(now, order)
		c.recordUnansweredLoad(now, srv, r.effect)
	case r.answer == engine.OrderAccepted:
		srv.recordAccepted(now, order, isAdapter, c.expectedDuration(srv, order))
		if !isAdapter && order.Action == engine.ActionUnload {
			c.dropAdapters(srv, order.Ref)
		}
	case r.answer == engine.OrderAlreadySatisfied && isAdapter && order.Action == engine.ActionUnload:
		// The adapter is gone. This also counts the order as accepted, so that states with a
		// lower sequence number are ignored from now on.
		srv.recordUnloadedAdapter(order)
	default:
		srv.requireStateRead(now)
	}
	c.logAnswer(r)
}

// mayStillArrive reports whether an order that ended with err may still reach its server.
func mayStillArrive(err error) bool { return err != nil && !engine.IsUnsent(err) }

// recordUnansweredLoad records that the order of a load from the weight store may still take
// effect.
func (c *core) recordUnansweredLoad(now time.Time, srv *trackedServer, e effect) {
	limiter := c.weightLoads[srv.server.Service]
	if !e.fromWeightStore || limiter == nil {
		return
	}
	limiter.unanswered(unclearLoad{
		server: srv.server.ID, startMillis: srv.server.StartMillis,
		expectedOrders: e.order.ExpectedOrders, until: now.Add(lateOrderWindow),
	})
}

// expectedDuration estimates how long a server takes to execute an order for a model. For an
// adapter the result is meaningless and not used.
func (c *core) expectedDuration(srv *trackedServer, order engine.SequencedOrder) time.Duration {
	m := c.models[order.Ref]
	switch {
	case order.Action == engine.ActionUnload:
		return openOrderPollPeriod
	case srv.inMemory[order.Ref]:
		return millis(m.WarmMillis)
	case srv.onDisk[order.Ref]:
		return millis(m.DiskMillis)
	}
	return millis(m.LoadMillis)
}

// dropAdapters removes the adapters of an unloaded model, which the server unloads with it.
func (c *core) dropAdapters(srv *trackedServer, base modelref.Ref) {
	for adapter := range srv.adapters {
		if c.adapters[adapter].Base == base {
			delete(srv.adapters, adapter)
			delete(srv.usableFrom, adapter)
			delete(srv.unloading, adapter)
		}
	}
}

var answerNames = map[engine.OrderAnswer]string{
	engine.OrderAccepted:         "accepted",
	engine.OrderAlreadySatisfied: "already in the requested state",
	engine.OrderConflict:         "another order came first",
	engine.OrderRefused:          "refused",
}

func (c *core) logAnswer(r result) {
	c.log("Order answered", answerFields(r), r.err != nil)
}

// logLateAnswer logs the end of an order of an earlier term, or to an earlier process of its server.
func (c *core) logLateAnswer(r result) {
	c.log("Order ended after its term or its server", answerFields(r), r.err != nil)
}

func answerFields(r result) map[string]any {
	fields := map[string]any{
		"server": r.effect.server.Name, "ref": r.effect.order.Ref, "action": r.effect.order.Action, "fence": r.effect.order.Fence,
		"expected": r.effect.order.ExpectedOrders, "answer": answerNames[r.answer],
	}
	if r.err != nil {
		fields["answer"], fields["error"] = "none", r.err.Error()
	}
	r.times.logFields(fields)
	return fields
}
