package ledger

import (
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// SettledOrder is a formerly pending order whose outcome is now known.
type SettledOrder struct {
	Pending Pending
	// State is how the order ended. It is empty if the server refuses the order because the
	// server has received a higher fencing number.
	State engine.OrderState
	// Reason is the server's reason for a failure.
	Reason string
}

// UnexpectedChange is a change in a server's inventory that no order of the ledger explains.
type UnexpectedChange struct {
	Server string
	Ref    modelref.Ref
	// Appeared is true for a version that was added, false for one that was removed.
	Appeared bool
}

// Observation is what the ledger learned from an inventory.
type Observation struct {
	// Stale is true if the inventory was ignored: a newer inventory request was made, this
	// request was answered before, or the server is unknown.
	Stale bool
	// Restarted is true if the server process is a new one, which starts with empty memory.
	Restarted         bool
	Settled           []SettledOrder
	UnexpectedChanges []UnexpectedChange
}

// RequestSent records that an inventory request was sent. Its id must be unique and not 0. From
// then on, answers to earlier requests to the same server are stale.
func (l *Ledger) RequestSent(name string, id uint64) { l.ensure(name).inventoryRequestID = id }

// Unreachable records that an inventory request failed. Like Observe, it ignores all requests but
// the last.
func (l *Ledger) Unreachable(name string, requestID uint64) {
	if s, ok := l.servers[name]; ok && s.inventoryRequestID == requestID {
		s.reachable = false
	}
}

// Observe applies the answer to an inventory request.
func (l *Ledger) Observe(name string, requestID uint64, inventory engine.Inventory) Observation {
	s, ok := l.servers[name]
	if !ok || s.inventoryRequestID != requestID {
		return Observation{Stale: true}
	}
	s.inventoryRequestID = 0
	o := Observation{Restarted: s.inventoryKnown && s.inventory.Incarnation != inventory.Incarnation}
	o.Settled = s.settlePending(inventory)
	if s.inventoryKnown && !o.Restarted {
		o.UnexpectedChanges = s.unexpectedChanges(inventory, o.Settled)
	}
	s.inventory, s.inventoryKnown, s.reachable = inventory, true, true
	return o
}

// settlePending removes the pending orders whose outcome the inventory proves, and returns
// them.
func (s *server) settlePending(inventory engine.Inventory) []SettledOrder {
	var out []SettledOrder
	var kept []Pending
	for _, p := range s.pending {
		settled, done := s.outcome(p, inventory)
		if done {
			out = append(out, settled)
		} else {
			kept = append(kept, p)
		}
	}
	s.pending = kept
	return out
}

// outcome returns what the inventory tells of a pending order, and whether this proves the
// order's outcome: it ended, or the server refuses it because of a higher fencing number.
func (s *server) outcome(p Pending, inventory engine.Inventory) (SettledOrder, bool) {
	for _, o := range inventory.Orders {
		if o.ID == p.Order.ID {
			ended := o.State == engine.OrderDone || o.State == engine.OrderFailed
			return SettledOrder{Pending: p, State: o.State, Reason: o.Reason}, ended
		}
	}
	refusedByFence := s.spec.HonoursFencing && inventory.Fence > p.Order.Fence
	return SettledOrder{Pending: p}, refusedByFence
}

// unexpectedChanges returns the changes since the last inventory that no order explains.
func (s *server) unexpectedChanges(inventory engine.Inventory, settled []SettledOrder) []UnexpectedChange {
	explained := map[modelref.Ref]bool{}
	for _, p := range s.pending {
		explained[p.Order.Ref] = true
	}
	for _, o := range settled {
		explained[o.Pending.Order.Ref] = true
	}
	before, after := heldRefs(s.inventory), heldRefs(inventory)
	var out []UnexpectedChange
	for _, h := range inventory.Holdings {
		if !before[h.Ref] && !explained[h.Ref] {
			out = append(out, UnexpectedChange{Server: s.spec.Name, Ref: h.Ref, Appeared: true})
		}
	}
	for _, h := range s.inventory.Holdings {
		if !after[h.Ref] && !explained[h.Ref] {
			out = append(out, UnexpectedChange{Server: s.spec.Name, Ref: h.Ref})
		}
	}
	return out
}

func heldRefs(inventory engine.Inventory) map[modelref.Ref]bool {
	out := make(map[modelref.Ref]bool, len(inventory.Holdings))
	for _, h := range inventory.Holdings {
		out[h.Ref] = true
	}
	return out
}

// ListedByServer reports whether the server's last inventory lists the order.
func (l *Ledger) ListedByServer(p Pending) bool {
	s, ok := l.servers[p.Server]
	if !ok {
		return false
	}
	for _, o := range s.inventory.Orders {
		if o.ID == p.Order.ID {
			return true
		}
	}
	return false
}

// Holds reports whether the server's last inventory lists the version, in any state.
func (l *Ledger) Holds(name string, ref modelref.Ref) bool {
	s, ok := l.servers[name]
	return ok && s.holdingState(ref) != ""
}

// Fenced reports whether no order of an earlier term can change the server without the ledger
// accounting for it. This can also be so for a server that doesn't honour fencing; see
// safeFromEarlierTerms.
func (l *Ledger) Fenced(name string) bool {
	s, ok := l.servers[name]
	return ok && s.safeFromEarlierTerms(l.term)
}

// Account is the state of one server in the ledger, for planning and for operators.
type Account struct {
	Spec ServerSpec
	// Ready is true if orders may be sent.
	Ready bool
	// Reachable is true while the server answers inventory requests.
	Reachable bool
	// Known is true once an inventory was received in this term.
	Known bool
	// CommittedMB and CapacityMB are in MiB.
	CommittedMB, CapacityMB int64
	// Fence is the fencing number in the server's last inventory.
	Fence uint64
	// Incarnation identifies the server process. Role is the role that the server reports.
	Incarnation string
	Role        string
	Holdings    []engine.Holding
	Pending     []Pending
}

// Accounts returns the configured servers and those with pending orders, sorted by name.
func (l *Ledger) Accounts() []Account {
	out := make([]Account, 0, len(l.servers))
	for _, name := range l.sortedNames() {
		s := l.servers[name]
		out = append(out, Account{
			Spec:        s.spec,
			Ready:       s.ready(l.term),
			Reachable:   s.reachable,
			Known:       s.inventoryKnown,
			CommittedMB: s.committedMB(),
			CapacityMB:  s.capacityMB(),
			Fence:       s.inventory.Fence,
			Incarnation: s.inventory.Incarnation,
			Role:        s.inventory.Role,
			Holdings:    append([]engine.Holding(nil), s.inventory.Holdings...),
			Pending:     append([]Pending(nil), s.pending...),
		})
	}
	return out
}
