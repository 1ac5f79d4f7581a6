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
	// meanRest is how long a run under way goes on, on average.
	meanRest = 1.5
	// costLastCopy is that of a model's only copy, which goes only where nothing else can.
	costLastCopy = 30
)

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
	// holders lists the servers on which a model is resident, and adapterCopies counts the
	// copies of an adapter beside its resident base that serve or are being loaded.
	holders       map[modelref.Ref][]*place
	adapterCopies map[modelref.Ref]int
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
		holders:  map[modelref.Ref][]*place{},
		wanted:   map[modelref.Ref]int{},

		adapterCopies: map[modelref.Ref]int{},
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
			b.holders[ref] = append(b.holders[ref], p)
		}
	}
	for ref, state := range view.Adapters {
		adapter := adapters[ref]
		p.free -= adapter.MemoryMB
		p.slots--
		if state != engine.StateUnloading && view.Models[adapter.Base] == engine.StateResident {
			b.adapterCopies[ref]++
		}
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
