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

// callTime is how long each call of the test site takes.
const callTime = 3 * time.Millisecond

// testSite is a site in virtual time, for the shell.
type testSite struct {
	mu       sync.Mutex
	document *site.Document
	keys     *fakeKeys
	engines  []*fakeEngine
	away     bool
}

func newTestSite(honours func(int) bool) *testSite {
	doc := testDocument(honours, roomyMB)
	return &testSite{document: doc, keys: newFakeKeys(), engines: newFakeEngines(doc)}
}

func (s *testSite) Document() *site.Document { return s.document }

func (s *testSite) Samples() []demand.Sample { return nil }

func (s *testSite) call() (unlock func(), err error) {
	time.Sleep(callTime)
	s.mu.Lock()
	if s.away {
		err = errAway
	}
	return s.mu.Unlock, err
}

func (s *testSite) Get(_ context.Context, key string) (store.Entry, error) {
	unlock, err := s.call()
	defer unlock()
	if err != nil {
		return store.Entry{}, err
	}
	return s.keys.get(key)
}

func (s *testSite) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	unlock, err := s.call()
	defer unlock()
	if err != nil {
		return 0, err
	}
	return s.keys.swap(key, value, expected)
}

func (s *testSite) Delete(context.Context, string, store.Revision) error { return errAway }

func (s *testSite) Watch(context.Context, string, store.Revision) (store.Entry, error) {
	return store.Entry{}, errAway
}

func (s *testSite) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 0, errAway }

func (s *testSite) Renew(context.Context, store.LeaseID) error { return errAway }

func (s *testSite) Revoke(context.Context, store.LeaseID) error { return errAway }

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
	return s.engine(server.Name).obey(time.Now(), order)
}

func (s *testSite) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *testSite) start(t *testing.T, instance string) (p *Placer, stop func()) {
	t.Helper()
	logger := logging.For(logging.New(io.Discard, logrus.InfoLevel), logging.Placement, instance)
	p, err := New(Options{
		Instance: instance, Site: "test", Cell: testCell,
		Store: s, Engines: s, Documents: s, Demand: s, Logger: logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	return p, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func (s *testSite) requireReachable(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.document.Units() {
		if copies(s.engines, u.Ref) == 0 {
			t.Errorf("%s has no resident copy", u.Ref)
		}
	}
	for _, e := range s.engines {
		if e.used() > e.spec.MemoryMB {
			t.Errorf("%s holds %d of %d MiB", e.spec.Name, e.used(), e.spec.MemoryMB)
		}
	}
}

func TestPlacersConvergeAndHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(func(i int) bool { return i%2 == 0 })
		first, stopFirst := s.start(t, "one")
		time.Sleep(time.Second)
		second, stopSecond := s.start(t, "two")
		time.Sleep(time.Minute)
		s.requireReachable(t)
		holder, other, stopHolder, stopOther := first, second, stopFirst, stopSecond
		if second.Snapshot().Lease.Holding {
			holder, other, stopHolder, stopOther = second, first, stopSecond, stopFirst
		}
		if !holder.Snapshot().Lease.Holding || other.Snapshot().Lease.Holding {
			t.Error("not exactly one placer holds the lease")
		}
		for _, u := range holder.Snapshot().Units {
			if !u.Reachable || len(u.Copies) < 2 {
				t.Errorf("%s is reachable: %v, copies: %d", u.Ref, u.Reachable, len(u.Copies))
			}
		}
		stopHolder()
		time.Sleep(5 * time.Second)
		if !other.Snapshot().Lease.Holding {
			t.Error("the lease wasn't handed over")
		}
		stopOther()
	})
}

func TestMovesGoOnWithoutStoreWhereFencingIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(func(int) bool { return true })
		_, stop := s.start(t, "one")
		time.Sleep(time.Minute)
		s.requireReachable(t)
		s.setAway(true)
		time.Sleep(time.Minute)
		s.mu.Lock()
		for _, e := range s.engines[:2] {
			e.restart()
		}
		s.mu.Unlock()
		time.Sleep(time.Minute)
		s.requireReachable(t)
		if n := copies(s.engines, "m0@1"); n < 2 {
			t.Errorf("m0@1 has %d copies", n)
		}
		s.setAway(false)
		time.Sleep(time.Minute)
		s.requireReachable(t)
		stop()
	})
}
