package residency

import (
	"context"
	"sync"
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

// oneKeyStore is a store with one key.
type oneKeyStore struct {
	store.Store
	mu    sync.Mutex
	entry store.Entry
}

func (s *oneKeyStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry.Revision == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return s.entry, nil
}

func (s *oneKeyStore) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected != s.entry.Revision {
		return 0, store.ErrConflict
	}
	s.entry = store.Entry{Key: key, Value: value, Revision: s.entry.Revision + 1}
	return s.entry.Revision, nil
}

// TestLeasePassesFromAnInstanceThatIsCutOffFromServers guards against a holder that reaches no server and
// keeps the lease, so that nobody can load or unload anything.
func TestLeasePassesFromAnInstanceThatIsCutOffFromServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 3 * time.Second
		shared := &oneKeyStore{}
		var cut [2]atomic.Bool
		var managers [2]*Manager
		ctx, cancel := context.WithCancel(t.Context())
		for n, name := range []string{"a", "b"} {
			var err error
			managers[n], err = New(Options{
				Instance: name, Key: "k", Store: shared,
				Document:       func() *site.Document { return nil },
				KnownServers:   func() []discovery.KnownServer { return nil },
				RequestCounts:  func() (map[modelref.Ref]RequestCounts, map[string]int) { return nil, nil },
				ReachesServers: func() bool { return !cut[n].Load() },
				Lease:          lease.Config{TTL: ttl, Margin: ttl / 6, Jitter: ttl / 10},
				Now:            time.Now, Seed: uint64(n), Logger: logging.Discard().WithField("part", "test"),
			})
			if err != nil {
				t.Fatal(err)
			}
			go managers[n].Run(ctx)
			time.Sleep(ttl)
		}
		if !managers[0].Holding() {
			t.Fatal("the first instance doesn't hold the lease")
		}
		cut[0].Store(true)
		time.Sleep(3 * ttl)
		if managers[0].Holding() || !managers[1].Holding() {
			t.Errorf("%v after the holder was cut off: it holds the lease: %v, the other: %v; want the other", 3*ttl, managers[0].Holding(), managers[1].Holding())
		}
		cut[1].Store(true)
		time.Sleep(4 * ttl)
		if !managers[0].Holding() && !managers[1].Holding() {
			t.Error("nobody holds the lease while all are cut off, want one to hold it")
		}
		cancel()
		time.Sleep(2 * releaseTimeout)
		synctest.Wait()
	})
}
