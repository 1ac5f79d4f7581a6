package ledger

import (
	"testing"

	"limpethub/internal/engine"
	"limpethub/internal/site"
)

func newTestLedger(t *testing.T, honoursFencing bool, pending ...Pending) *Ledger {
	t.Helper()
	l := TakeOver("c", 2, Record{Term: 1, Pending: pending})
	l.SetServers([]ServerSpec{{Name: "s", FailureDomain: "x", MemoryMB: 100, HonoursFencing: honoursFencing}})
	l.SetUnits([]site.Unit{{Ref: "m@1"}, {Ref: "a@1", Base: "m@1"}})
	return l
}

// observe applies the answer to an inventory request. Each request is answered before the next is
// sent, so all can have the same id.
func observe(l *Ledger, inventory engine.Inventory) Observation {
	l.RequestSent("s", 1)
	return l.Observe("s", 1, inventory)
}

// TestPendingOrdersOfEarlierTermCountAsCommitted guards against a new holder that ignores a load
// ordered by the previous holder. The load may still arrive, also after a restart of the server.
func TestPendingOrdersOfEarlierTermCountAsCommitted(t *testing.T) {
	pendingLoad := Pending{Server: "s", Order: engine.Order{ID: "c/1/1", Fence: FirstFence(1), Action: engine.ActionLoad, Ref: "m@1", MemoryMB: 80}}
	l := newTestLedger(t, false, pendingLoad)
	if l.Loads() != 1 || l.DomainLoads("x") != 1 {
		t.Errorf("loads that may be in progress: %d, in the domain: %d, want 1 and 1", l.Loads(), l.DomainLoads("x"))
	}
	observe(l, engine.Inventory{Incarnation: "1", MemoryMB: 100})
	if got := l.Committed("s"); got != 80 {
		t.Errorf("committed %d MiB, want 80", got)
	}
	if _, err := l.Load("s", "n@1", "", 30); err == nil {
		t.Error("a load was allowed that doesn't fit beside the pending one")
	}
	observe(l, engine.Inventory{Incarnation: "2", MemoryMB: 100})
	if got := l.Committed("s"); got != 80 {
		t.Errorf("committed %d MiB after a restart, want 80", got)
	}
	o := observe(l, engine.Inventory{Incarnation: "2", MemoryMB: 100, Orders: []engine.OrderOutcome{{ID: "c/1/1", State: engine.OrderFailed}}})
	if len(o.Settled) != 1 || l.Committed("s") != 0 {
		t.Errorf("settled %d orders, committed %d MiB, want 1 and 0", len(o.Settled), l.Committed("s"))
	}
}

func TestNewerFenceSettlesOrderOnlyIfServerHonoursFencing(t *testing.T) {
	pendingLoad := Pending{Server: "s", Order: engine.Order{ID: "c/1/1", Fence: FirstFence(1), Action: engine.ActionLoad, Ref: "m@1", MemoryMB: 80}}
	for _, honoursFencing := range []bool{true, false} {
		l := newTestLedger(t, honoursFencing, pendingLoad)
		o := observe(l, engine.Inventory{Incarnation: "1", MemoryMB: 100, Fence: FirstFence(2)})
		if settled := len(o.Settled) == 1; settled != honoursFencing {
			t.Errorf("after a newer fencing number, server honours fencing: %v: order settled: %v, want settled only if it does", honoursFencing, settled)
		}
	}
}

func TestUnexpectedChangesAreReportedAndCommitted(t *testing.T) {
	l := newTestLedger(t, false)
	observe(l, engine.Inventory{Incarnation: "1", MemoryMB: 100})
	o := observe(l, engine.Inventory{Incarnation: "1", MemoryMB: 100, Holdings: []engine.Holding{{Ref: "z@1", MemoryMB: 90, State: engine.StateResident}}})
	if len(o.UnexpectedChanges) != 1 || !o.UnexpectedChanges[0].Appeared || l.Committed("s") != 90 {
		t.Errorf("got unexpected changes %v, committed %d MiB, want one version that appeared and 90", o.UnexpectedChanges, l.Committed("s"))
	}
}

func TestAnswersToEarlierRequestsAreStale(t *testing.T) {
	l := newTestLedger(t, false)
	l.RequestSent("s", 1)
	l.RequestSent("s", 2)
	if o := l.Observe("s", 1, engine.Inventory{}); !o.Stale {
		t.Error("the answer to an earlier request was applied")
	}
	if o := l.Observe("s", 2, engine.Inventory{}); o.Stale {
		t.Error("the answer to the last request was ignored as stale")
	}
}
