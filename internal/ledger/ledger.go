package ledger

import (
	"fmt"
	"sort"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// ServerSpec is the configuration of a server, as far as the ledger uses it.
type ServerSpec struct {
	Name          string
	FailureDomain string
	// MemoryMB is the accelerator memory in MiB. MB in the names of this package stands for MiB.
	MemoryMB int64
	// HonoursFencing says that the server refuses orders with a fencing number below the
	// highest that it has received.
	HonoursFencing bool
}

// fenceBitsPerTerm is the number of low bits of a fencing number that count within a term.
const fenceBitsPerTerm = 24

// FirstFence returns the lowest fencing number of a term.
func FirstFence(term uint64) uint64 { return term << fenceBitsPerTerm }

// TermOf returns the term that a fencing number belongs to.
func TermOf(fence uint64) uint64 { return fence >> fenceBitsPerTerm }

// server is the ledger's record of one server.
type server struct {
	spec       ServerSpec
	configured bool
	// orderFence is the fencing number for orders to the server. It may differ from
	// inventory.Fence, the number that the server shows.
	orderFence uint64
	// inventory is the last list that the server sent in this term of its versions, memory and
	// orders; inventoryKnown is false before the first one.
	inventory      engine.Inventory
	inventoryKnown bool
	// reachable is true while the last inventory request succeeded.
	reachable bool
	// inventoryRequestID is the id of the last inventory request; 0 once it was answered.
	inventoryRequestID uint64
	pending            []Pending
}

// Ledger is the accounting of one lease holder in one term. It isn't safe for concurrent use.
type Ledger struct {
	cell       string
	term       uint64
	orderCount uint64
	servers    map[string]*server
	// bases maps each adapter to the version that it extends.
	bases map[modelref.Ref]modelref.Ref
}

// TakeOver starts the ledger of a new term with the pending orders that the previous
// holder recorded. cell is the cell of the lease.
func TakeOver(cell string, term uint64, record Record) *Ledger {
	l := &Ledger{cell: cell, term: term, servers: map[string]*server{}}
	for _, p := range record.Pending {
		s := l.ensure(p.Server)
		s.pending = append(s.pending, p)
	}
	return l
}

// ensure returns the record of a server, and adds one if there is none.
func (l *Ledger) ensure(name string) *server {
	s, ok := l.servers[name]
	if !ok {
		s = &server{spec: ServerSpec{Name: name}, orderFence: FirstFence(l.term)}
		l.servers[name] = s
	}
	return s
}

func (l *Ledger) Term() uint64 { return l.term }

// SetServers applies the servers of the configuration. A removed server keeps its pending
// orders, because it may be configured again.
func (l *Ledger) SetServers(specs []ServerSpec) {
	for _, s := range l.servers {
		s.configured = false
	}
	for _, spec := range specs {
		s := l.ensure(spec.Name)
		s.spec, s.configured = spec, true
	}
	for name, s := range l.servers {
		if !s.configured && len(s.pending) == 0 {
			delete(l.servers, name)
		}
	}
}

// SetUnits records the base of each adapter among the configured models and adapters (units).
func (l *Ledger) SetUnits(units []site.Unit) {
	l.bases = map[modelref.Ref]modelref.Ref{}
	for _, u := range units {
		if u.Base != "" {
			l.bases[u.Ref] = u.Base
		}
	}
}

// Record returns the value to write to the ledger key, which is the store's key for the ledger
// of the cell. The caller sets its WriteID.
func (l *Ledger) Record() Record {
	r := Record{Term: l.term, Pending: []Pending{}}
	for _, name := range l.sortedNames() {
		for _, p := range l.servers[name].pending {
			p.Unrecorded = false
			r.Pending = append(r.Pending, p)
		}
	}
	return r
}

func (l *Ledger) sortedNames() []string {
	out := make([]string, 0, len(l.servers))
	for name := range l.servers {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Committed returns the memory of a server that is taken or may still be taken, in MiB: the
// memory of all versions in its inventory and of all pending loads.
func (l *Ledger) Committed(name string) int64 {
	s, ok := l.servers[name]
	if !ok {
		return 0
	}
	return s.committedMB()
}

func (s *server) committedMB() int64 {
	var totalMB int64
	for _, size := range s.maxMemoryMB() {
		totalMB += size
	}
	return totalMB
}

// maxMemoryMB returns, for each version, the most memory in MiB that it takes or may still take.
func (s *server) maxMemoryMB() map[modelref.Ref]int64 {
	out := make(map[modelref.Ref]int64, len(s.inventory.Holdings)+len(s.pending))
	for _, h := range s.inventory.Holdings {
		out[h.Ref] = max(out[h.Ref], h.MemoryMB)
	}
	for _, p := range s.pending {
		if p.Order.Action == engine.ActionLoad {
			out[p.Order.Ref] = max(out[p.Order.Ref], p.Order.MemoryMB)
		}
	}
	return out
}

// Capacity returns the memory of a server in MiB. It is the smaller of the configured value
// and the one that the server reports.
func (l *Ledger) Capacity(name string) int64 {
	s, ok := l.servers[name]
	if !ok {
		return 0
	}
	return s.capacityMB()
}

func (s *server) capacityMB() int64 {
	if s.inventoryKnown && s.inventory.MemoryMB > 0 {
		return min(s.spec.MemoryMB, s.inventory.MemoryMB)
	}
	return s.spec.MemoryMB
}

// Ready reports whether orders may be sent to the server: it is configured and reachable, its
// inventory of this term is known, and if it honours fencing, it refuses orders of earlier
// terms.
func (l *Ledger) Ready(name string) bool {
	s, ok := l.servers[name]
	return ok && s.ready(l.term)
}

func (s *server) ready(term uint64) bool {
	return s.configured && s.reachable && s.safeFromEarlierTerms(term)
}

// safeFromEarlierTerms reports whether no order of an earlier term can change the server without the
// ledger accounting for it. A server that honours fencing must refuse such orders: its last
// inventory must show a fencing number of this term or a later one. For other servers a known
// inventory is enough, because their orders of earlier terms are pending in the record.
func (s *server) safeFromEarlierTerms(term uint64) bool {
	if !s.inventoryKnown {
		return false
	}
	return !s.spec.HonoursFencing || TermOf(s.inventory.Fence) >= term
}

// AllFenced reports whether every configured server that honours fencing refuses orders of
// earlier terms. Other servers don't count, unlike in Fenced.
func (l *Ledger) AllFenced() bool {
	for _, s := range l.servers {
		if s.configured && s.spec.HonoursFencing && !s.safeFromEarlierTerms(l.term) {
			return false
		}
	}
	return true
}

// Loads returns how many loads from the weight store may be in progress: those that the
// inventories show in progress and all pending ones, which may not have started.
func (l *Ledger) Loads() int {
	total := 0
	for _, s := range l.servers {
		total += s.loads()
	}
	return total
}

// DomainLoads is like Loads, for the servers of one failure domain.
func (l *Ledger) DomainLoads(domain string) int {
	total := 0
	for _, s := range l.servers {
		if s.spec.FailureDomain == domain {
			total += s.loads()
		}
	}
	return total
}

// UnrecordedLoads returns the number of pending loads that aren't in the ledger key.
func (l *Ledger) UnrecordedLoads() int {
	total := 0
	for _, s := range l.servers {
		for _, p := range s.pending {
			if p.Unrecorded && p.Order.Action == engine.ActionLoad {
				total++
			}
		}
	}
	return total
}

// loads counts the pending loads and those that the inventory shows in progress, which may include
// loads that the ledger didn't order. A server that was removed from the configuration counts
// as 0, because by removing it the operator states that it is gone.
func (s *server) loads() int {
	if !s.configured {
		return 0
	}
	refs := map[modelref.Ref]bool{}
	for _, h := range s.inventory.Holdings {
		if h.State == engine.StateLoading {
			refs[h.Ref] = true
		}
	}
	for _, p := range s.pending {
		if p.Order.Action == engine.ActionLoad {
			refs[p.Order.Ref] = true
		}
	}
	return len(refs)
}

func (l *Ledger) nextID() string {
	l.orderCount++
	return fmt.Sprintf("%s/%d/%d", l.cell, l.term, l.orderCount)
}
