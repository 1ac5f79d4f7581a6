package residency

import (
	"slices"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

const (
	// lateOrderWindow is how long a server may still execute an order after the call that
	// sent it has failed.
	lateOrderWindow = 14 * time.Second
	// stateReadDelay is the wait before a state read when the server's state may not yet show
	// its last order. It applies after a state that was older than an accepted order, after an
	// order that was not accepted, and after the time at which an order should be done.
	stateReadDelay = 300 * time.Millisecond
	// openOrderPollPeriod is the time between two state reads of a server that executes an
	// order. It is also the expected duration of an unload.
	openOrderPollPeriod = 500 * time.Millisecond
	// stateRetryDelay is the wait after a failed state read.
	stateRetryDelay = 600 * time.Millisecond
	// adapterReadyDelay is the time from the answer to an adapter's load order until the
	// server accepts requests for the adapter.
	adapterReadyDelay = 25 * time.Millisecond
	// nextLoadTimeout is how long memory freed for a model stays reserved for its load.
	nextLoadTimeout = 8 * time.Second
	// stateRefreshPeriod is the time between two state reads of a server without an open
	// order. These reads detect a lost server before its announcement expires.
	stateRefreshPeriod = 3 * time.Second
	// lostAfterFailures is the number of consecutive failed state reads after which a
	// server's copies no longer count.
	lostAfterFailures = 2
)

// openOrder is an order for a model that the server accepted and is executing.
type openOrder struct {
	order      engine.SequencedOrder
	acceptedAt time.Time
}

// unansweredOrder is an order whose answer was lost, so that its outcome is unclear. The
// server may execute it up to the time until.
type unansweredOrder struct {
	order engine.SequencedOrder
	until time.Time
}

// trackedServer is the lease holder's view of one server. While a server process runs, at
// most one of the orders with the same expected sequence number takes effect. An order
// without an answer can therefore not take effect in addition to a later one with the same
// number. A restart resets the sequence numbers, and the order may then match again.
type trackedServer struct {
	server discovery.KnownServer
	// stateKnown is false before the first state read, after an order that was not accepted,
	// and while the server executes an order of another holder. sequence is the number of
	// orders that the server has accepted since it started.
	stateKnown bool
	// stateRead is true once the state of the running process was read: until then, what it holds is known from its
	// announcements only.
	stateRead bool
	sequence  uint64
	models    map[modelref.Ref]engine.HoldingState
	adapters  map[modelref.Ref]engine.HoldingState
	// usableFrom holds, for each adapter being loaded, the time from which it can be used.
	usableFrom map[modelref.Ref]time.Time
	// unloading holds the adapters whose unload the server has accepted and not carried out yet: such an adapter is in use,
	// and keeps its slot until its requests have ended, however long they last. The server's state lists it like any other.
	unloading map[modelref.Ref]bool
	// toldGone are the versions of which all instances were told last that they aren't usable here.
	toldGone map[modelref.Ref]bool
	// inMemory and onDisk are the models whose weights the server has in memory or on disk,
	// whether or not they are resident.
	inMemory map[modelref.Ref]bool
	onDisk   map[modelref.Ref]bool

	// readFailures counts consecutive failed state reads.
	readFailures int
	readingState bool
	nextReadAt   time.Time
	sendingOrder bool
	openOrder    *openOrder
	// nextLoad is the model for which memory was freed, reserved until nextLoadUntil.
	nextLoad      modelref.Ref
	nextLoadUntil time.Time
	// unanswered holds the unanswered orders to the running process of the server,
	// earlierUnanswered those to its earlier processes. Both are kept until they can no longer be
	// executed: what the running process shows says nothing of the next one, whose sequence
	// numbers begin anew.
	unanswered        []unansweredOrder
	earlierUnanswered []unansweredOrder
}

func newTrackedServer(server discovery.KnownServer) *trackedServer {
	s := &trackedServer{server: server}
	s.resetForRestart()
	return s
}

// resetForRestart discards the state that the server held before it restarted.
func (s *trackedServer) resetForRestart() {
	s.stateKnown, s.stateRead, s.sequence, s.openOrder = false, false, 0, nil
	s.models = map[modelref.Ref]engine.HoldingState{}
	s.adapters = map[modelref.Ref]engine.HoldingState{}
	s.usableFrom = map[modelref.Ref]time.Time{}
	s.unloading = map[modelref.Ref]bool{}
	s.toldGone = map[modelref.Ref]bool{}
	s.inMemory = map[modelref.Ref]bool{}
	s.onDisk = map[modelref.Ref]bool{}
	s.earlierUnanswered = append(s.earlierUnanswered, s.unanswered...)
	s.unanswered = nil
	s.nextReadAt = time.Time{}
}

// updateAnnouncement stores the server's latest announcement, and reports whether it is that of another
// process than the one before.
func (s *trackedServer) updateAnnouncement(server discovery.KnownServer) (restarted bool) {
	restarted = server.StartMillis != s.server.StartMillis
	s.server = server
	if restarted {
		s.resetForRestart()
		return true
	}
	if s.openOrder != nil && server.LastAnnouncedAt.After(s.openOrder.acceptedAt) && s.provesOpenOrder(server.Resident) {
		s.completeOpenOrder()
	}
	return false
}

// provesOpenOrder reports whether the announced versions prove that the open order, a load,
// is done.
func (s *trackedServer) provesOpenOrder(resident []modelref.Ref) bool {
	return s.openOrder.order.Action == engine.ActionLoad && slices.Contains(resident, s.openOrder.order.Ref)
}

// completeOpenOrder applies the effect of the open order, which is done.
func (s *trackedServer) completeOpenOrder() {
	ref := s.openOrder.order.Ref
	if s.openOrder.order.Action == engine.ActionLoad {
		s.models[ref] = engine.StateResident
		s.inMemory[ref], s.onDisk[ref] = true, true
	} else {
		delete(s.models, ref)
	}
	s.openOrder = nil
}

// updateState applies a state that the server returned. It ignores a state that is older
// than an accepted order, and returns true for it.
func (s *trackedServer) updateState(now time.Time, state engine.SequencedState) (stale bool) {
	s.readFailures = 0
	if state.Sequence < s.sequence {
		s.nextReadAt = now.Add(stateReadDelay)
		return true
	}
	s.stateKnown, s.stateRead, s.sequence = true, true, state.Sequence
	s.models = residentStates(state.Models)
	s.inMemory, s.onDisk = setOf(state.InMemory), setOf(state.OnDisk)
	s.updateAdapters(now, state)
	s.nextReadAt = now.Add(stateRefreshPeriod)
	if len(s.unloading) > 0 {
		s.nextReadAt = now.Add(openOrderPollPeriod)
	}
	switch {
	case !state.Busy:
		s.openOrder = nil
	case s.openOrder != nil:
		s.setOpenOrderState()
		s.nextReadAt = now.Add(openOrderPollPeriod)
	default:
		// The server executes an order of another holder.
		s.stateKnown = false
		s.nextReadAt = now.Add(openOrderPollPeriod)
	}
	return false
}

// setOpenOrderState sets the state of the open order's model to loading or unloading.
func (s *trackedServer) setOpenOrderState() {
	state := engine.StateLoading
	if s.openOrder.order.Action == engine.ActionUnload {
		state = engine.StateUnloading
	}
	s.models[s.openOrder.order.Ref] = state
}

func (s *trackedServer) updateAdapters(now time.Time, state engine.SequencedState) {
	s.adapters = residentStates(state.Adapters)
	s.usableFrom = map[modelref.Ref]time.Time{}
	for _, ref := range state.LoadingAdapters {
		s.adapters[ref] = engine.StateLoading
		s.usableFrom[ref] = now.Add(adapterReadyDelay)
	}
	for ref := range s.unloading {
		if _, held := s.adapters[ref]; !held {
			delete(s.unloading, ref)
			continue
		}
		s.adapters[ref] = engine.StateUnloading
	}
}

// readDue reports whether the server's state should be read now.
func (s *trackedServer) readDue(now time.Time) bool {
	return !s.readingState && !s.sendingOrder && !now.Before(s.nextReadAt)
}

// acceptsOrders reports whether an order may be sent to the server now.
func (s *trackedServer) acceptsOrders(now time.Time) bool {
	return s.stateKnown && !s.readingState && !s.sendingOrder && s.openOrder == nil && !s.server.Leaving && !s.server.Paused(now)
}

// recordAccepted records that the server accepted an order. For a model it also schedules the
// next state read for when the order should be done, expectedDuration from now.
func (s *trackedServer) recordAccepted(now time.Time, order engine.SequencedOrder, isAdapter bool, expectedDuration time.Duration) {
	s.sequence = order.ExpectedOrders + 1
	if isAdapter {
		s.recordAcceptedAdapter(now, order)
		return
	}
	s.openOrder = &openOrder{order: order, acceptedAt: now}
	s.setOpenOrderState()
	s.nextReadAt = now.Add(expectedDuration + stateReadDelay)
}

func (s *trackedServer) recordAcceptedAdapter(now time.Time, order engine.SequencedOrder) {
	if order.Action == engine.ActionUnload {
		s.adapters[order.Ref] = engine.StateUnloading
		s.unloading[order.Ref] = true
		s.nextReadAt = now.Add(stateReadDelay)
		return
	}
	delete(s.unloading, order.Ref)
	s.adapters[order.Ref] = engine.StateLoading
	s.usableFrom[order.Ref] = now.Add(adapterReadyDelay)
}

// recordUnloadedAdapter records that the server has unloaded an adapter as an order said.
func (s *trackedServer) recordUnloadedAdapter(order engine.SequencedOrder) {
	s.sequence = order.ExpectedOrders + 1
	delete(s.adapters, order.Ref)
	delete(s.unloading, order.Ref)
}

// takeUsableAdapters marks the adapters that have become usable as resident and returns them.
func (s *trackedServer) takeUsableAdapters(now time.Time) []modelref.Ref {
	var out []modelref.Ref
	for ref, at := range s.usableFrom {
		if now.Before(at) {
			continue
		}
		delete(s.usableFrom, ref)
		if s.adapters[ref] == engine.StateLoading {
			s.adapters[ref] = engine.StateResident
			out = append(out, ref)
		}
	}
	return out
}

// recordUnanswered records an order without an answer. The server's state must be read
// before the next order.
func (s *trackedServer) recordUnanswered(now time.Time, order engine.SequencedOrder) {
	s.unanswered = append(unexpired(now, s.unanswered), unansweredOrder{order: order, until: now.Add(lateOrderWindow)})
	s.requireStateRead(now)
}

// recordUnansweredEarlier records an order without an answer to an earlier process of the server.
func (s *trackedServer) recordUnansweredEarlier(now time.Time, order engine.SequencedOrder) {
	s.earlierUnanswered = append(unexpired(now, s.earlierUnanswered), unansweredOrder{order: order, until: now.Add(lateOrderWindow)})
}

// unexpired returns the orders that may still be executed.
func unexpired(now time.Time, orders []unansweredOrder) []unansweredOrder {
	return slices.DeleteFunc(orders, func(o unansweredOrder) bool { return now.After(o.until) })
}

// requireStateRead requires a state read before the next order.
func (s *trackedServer) requireStateRead(now time.Time) {
	s.stateKnown = false
	s.nextReadAt = now.Add(stateReadDelay)
}

// reservation is what late orders may still take on a server.
type reservation struct {
	memoryMB int64
	slots    int
}

// reserved returns what unanswered orders to earlier processes of the server may still take from the
// running one. Of the orders with the same number at most one is executed, and none with a number
// that the process has passed.
func (s *trackedServer) reserved(now time.Time, sizeMB func(modelref.Ref) int64, isAdapter func(modelref.Ref) bool) reservation {
	s.earlierUnanswered = unexpired(now, s.earlierUnanswered)
	byNumber := map[uint64]reservation{}
	for _, o := range s.earlierUnanswered {
		if o.order.Action != engine.ActionLoad || o.order.ExpectedOrders < s.sequence || s.holds(o.order.Ref) {
			continue
		}
		r := byNumber[o.order.ExpectedOrders]
		r.memoryMB = max(r.memoryMB, sizeMB(o.order.Ref))
		if isAdapter(o.order.Ref) {
			r.slots = 1
		}
		byNumber[o.order.ExpectedOrders] = r
	}
	var total reservation
	for _, r := range byNumber {
		total.memoryMB += r.memoryMB
		total.slots += r.slots
	}
	return total
}

// holds reports whether a version is on the server, in any state.
func (s *trackedServer) holds(ref modelref.Ref) bool {
	_, isModel := s.models[ref]
	_, isAdapter := s.adapters[ref]
	return isModel || isAdapter
}

func residentStates(refs []modelref.Ref) map[modelref.Ref]engine.HoldingState {
	out := make(map[modelref.Ref]engine.HoldingState, len(refs))
	for _, ref := range refs {
		out[ref] = engine.StateResident
	}
	return out
}

func setOf(refs []modelref.Ref) map[modelref.Ref]bool {
	out := make(map[modelref.Ref]bool, len(refs))
	for _, ref := range refs {
		out[ref] = true
	}
	return out
}
