package placer

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// callTime is the duration of each call to the store or an engine.
const callTime = 3 * time.Millisecond

// testSite implements a Placer's store, engines, configuration and demand in virtual time.
type testSite struct {
	mu        sync.Mutex
	document  *site.Document
	store     *fakeStore
	engines   []*fakeEngine
	storeDown bool
}

func newTestSite(honoursFencing func(int) bool) *testSite {
	doc := testDocument(honoursFencing, roomyMB)
	return &testSite{document: doc, store: newFakeStore(), engines: newFakeEngines(doc)}
}

func (s *testSite) Document() *site.Document { return s.document }

func (s *testSite) Samples() []demand.Sample { return nil }

func (s *testSite) call() (unlock func(), err error) {
	time.Sleep(callTime)
	s.mu.Lock()
	if s.storeDown {
		err = errDown
	}
	return s.mu.Unlock, err
}

func (s *testSite) Get(_ context.Context, key string) (store.Entry, error) {
	unlock, err := s.call()
	defer unlock()
	if err != nil {
		return store.Entry{}, err
	}
	return s.store.get(key)
}

func (s *testSite) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	unlock, err := s.call()
	defer unlock()
	if err != nil {
		return 0, err
	}
	return s.store.compareAndSwap(key, value, expected)
}

func (s *testSite) Delete(context.Context, string, store.Revision) error { return errDown }

func (s *testSite) Watch(context.Context, string, store.Revision, func()) (store.Entry, error) {
	return store.Entry{}, errDown
}

func (s *testSite) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 0, errDown }

func (s *testSite) Renew(context.Context, store.LeaseID) error { return errDown }

func (s *testSite) Revoke(context.Context, store.LeaseID) error { return errDown }

func (s *testSite) engine(name string) *fakeEngine {
	for _, e := range s.engines {
		if e.spec.Name == name {
			return e
		}
	}
	return nil
}

func (s *testSite) Report(context.Context, engine.Server) (engine.Report, error) {
	return engine.Report{MaxBatch: 10, StepMillis: 10}, nil
}

func (s *testSite) Inventory(_ context.Context, server engine.Server) (engine.Inventory, error) {
	unlock, _ := s.call()
	defer unlock()
	return s.engine(server.Name).inventory(time.Now()), nil
}

func (s *testSite) Submit(_ context.Context, server engine.Server, order engine.Order) error {
	unlock, _ := s.call()
	defer unlock()
	return s.engine(server.Name).submit(time.Now(), order)
}

func (s *testSite) setStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
}

func (s *testSite) start(t *testing.T, instance string) (p *Placer, stop func()) {
	t.Helper()
	logger := logging.For(logging.New(io.Discard, logrus.InfoLevel), logging.Placement, instance)
	p, err := New(Options{
		Instance: instance, Site: "test", Cell: testCell,
		Store: s, Engines: s, Documents: s, Demand: s, Logger: logger,
	})
	if err != nil {
		t.Fatalf("New: got %v, want nil", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- p.Run(ctx) }()
	return p, func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Errorf("Run: got %v, want nil", err)
		}
	}
}

// checkCopiesAndMemory checks that each version has a resident copy and that no engine
// holds more than its memory.
func (s *testSite) checkCopiesAndMemory(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.document.Units() {
		if countResident(s.engines, u.Ref) == 0 {
			t.Errorf("%s has no resident copy, want at least 1", u.Ref)
		}
	}
	for _, e := range s.engines {
		if e.usedMB() > e.spec.MemoryMB {
			t.Errorf("%s holds %d MiB, capacity %d MiB", e.spec.Name, e.usedMB(), e.spec.MemoryMB)
		}
	}
}

// TestPlacersConvergeAndHandOver guards against two placers that both act as lease holder,
// against versions without a second copy, and against a stop that leaves the lease to
// expire instead of handing it over.
func TestPlacersConvergeAndHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(func(i int) bool { return i%2 == 0 })
		first, stopFirst := s.start(t, "one")
		time.Sleep(time.Second)
		second, stopSecond := s.start(t, "two")
		time.Sleep(time.Minute)
		s.checkCopiesAndMemory(t)
		holder, other, stopHolder, stopOther := first, second, stopFirst, stopSecond
		if second.Snapshot().Lease.Holding {
			holder, other, stopHolder, stopOther = second, first, stopSecond, stopFirst
		}
		if !holder.Snapshot().Lease.Holding || other.Snapshot().Lease.Holding {
			t.Error("want exactly one placer to hold the lease, got none or both")
		}
		for _, u := range holder.Snapshot().Units {
			if !u.Reachable || len(u.Copies) < 2 {
				t.Errorf("%s: got reachable %v with %d copies, want true with at least 2", u.Ref, u.Reachable, len(u.Copies))
			}
		}
		stopHolder()
		time.Sleep(5 * time.Second)
		if !other.Snapshot().Lease.Holding {
			t.Error("the other placer doesn't hold the lease 5 s after the holder stopped")
		}
		stopOther()
	})
}

// TestPlacementContinuesWithoutStoreOnFencedServers guards against a lease holder that
// can't reach the store and stops replacing copies, although all servers honour fencing:
// two servers lose their copies during the outage, and all versions must be loaded again.
func TestPlacementContinuesWithoutStoreOnFencedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(func(int) bool { return true })
		_, stop := s.start(t, "one")
		time.Sleep(time.Minute)
		s.checkCopiesAndMemory(t)
		s.setStoreDown(true)
		time.Sleep(time.Minute)
		s.mu.Lock()
		for _, e := range s.engines[:2] {
			e.restart()
		}
		s.mu.Unlock()
		time.Sleep(time.Minute)
		s.checkCopiesAndMemory(t)
		if n := countResident(s.engines, "m0@1"); n < 2 {
			t.Errorf("m0@1: got %d copies, want at least 2", n)
		}
		s.setStoreDown(false)
		time.Sleep(time.Minute)
		s.checkCopiesAndMemory(t)
		stop()
	})
}
