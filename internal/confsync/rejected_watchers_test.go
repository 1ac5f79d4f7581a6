package confsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/pause"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// progressInterval is how often a pollingStore says that nothing has changed.
const progressInterval = time.Second

// pollingStore is one instance's access to a memoryStore. It answers a watch at least once per
// progressInterval, and can reject the instance.
type pollingStore struct {
	*memoryStore
	rejecting atomic.Bool
}

func (s *pollingStore) ProgressInterval() time.Duration { return progressInterval }

func (s *pollingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.rejecting.Load() {
		return store.Entry{}, store.ErrThrottled
	}
	return s.memoryStore.Get(ctx, key)
}

func (s *pollingStore) Watch(ctx context.Context, key string, after store.Revision, progress func()) (store.Entry, error) {
	for ctx.Err() == nil {
		if s.rejecting.Load() {
			return store.Entry{}, store.ErrThrottled
		}
		waitCtx, cancel := context.WithTimeout(ctx, progressInterval)
		entry, err := s.memoryStore.Watch(waitCtx, key, after, progress)
		cancel()
		if err == nil || waitCtx.Err() == nil {
			return entry, err
		}
	}
	return store.Entry{}, ctx.Err()
}

// TestChangeReachesOthersWhileStoreRejectsWatchers guards against a change that doesn't come into
// force on instances which reach the store, because it rejects all those that watch it.
func TestChangeReachesOthersWhileStoreRejectsWatchers(t *testing.T) {
	const bound = 2 * time.Second
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second, 30 * time.Second} {
		t.Run(fmt.Sprint("change after ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				operator := newMemoryStore()
				writeRevision(t, operator, 1)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer cancel()
				g := newGroup()
				stores := map[*node]*pollingStore{}
				for i := range 9 {
					s := &pollingStore{memoryStore: operator}
					stores[g.add(fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%3), s)] = s
				}
				for n := range stores {
					wg.Go(func() { _ = n.sync.Run(ctx) })
				}
				wg.Go(func() {
					for pause.For(ctx, 250*time.Millisecond) {
						g.gossip()
					}
				})
				time.Sleep(10 * time.Second)
				var reaching []*node
				for n, s := range stores {
					if n.sync.watching() {
						s.rejecting.Store(true)
						continue
					}
					reaching = append(reaching, n)
				}
				if len(reaching) == 0 || len(reaching) == len(stores) {
					t.Fatalf("%d of %d instances don't watch, want some", len(reaching), len(stores))
				}
				time.Sleep(delay)
				for revision := uint64(2); revision <= 4; revision++ {
					writeRevision(t, operator, revision)
					time.Sleep(bound)
					wantRevision(t, reaching, revision)
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// writeRevision writes a configuration as an operator does that uses no instance.
func writeRevision(t *testing.T, s *memoryStore, revision uint64) {
	t.Helper()
	stored := Stored{Accepted: site.Accepted{Revision: revision, ChangeID: fmt.Sprint(revision), Document: documentWithModels(1)}}
	value, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	current := s.entry.Revision
	s.mu.Unlock()
	if _, err := s.CompareAndSwap(t.Context(), "key", value, current, 0); err != nil {
		t.Fatal(err)
	}
}
