package ledger

import (
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// Settled is a pending order that a server settled.
type Settled struct {
	Pending Pending
	// State is how the order ended; empty when a newer fencing number barred it.
	State engine.OrderState
	// Reason is the server's reason for a failure.
	Reason string
}

// Surprise is a change that an inventory shows and the ledger didn't order.
type Surprise struct {
	Server string
	Ref    modelref.Ref
	// Appeared is true for a version that came, false for one that went.
	Appeared bool
}

// Observation is what an inventory told.
type Observation struct {
	// Stale is true when the inventory may predate a newer one and was ignored.
	Stale bool
	// Restarted is true when the server process is a new one, with empty memory.
	Restarted bool
	Settled   []Settled
	Surprises []Surprise
}

// Ask notes a new inventory request by its number, which must be unique. Answers to
// earlier requests to the same server count as stale from then on.
func (l *Ledger) Ask(name string, ask uint64) { l.server(name).asked = ask }

// Unreachable notes that an inventory request failed.
func (l *Ledger) Unreachable(name string, ask uint64) {
	if s, ok := l.servers[name]; ok && s.asked == ask {
		s.reachable = false
	}
}

// Observe takes the answer to an inventory request.
func (l *Ledger) Observe(name string, ask uint64, inventory engine.Inventory) Observation {
	s, ok := l.servers[name]
	if !ok || s.asked != ask {
		return Observation{Stale: true}
	}
	s.asked = 0
	o := Observation{Restarted: s.known && s.inventory.Incarnation != inventory.Incarnation}
	o.Settled = s.settle(inventory)
	if s.known && !o.Restarted {
		o.Surprises = s.compare(inventory, o.Settled)
	}
	s.inventory, s.known, s.reachable = inventory, true, true
	return o
}

// settle removes the pending orders whose outcome the inventory proves.
func (s *server) settle(inventory engine.Inventory) []Settled {
	var out []Settled
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

func (s *server) outcome(p Pending, inventory engine.Inventory) (Settled, bool) {
	for _, o := range inventory.Orders {
		if o.ID == p.Order.ID {
			ended := o.State == engine.OrderDone || o.State == engine.OrderFailed
			return Settled{Pending: p, State: o.State, Reason: o.Reason}, ended
		}
	}
	barred := s.spec.HonoursFencing && inventory.Fence > p.Order.Fence
	return Settled{Pending: p}, barred
}

// compare finds changes since the last inventory that no order accounts for.
func (s *server) compare(inventory engine.Inventory, settled []Settled) []Surprise {
	explained := map[modelref.Ref]bool{}
	for _, p := range s.pending {
		explained[p.Order.Ref] = true
	}
	for _, o := range settled {
		explained[o.Pending.Order.Ref] = true
	}
	before, after := refs(s.inventory), refs(inventory)
	var out []Surprise
	for _, h := range inventory.Holdings {
		if !before[h.Ref] && !explained[h.Ref] {
			out = append(out, Surprise{Server: s.spec.Name, Ref: h.Ref, Appeared: true})
		}
	}
	for _, h := range s.inventory.Holdings {
		if !after[h.Ref] && !explained[h.Ref] {
			out = append(out, Surprise{Server: s.spec.Name, Ref: h.Ref})
		}
	}
	return out
}

func refs(inventory engine.Inventory) map[modelref.Ref]bool {
	out := make(map[modelref.Ref]bool, len(inventory.Holdings))
	for _, h := range inventory.Holdings {
		out[h.Ref] = true
	}
	return out
}

// Shown reports whether the server's last inventory lists the order.
func (l *Ledger) Shown(p Pending) bool {
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

// Holds reports whether the server's last inventory shows the version.
func (l *Ledger) Holds(name string, ref modelref.Ref) bool {
	s, ok := l.servers[name]
	return ok && s.state(ref) != ""
}

// Fenced reports whether no order of an earlier term can change the server unseen.
func (l *Ledger) Fenced(name string) bool {
	s, ok := l.servers[name]
	return ok && s.fenced(l.term)
}

// Account is the ledger's view of one server, for planning and for operators.
type Account struct {
	Spec Spec
	// Ready is true when orders may be given.
	Ready bool
	// Reachable is true while the server answers for its inventory.
	Reachable bool
	// Known is true once an inventory was taken in this term.
	Known bool
	// CommittedMB and CapacityMB are in MiB.
	CommittedMB, CapacityMB int64
	// Fence is the fencing number that the server last showed.
	Fence       uint64
	Incarnation string
	Role        string
	Holdings    []engine.Holding
	Pending     []Pending
}

// Accounts lists the configured servers, by name, and those with pending orders.
func (l *Ledger) Accounts() []Account {
	out := make([]Account, 0, len(l.servers))
	for _, name := range l.names() {
		s := l.servers[name]
		out = append(out, Account{
			Spec:        s.spec,
			Ready:       s.ready(l.term),
			Reachable:   s.reachable,
			Known:       s.known,
			CommittedMB: s.committed(),
			CapacityMB:  s.capacity(),
			Fence:       s.inventory.Fence,
			Incarnation: s.inventory.Incarnation,
			Role:        s.inventory.Role,
			Holdings:    append([]engine.Holding(nil), s.inventory.Holdings...),
			Pending:     append([]Pending(nil), s.pending...),
		})
	}
	return out
}
