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

var errAway = errors.New("fake: no answer")

// fakeKeys is the truth of a key-value service, without time or faults.
type fakeKeys struct {
	entries  map[string]store.Entry
	revision store.Revision
	// careless names a key whose writes succeed, whatever revision they expect.
	careless string
}

func newFakeKeys() *fakeKeys { return &fakeKeys{entries: map[string]store.Entry{}} }

func (k *fakeKeys) get(key string) (store.Entry, error) {
	e, ok := k.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (k *fakeKeys) swap(key string, value []byte, expected store.Revision) (store.Revision, error) {
	if k.entries[key].Revision != expected && key != k.careless {
		return 0, store.ErrConflict
	}
	k.revision++
	k.entries[key] = store.Entry{Key: key, Value: value, Revision: k.revision}
	return k.revision, nil
}

// fakeEngine is the truth of one engine. It obeys every order that its kind must
// obey and doesn't look at its own memory.
type fakeEngine struct {
	spec        site.Server
	incarnation int
	fence       uint64
	highestTerm uint64
	holdings    []fakeHolding
	outcomes    []engine.OrderOutcome
	loadTime    time.Duration
	// starts holds when loads began; staleObeyed counts orders obeyed after a
	// successor's fence.
	starts      []time.Time
	staleObeyed []string
	// unloaded hears of each version that goes by an order.
	unloaded func(e *fakeEngine, ref modelref.Ref)
}

type fakeHolding struct {
	engine.Holding
	until time.Time
	order string
}

func (e *fakeEngine) used() int64 {
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

// advance finishes the loads whose time has come.
func (e *fakeEngine) advance(now time.Time) {
	for i, h := range e.holdings {
		if h.State == engine.StateLoading && !now.Before(h.until) {
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

// obey carries out an order as it arrives.
func (e *fakeEngine) obey(now time.Time, o engine.Order) error {
	e.advance(now)
	if e.spec.HonoursFencing && o.Fence < e.fence {
		return &engine.StaleFenceError{Seen: e.fence}
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
	if e.spec.HonoursFencing && term < e.highestTerm {
		e.staleObeyed = append(e.staleObeyed, o.ID)
	}
	e.execute(now, o, term)
	return nil
}

func (e *fakeEngine) execute(now time.Time, o engine.Order, term uint64) {
	switch o.Action {
	case engine.ActionFence:
		e.highestTerm = max(e.highestTerm, term)
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
	e.starts = append(e.starts, now)
	e.holdings = append(e.holdings, fakeHolding{
		Holding: engine.Holding{Ref: o.Ref, MemoryMB: o.MemoryMB, State: engine.StateLoading},
		until:   now.Add(e.loadTime),
		order:   o.ID,
	})
}

func (e *fakeEngine) unload(o engine.Order) {
	for i, h := range e.holdings {
		if h.Ref != o.Ref || h.State != engine.StateResident {
			continue
		}
		e.holdings = slices.Delete(e.holdings, i, i+1)
		e.finish(o.ID, engine.OrderDone, "")
		if e.unloaded != nil {
			e.unloaded(e, o.Ref)
		}
		return
	}
	e.finish(o.ID, engine.OrderFailed, "not resident")
}

// restart begins a new process: empty memory, no memory of orders. The fencing
// number outlives it.
func (e *fakeEngine) restart() {
	e.incarnation++
	e.holdings, e.outcomes = nil, nil
}

// shownOrders is how many orders an inventory lists.
const shownOrders = 20

func (e *fakeEngine) inventory(now time.Time) engine.Inventory {
	e.advance(now)
	inv := engine.Inventory{
		Incarnation: fmt.Sprint(e.incarnation),
		MemoryMB:    e.spec.MemoryMB,
		Orders:      slices.Clone(e.outcomes[max(0, len(e.outcomes)-shownOrders):]),
	}
	if e.spec.HonoursFencing {
		inv.Fence = e.fence
	}
	for _, h := range e.holdings {
		inv.Holdings = append(inv.Holdings, h.Holding)
	}
	return inv
}

// termOfID reads the term out of an order id, "cell/term/number".
func termOfID(id string) uint64 {
	var term, number uint64
	_, err := fmt.Sscanf(id, testCell+"/%d/%d", &term, &number)
	if err != nil {
		panic(err)
	}
	return term
}

const testCell = "main"

// roomyMB holds two copies of all of the test site on its four servers, tightMB
// little more than one.
const (
	roomyMB = 100
	tightMB = 55
)

// testDocument describes a small site of four servers in two failure domains.
func testDocument(honours func(server int) bool, memoryMB int64) *site.Document {
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
			FailureDomain: doc.FailureDomains[i%2], MemoryMB: memoryMB, HonoursFencing: honours(i),
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

// copies counts the engines where a version is resident.
func copies(engines []*fakeEngine, ref modelref.Ref) int {
	n := 0
	for _, e := range engines {
		if e.resident(ref) {
			n++
		}
	}
	return n
}
