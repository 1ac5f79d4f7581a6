// Package residency decides which models and adapters are resident on which discovered
// servers. Plan is a pure function from a snapshot to the next orders; core keeps the
// account of each server and verifies each order; Manager holds the lease and makes the
// calls.
//
// It differs from package placement in what the servers offer: they number the orders
// they accept, keep copies of weights at hand that make a swap cheap, and hold adapters
// in slots.
package residency

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// Planning constants.
const (
	// copyUse is the part of a copy that should be in use at most.
	copyUse = 0.8
	// spareLoad is from which load on a model gets a second copy, so that a lost server
	// doesn't take all of a model in use.
	spareLoad = 0.5
	// adapterCopyLoad is the load for which an adapter gets another copy.
	adapterCopyLoad = 1.5
	// gainFactor is by how much the load of each copy must exceed that of a copy that
	// gives way to another one.
	gainFactor = 1.6
	// idleValue is what the first copy of a model counts that nobody asks for now: it
	// displaces only copies with little load, until somebody does.
	idleValue = 0.5
	// turnTime is how long a model must have been unused to give way to one for which
	// requests wait, where not all have room at once.
	turnTime = 2 * time.Second
	// adapterTurnTime is the same for adapters, whose load takes some milliseconds.
	adapterTurnTime = 500 * time.Millisecond
	// reservedLoads is how many loads from the weight store are kept for models that
	// have no copy.
	reservedLoads = 1
)

// Costs of a place for a copy, in seconds, which weigh places against each other.
const (
	costEvict      = 0.4
	costSameDomain = 0.3
	costBusy       = 1.0
	costNoBudget   = 3.0
	costPerRequest = 0.03
	// costLastCopy is that of a model's only copy, which goes only where nothing else can.
	costLastCopy = 30
)

// Model is a model that must stay reachable.
type Model struct {
	Ref      modelref.Ref
	MemoryMB int64
	// Load, Disk and Warm are the times of a load from the weight store, from a server's
	// disk and from its memory.
	Load, Disk, Warm time.Duration
}

// Adapter extends a model on the same server.
type Adapter struct {
	Ref, Base modelref.Ref
	MemoryMB  int64
}

// Need is how much a model or adapter is asked for.
type Need struct {
	// Load is how many copies the requests would fill, averaged over the last second, and
	// Held the same, slow to fall.
	Load, Held float64
	// Waiting is how many requests wait for lack of a copy.
	Waiting int
	// LastUsed is when there last was a request.
	LastUsed time.Time
}

// ServerView is what is known of one server.
type ServerView struct {
	ID, FailureDomain string
	// Ready is true when an order may be given now.
	Ready bool
	// MemoryMB is the memory for models and adapters, and ReservedMB the part that orders
	// with an unclear outcome may yet take.
	MemoryMB, ReservedMB int64
	AdapterSlots         int
	// Models and Adapters hold the state of each version on the server.
	Models, Adapters map[modelref.Ref]engine.HoldingState
	// InMemory and OnDisk tell which models the server has at hand.
	InMemory, OnDisk map[modelref.Ref]bool
	// Requests is how many requests the server has.
	Requests int
	// Goal is the model for which room was or is being made; empty for none.
	Goal modelref.Ref
}

// Snapshot is all that Plan decides from.
type Snapshot struct {
	Now      time.Time
	Models   []Model
	Adapters []Adapter
	// Servers lists the servers that stay.
	Servers []ServerView
	Needs   map[modelref.Ref]Need
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
}

// Move is an order to give.
type Move struct {
	Server string
	Action engine.Action
	Ref    modelref.Ref
	// FromStore is true for a load that the weight store must serve.
	FromStore bool
	// For is, for an unload, the model for which it makes room.
	For modelref.Ref
	// Reason is one short sentence for the log.
	Reason string
}

// Plan returns the orders to give now, at most one for each server. Adapters come
// first: a model order keeps a server from taking any other for seconds.
func Plan(s Snapshot) []Move {
	b := newBoard(s)
	b.planAdapters()
	b.planModels()
	return b.moves
}

// place is a server on the board.
type place struct {
	ServerView
	// free is the memory that nothing takes, and soon what unloads under way will free.
	free, soon int64
	slots      int
}

type board struct {
	Snapshot
	models map[modelref.Ref]Model
	places []*place
	// copies counts the copies that serve or are being loaded.
	copies map[modelref.Ref]int
	// serving counts the copies that serve now, less those that give way.
	serving map[modelref.Ref]int
	// wanted is how many copies each model should have.
	wanted map[modelref.Ref]int
	// heldLoads is how many loads from the weight store are kept for models that requests
	// wait for and that still lack room.
	heldLoads int
	moves     []Move
}

func newBoard(s Snapshot) *board {
	b := &board{
		Snapshot: s,
		models:   make(map[modelref.Ref]Model, len(s.Models)),
		copies:   map[modelref.Ref]int{},
		serving:  map[modelref.Ref]int{},
		wanted:   map[modelref.Ref]int{},
	}
	for _, m := range s.Models {
		b.models[m.Ref] = m
	}
	adapters := make(map[modelref.Ref]Adapter, len(s.Adapters))
	for _, a := range s.Adapters {
		adapters[a.Ref] = a
	}
	for i := range s.Servers {
		b.places = append(b.places, b.newPlace(&s.Servers[i], adapters))
	}
	for _, m := range s.Models {
		b.wanted[m.Ref] = b.copiesWanted(m.Ref)
	}
	return b
}

func (b *board) newPlace(view *ServerView, adapters map[modelref.Ref]Adapter) *place {
	p := &place{ServerView: *view, free: view.MemoryMB - view.ReservedMB, slots: view.AdapterSlots}
	for ref, state := range view.Models {
		size := b.models[ref].MemoryMB
		p.free -= size
		if state == engine.StateUnloading {
			p.soon += size
			continue
		}
		b.copies[ref]++
		if state == engine.StateResident {
			b.serving[ref]++
		}
	}
	for ref := range view.Adapters {
		p.free -= adapters[ref].MemoryMB
		p.slots--
	}
	return p
}

// copiesWanted is how many copies the demand for a model calls for.
func (b *board) copiesWanted(ref modelref.Ref) int {
	need := b.Needs[ref]
	n := int(math.Ceil(need.Held / copyUse))
	if need.Held >= spareLoad {
		n = max(n, 2)
	}
	return min(max(n, 1), max(1, len(b.places)))
}

// want is a copy that a model lacks.
type want struct {
	model Model
	// first is true when the model has no copy, and waiting when requests wait for it.
	first, waiting bool
	// value is the load that each copy would have with the new one.
	value float64
}

// planModels provides the copies that are missing, the most urgent first.
func (b *board) planModels() {
	b.retire()
	b.pursueGoals()
	for _, w := range b.wants() {
		b.provide(w)
	}
}

// retire unloads models that are no longer configured.
func (b *board) retire() {
	for _, p := range b.places {
		for ref, state := range p.Models {
			if _, configured := b.models[ref]; !configured && state == engine.StateResident && p.Ready {
				b.order(p, Move{Action: engine.ActionUnload, Ref: ref, Reason: "no longer configured"})
			}
		}
	}
}

// pursueGoals loads the models for which room was made, before anything else uses it.
// Without it each plan would make room anew where that seems cheaper now.
func (b *board) pursueGoals() {
	for _, p := range b.places {
		m, configured := b.models[p.Goal]
		if _, has := p.Models[p.Goal]; !configured || has || b.copies[m.Ref] >= b.wanted[m.Ref] {
			continue
		}
		w := want{model: m, first: b.copies[m.Ref] == 0, waiting: b.Needs[m.Ref].Waiting > 0}
		o := option{place: p}
		_, o.fromStore = b.loadTime(m, p)
		if p.free+p.soon >= m.MemoryMB {
			b.take(w, o)
		}
	}
}

func (b *board) wants() []want {
	var out []want
	for _, m := range b.Models {
		need := b.Needs[m.Ref]
		have := b.copies[m.Ref]
		for n := have; n < b.wanted[m.Ref]; n++ {
			out = append(out, want{
				model: m, first: n == 0, waiting: n == 0 && need.Waiting > 0,
				value: need.Load / float64(n+1),
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		x, y := &out[i], &out[j]
		if x.waiting != y.waiting {
			return x.waiting
		}
		if x.first != y.first {
			return x.first
		}
		return x.value > y.value
	})
	return out
}

// option is a way to give a model a copy on a server.
type option struct {
	place *place
	// victim is the model that has to go first; empty when there is room.
	victim    modelref.Ref
	fromStore bool
	cost      float64
}

// provide orders what the cheapest option needs next, if its server takes an order now,
// and counts on it for the rest of the plan.
func (b *board) provide(w want) {
	if best, ok := b.bestOption(w); ok {
		b.take(w, best)
	}
}

func (b *board) take(w want, best option) {
	p := best.place
	b.copies[w.model.Ref]++
	switch {
	case best.victim != "":
		b.copies[best.victim]--
		b.serving[best.victim]--
		p.soon += b.models[best.victim].MemoryMB
		b.order(p, Move{Action: engine.ActionUnload, Ref: best.victim, For: w.model.Ref,
			Reason: fmt.Sprintf("makes room for %s", w.model.Ref)})
	case p.free < w.model.MemoryMB || !p.Ready:
		if best.fromStore && w.waiting {
			b.heldLoads++
		}
	case !best.fromStore || b.mayLoad(w):
		if best.fromStore {
			b.StoreLoads--
		}
		b.order(p, Move{Action: engine.ActionLoad, Ref: w.model.Ref, FromStore: best.fromStore, Reason: b.reason(w)})
	}
	p.free -= w.model.MemoryMB
}

// order gives a move if the server takes an order now.
func (b *board) order(p *place, m Move) {
	if !p.Ready {
		return
	}
	p.Ready = false
	m.Server = p.ID
	b.moves = append(b.moves, m)
}

func (b *board) reason(w want) string {
	need := b.Needs[w.model.Ref]
	return fmt.Sprintf("%d of %d copies, load of %.1f copies, %d wait", b.copies[w.model.Ref]-1, b.wanted[w.model.Ref], need.Load, need.Waiting)
}

// mayLoad reports whether the weight store may be asked for the model.
func (b *board) mayLoad(w want) bool {
	switch {
	case w.waiting:
		return b.StoreLoads > 0
	case w.first:
		return b.StoreLoads > b.heldLoads
	}
	return b.StoreLoads > reservedLoads+b.heldLoads
}

func (b *board) bestOption(w want) (best option, ok bool) {
	for _, p := range b.places {
		if _, has := p.Models[w.model.Ref]; has {
			continue
		}
		o, possible := b.optionOn(w, p)
		if possible && (!ok || o.cost < best.cost) {
			best, ok = o, true
		}
	}
	return best, ok
}

func (b *board) optionOn(w want, p *place) (option, bool) {
	o := option{place: p}
	o.cost, o.fromStore = b.loadTime(w.model, p)
	if o.fromStore && !b.mayLoad(w) {
		o.cost += costNoBudget
	}
	if !p.Ready {
		o.cost += costBusy
	}
	o.cost += costPerRequest * float64(p.Requests)
	if b.domainHas(w.model.Ref, p.FailureDomain) {
		o.cost += costSameDomain
	}
	if p.free+p.soon >= w.model.MemoryMB {
		return o, true
	}
	victim, harm, ok := b.victim(w, p)
	o.victim = victim
	o.cost += costEvict + harm
	return o, ok
}

// loadTime is how long a load of the model takes on the server, in seconds.
func (b *board) loadTime(m Model, p *place) (seconds float64, fromStore bool) {
	switch {
	case p.InMemory[m.Ref]:
		return m.Warm.Seconds(), false
	case p.OnDisk[m.Ref]:
		return m.Disk.Seconds(), false
	}
	return m.Load.Seconds(), true
}

func (b *board) domainHas(ref modelref.Ref, domain string) bool {
	for _, p := range b.places {
		if state, has := p.Models[ref]; has && state != engine.StateUnloading && p.FailureDomain == domain {
			return true
		}
	}
	return false
}

// victim picks the model that may give way on a server with the least harm: one with
// more copies than its demand calls for, or, for a model that has none while requests
// wait, one that nobody has asked for lately.
func (b *board) victim(w want, p *place) (victim modelref.Ref, harm float64, ok bool) {
	for _, ref := range sortedRefs(p.Models) {
		if p.Models[ref] != engine.StateResident || p.free+p.soon+b.models[ref].MemoryMB < w.model.MemoryMB {
			continue
		}
		may, cost := b.mayGo(w, ref)
		if may && (!ok || cost < harm) {
			victim, harm, ok = ref, cost, true
		}
	}
	return victim, harm, ok
}

func (b *board) mayGo(w want, ref modelref.Ref) (may bool, harm float64) {
	value := w.value
	if w.first {
		value = max(value, idleValue)
	}
	need := b.Needs[ref]
	left := b.copies[ref] - 1
	if left >= 1 && b.serving[ref] > 1 {
		each := need.Held / float64(left)
		if left >= b.wanted[ref] || w.waiting || each*gainFactor < value {
			return true, each
		}
	}
	idle := need.Waiting == 0 && b.Now.Sub(need.LastUsed) >= turnTime
	if w.waiting && idle {
		return true, costLastCopy + 1/(1+b.Now.Sub(need.LastUsed).Seconds())
	}
	return false, 0
}

func sortedRefs(m map[modelref.Ref]engine.HoldingState) []modelref.Ref {
	out := make([]modelref.Ref, 0, len(m))
	for ref := range m {
		out = append(out, ref)
	}
	slices.Sort(out)
	return out
}
