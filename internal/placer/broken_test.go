package placer

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/placement"
	"limpethub/internal/store"
)

// recorder records the failure of a test that is expected to fail. Its Fatalf and FailNow
// don't end the goroutine as those of testing.T do.
type recorder struct {
	*testing.T
	failed   bool
	messages strings.Builder
}

func (r *recorder) Logf(format string, args ...any) { fmt.Fprintf(&r.messages, format+"\n", args...) }
func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	r.Logf(format, args...)
}
func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...) }
func (r *recorder) FailNow()                          { r.failed = true }
func (r *recorder) Fail()                             { r.failed = true }
func (r *recorder) Failed() bool                      { return r.failed }

// dropOrderAfter is the age at which dropUnsettledOrders drops an order.
const dropOrderAfter = 2 * time.Second

// dropUnsettledOrders removes orders from the ledger after a timeout, without an
// inventory that settles them.
func dropUnsettledOrders(w *world, h *instance) {
	if h.core.ledger == nil {
		return
	}
	for _, a := range h.core.ledger.Accounts() {
		for _, p := range a.Pending {
			if sent, ok := h.core.sentOrders[p.Order.ID]; ok && w.clock(h).Sub(sent.sentAt) > dropOrderAfter {
				h.core.ledger.Withdraw(p)
			}
		}
	}
}

// hideCopiesBeingUnloaded removes a version from the inventory as soon as its unload was ordered.
func hideCopiesBeingUnloaded(_ *world, h *instance, r *result) {
	if r.effect.kind != effectInventory || h.core.ledger == nil {
		return
	}
	for _, p := range h.core.ledger.Pending(r.effect.server) {
		if p.Order.Action == engine.ActionUnload {
			r.inventory.Holdings = slices.DeleteFunc(r.inventory.Holdings, func(held engine.Holding) bool { return held.Ref == p.Order.Ref })
		}
	}
}

// hidePendingOrders removes the predecessor's pending orders from the record that a
// successor takes over from.
func hidePendingOrders(_ *world, _ *instance, r *result) {
	if r.effect.kind != effectReadLedger || r.err != nil {
		return
	}
	record, err := ledger.Decode(r.entry.Value)
	if err != nil {
		panic(err)
	}
	record.Pending = nil
	r.entry.Value = record.Encode()
}

// fakeFenceConfirmation makes every inventory look as if the server had taken the
// holder's fencing number: it reports one above all that the term has used so far.
func fakeFenceConfirmation(_ *world, h *instance, r *result) {
	if r.effect.kind == effectInventory && h.core.ledger != nil {
		r.inventory.Fence = ledger.FirstFence(h.core.ledger.Term()) + 1<<20
	}
}

// hideLeaseConflict hides from an active holder that another instance took its lease. The
// write seems to have taken effect, with a revision above the expected one.
func hideLeaseConflict(_ *world, h *instance, r *result) {
	if r.effect.kind == effectWriteLease && h.core.phase == phaseActive && errors.Is(r.err, store.ErrConflict) {
		r.err, r.revision = nil, r.effect.expected+1
	}
}

// repeatInventories lets an instance request an inventory while another one is in flight.
func repeatInventories(_ *world, h *instance) {
	for _, t := range h.core.calls {
		t.inventoryInFlight, t.nextInventory = false, time.Time{}
	}
}

// acceptStaleInventory makes the ledger treat every answer as that to the newest request.
func acceptStaleInventory(_ *world, h *instance, r *result) {
	if r.effect.kind == effectInventory && h.core.ledger != nil {
		h.core.ledger.RequestSent(r.effect.server, r.effect.inventoryNumber)
	}
}

// unwantedMovesPolicy marks each move as one for a version that is no longer configured,
// by Move.Wanted, which turns off the ledger's protection of last copies.
type unwantedMovesPolicy struct{ inner placement.Policy }

func (p unwantedMovesPolicy) Plan(in placement.Input) placement.Plan {
	plan := p.inner.Plan(in)
	for i := range plan.Moves {
		plan.Moves[i].Wanted = false
	}
	return plan
}

func markMovesUnwanted(inner placement.Policy) placement.Policy { return unwantedMovesPolicy{inner} }

// TestOracleDetectsMutations guards against an oracle that passes faulty code: each
// mutation breaks one part of the placer, and the named invariant must catch it.
func TestOracleDetectsMutations(t *testing.T) {
	cases := []struct {
		name string
		// firstVariant is the index of the variant that is tried first. It only affects how
		// soon the mutation is detected.
		firstVariant int
		mutation     mutation
		// invariant must catch the mutation; the others aren't checked.
		invariant invariant
	}{
		{"ledger drops orders after a timeout", 0, mutation{beforeTick: dropUnsettledOrders}, memoryInvariant},
		{"memory of an unconfirmed unload counts as free", 0, mutation{onResult: hideCopiesBeingUnloaded}, memoryInvariant},
		{"holder skips the compare-and-swap", 5, mutation{unconditionalKey: ledgerKeyName, onResult: hideLeaseConflict}, memoryInvariant},
		{"successor ignores pending orders", 5, mutation{salt: 2, onResult: hidePendingOrders}, memoryInvariant},
		{"stale inventory is accepted", 5, mutation{salt: 4, beforeTick: repeatInventories, onResult: acceptStaleInventory}, memoryInvariant},
		{"successor doesn't fence", 0, mutation{onResult: fakeFenceConfirmation, ignoreFenceOrders: true}, memoryInvariant},
		{"fencing numbers don't increase", 0, mutation{constantFence: true, onResult: fakeFenceConfirmation}, fencingInvariant},
		{"policy unloads the last copy", 0, mutation{wrapPolicy: markMovesUnwanted}, lastCopyInvariant},
		{"holders see three times the limit on loads", 3, mutation{loadsFactor: 3}, loadsInvariant},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.mutation.onlyInvariant = c.invariant
			t.Log(firstDetection(t, c.firstVariant, c.mutation))
		})
	}
}

// maxPasses is how many times a mutation is run in all variants, each time with another salt.
const maxPasses = 4

// firstDetection runs a mutation in one variant after the other until the oracle detects
// it, and returns the violated invariant with the seed.
func firstDetection(t *testing.T, firstVariant int, mutation mutation) string {
	var total totals
	all := variants()
	for range maxPasses {
		for i := range all {
			v := all[(firstVariant+i)%len(all)]
			r := &recorder{T: t}
			rapid.Check(r, property(v, mutation, &total))
			if r.failed {
				text := r.messages.String()
				return fmt.Sprintf("%s, salt %d: %s %s", v.name, mutation.salt,
					regexp.MustCompile(`failed after \d+ tests: [^\n]*`).FindString(text),
					regexp.MustCompile(`-rapid\.seed=\d+`).FindString(text))
			}
		}
		mutation.salt++
	}
	t.Fatalf("mutation wasn't detected in %d steps, want a violated invariant", total.steps.Load())
	return ""
}
