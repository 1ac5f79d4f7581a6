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
		t.Fatalf("absent key: %v", err)
	}
	first, err := s.CompareAndSwap(ctx, "k", []byte{0, 255}, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("x"), 0, 0); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("second creation: %v", err)
	}
	entry, err := s.Get(ctx, "k")
	if err != nil || entry.Revision != first || string(entry.Value) != "\x00\xff" {
		t.Fatalf("entry %+v, %v", entry, err)
	}
	if err := s.Delete(ctx, "k", first); err != nil {
		t.Fatal(err)
	}
	if err := s.Delete(ctx, "k", first); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("second delete: %v", err)
	}
}

func TestWatchReturnsNextChange(t *testing.T) {
	_, s := newStore(t, kvstore.Options{})
	ctx := context.Background()
	first, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := s.Watch(ctx, "k", 0)
	if err != nil || entry.Revision != first {
		t.Fatalf("watch from nothing: %+v, %v", entry, err)
	}
	got := make(chan store.Entry, 1)
	go func() {
		entry, err := s.Watch(ctx, "k", first)
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
		t.Fatalf("watch: %+v, want revision %d", entry, second)
	}
	if err := s.Delete(ctx, "k", second); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Watch(ctx, "k", second); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("watch of a deleted key: %v", err)
	}
}

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
	entry, err := s.Watch(ctx, "k", first)
	if err != nil || entry.Revision != revision {
		t.Fatalf("entry %+v, %v, want revision %d", entry, err, revision)
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
		t.Fatalf("key of an ended lease: %v", err)
	}
	if err := s.Renew(ctx, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("renew of an ended lease: %v", err)
	}
	if _, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("write with an ended lease: %v", err)
	}
	if err := s.Revoke(ctx, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Fatalf("revoke of an ended lease: %v", err)
	}
}

func TestLostAnswerIsUnclear(t *testing.T) {
	service, s := newStore(t, kvstore.Options{})
	service.SetFaults(kvstore.Faults{LoseAnswers: true})
	_, err := s.CompareAndSwap(context.Background(), "k", []byte("1"), 0, 0)
	known := errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrThrottled) || errors.Is(err, store.ErrNotFound)
	if err == nil || known {
		t.Fatalf("lost answer: %v", err)
	}
	if _, ok := service.Value("k"); !ok {
		t.Fatal("the write didn't take effect")
	}
	if writes := service.Stats().Writes; writes != 1 {
		t.Fatalf("%d writes reached the service, want 1", writes)
	}
}

func TestRatesThrottle(t *testing.T) {
	service, s := newStore(t, kvstore.Options{WritesPerSecond: 0.001})
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, "l", []byte("1"), 0, 0); !errors.Is(err, store.ErrThrottled) {
		t.Fatalf("beyond the rate: %v", err)
	}
	if _, ok := service.Value("l"); ok {
		t.Fatal("a throttled write took effect")
	}
	service.SetFaults(kvstore.Faults{Down: true})
	if _, err := s.Get(ctx, "k"); err == nil || errors.Is(err, store.ErrNotFound) {
		t.Fatalf("outage: %v", err)
	}
	if got := service.Stats().Received; got != 3 {
		t.Fatalf("%d calls counted, want 3: refused ones count, too", got)
	}
}
