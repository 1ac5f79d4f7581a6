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

// The simulation below runs several cores against simulated servers and a simulated store,
// in simulated time. It can pause cores, and it checks each order when it reaches its server.

const (
	simStep           = 50 * time.Millisecond
	simMemoryMB       = 30
	simSlots          = 2
	simLoadsPerSecond = 1.4
	// Within rateWindow, at most rateBurst loads from the weight store may start in addition to
	// rateAllowance times the number that simLoadsPerSecond allows.
	rateWindow    = 5 * time.Second
	rateAllowance = 1.1
	rateBurst     = 3
)

// simServer simulates a server that numbers its orders. It accepts an order only if the expected
// number is the number of orders accepted so far and no order for a model is in progress.
type simServer struct {
	known    discovery.KnownServer
	sequence uint64
	models   map[modelref.Ref]bool
	adapters map[modelref.Ref]bool
	onDisk   map[modelref.Ref]bool
	// inUseUntil is until when requests use an adapter. An order to unload it takes effect then.
	inUseUntil map[modelref.Ref]time.Time
	unloading  map[modelref.Ref]bool
	// running is the order for a model in progress, which ends at runningUntil.
	running      *engine.SequencedOrder
	runningUntil time.Time
}

// inFlightCall is a call that reaches its server or the store at the given time. If answerLost
// is true, the call has an effect but its answer is lost.
type inFlightCall struct {
	at         time.Time
	effect     effect
	core       int
	answerLost bool
}

type inFlightAnswer struct {
	at     time.Time
	core   int
	result result
}

type simulation struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	document *site.Document
	servers  map[string]*simServer
	cores    []*core
	// pausedUntil holds, for each core, the time until which it is paused.
	pausedUntil []time.Time
	record      lease.Record
	revision    int64

	calls   []inFlightCall
	answers []inFlightAnswer
	// storeLoads holds when loads from the weight store began in the last rateWindow. Their rate
	// is loadsPerSecond.
	storeLoads     []time.Time
	loadsPerSecond float64
	requestCounts  map[modelref.Ref]RequestCounts
	// lossRate is the share of orders that get no answer and arrive seconds late.
	lossRate           float64
	highestFence       uint64
	highestFenceHolder string
}

// simSize is the size of a simulation.
type simSize struct {
	cores, servers, models int
	loadsPerSecond         float64
}

func newSimulation(t *rapid.T, seed uint64, cores int) *simulation {
	return newSizedSimulation(t, seed, simSize{cores: cores, servers: 4, models: 8, loadsPerSecond: simLoadsPerSecond})
}

func newSizedSimulation(t *rapid.T, seed uint64, size simSize) *simulation {
	sim := &simulation{
		loadsPerSecond: size.loadsPerSecond,
		t:              t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		servers: map[string]*simServer{}, requestCounts: map[modelref.Ref]RequestCounts{},
		document: &site.Document{Pools: []site.Pool{{Service: "svc", MemoryMB: simMemoryMB, AdapterSlots: simSlots, LoadsPerSecond: size.loadsPerSecond}}},
	}
	for i := range size.models {
		m := site.Model{Name: fmt.Sprintf("m%d", i), Version: "1", Service: "svc", MemoryMB: 9, LoadMillis: 4000, DiskMillis: 800, WarmMillis: 400}
		sim.document.Models = append(sim.document.Models, m)
		sim.document.Adapters = append(sim.document.Adapters, site.Adapter{Name: m.Name + "/a1", Version: "1", Base: m.Ref(), MemoryMB: 1})
	}
	for i := range size.servers {
		sim.startServer(fmt.Sprintf("s%d", i))
	}
	for i := range size.cores {
		config := lease.Config{Instance: fmt.Sprintf("i%d", i), TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: 300 * time.Millisecond}
		machine := lease.New(config, rand.New(rand.NewPCG(seed, uint64(i+2))))
		sim.cores = append(sim.cores, newCore(config.Instance, machine, 0))
		sim.pausedUntil = append(sim.pausedUntil, time.Time{})
	}
	return sim
}

// startServer starts an empty server whose sequence numbers begin at 0. An existing server of
// the same id is replaced and leaves its disk to the new one.
func (sim *simulation) startServer(id string) {
	old := sim.servers[id]
	s := &simServer{
		known:  discovery.KnownServer{Server: discovery.Server{ID: id, Service: "svc", Address: id + ":1", StartMillis: sim.now.UnixMilli()}, LastAnnouncedAt: sim.now},
		models: map[modelref.Ref]bool{}, adapters: map[modelref.Ref]bool{}, onDisk: map[modelref.Ref]bool{},
		inUseUntil: map[modelref.Ref]time.Time{}, unloading: map[modelref.Ref]bool{},
	}
	if old != nil {
		s.onDisk = old.onDisk
	}
	sim.servers[id] = s
}

func (sim *simulation) sizeMB(ref modelref.Ref) int64 {
	for _, m := range sim.document.Models {
		if m.Ref() == ref {
			return m.MemoryMB
		}
	}
	return 1
}

// execute handles an order as a server does, then checks the server's capacity.
func (sim *simulation) execute(id string, order engine.SequencedOrder) engine.OrderAnswer {
	s := sim.servers[id]
	if order.ExpectedOrders != s.sequence || s.running != nil {
		return engine.OrderConflict
	}
	s.sequence++
	isModel := sim.isModel(order.Ref)
	switch {
	case isModel:
		s.running, s.runningUntil = &order, sim.now.Add(sim.orderDuration(s, order))
	case order.Action == engine.ActionLoad:
		s.adapters[order.Ref] = true
	case sim.now.Before(s.inUseUntil[order.Ref]):
		s.unloading[order.Ref] = true
	default:
		delete(s.adapters, order.Ref)
		return engine.OrderAlreadySatisfied
	}
	sim.checkCapacity(id, s, order)
	return engine.OrderAccepted
}

func (sim *simulation) isModel(ref modelref.Ref) bool {
	return slices.ContainsFunc(sim.document.Models, func(m site.Model) bool { return m.Ref() == ref })
}

func (sim *simulation) orderDuration(s *simServer, order engine.SequencedOrder) time.Duration {
	if order.Action == engine.ActionUnload {
		return 200 * time.Millisecond
	}
	if s.onDisk[order.Ref] {
		return 800 * time.Millisecond
	}
	sim.storeLoads = append(sim.storeLoads, sim.now)
	return 4 * time.Second
}

func (sim *simulation) checkCapacity(id string, s *simServer, order engine.SequencedOrder) {
	var memoryMB int64
	for ref := range s.models {
		memoryMB += sim.sizeMB(ref)
	}
	for ref := range s.adapters {
		memoryMB += sim.sizeMB(ref)
	}
	if s.running != nil && s.running.Action == engine.ActionLoad && !s.models[s.running.Ref] {
		memoryMB += sim.sizeMB(s.running.Ref)
	}
	if memoryMB > simMemoryMB || len(s.adapters) > simSlots {
		sim.t.Fatalf("%v: %s exceeds its memory or slots after %+v: %d MB, %d adapters", sim.now, id, order, memoryMB, len(s.adapters))
	}
}

// finishOrdersAndCheckLoadRate completes model orders that are due and checks the rate of loads
// from the weight store.
func (sim *simulation) finishOrdersAndCheckLoadRate() {
	for _, s := range sim.servers {
		s.unloadUnusedAdapters(sim.now)
		if s.running == nil || sim.now.Before(s.runningUntil) {
			continue
		}
		if s.running.Action == engine.ActionLoad {
			s.models[s.running.Ref], s.onDisk[s.running.Ref] = true, true
		} else {
			delete(s.models, s.running.Ref)
			for _, a := range sim.document.Adapters {
				if a.Base == s.running.Ref {
					delete(s.adapters, a.Ref())
				}
			}
		}
		s.running = nil
	}
	sim.storeLoads = slices.DeleteFunc(sim.storeLoads, func(at time.Time) bool { return sim.now.Sub(at) > rateWindow })
	seconds := rateWindow.Seconds()
	if most := sim.loadsPerSecond*seconds*rateAllowance + rateBurst; float64(len(sim.storeLoads)) > most {
		sim.t.Fatalf("%v: %d loads from the weight store in %v, want at most %.1f", sim.now, len(sim.storeLoads), rateWindow, most)
	}
}

// unloadUnusedAdapters carries out the orders to unload adapters whose requests have ended.
func (s *simServer) unloadUnusedAdapters(now time.Time) {
	for ref := range s.unloading {
		if !now.Before(s.inUseUntil[ref]) {
			delete(s.adapters, ref)
			delete(s.unloading, ref)
		}
	}
}

func (sim *simulation) state(s *simServer) engine.SequencedState {
	state := engine.SequencedState{Sequence: s.sequence, Busy: s.running != nil}
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

// handleCall executes a call when it reaches the server or the store.
func (sim *simulation) handleCall(call inFlightCall) {
	r := result{effect: call.effect}
	switch call.effect.kind {
	case effectReadLease:
		if sim.revision == 0 {
			r.err = store.ErrNotFound
		}
		r.entry = store.Entry{Value: sim.record.Encode(), Revision: store.Revision(sim.revision)}
	case effectWriteLease:
		if int64(call.effect.operation.Expected) != sim.revision {
			r.err = store.ErrConflict
			break
		}
		sim.revision++
		sim.record, r.revision = call.effect.operation.Record, store.Revision(sim.revision)
	case effectReadState, effectOrder:
		sim.handleServerCall(call, &r)
	}
	if call.answerLost {
		return // The call has ended without an answer; see send.
	}
	sim.answers = append(sim.answers, inFlightAnswer{at: sim.now.Add(2 * time.Millisecond), core: call.core, result: r})
}

// handleServerCall carries out a call at its server, unless the server is gone.
func (sim *simulation) handleServerCall(call inFlightCall, r *result) {
	server := sim.servers[call.effect.server.Name]
	switch {
	case server == nil:
		r.err = fmt.Errorf("server is gone")
	case call.effect.kind == effectReadState:
		r.state = sim.state(server)
	default:
		sim.checkFence(call)
		r.answer = sim.execute(call.effect.server.Name, call.effect.order)
	}
}

// checkFence checks that fencing numbers never decrease. Orders whose answer is lost arrive
// late and are exempt.
func (sim *simulation) checkFence(call inFlightCall) {
	if call.answerLost {
		return
	}
	if call.effect.order.Fence < sim.highestFence {
		sim.t.Fatalf("%v: %s sent an order with fence %d after %s sent one with %d", sim.now, call.effect.order.Holder, call.effect.order.Fence, sim.highestFenceHolder, sim.highestFence)
	}
	sim.highestFence, sim.highestFenceHolder = call.effect.order.Fence, call.effect.order.Holder
}

// send puts a core's effects in flight. They arrive even if the core is paused right after,
// because what a process has written to a socket is sent regardless.
func (sim *simulation) send(core int, effects []effect) {
	for _, e := range effects {
		call := inFlightCall{at: sim.now.Add(time.Millisecond), effect: e, core: core}
		if e.kind == effectOrder && sim.random.Float64() < sim.lossRate {
			call.answerLost = true
			call.at = sim.now.Add(time.Duration(2+sim.random.IntN(10)) * time.Second)
			sim.answers = append(sim.answers, inFlightAnswer{at: sim.now.Add(orderTimeout), core: core, result: result{effect: e, err: fmt.Errorf("no answer")}})
		}
		sim.calls = append(sim.calls, call)
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simStep)
	sim.finishOrdersAndCheckLoadRate()
	due := sim.calls
	sim.calls = nil
	for _, call := range due {
		if call.at.After(sim.now) {
			sim.calls = append(sim.calls, call)
			continue
		}
		sim.handleCall(call)
	}
	sim.deliver()
	for i, c := range sim.cores {
		if sim.now.Before(sim.pausedUntil[i]) {
			continue
		}
		c.step(sim.now, observation{document: sim.document, servers: sim.announcements(), requestCounts: sim.requestCounts})
		effects := c.effects
		c.effects, c.changes, c.logLines = nil, nil, nil
		sim.send(i, effects)
		sim.reportLoads(i)
	}
}

// reportLoads tells the other cores of the loads of the lease's holder, as its digests do.
func (sim *simulation) reportLoads(holder int) {
	if !sim.cores[holder].holdsLease {
		return
	}
	for i, c := range sim.cores {
		if i != holder && !sim.now.Before(sim.pausedUntil[i]) {
			c.reportedLoads = recentLoads{count: sim.cores[holder].recentWeightLoads(), at: sim.now}
		}
	}
}

// deliver hands due answers to the cores that aren't paused.
func (sim *simulation) deliver() {
	due := sim.answers
	sim.answers = nil
	for _, a := range due {
		if a.at.After(sim.now) || sim.now.Before(sim.pausedUntil[a.core]) {
			sim.answers = append(sim.answers, a)
			continue
		}
		sim.cores[a.core].handle(sim.now, a.result)
	}
}

func (sim *simulation) announcements() []discovery.KnownServer {
	var out []discovery.KnownServer
	for _, s := range sim.servers {
		known := s.known
		for ref := range s.models {
			known.Resident = append(known.Resident, ref)
		}
		slices.Sort(known.Resident)
		known.LastAnnouncedAt = sim.now
		out = append(out, known)
	}
	slices.SortFunc(out, func(a, b discovery.KnownServer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (sim *simulation) run(d time.Duration) {
	for range int(d / simStep) {
		sim.step()
	}
}

// modelsWithoutCopy lists the models that no server holds.
func (sim *simulation) modelsWithoutCopy() []modelref.Ref {
	var out []modelref.Ref
	for _, m := range sim.document.Models {
		found := false
		for _, s := range sim.servers {
			found = found || s.models[m.Ref()]
		}
		if !found {
			out = append(out, m.Ref())
		}
	}
	return out
}

// TestNoOvercommitUnderFaults guards against overcommitted servers and models left without a
// copy. It combines, in any order, shifts of demand, servers that restart under the same id,
// orders that lose their answer and arrive late, and lease holders that pause.
func TestNoOvercommitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3)
		sim.run(2 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // The demand shifts to up to three other models.
				sim.requestCounts = map[modelref.Ref]RequestCounts{}
				for range 3 {
					ref := sim.document.Models[rapid.IntRange(0, 7).Draw(t, "model")].Ref()
					sim.requestCounts[ref] = RequestCounts{Unstarted: rapid.IntRange(0, 9).Draw(t, "unbegun"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")}
				}
			case 1: // A server restarts.
				sim.startServer(fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "server")))
			case 2: // Another share of the orders loses its answer.
				sim.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lossy")
			case 3: // A core pauses.
				i := rapid.IntRange(0, 2).Draw(t, "core")
				sim.pausedUntil[i] = sim.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "pause")) * time.Second)
			case 4: // A request waits for an adapter.
				ref := sim.document.Adapters[rapid.IntRange(0, 7).Draw(t, "adapter")].Ref()
				sim.requestCounts[ref] = RequestCounts{Waiting: 1}
			}
			sim.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * 100 * time.Millisecond)
		}
		sim.lossRate, sim.requestCounts = 0, map[modelref.Ref]RequestCounts{}
		sim.run(60 * time.Second)
		if missing := sim.modelsWithoutCopy(); len(missing) > 0 {
			t.Fatalf("models without a copy a minute after the last fault: %v", missing)
		}
	})
}

// TestCapacityCheckDetectsOvercommit checks that the simulation's own capacity check fails
// for a server with more models than fit into its memory.
func TestCapacityCheckDetectsOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 1, 1)
		sim.run(5 * time.Second)
		s := sim.servers["s0"]
		for i := range 4 {
			s.models[sim.document.Models[i].Ref()] = true
		}
		caught := false
		func() {
			defer func() { caught = recover() != nil }()
			// Without a test, the check's Fatalf panics instead of ending this test.
			sim.t = nil
			sim.checkCapacity("s0", s, engine.SequencedOrder{})
		}()
		if !caught {
			t.Fatal("the check passed four models of 9 MB in 30 MB")
		}
	})
}
