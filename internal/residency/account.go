package residency

import (
	"slices"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

const (
	// lateOrder is how long an order without an answer may still be carried out.
	lateOrder = 14 * time.Second
	// reportLag is how old the figures of a server's account may be.
	reportLag = 300 * time.Millisecond
	// pollPeriod is the time between two looks at a server that carries out an order.
	pollPeriod = 500 * time.Millisecond
	// retryAsk is the wait after an account that couldn't be read.
	retryAsk = 600 * time.Millisecond
	// adapterDelay is how long an adapter takes from the answer to its order until
	// requests for it are taken.
	adapterDelay = 25 * time.Millisecond
	// goalTime is how long room that was made is kept for its model.
	goalTime = 8 * time.Second
	// refreshPeriod is the time between two reads of an account for which nothing is open.
	// A server that is gone shows then, before its announcement lapses.
	refreshPeriod = 3 * time.Second
	// lostAfter is after how many failed reads a server's copies no longer count.
	lostAfter = 2
)

// openOrder is a model order that a server carries out.
type openOrder struct {
	order engine.SequencedOrder
	since time.Time
}

// lostOrder is an order of which the outcome is unclear, given to an earlier start of
// the server.
type lostOrder struct {
	order engine.SequencedOrder
	until time.Time
}

// account is the holder's view of one server. On one start of a server at most one of
// the orders with the same expected number takes effect, so that an order without an
// answer needs no further care there; after a restart the numbers begin anew, and it
// may still fit.
type account struct {
	server discovery.Known
	// known is true once the server's own account was read, and sequence is how many
	// orders the server has accepted.
	known    bool
	sequence uint64
	models   map[modelref.Ref]engine.HoldingState
	adapters map[modelref.Ref]engine.HoldingState
	// usableFrom is when an adapter that was ordered can be used.
	usableFrom map[modelref.Ref]time.Time
	inMemory   map[modelref.Ref]bool
	onDisk     map[modelref.Ref]bool

	// failures counts reads of the account that failed in a row.
	failures int
	asking   bool
	nextAsk  time.Time
	ordering bool
	open     *openOrder
	// goal is the model for which room was made, up to goalUntil.
	goal      modelref.Ref
	goalUntil time.Time
	// unanswered are orders without an answer; lost are those of earlier starts.
	unanswered []lostOrder
	lost       []lostOrder
}

func newAccount(server discovery.Known) *account {
	a := &account{server: server}
	a.restart()
	return a
}

// restart forgets what the last start of the server held.
func (a *account) restart() {
	a.known, a.sequence, a.open = false, 0, nil
	a.models = map[modelref.Ref]engine.HoldingState{}
	a.adapters = map[modelref.Ref]engine.HoldingState{}
	a.usableFrom = map[modelref.Ref]time.Time{}
	a.inMemory = map[modelref.Ref]bool{}
	a.onDisk = map[modelref.Ref]bool{}
	a.lost = append(a.lost, a.unanswered...)
	a.unanswered = nil
	a.nextAsk = time.Time{}
}

// announce takes the server's newest announcement.
func (a *account) announce(server discovery.Known) {
	restarted := server.Born != a.server.Born
	a.server = server
	if restarted {
		a.restart()
		return
	}
	if a.open != nil && server.Seen.After(a.open.since) && a.shows(server.Resident) {
		a.complete()
	}
}

// shows reports whether a list of versions proves the open order done.
func (a *account) shows(resident []modelref.Ref) bool {
	return a.open.order.Action == engine.ActionLoad && slices.Contains(resident, a.open.order.Ref)
}

// complete notes that the open order is done.
func (a *account) complete() {
	ref := a.open.order.Ref
	if a.open.order.Action == engine.ActionLoad {
		a.models[ref] = engine.StateResident
		a.inMemory[ref], a.onDisk[ref] = true, true
	} else {
		delete(a.models, ref)
	}
	a.open = nil
}

// observe takes the server's own account. One that predates an accepted order is
// ignored.
func (a *account) observe(now time.Time, state engine.SequencedState) (stale bool) {
	a.failures = 0
	if state.Sequence < a.sequence {
		a.nextAsk = now.Add(reportLag)
		return true
	}
	a.known, a.sequence = true, state.Sequence
	a.unanswered = nil
	a.models = statesOf(state.Models)
	a.inMemory, a.onDisk = setOf(state.InMemory), setOf(state.OnDisk)
	a.observeAdapters(now, state)
	a.nextAsk = now.Add(refreshPeriod)
	switch {
	case !state.Busy:
		a.open = nil
	case a.open != nil:
		a.markOpen()
		a.nextAsk = now.Add(pollPeriod)
	default:
		// Another holder's order is under way.
		a.known = false
		a.nextAsk = now.Add(pollPeriod)
	}
	return false
}

// markOpen shows the version of the open order as under way.
func (a *account) markOpen() {
	state := engine.StateLoading
	if a.open.order.Action == engine.ActionUnload {
		state = engine.StateUnloading
	}
	a.models[a.open.order.Ref] = state
}

func (a *account) observeAdapters(now time.Time, state engine.SequencedState) {
	a.adapters = statesOf(state.Adapters)
	a.usableFrom = map[modelref.Ref]time.Time{}
	for _, ref := range state.Coming {
		a.adapters[ref] = engine.StateLoading
		a.usableFrom[ref] = now.Add(adapterDelay)
	}
}

// due reports whether the server's account should be read.
func (a *account) due(now time.Time) bool {
	return !a.asking && !a.ordering && !now.Before(a.nextAsk)
}

// ready reports whether an order may be given.
func (a *account) ready() bool {
	return a.known && !a.asking && !a.ordering && a.open == nil && !a.server.Leaving
}

// accepted notes that the server took an order.
func (a *account) accepted(now time.Time, order engine.SequencedOrder, adapter bool, takes time.Duration) {
	a.sequence = order.Expected + 1
	a.unanswered = nil
	if adapter {
		a.acceptedAdapter(now, order)
		return
	}
	a.open = &openOrder{order: order, since: now}
	a.markOpen()
	a.nextAsk = now.Add(takes + reportLag)
}

func (a *account) acceptedAdapter(now time.Time, order engine.SequencedOrder) {
	if order.Action == engine.ActionUnload {
		delete(a.adapters, order.Ref)
		return
	}
	a.adapters[order.Ref] = engine.StateLoading
	a.usableFrom[order.Ref] = now.Add(adapterDelay)
}

// promote returns the adapters that can be used from now on.
func (a *account) promote(now time.Time) []modelref.Ref {
	var out []modelref.Ref
	for ref, at := range a.usableFrom {
		if now.Before(at) {
			continue
		}
		delete(a.usableFrom, ref)
		if a.adapters[ref] == engine.StateLoading {
			a.adapters[ref] = engine.StateResident
			out = append(out, ref)
		}
	}
	return out
}

// unclear notes an order without an answer: the server's account must be read before
// the next one.
func (a *account) unclear(now time.Time, order engine.SequencedOrder) {
	a.unanswered = append(a.unanswered, lostOrder{order: order, until: now.Add(lateOrder)})
	a.distrust(now)
}

// distrust makes the server's account be read before the next order.
func (a *account) distrust(now time.Time) {
	a.known = false
	a.nextAsk = now.Add(reportLag)
}

// reserved is the memory that late orders to earlier starts of the server may take.
func (a *account) reserved(now time.Time, size func(modelref.Ref) int64) int64 {
	var total int64
	kept := a.lost[:0]
	for _, l := range a.lost {
		if now.After(l.until) {
			continue
		}
		kept = append(kept, l)
		if l.order.Action == engine.ActionLoad {
			total += size(l.order.Ref)
		}
	}
	a.lost = kept
	return total
}

func statesOf(refs []modelref.Ref) map[modelref.Ref]engine.HoldingState {
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
