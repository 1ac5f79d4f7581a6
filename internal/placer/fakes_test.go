package placer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

var errDown = errors.New("fake: no answer")

// fakeStore is a key-value store in memory, without latency or faults.
type fakeStore struct {
	entries  map[string]store.Entry
	revision store.Revision
	// unconditionalKey names a key whose writes succeed whatever revision they expect.
	unconditionalKey string
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]store.Entry{}} }

func (k *fakeStore) get(key string) (store.Entry, error) {
	e, ok := k.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (k *fakeStore) compareAndSwap(key string, value []byte, expected store.Revision) (store.Revision, error) {
	if k.entries[key].Revision != expected && key != k.unconditionalKey {
		return 0, store.ErrConflict
	}
	k.revision++
	k.entries[key] = store.Entry{Key: key, Value: value, Revision: k.revision}
	return k.revision, nil
}

// fakeEngine simulates one engine. It executes every order that a real engine with or
// without fencing would execute, and doesn't check its own memory, so that the oracle can
// detect overcommitted memory.
type fakeEngine struct {
	spec        site.Server
	incarnation int
	// fence is the highest fencing number received, fencedTerm the highest term whose
	// fence order was executed.
	fence      uint64
	fencedTerm uint64
	holdings   []fakeHolding
	outcomes   []engine.OrderOutcome
	loadTime   time.Duration
	// loadStarts holds when loads started. staleExecuted lists the orders that were
	// executed although a successor's fence had arrived.
	loadStarts    []time.Time
	staleExecuted []string
	// onUnload is called for each version that an order unloads.
	onUnload func(e *fakeEngine, ref modelref.Ref)
}

type fakeHolding struct {
	engine.Holding
	// loadEndsAt is when the load completes or completed.
	loadEndsAt time.Time
	order      string
}

func (e *fakeEngine) usedMB() int64 {
	var total int64
	for _, h := range e.holdings {
		total += h.MemoryMB
	}
	return total
}

func (e *fakeEngine) loading() int {
	n := 0
	for _, h := range e.holdings {
		if h.State == engine.StateLoading {
			n++
		}
	}
	return n
}

func (e *fakeEngine) resident(ref modelref.Ref) bool {
	return slices.ContainsFunc(e.holdings, func(h fakeHolding) bool {
		return h.Ref == ref && h.State == engine.StateResident
	})
}

// advance completes the loads that are due.
func (e *fakeEngine) advance(now time.Time) {
	for i, h := range e.holdings {
		if h.State == engine.StateLoading && !now.Before(h.loadEndsAt) {
			e.holdings[i].State = engine.StateResident
			e.finish(h.order, engine.OrderDone, "")
		}
	}
}

func (e *fakeEngine) finish(id string, state engine.OrderState, reason string) {
	for i := range e.outcomes {
		if e.outcomes[i].ID == id {
			e.outcomes[i].State, e.outcomes[i].Reason = state, reason
		}
	}
}

// submit handles an order as it arrives.
func (e *fakeEngine) submit(now time.Time, o engine.Order) error {
	e.advance(now)
	if e.spec.HonoursFencing && o.Fence < e.fence {
		return &engine.StaleFenceError{HighestFence: e.fence}
	}
	if e.spec.HonoursFencing {
		e.fence = o.Fence
	}
	if slices.ContainsFunc(e.outcomes, func(out engine.OrderOutcome) bool { return out.ID == o.ID }) {
		return nil
	}
	e.outcomes = append(e.outcomes, engine.OrderOutcome{
		ID: o.ID, Fence: o.Fence, Action: o.Action, Ref: o.Ref, State: engine.OrderRunning,
	})
	term := termOfID(o.ID)
	if e.spec.HonoursFencing && term < e.fencedTerm {
		e.staleExecuted = append(e.staleExecuted, o.ID)
	}
	e.execute(now, o, term)
	return nil
}

func (e *fakeEngine) execute(now time.Time, o engine.Order, term uint64) {
	switch o.Action {
	case engine.ActionFence:
		e.fencedTerm = max(e.fencedTerm, term)
		e.finish(o.ID, engine.OrderDone, "")
	case engine.ActionLoad:
		e.load(now, o)
	case engine.ActionUnload:
		e.unload(o)
	default:
		e.finish(o.ID, engine.OrderDone, "")
	}
}

func (e *fakeEngine) load(now time.Time, o engine.Order) {
	for _, h := range e.holdings {
		if h.Ref == o.Ref {
			e.finish(o.ID, engine.OrderDone, "already there")
			return
		}
	}
	e.loadStarts = append(e.loadStarts, now)
	e.holdings = append(e.holdings, fakeHolding{
		Holding:    engine.Holding{Ref: o.Ref, MemoryMB: o.MemoryMB, State: engine.StateLoading},
		loadEndsAt: now.Add(e.loadTime),
		order:      o.ID,
	})
}

func (e *fakeEngine) unload(o engine.Order) {
	for i, h := range e.holdings {
		if h.Ref != o.Ref || h.State != engine.StateResident {
			continue
		}
		e.holdings = slices.Delete(e.holdings, i, i+1)
		e.finish(o.ID, engine.OrderDone, "")
		if e.onUnload != nil {
			e.onUnload(e, o.Ref)
		}
		return
	}
	e.finish(o.ID, engine.OrderFailed, "not resident")
}

// restart simulates a new process: memory and the list of orders are empty, but the
// fencing number is kept.
func (e *fakeEngine) restart() {
	e.incarnation++
	e.holdings, e.outcomes = nil, nil
}

// maxListedOrders is the number of orders that an inventory lists.
const maxListedOrders = 20

func (e *fakeEngine) inventory(now time.Time) engine.Inventory {
	e.advance(now)
	inv := engine.Inventory{
		Incarnation: fmt.Sprint(e.incarnation),
		MemoryMB:    e.spec.MemoryMB,
		Orders:      slices.Clone(e.outcomes[max(0, len(e.outcomes)-maxListedOrders):]),
	}
	if e.spec.HonoursFencing {
		inv.Fence = e.fence
	}
	for _, h := range e.holdings {
		inv.Holdings = append(inv.Holdings, h.Holding)
	}
	return inv
}

// termOfID extracts the term from an order id of the form "cell/term/number".
func termOfID(id string) uint64 {
	var term, number uint64
	_, err := fmt.Sscanf(id, testCell+"/%d/%d", &term, &number)
	if err != nil {
		panic(err)
	}
	return term
}

const testCell = "main"

// roomyMB per server holds two copies of every version of the test site on its four
// servers; tightMB holds little more than one.
const (
	roomyMB = 100
	tightMB = 55
)

// testDocument returns the configuration of a site with four servers in two failure domains.
func testDocument(honoursFencing func(server int) bool, memoryMB int64) *site.Document {
	doc := &site.Document{
		Site:           "test",
		FailureDomains: []string{"a", "b"},
		Classes:        []site.Class{{Name: "urgent", Weight: 4}, {Name: "night", Weight: 1}},
		Budgets:        site.Budgets{LoadsPerSecond: 6, ConcurrentLoads: 3, LoadMillis: 1000},
	}
	for i, size := range []int64{40, 30, 30, 20, 20} {
		doc.Models = append(doc.Models, site.Model{
			Name: fmt.Sprintf("m%d", i), Version: "1", MemoryMB: size, Class: doc.Classes[i%2].Name,
		})
	}
	for i := range 3 {
		doc.Adapters = append(doc.Adapters, site.Adapter{
			Name: fmt.Sprintf("a%d", i), Version: "1", MemoryMB: 5, Base: doc.Models[i].Ref(), Class: "urgent",
		})
	}
	for i := range 4 {
		doc.Servers = append(doc.Servers, site.Server{
			Name: fmt.Sprintf("s%d", i), Kind: site.KindEngine, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			FailureDomain: doc.FailureDomains[i%2], MemoryMB: memoryMB, HonoursFencing: honoursFencing(i),
		})
	}
	return doc
}

func newFakeEngines(doc *site.Document) []*fakeEngine {
	var out []*fakeEngine
	for _, s := range doc.Servers {
		out = append(out, &fakeEngine{spec: s, loadTime: time.Duration(doc.Budgets.LoadMillis) * time.Millisecond})
	}
	return out
}

// countResident counts the engines where a version is resident.
func countResident(engines []*fakeEngine, ref modelref.Ref) int {
	n := 0
	for _, e := range engines {
		if e.resident(ref) {
			n++
		}
	}
	return n
}
