package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// The world below holds true servers, a true store and several cores that may be
// paused. An oracle looks at each order as it arrives.

const (
	worldStep     = 50 * time.Millisecond
	worldMemory   = 30
	worldSlots    = 2
	worldRate     = 1.4
	rateWindow    = 5 * time.Second
	rateAllowance = 1.1
	rateExtra     = 3
)

// trueServer is a server as the platform describes it.
type trueServer struct {
	known    discovery.Known
	sequence uint64
	models   map[modelref.Ref]bool
	adapters map[modelref.Ref]bool
	onDisk   map[modelref.Ref]bool
	// busy is the model order under way, done when it ends.
	busy *engine.SequencedOrder
	done time.Time
}

type arriving struct {
	at     time.Time
	effect effect
	core   int
	lost   bool
}

type answering struct {
	at     time.Time
	core   int
	result result
}

type world struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	document *site.Document
	servers  map[string]*trueServer
	cores    []*core
	// paused holds until when each core stands still.
	paused   []time.Time
	record   lease.Record
	revision int64

	requests []arriving
	answers  []answering
	loads    []time.Time
	gauges   map[modelref.Ref]Gauge
	// lossy is the share of orders that get no answer, of which some come late.
	lossy float64
	fence uint64
	last  string
}

func newWorld(t *rapid.T, seed uint64, cores int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		servers: map[string]*trueServer{}, gauges: map[modelref.Ref]Gauge{},
		document: &site.Document{Pools: []site.Pool{{Service: "svc", MemoryMB: worldMemory, AdapterSlots: worldSlots, LoadsPerSecond: worldRate}}},
	}
	for i := range 8 {
		m := site.Model{Name: fmt.Sprintf("m%d", i), Version: "1", Service: "svc", MemoryMB: 9, LoadMillis: 4000, DiskMillis: 800, WarmMillis: 400}
		w.document.Models = append(w.document.Models, m)
		w.document.Adapters = append(w.document.Adapters, site.Adapter{Name: m.Name + "/a1", Version: "1", Base: m.Ref(), MemoryMB: 1})
	}
	for i := range 4 {
		w.start(fmt.Sprintf("s%d", i))
	}
	for i := range cores {
		config := lease.Config{Instance: fmt.Sprintf("i%d", i), TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: 300 * time.Millisecond}
		machine := lease.New(config, rand.New(rand.NewPCG(seed, uint64(i+2))))
		w.cores = append(w.cores, newCore(config.Instance, machine, 0))
		w.paused = append(w.paused, time.Time{})
	}
	return w
}

// start starts a server, empty and numbered anew, maybe under an id that it had.
func (w *world) start(id string) {
	old := w.servers[id]
	s := &trueServer{
		known:  discovery.Known{Server: discovery.Server{ID: id, Service: "svc", Address: id + ":1", Born: w.now.UnixMilli()}, Seen: w.now},
		models: map[modelref.Ref]bool{}, adapters: map[modelref.Ref]bool{}, onDisk: map[modelref.Ref]bool{},
	}
	if old != nil {
		s.onDisk = old.onDisk
	}
	w.servers[id] = s
}

func (w *world) size(ref modelref.Ref) int64 {
	for _, m := range w.document.Models {
		if m.Ref() == ref {
			return m.MemoryMB
		}
	}
	return 1
}

// carryOut is the server's side of an order, with the oracle's checks.
func (w *world) carryOut(id string, order engine.SequencedOrder) engine.OrderAnswer {
	s := w.servers[id]
	if order.Expected != s.sequence || s.busy != nil {
		return engine.OrderConflict
	}
	s.sequence++
	isModel := w.isModel(order.Ref)
	switch {
	case isModel:
		s.busy, s.done = &order, w.now.Add(w.takes(s, order))
	case order.Action == engine.ActionLoad:
		s.adapters[order.Ref] = true
	default:
		delete(s.adapters, order.Ref)
	}
	w.checkRoom(id, s, order)
	return engine.OrderAccepted
}

func (w *world) isModel(ref modelref.Ref) bool {
	return slices.ContainsFunc(w.document.Models, func(m site.Model) bool { return m.Ref() == ref })
}

func (w *world) takes(s *trueServer, order engine.SequencedOrder) time.Duration {
	if order.Action == engine.ActionUnload {
		return 200 * time.Millisecond
	}
	if s.onDisk[order.Ref] {
		return 800 * time.Millisecond
	}
	w.loads = append(w.loads, w.now)
	return 4 * time.Second
}

func (w *world) checkRoom(id string, s *trueServer, order engine.SequencedOrder) {
	var memory int64
	for ref := range s.models {
		memory += w.size(ref)
	}
	for ref := range s.adapters {
		memory += w.size(ref)
	}
	if s.busy != nil && s.busy.Action == engine.ActionLoad && !s.models[s.busy.Ref] {
		memory += w.size(s.busy.Ref)
	}
	if memory > worldMemory || len(s.adapters) > worldSlots {
		w.t.Fatalf("%v: %s is over its memory or slots after %+v: %d MB, %d adapters", w.now, id, order, memory, len(s.adapters))
	}
}

// settle ends model orders and checks the rate of loads.
func (w *world) settle() {
	for _, s := range w.servers {
		if s.busy == nil || w.now.Before(s.done) {
			continue
		}
		if s.busy.Action == engine.ActionLoad {
			s.models[s.busy.Ref], s.onDisk[s.busy.Ref] = true, true
		} else {
			delete(s.models, s.busy.Ref)
			for _, a := range w.document.Adapters {
				if a.Base == s.busy.Ref {
					delete(s.adapters, a.Ref())
				}
			}
		}
		s.busy = nil
	}
	w.loads = slices.DeleteFunc(w.loads, func(at time.Time) bool { return w.now.Sub(at) > rateWindow })
	seconds := rateWindow.Seconds()
	if most := worldRate*seconds*rateAllowance + rateExtra; w.lossy == 0 && float64(len(w.loads)) > most {
		w.t.Fatalf("%v: %d loads from the weight store in %v", w.now, len(w.loads), rateWindow)
	}
}

func (w *world) account(s *trueServer) engine.SequencedState {
	state := engine.SequencedState{Sequence: s.sequence, Busy: s.busy != nil}
	for ref := range s.models {
		state.Models = append(state.Models, ref)
	}
	for ref := range s.adapters {
		state.Adapters = append(state.Adapters, ref)
	}
	for ref := range s.onDisk {
		state.OnDisk = append(state.OnDisk, ref)
	}
	return state
}

// arrive carries out a call when it reaches its other end.
func (w *world) arrive(a arriving) {
	r := result{effect: a.effect}
	switch a.effect.kind {
	case effectReadLease:
		if w.revision == 0 {
			r.err = store.ErrNotFound
		}
		r.entry = store.Entry{Value: w.record.Encode(), Revision: store.Revision(w.revision)}
	case effectWriteLease:
		if int64(a.effect.todo.Expected) != w.revision {
			r.err = store.ErrConflict
			break
		}
		w.revision++
		w.record, r.revision = a.effect.todo.Record, store.Revision(w.revision)
	case effectState:
		r.state = w.account(w.servers[a.effect.server.Name])
	case effectOrder:
		w.oneHolder(a)
		r.answer = w.carryOut(a.effect.server.Name, a.effect.order)
	}
	if a.lost {
		r.err = fmt.Errorf("no answer")
	}
	w.answers = append(w.answers, answering{at: w.now.Add(2 * time.Millisecond), core: a.core, result: r})
}

// oneHolder checks that fencing numbers never fall where an order may take effect.
func (w *world) oneHolder(a arriving) {
	if a.lost {
		return
	}
	if a.effect.order.Fence < w.fence {
		w.t.Fatalf("%v: %s orders with fence %d after %s with %d", w.now, a.effect.order.Holder, a.effect.order.Fence, w.last, w.fence)
	}
	w.fence, w.last = a.effect.order.Fence, a.effect.order.Holder
}

// send puts a core's effects on their way. A paused core's calls leave at once: what a
// process has written goes out also when it stands still afterwards.
func (w *world) send(i int, effects []effect) {
	for _, e := range effects {
		a := arriving{at: w.now.Add(time.Millisecond), effect: e, core: i}
		if e.kind == effectOrder && w.random.Float64() < w.lossy {
			a.lost = true
			a.at = w.now.Add(time.Duration(2+w.random.IntN(10)) * time.Second)
			w.answers = append(w.answers, answering{at: w.now.Add(orderTimeout), core: i, result: result{effect: e, err: fmt.Errorf("no answer")}})
		}
		w.requests = append(w.requests, a)
	}
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	w.settle()
	due := w.requests
	w.requests = nil
	for _, a := range due {
		if a.at.After(w.now) {
			w.requests = append(w.requests, a)
			continue
		}
		w.arrive(a)
	}
	w.deliver()
	for i, c := range w.cores {
		if w.now.Before(w.paused[i]) {
			continue
		}
		c.step(w.now, observation{document: w.document, servers: w.known(), gauges: w.gauges})
		effects := c.effects
		c.effects, c.moved, c.lines = nil, nil, nil
		w.send(i, effects)
	}
}

// deliver hands over the answers that have arrived at cores that run.
func (w *world) deliver() {
	due := w.answers
	w.answers = nil
	for _, a := range due {
		if a.at.After(w.now) || w.now.Before(w.paused[a.core]) {
			w.answers = append(w.answers, a)
			continue
		}
		w.cores[a.core].handle(w.now, a.result)
	}
}

func (w *world) known() []discovery.Known {
	var out []discovery.Known
	for _, s := range w.servers {
		known := s.known
		for ref := range s.models {
			known.Resident = append(known.Resident, ref)
		}
		slices.Sort(known.Resident)
		known.Seen = w.now
		out = append(out, known)
	}
	slices.SortFunc(out, func(a, b discovery.Known) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (w *world) run(d time.Duration) {
	for range int(d / worldStep) {
		w.step()
	}
}

// unplaced lists the models without a copy.
func (w *world) unplaced() []modelref.Ref {
	var out []modelref.Ref
	for _, m := range w.document.Models {
		found := false
		for _, s := range w.servers {
			found = found || s.models[m.Ref()]
		}
		if !found {
			out = append(out, m.Ref())
		}
	}
	return out
}

// TestNothingIsOvercommittedUnderFaults lets demand shift, servers restart under their
// ids, orders get lost and come late, and holders stand still, in any order.
func TestNothingIsOvercommittedUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3)
		w.run(2 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w.gauges = map[modelref.Ref]Gauge{}
				for range 3 {
					ref := w.document.Models[rapid.IntRange(0, 7).Draw(t, "model")].Ref()
					w.gauges[ref] = Gauge{Unbegun: rapid.IntRange(0, 9).Draw(t, "unbegun"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")}
				}
			case 1:
				w.start(fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "server")))
			case 2:
				w.lossy = rapid.Float64Range(0, 0.5).Draw(t, "lossy")
			case 3:
				i := rapid.IntRange(0, 2).Draw(t, "core")
				w.paused[i] = w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "pause")) * time.Second)
			case 4:
				ref := w.document.Adapters[rapid.IntRange(0, 7).Draw(t, "adapter")].Ref()
				w.gauges[ref] = Gauge{Waiting: 1}
			}
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		w.lossy, w.gauges = 0, map[modelref.Ref]Gauge{}
		w.run(60 * time.Second)
		if missing := w.unplaced(); len(missing) > 0 {
			t.Fatalf("a minute after the last fault these have no copy: %v", missing)
		}
	})
}

// TestOracleBites shows that a holder which overlooks a server's memory is caught.
func TestOracleBites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1, 1)
		w.run(5 * time.Second)
		s := w.servers["s0"]
		for i := range 4 {
			s.models[w.document.Models[i].Ref()] = true
		}
		caught := false
		func() {
			defer func() { caught = recover() != nil }()
			w.t = nil
			w.checkRoom("s0", s, engine.SequencedOrder{})
		}()
		if !caught {
			t.Fatal("four models of 9 MB in 30 MB passed")
		}
	})
}
