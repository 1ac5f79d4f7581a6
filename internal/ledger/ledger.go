package ledger

import (
	"fmt"
	"sort"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// Spec is what the configuration says of a server.
type Spec struct {
	Name          string
	FailureDomain string
	// MemoryMB is the accelerator memory, in MiB.
	MemoryMB int64
	// HonoursFencing says that the server refuses orders with old fencing numbers.
	HonoursFencing bool
}

// epochBits is the share of a fencing number that one term may use up by itself.
const epochBits = 24

// FirstFence returns the lowest fencing number of a term.
func FirstFence(term uint64) uint64 { return term << epochBits }

// TermOf returns the term that a fencing number belongs to.
func TermOf(fence uint64) uint64 { return fence >> epochBits }

// server is the account of one server.
type server struct {
	spec    Spec
	present bool
	// fence is the fencing number that orders to the server carry.
	fence uint64
	// inventory is the last one taken in this term; known is true once there is one.
	inventory engine.Inventory
	known     bool
	// reachable is true while the last inventory request succeeded.
	reachable bool
	// asked numbers the last inventory request.
	asked   uint64
	pending []Pending
}

// Ledger is the account of one holder in one term. It isn't safe for concurrent use.
type Ledger struct {
	cell    string
	term    uint64
	orders  uint64
	servers map[string]*server
	// bases holds, for each adapter, the version that it extends.
	bases map[modelref.Ref]modelref.Ref
}

// TakeOver starts the ledger of a new term from the record of the one before.
func TakeOver(cell string, term uint64, record Record) *Ledger {
	l := &Ledger{cell: cell, term: term, servers: map[string]*server{}}
	for _, p := range record.Pending {
		s := l.server(p.Server)
		s.pending = append(s.pending, p)
	}
	return l
}

func (l *Ledger) server(name string) *server {
	s, ok := l.servers[name]
	if !ok {
		s = &server{spec: Spec{Name: name}, fence: FirstFence(l.term)}
		l.servers[name] = s
	}
	return s
}

// Term returns the ledger's term.
func (l *Ledger) Term() uint64 { return l.term }

// SetServers takes the servers of the configuration. One that is gone keeps its
// pending orders, since it may come back.
func (l *Ledger) SetServers(specs []Spec) {
	for _, s := range l.servers {
		s.present = false
	}
	for _, spec := range specs {
		s := l.server(spec.Name)
		s.spec, s.present = spec, true
	}
	for name, s := range l.servers {
		if !s.present && len(s.pending) == 0 {
			delete(l.servers, name)
		}
	}
}

// SetUnits takes the versions of the configuration.
func (l *Ledger) SetUnits(units []site.Unit) {
	l.bases = map[modelref.Ref]modelref.Ref{}
	for _, u := range units {
		if u.Base != "" {
			l.bases[u.Ref] = u.Base
		}
	}
}

// Record returns what is to be written to the ledger key.
func (l *Ledger) Record() Record {
	r := Record{Term: l.term, Pending: []Pending{}}
	for _, name := range l.names() {
		for _, p := range l.servers[name].pending {
			p.Unrecorded = false
			r.Pending = append(r.Pending, p)
		}
	}
	return r
}

func (l *Ledger) names() []string {
	out := make([]string, 0, len(l.servers))
	for name := range l.servers {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Committed returns the memory of a server that is or may come to be taken, in MiB:
// all that its inventory shows and all that a pending load could add.
func (l *Ledger) Committed(name string) int64 {
	s, ok := l.servers[name]
	if !ok {
		return 0
	}
	return s.committed()
}

func (s *server) committed() int64 {
	var total int64
	for _, size := range s.footprint() {
		total += size
	}
	return total
}

// footprint gives the largest memory that each version takes or may come to take.
func (s *server) footprint() map[modelref.Ref]int64 {
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

// Capacity returns the memory of a server, in MiB: the smaller of what the
// configuration and the server itself say.
func (l *Ledger) Capacity(name string) int64 {
	s, ok := l.servers[name]
	if !ok {
		return 0
	}
	return s.capacity()
}

func (s *server) capacity() int64 {
	if s.known && s.inventory.MemoryMB > 0 {
		return min(s.spec.MemoryMB, s.inventory.MemoryMB)
	}
	return s.spec.MemoryMB
}

// Ready reports whether orders may be given to the server: its inventory of this
// term is known, it answers, and it refuses the orders of earlier terms if it can.
func (l *Ledger) Ready(name string) bool {
	s, ok := l.servers[name]
	return ok && s.ready(l.term)
}

func (s *server) ready(term uint64) bool {
	return s.present && s.reachable && s.fenced(term)
}

// fenced reports whether no order of an earlier term can change the server unseen.
func (s *server) fenced(term uint64) bool {
	if !s.known {
		return false
	}
	return !s.spec.HonoursFencing || TermOf(s.inventory.Fence) >= term
}

// AllFenced reports whether every configured server that honours fencing refuses
// the orders of earlier terms.
func (l *Ledger) AllFenced() bool {
	for _, s := range l.servers {
		if s.present && s.spec.HonoursFencing && !s.fenced(l.term) {
			return false
		}
	}
	return true
}

// Loads returns how many loads may be under way at the weight store.
func (l *Ledger) Loads() int {
	total := 0
	for _, s := range l.servers {
		total += s.loads()
	}
	return total
}

// DomainLoads is Loads for the servers of one failure domain.
func (l *Ledger) DomainLoads(domain string) int {
	total := 0
	for _, s := range l.servers {
		if s.spec.FailureDomain == domain {
			total += s.loads()
		}
	}
	return total
}

// UnrecordedLoads returns how many pending loads the ledger key doesn't show.
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

// loads counts pending loads and foreign ones. A server taken out of the
// configuration counts for nothing: the operator has vouched that it is gone.
func (s *server) loads() int {
	if !s.present {
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
	l.orders++
	return fmt.Sprintf("%s/%d/%d", l.cell, l.term, l.orders)
}
