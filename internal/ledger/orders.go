package ledger

import (
	"fmt"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// RefusedError says why the ledger refuses an order. Ref is empty for a change of role.
type RefusedError struct {
	Server string
	Ref    modelref.Ref
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("ledger: %s on %s: %s", e.Ref, e.Server, e.Reason)
}

func refuse(s *server, ref modelref.Ref, format string, args ...any) error {
	return &RefusedError{Server: s.spec.Name, Ref: ref, Reason: fmt.Sprintf(format, args...)}
}

// Load adds a load order. base is the version that ref extends, empty for a model; it must be
// resident and have no pending order. Load returns a RefusedError if the server accepts no order
// or none for ref now, if base can't serve, if ref is already on the server, if the unload of an
// adapter of ref is pending, or if memoryMB doesn't fit beside the committed memory.
func (l *Ledger) Load(name string, ref, base modelref.Ref, memoryMB int64) (Pending, error) {
	s, err := l.serverForOrder(name, ref)
	if err != nil {
		return Pending{}, err
	}
	if base != "" && !l.canServe(s, base) {
		return Pending{}, refuse(s, ref, "base %s isn't resident", base)
	}
	if s.holdingState(ref) != "" {
		return Pending{}, refuse(s, ref, "already on the server")
	}
	if adapter := l.unloadingAdapter(s, ref); adapter != "" {
		return Pending{}, refuse(s, ref, "an unload of its adapter %s is pending", adapter)
	}
	if committedMB := s.committedMB(); committedMB+memoryMB > s.capacityMB() {
		return Pending{}, refuse(s, ref, "%d MiB committed + %d MiB > %d MiB", committedMB, memoryMB, s.capacityMB())
	}
	order := engine.Order{Action: engine.ActionLoad, Ref: ref, Base: base, MemoryMB: memoryMB}
	return l.addOrder(s, order), nil
}

// Unload adds an unload order. It returns a RefusedError if the server accepts no order or none for
// ref now, if ref isn't resident there, if an adapter on the server or with a pending load there
// depends on it, or if ref is still wanted and no other server that is ready (see Ready) has a copy
// that can serve. The last condition doesn't apply to an adapter whose base isn't on the server and
// has no pending order there: it can't serve, so unloading it loses nothing.
func (l *Ledger) Unload(name string, ref modelref.Ref, wanted bool) (Pending, error) {
	s, err := l.serverForOrder(name, ref)
	if err != nil {
		return Pending{}, err
	}
	if s.holdingState(ref) != engine.StateResident {
		return Pending{}, refuse(s, ref, "not resident")
	}
	if adapter := l.dependentAdapter(s, ref); adapter != "" {
		return Pending{}, refuse(s, ref, "adapter %s on the server depends on it", adapter)
	}
	if wanted && !l.isOrphan(s, ref) && l.OtherCopies(name, ref) == 0 {
		return Pending{}, refuse(s, ref, "it is the last reachable copy")
	}
	return l.addOrder(s, engine.Order{Action: engine.ActionUnload, Ref: ref}), nil
}

// ChangeRole adds an order to change the server's role. An order of this kind has an empty Ref, so
// the check of serverForOrder for a pending order finds an earlier change of the role.
func (l *Ledger) ChangeRole(name, role string) (Pending, error) {
	s, err := l.serverForOrder(name, "")
	if err != nil {
		return Pending{}, err
	}
	return l.addOrder(s, engine.Order{Action: engine.ActionRole, Role: role}), nil
}

// serverForOrder returns a server to which an order for ref may be added. It returns a
// RefusedError if the server is unknown or not ready, or if another order for ref is pending.
func (l *Ledger) serverForOrder(name string, ref modelref.Ref) (*server, error) {
	s, ok := l.servers[name]
	if !ok {
		return nil, &RefusedError{Server: name, Ref: ref, Reason: "unknown server"}
	}
	if !s.ready(l.term) {
		return nil, refuse(s, ref, "server is not ready for orders")
	}
	if s.hasPendingOrder(ref) {
		return nil, refuse(s, ref, "an order for it is pending")
	}
	return s, nil
}

func (l *Ledger) addOrder(s *server, order engine.Order) Pending {
	order.ID = l.nextID()
	order.Fence = s.orderFence
	p := Pending{Server: s.spec.Name, Order: order}
	s.pending = append(s.pending, p)
	return p
}

// Withdraw removes an order that was not sent and will not be.
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

// MarkUnrecorded sets whether the order is sent without a write to the ledger key. With false it
// marks the order as recorded.
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

// canServe reports whether a version is resident and has no pending order. An adapter also
// needs its base to be so.
func (l *Ledger) canServe(s *server, ref modelref.Ref) bool {
	if s.holdingState(ref) != engine.StateResident || s.hasPendingOrder(ref) {
		return false
	}
	base, isAdapter := l.bases[ref]
	return !isAdapter || l.canServe(s, base)
}

// isOrphan reports whether ref is an adapter whose base is not on the server and has no pending
// order there.
func (l *Ledger) isOrphan(s *server, ref modelref.Ref) bool {
	base, isAdapter := l.bases[ref]
	return isAdapter && s.holdingState(base) == "" && !s.hasPendingOrder(base)
}

// unloadingAdapter returns an adapter of the version with a pending unload on the server;
// empty if there is none.
func (l *Ledger) unloadingAdapter(s *server, ref modelref.Ref) modelref.Ref {
	for _, p := range s.pending {
		if p.Order.Action == engine.ActionUnload && l.bases[p.Order.Ref] == ref {
			return p.Order.Ref
		}
	}
	return ""
}

// dependentAdapter returns an adapter of the version that is on the server or has a pending
// load there; empty if there is none.
func (l *Ledger) dependentAdapter(s *server, ref modelref.Ref) modelref.Ref {
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

func (s *server) holdingState(ref modelref.Ref) engine.HoldingState {
	for _, h := range s.inventory.Holdings {
		if h.Ref == ref {
			return h.State
		}
	}
	return ""
}

func (s *server) hasPendingOrder(ref modelref.Ref) bool {
	for _, p := range s.pending {
		if p.Order.Ref == ref {
			return true
		}
	}
	return false
}

// OtherCopies returns how many servers other than the named one have a copy of the version
// that can serve. It counts only servers that are ready for orders (see Ready): on these, no
// order of an earlier term can remove the copy without the ledger accounting for it.
func (l *Ledger) OtherCopies(name string, ref modelref.Ref) int {
	n := 0
	for other, s := range l.servers {
		if other != name && s.ready(l.term) && l.canServe(s, ref) {
			n++
		}
	}
	return n
}

// NewFenceOrder returns an order that makes a server refuse all orders sent before. It raises the
// server's fencing number above those of its pending orders; later orders to the server carry the
// raised number. Unlike a load or unload, the order isn't added to the ledger. The second result
// is false if the server is unknown or doesn't honour fencing.
func (l *Ledger) NewFenceOrder(name string) (engine.Order, bool) {
	s, ok := l.servers[name]
	if !ok || !s.spec.HonoursFencing {
		return engine.Order{}, false
	}
	for _, p := range s.pending {
		if p.Order.Fence >= s.orderFence {
			s.orderFence = p.Order.Fence + 1
		}
	}
	return engine.Order{ID: l.nextID(), Fence: s.orderFence, Action: engine.ActionFence}, true
}

// Pending returns the pending orders of a server, oldest first.
func (l *Ledger) Pending(name string) []Pending {
	s, ok := l.servers[name]
	if !ok {
		return nil
	}
	return append([]Pending(nil), s.pending...)
}
