package placer

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// callFault is what goes wrong with a call.
type callFault uint8

const (
	faultNone callFault = iota
	// faultLost means that the call has no effect and no answer.
	faultLost
	// faultAnswerLost means that the call takes effect, but its answer is lost.
	faultAnswerLost
	// faultDuplicate means that the call arrives twice.
	faultDuplicate
	faultKinds
)

// perform makes the nth call of an instance's outbox.
func (w *world) perform(h *instance, n int, f callFault) {
	e := h.outbox[n]
	h.outbox = slices.Delete(h.outbox, n, n+1)
	r := result{effect: e, err: errDown}
	switch e.kind {
	case effectInventory:
		w.takeInventory(&r, f)
	case effectSubmit:
		w.submit(&r, f)
	default:
		w.callStore(&r, f)
	}
	delayed := delayedResult{result: r}
	if !w.delaysOff && w.random.IntN(lateResultOdds) == 0 {
		delayed.notBefore = w.now.Add(time.Duration(w.random.Int64N(int64(maxResultDelay))))
	}
	h.mailbox = append(h.mailbox, delayed)
}

// One in lateResultOdds results is delayed, by maxResultDelay at the most.
const (
	lateResultOdds = 15
	maxResultDelay = 4 * time.Second
)

func (w *world) serverIndex(name string) int {
	return slices.IndexFunc(w.document.Servers, func(s site.Server) bool { return s.Name == name })
}

// takeInventory answers an inventory request. An inventory changes nothing on the engine,
// so only faultLost is simulated; faultAnswerLost and faultDuplicate have no effect.
func (w *world) takeInventory(r *result, f callFault) {
	i := w.serverIndex(r.effect.server)
	if w.unreachable[i] || f == faultLost {
		return
	}
	r.inventory, r.err = w.engines[i].inventory(w.now), nil
	r.report = engine.Report{MaxBatch: 10, StepMillis: 10}
}

// submit queues an order for its server. The answer isn't simulated: only a refusal
// matters to the core, and it is known only once the order arrives. The core has to
// handle every order as one whose answer may have been lost.
func (w *world) submit(r *result, f callFault) {
	i := w.serverIndex(r.effect.server)
	if w.unreachable[i] || f == faultLost {
		return
	}
	if w.mutation.constantFence {
		r.effect.order.Fence = 1
	}
	w.enqueue(i, r.effect.order)
	if f == faultDuplicate {
		w.enqueue(i, r.effect.order)
	}
	if f != faultAnswerLost {
		r.err = nil
	}
}

// maxOrderDelay is the longest delay of an order while faults are injected.
const maxOrderDelay = 20 * time.Second

// enqueue adds an order to the queue of its server; one in four is delayed.
func (w *world) enqueue(server int, order engine.Order) {
	q := queuedOrder{order: order, server: server}
	if !w.delaysOff && w.random.IntN(4) == 0 {
		q.notBefore = w.now.Add(time.Duration(w.random.Int64N(int64(maxOrderDelay))))
	}
	w.orderQueue = append(w.orderQueue, q)
}

func (w *world) callStore(r *result, f callFault) {
	if w.storeDown || f == faultLost {
		return
	}
	key := leaseKeyName
	if r.effect.kind == effectReadLedger || r.effect.kind == effectWriteLedger {
		key = ledgerKeyName
	}
	if r.effect.kind == effectReadLease || r.effect.kind == effectReadLedger {
		r.entry, r.err = w.store.get(key)
	} else {
		r.revision, r.err = w.store.compareAndSwap(key, r.effect.value, r.effect.expected)
	}
	if f == faultAnswerLost {
		r.entry, r.revision, r.err = store.Entry{}, 0, errDown
	}
}
