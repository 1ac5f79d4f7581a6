package ledger

import (
	"fmt"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// RefusedError says why the ledger doesn't allow an order.
type RefusedError struct {
	Server string
	Ref    modelref.Ref
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("ledger: %s on %s: %s", e.Ref, e.Server, e.Reason)
}

func refuse(s *server, ref modelref.Ref, format string, args ...any) error {
	return &RefusedError{Server: s.spec.Name, Ref: ref, Reason: fmt.Sprintf(format, args...)}
}

// Load enters a load order, if what is committed plus its size fits.
func (l *Ledger) Load(name string, ref, base modelref.Ref, memoryMB int64) (Pending, error) {
	s, err := l.orderable(name, ref)
	if err != nil {
		return Pending{}, err
	}
	if base != "" && !l.serves(s, base) {
		return Pending{}, refuse(s, ref, "base %s isn't resident", base)
	}
	if s.state(ref) != "" {
		return Pending{}, refuse(s, ref, "already there")
	}
	if adapter := l.leavingAdapter(s, ref); adapter != "" {
		return Pending{}, refuse(s, ref, "an unload of its adapter %s is pending", adapter)
	}
	if committed := s.committed(); committed+memoryMB > s.capacity() {
		return Pending{}, refuse(s, ref, "%d MiB committed + %d MiB > %d MiB", committed, memoryMB, s.capacity())
	}
	order := engine.Order{Action: engine.ActionLoad, Ref: ref, Base: base, MemoryMB: memoryMB}
	return l.enter(s, order), nil
}

// Unload enters an unload order. Unless the version is no longer wanted, another
// copy must be resident on a server that only this holder can order.
func (l *Ledger) Unload(name string, ref modelref.Ref, wanted bool) (Pending, error) {
	s, err := l.orderable(name, ref)
	if err != nil {
		return Pending{}, err
	}
	if s.state(ref) != engine.StateResident {
		return Pending{}, refuse(s, ref, "not resident")
	}
	if adapter := l.dependent(s, ref); adapter != "" {
		return Pending{}, refuse(s, ref, "adapter %s on the server needs it", adapter)
	}
	if wanted && !l.orphan(s, ref) && l.OtherCopies(name, ref) == 0 {
		return Pending{}, refuse(s, ref, "it is the last reachable copy")
	}
	return l.enter(s, engine.Order{Action: engine.ActionUnload, Ref: ref}), nil
}

// ChangeRole enters an order to change the server's role.
func (l *Ledger) ChangeRole(name, role string) (Pending, error) {
	s, err := l.orderable(name, "")
	if err != nil {
		return Pending{}, err
	}
	return l.enter(s, engine.Order{Action: engine.ActionRole, Role: role}), nil
}

func (l *Ledger) orderable(name string, ref modelref.Ref) (*server, error) {
	s, ok := l.servers[name]
	if !ok {
		return nil, &RefusedError{Server: name, Ref: ref, Reason: "unknown server"}
	}
	if !s.ready(l.term) {
		return nil, refuse(s, ref, "server isn't ready for orders")
	}
	if s.ordered(ref) {
		return nil, refuse(s, ref, "an order for it is pending")
	}
	return s, nil
}

func (l *Ledger) enter(s *server, order engine.Order) Pending {
	order.ID = l.nextID()
	order.Fence = s.fence
	p := Pending{Server: s.spec.Name, Order: order}
	s.pending = append(s.pending, p)
	return p
}

// Withdraw removes an order that was never sent and never will be.
func (l *Ledger) Withdraw(p Pending) {
	s := l.servers[p.Server]
	if s == nil {
		return
	}
	kept := s.pending[:0]
	for _, other := range s.pending {
		if other.Order.ID != p.Order.ID {
			kept = append(kept, other)
		}
	}
	s.pending = kept
}

// MarkUnrecorded notes that an order is sent without a write to the ledger key.
func (l *Ledger) MarkUnrecorded(p Pending, unrecorded bool) {
	s := l.servers[p.Server]
	if s == nil {
		return
	}
	for i := range s.pending {
		if s.pending[i].Order.ID == p.Order.ID {
			s.pending[i].Unrecorded = unrecorded
		}
	}
}

// serves reports whether a version is resident and isn't ordered out; an adapter
// also needs its base.
func (l *Ledger) serves(s *server, ref modelref.Ref) bool {
	if s.state(ref) != engine.StateResident || s.ordered(ref) {
		return false
	}
	base, extends := l.bases[ref]
	return !extends || l.serves(s, base)
}

// orphan reports whether an adapter's base is neither on the server nor ordered.
func (l *Ledger) orphan(s *server, ref modelref.Ref) bool {
	base, extends := l.bases[ref]
	return extends && s.state(base) == "" && !s.ordered(base)
}

// leavingAdapter returns an adapter of the version with a pending unload on the
// server; empty means none.
func (l *Ledger) leavingAdapter(s *server, ref modelref.Ref) modelref.Ref {
	for _, p := range s.pending {
		if p.Order.Action == engine.ActionUnload && l.bases[p.Order.Ref] == ref {
			return p.Order.Ref
		}
	}
	return ""
}

// dependent returns an adapter on the server, or on its way there, that extends the
// version; empty means none.
func (l *Ledger) dependent(s *server, ref modelref.Ref) modelref.Ref {
	for _, h := range s.inventory.Holdings {
		if l.bases[h.Ref] == ref {
			return h.Ref
		}
	}
	for _, p := range s.pending {
		if p.Order.Action == engine.ActionLoad && l.bases[p.Order.Ref] == ref {
			return p.Order.Ref
		}
	}
	return ""
}

func (s *server) state(ref modelref.Ref) engine.HoldingState {
	for _, h := range s.inventory.Holdings {
		if h.Ref == ref {
			return h.State
		}
	}
	return ""
}

func (s *server) ordered(ref modelref.Ref) bool {
	for _, p := range s.pending {
		if p.Order.Ref == ref {
			return true
		}
	}
	return false
}

// OtherCopies counts the serving copies of a version on other servers that take
// orders from this holder only.
func (l *Ledger) OtherCopies(name string, ref modelref.Ref) int {
	n := 0
	for other, s := range l.servers {
		if other != name && s.ready(l.term) && l.serves(s, ref) {
			n++
		}
	}
	return n
}

// Fence returns the order that makes a server refuse all orders given before, with
// a number above those of its pending orders.
func (l *Ledger) Fence(name string) (engine.Order, bool) {
	s, ok := l.servers[name]
	if !ok || !s.spec.HonoursFencing {
		return engine.Order{}, false
	}
	for _, p := range s.pending {
		if p.Order.Fence >= s.fence {
			s.fence = p.Order.Fence + 1
		}
	}
	return engine.Order{ID: l.nextID(), Fence: s.fence, Action: engine.ActionFence}, true
}

// Pending lists the pending orders of a server, oldest first.
func (l *Ledger) Pending(name string) []Pending {
	s, ok := l.servers[name]
	if !ok {
		return nil
	}
	return append([]Pending(nil), s.pending...)
}
