package placer

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// fate is what happens to a call.
type fate uint8

const (
	fateDone fate = iota
	// fateLost has no effect and no answer.
	fateLost
	// fateUnanswered takes effect, but the answer is lost.
	fateUnanswered
	// fateDoubled arrives twice.
	fateDoubled
	fates
)

// perform carries out the nth call of a holder's outbox.
func (w *world) perform(h *holder, n int, f fate) {
	e := h.outbox[n]
	h.outbox = slices.Delete(h.outbox, n, n+1)
	r := result{effect: e, err: errAway}
	switch e.kind {
	case effectInventory:
		w.takeInventory(&r, f)
	case effectSubmit:
		w.send(&r, f)
	default:
		w.callStore(&r, f)
	}
	m := mail{result: r}
	if !w.reliable && w.random.IntN(lateResults) == 0 {
		m.notBefore = w.now.Add(time.Duration(w.random.Int64N(int64(mostLateResult))))
	}
	h.mailbox = append(h.mailbox, m)
}

// One in lateResults answers is late, by mostLateResult at the most.
const (
	lateResults    = 15
	mostLateResult = 4 * time.Second
)

func (w *world) serverIndex(name string) int {
	return slices.IndexFunc(w.document.Servers, func(s site.Server) bool { return s.Name == name })
}

func (w *world) takeInventory(r *result, f fate) {
	i := w.serverIndex(r.effect.server)
	if w.cut[i] || f == fateLost {
		return
	}
	r.inventory, r.err = w.engines[i].inventory(w.now), nil
	r.report = engine.Report{MaxBatch: 10, StepMillis: 10}
}

// send puts an order in the queue. Its answer says nothing that matters but for a
// refusal, which only arrival can tell; so orders are always unclear here.
func (w *world) send(r *result, f fate) {
	i := w.serverIndex(r.effect.server)
	if w.cut[i] || f == fateLost {
		return
	}
	if w.broken.flatFence {
		r.effect.order.Fence = 1
	}
	w.enqueue(i, r.effect.order)
	if f == fateDoubled {
		w.enqueue(i, r.effect.order)
	}
	if f != fateUnanswered {
		r.err = nil
	}
}

// mostLate is the longest that an order stays on its way while faults go on.
const mostLate = 20 * time.Second

// enqueue puts an order on its way; one in four is late.
func (w *world) enqueue(server int, order engine.Order) {
	q := queued{order: order, server: server}
	if !w.reliable && w.random.IntN(4) == 0 {
		q.notBefore = w.now.Add(time.Duration(w.random.Int64N(int64(mostLate))))
	}
	w.queue = append(w.queue, q)
}

func (w *world) callStore(r *result, f fate) {
	if w.away || f == fateLost {
		return
	}
	key := leaseKeyName
	if r.effect.kind == effectReadLedger || r.effect.kind == effectWriteLedger {
		key = ledgerKeyName
	}
	if r.effect.kind == effectReadLease || r.effect.kind == effectReadLedger {
		r.entry, r.err = w.keys.get(key)
	} else {
		r.revision, r.err = w.keys.swap(key, r.effect.value, r.effect.expected)
	}
	if f == fateUnanswered {
		r.entry, r.revision, r.err = store.Entry{}, 0, errAway
	}
}
