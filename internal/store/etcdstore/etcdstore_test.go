package etcdstore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/kvstore"
	"limpethub/internal/store"
	"limpethub/internal/store/etcdstore"
)

func newStore(t *testing.T, o kvstore.Options) (*kvstore.Service, *etcdstore.Store) {
	t.Helper()
	service := kvstore.New(o)
	host, err := standin.Listen(service.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	s, err := etcdstore.New(etcdstore.Options{Endpoints: []string{host.Address()}})
	if err != nil {
		t.Fatal(err)
	}
	return service, s
}

func TestCompareAndSwap(t *testing.T) {
	_, s := newStore(t, kvstore.Options{})
	ctx := context.Background()
	if _, err := s.Get(ctx, "k"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get of an absent key: got %v, want ErrNotFound", err)
	}
	first, err := s.CompareAndSwap(ctx, "k", []byte{0, 255}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("x"), 0, 0); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("creation of an existing key: got %v, want ErrConflict", err)
	}
	entry, err := s.Get(ctx, "k")
	if err != nil || entry.Revision != first || string(entry.Value) != "\x00\xff" {
		t.Fatalf("got entry %+v and error %v, want the bytes 0 and 255 and the revision of the first write", entry, err)
	}
	if err := s.Delete(ctx, "k", first); err != nil {
		t.Fatal(err)
	}
	if err := s.Delete(ctx, "k", first); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("second delete: got %v, want ErrConflict", err)
	}
}

// TestWatchReturnsNextChange checks that a watch from revision 0 returns the current
// entry, that a later one ignores writes of other keys, and that deletion ends a watch.
func TestWatchReturnsNextChange(t *testing.T) {
	_, s := newStore(t, kvstore.Options{})
	ctx := context.Background()
	first, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := s.Watch(ctx, "k", 0, func() {})
	if err != nil || entry.Revision != first {
		t.Fatalf("watch from revision 0: got %+v and error %v, want the entry of the first write", entry, err)
	}
	got := make(chan store.Entry, 1)
	go func() {
		entry, err := s.Watch(ctx, "k", first, func() {})
		if err != nil {
			t.Error(err)
		}
		got <- entry
	}()
	if _, err := s.CompareAndSwap(ctx, "other", []byte("x"), 0, 0); err != nil {
		t.Fatal(err)
	}
	second, err := s.CompareAndSwap(ctx, "k", []byte("2"), first, 0)
	if err != nil {
		t.Fatal(err)
	}
	if entry := <-got; entry.Revision != second || string(entry.Value) != "2" {
		t.Fatalf("watch: got %+v, want revision %d", entry, second)
	}
	if err := s.Delete(ctx, "k", second); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Watch(ctx, "k", second, func() {}); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("watch of a deleted key: got %v, want ErrNotFound", err)
	}
}

// TestWatchReportsProgress guards against a watch that doesn't say that the service has accepted
// it: callers take that as word that nothing has changed so far.
func TestWatchReportsProgress(t *testing.T) {
	_, s := newStore(t, kvstore.Options{})
	first, err := s.CompareAndSwap(t.Context(), "k", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := s.Watch(ctx, "k", first, cancel); !errors.Is(err, context.Canceled) {
		t.Errorf("a watch whose first progress ends it: got error %v, want context canceled", err)
	}
}

// TestWatchSurvivesCompaction watches from a revision whose history etcd has discarded:
// the key is written more often than the stand-in keeps events (4096). Without a fresh
// read, such a watch fails or misses the current value.
func TestWatchSurvivesCompaction(t *testing.T) {
	_, s := newStore(t, kvstore.Options{})
	ctx := context.Background()
	revision, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	first := revision
	for range 4200 {
		if revision, err = s.CompareAndSwap(ctx, "k", []byte("2"), revision, 0); err != nil {
			t.Fatal(err)
		}
	}
	entry, err := s.Watch(ctx, "k", first, func() {})
	if err != nil || entry.Revision != revision {
		t.Fatalf("got entry %+v and error %v, want revision %d", entry, err, revision)
	}
}

func TestLeaseRemovesKeys(t *testing.T) {
	service, s := newStore(t, kvstore.Options{})
	ctx := context.Background()
	lease, err := s.Grant(ctx, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, lease); err != nil {
		t.Fatal(err)
	}
	if err := s.Renew(ctx, lease); err != nil {
		t.Fatal(err)
	}
	service.ExpireLeases()
	if _, err := s.Get(ctx, "k"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("key of an expired lease: got %v, want ErrNotFound", err)
	}
	if err := s.Renew(ctx, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("renewal of an expired lease: got %v, want ErrLeaseLost", err)
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("write with an expired lease: got %v, want ErrLeaseLost", err)
	}
	if err := s.Revoke(ctx, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("revocation of an expired lease: got %v, want ErrLeaseLost", err)
	}
}

// TestLostAnswerIsUnclear checks that a write whose answer is lost gives none of
// ErrConflict, ErrThrottled and ErrNotFound, which would mean that it took no effect, and
// that it isn't sent again.
func TestLostAnswerIsUnclear(t *testing.T) {
	service, s := newStore(t, kvstore.Options{})
	service.SetFaults(kvstore.Faults{LoseAnswers: true})
	_, err := s.CompareAndSwap(context.Background(), "k", []byte("1"), 0, 0)
	refused := errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrThrottled) || errors.Is(err, store.ErrNotFound)
	if err == nil || refused {
		t.Fatalf("write with a lost answer: got %v, want an unclear error", err)
	}
	if _, ok := service.Value("k"); !ok {
		t.Fatal("the write did not take effect")
	}
	if writes := service.Stats().Writes; writes != 1 {
		t.Fatalf("got %d writes at the service, want 1", writes)
	}
}

// TestThrottlingAndOutageErrors checks that a call beyond etcd's rate limit gives
// ErrThrottled and takes no effect, and that an outage isn't mistaken for an absent key.
func TestThrottlingAndOutageErrors(t *testing.T) {
	service, s := newStore(t, kvstore.Options{WritesPerSecond: 0.001})
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, "l", []byte("1"), 0, 0); !errors.Is(err, store.ErrThrottled) {
		t.Fatalf("write beyond the rate: got %v, want ErrThrottled", err)
	}
	if _, ok := service.Value("l"); ok {
		t.Fatal("a throttled write took effect")
	}
	service.SetFaults(kvstore.Faults{Down: true})
	if _, err := s.Get(ctx, "k"); err == nil || errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get in an outage: got %v, want an error other than ErrNotFound", err)
	}
	if got := service.Stats().Received; got != 3 {
		t.Fatalf("got %d calls at the service, want 3, the throttled one included", got)
	}
}
