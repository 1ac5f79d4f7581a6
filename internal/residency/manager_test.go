package residency

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/discovery"
	"limpethub/internal/lease"
	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// emptyStore has no keys and refuses every write.
type emptyStore struct{ store.Store }

func (emptyStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrNotFound
}

func (emptyStore) CompareAndSwap(context.Context, string, []byte, store.Revision, store.LeaseID) (store.Revision, error) {
	return 0, store.ErrConflict
}

// TestContinuousEventsDoNotOccupyAllProcessorTime guards against steps that follow each other
// without a pause. On a small instance a step takes long, and a continuous stream of events
// would then leave no processor time for the rest of the instance.
func TestContinuousEventsDoNotOccupyAllProcessorTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stepTime = 5 * time.Millisecond
		var busyNanos atomic.Int64
		m, err := New(Options{
			Instance: "i", Key: "k", Store: emptyStore{},
			Document:     func() *site.Document { return nil },
			KnownServers: func() []discovery.KnownServer { return nil },
			RequestCounts: func() (map[modelref.Ref]RequestCounts, map[string]int) {
				time.Sleep(stepTime)
				busyNanos.Add(int64(stepTime))
				return nil, nil
			},
			Lease: lease.Config{TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Jitter: 300 * time.Millisecond},
			Now:   time.Now, Logger: logging.Discard().WithField("part", "test"),
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		const length = 2 * time.Second
		for range int(length / time.Millisecond) {
			m.Wake()
			time.Sleep(time.Millisecond)
		}
		cancel()
		synctest.Wait()
		if took, most := time.Duration(busyNanos.Load()), length/4; took > most {
			t.Errorf("steps took %v of %v, want at most %v", took, length, most)
		}
		time.Sleep(2 * releaseTimeout)
		synctest.Wait()
	})
}

// TestTimesOfServersAreOfTheManagersClock: the manager's clock counts from the start of the
// machine, so that a server's times of the usual clock would always be far ahead.
func TestTimesOfServersAreOfTheManagersClock(t *testing.T) {
	usual, own := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), time.Unix(5000, 0)
	servers := []discovery.KnownServer{
		{LastAnnouncedAt: usual.Add(-time.Second), PausedUntil: usual.Add(2 * time.Second)},
		{LastAnnouncedAt: usual},
	}
	convertTimes(servers, usual, own)
	if s := servers[0]; !s.LastAnnouncedAt.Equal(own.Add(-time.Second)) || !s.Paused(own.Add(time.Second)) || s.Paused(own.Add(2*time.Second)) {
		t.Errorf("got %+v, want announced a second before %v and paused for two seconds", s, own)
	}
	if servers[1].Paused(own) {
		t.Error("a server without a pause counts as paused")
	}
}

// TestPausedServerGetsNoOrder: neither an order nor a read of its state goes to a server that
// wants nothing from this instance.
func TestPausedServerGetsNoOrder(t *testing.T) {
	now := time.Unix(5000, 0)
	c := newCore("i", lease.New(lease.Config{}, nil), 0)
	srv := newTrackedServer(discovery.KnownServer{Server: discovery.Server{ID: "a"}})
	srv.stateKnown = true
	srv.server.PausedUntil = now.Add(time.Second)
	c.stepServer(now, srv)
	if srv.acceptsOrders(now) || len(c.effects) > 0 {
		t.Errorf("during the pause: accepts orders %v, calls %v, want neither", srv.acceptsOrders(now), c.effects)
	}
	now = now.Add(time.Second)
	if !srv.acceptsOrders(now) {
		t.Error("after the pause: accepts no orders")
	}
	if c.stepServer(now, srv); len(c.effects) != 1 {
		t.Errorf("after the pause: %d calls, want a read of the state", len(c.effects))
	}
}
