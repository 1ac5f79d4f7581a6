package residency

import (
	"errors"
	"testing"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// lateOrderCore is a core that holds the lease and knows one server with 20 MB and 2 adapter slots, whose second process
// holds model a of 9 MB. Its models a to c have 9 MB, and a/1 to a/3 are adapters of a.
func lateOrderCore(t *testing.T, toFirstProcess func(c *core, srv *trackedServer, now time.Time)) (*core, *trackedServer, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	c := newCore("i", lease.New(lease.Config{}, nil), 0)
	document := &site.Document{Pools: []site.Pool{{Service: "svc", MemoryMB: 20, AdapterSlots: 2}}}
	for _, name := range []string{"a", "b", "c"} {
		document.Models = append(document.Models, site.Model{Name: name, Version: "1", Service: "svc", MemoryMB: 9})
	}
	for _, name := range []string{"a/1", "a/2", "a/3"} {
		document.Adapters = append(document.Adapters, site.Adapter{Name: name, Version: "1", Base: document.Models[0].Ref()})
	}
	c.configure(document)
	c.holdsLease = true
	known := discovery.KnownServer{Server: discovery.Server{ID: "s", Service: "svc", StartMillis: 1}}
	c.syncServers([]discovery.KnownServer{known})
	srv := c.servers["s"]
	srv.updateState(now, engine.SequencedState{Sequence: 2})
	toFirstProcess(c, srv, now)
	known.StartMillis = 2
	c.syncServers([]discovery.KnownServer{known})
	srv.updateState(now.Add(time.Second), engine.SequencedState{Sequence: 1, Models: []modelref.Ref{document.Models[0].Ref()}})
	return c, srv, now.Add(time.Second)
}

func (c *core) mayLoad(now time.Time, srv *trackedServer, ref modelref.Ref) error {
	return c.checkMove(now, c.document.Pools[0], srv, Move{Server: "s", Action: engine.ActionLoad, Ref: ref})
}

// unanswered is the result of an order for a version whose answer was lost.
func (c *core) unanswered(srv *trackedServer, ref modelref.Ref, expected uint64) result {
	order := engine.SequencedOrder{Action: engine.ActionLoad, Ref: ref, ExpectedOrders: expected}
	return result{
		effect: effect{
			kind: effectOrder, order: order, server: engine.Server{Name: "s"}, serverStartMillis: srv.server.StartMillis, term: c.lease.Term(),
		},
		err: errors.New("no answer"),
	}
}

// TestLateOrderToARestartedServerKeepsItsMemory guards against a load that is ordered into memory which a late order, sent to the
// process before, may take: the server would be overcommitted and crash.
func TestLateOrderToARestartedServerKeepsItsMemory(t *testing.T) {
	b, other := modelref.Ref("b@1"), modelref.Ref("c@1")
	cases := map[string]func(c *core, srv *trackedServer, now time.Time){
		"a state was read since": func(c *core, srv *trackedServer, now time.Time) {
			c.handle(now, c.unanswered(srv, b, 2))
			srv.updateState(now, engine.SequencedState{Sequence: 2})
		},
		"another order was accepted since": func(c *core, srv *trackedServer, now time.Time) {
			c.handle(now, c.unanswered(srv, b, 2))
			srv.recordAccepted(now, engine.SequencedOrder{Action: engine.ActionLoad, Ref: other, ExpectedOrders: 2}, false, 0)
		},
	}
	for name, toFirstProcess := range cases {
		c, srv, now := lateOrderCore(t, toFirstProcess)
		if err := c.mayLoad(now, srv, other); err == nil {
			t.Errorf("%s: a load is allowed beside a late one, 27 MB of 20", name)
		}
		srv.sequence = 3
		if err := c.mayLoad(now, srv, other); err != nil {
			t.Errorf("%s: once the process has passed the number of the late order: %v", name, err)
		}
		srv.sequence = 1
		if err := c.mayLoad(now.Add(lateOrderWindow), srv, other); err != nil {
			t.Errorf("%s: once the order can't arrive any more: %v", name, err)
		}
	}
	c, srv, now := lateOrderCore(t, func(*core, *trackedServer, time.Time) {})
	first := c.unanswered(srv, b, 2)
	first.effect.serverStartMillis = 1
	c.handle(now, first)
	if err := c.mayLoad(now, srv, other); err == nil {
		t.Error("an order to the process before that fails after the restart: a load is allowed beside it, 27 MB of 20")
	}
}

// TestLateAdapterOrderKeepsItsSlot guards against the same for the slots of adapters.
func TestLateAdapterOrderKeepsItsSlot(t *testing.T) {
	c, srv, now := lateOrderCore(t, func(c *core, srv *trackedServer, now time.Time) {
		c.handle(now, c.unanswered(srv, "a/1@1", 2))
	})
	if err := c.mayLoad(now, srv, "a/2@1"); err != nil {
		t.Errorf("the second of two slots: %v", err)
	}
	srv.adapters["a/2@1"] = engine.StateResident
	if err := c.mayLoad(now, srv, "a/3@1"); err == nil {
		t.Error("an adapter may be loaded beside a late one and another one, three in two slots")
	}
}

// TestAnnouncedUnloadIsNotSentToTheNextProcess guards against an unload that was decided on for the memory of a process that has
// ended.
func TestAnnouncedUnloadIsNotSentToTheNextProcess(t *testing.T) {
	c, _, _ := lateOrderCore(t, func(c *core, _ *trackedServer, now time.Time) {
		c.pendingUnloads["s"] = pendingUnload{move: Move{Server: "s", Action: engine.ActionUnload, Ref: "a@1"}, noticeSentAt: now}
	})
	if len(c.pendingUnloads) > 0 {
		t.Error("the unload is still pending after the restart")
	}
}
