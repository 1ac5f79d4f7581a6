package confsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/pause"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// runGroup runs n Syncs over one store in virtual time.
func runGroup(t *testing.T, n int, s store.Store, wg *sync.WaitGroup) (*group, []*node, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	g := newGroup()
	var nodes []*node
	for i := range n {
		nodes = append(nodes, g.add(fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%3), s))
	}
	for _, node := range nodes {
		wg.Go(func() { _ = node.sync.Run(ctx) })
	}
	wg.Go(func() {
		for pause.For(ctx, 250*time.Millisecond) {
			g.gossip()
		}
	})
	return g, nodes, cancel
}

func wantRevision(t *testing.T, nodes []*node, want uint64) {
	t.Helper()
	for _, n := range nodes {
		accepted, ok := n.sync.Current()
		if !ok || accepted.Revision != want {
			t.Errorf("%s: revision %d, ready %v, want revision %d", n.name, accepted.Revision, ok, want)
		}
	}
}

func TestChangeIsInForceEverywhereWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		_, nodes, cancel := runGroup(t, 9, newMemoryStore(), &wg)
		defer wg.Wait()
		defer cancel()
		for i := range 5 {
			accepted, err := nodes[i].sync.Apply(t.Context(), uint64(i), fmt.Sprintf("change-%d", i), documentWithModels(i))
			if err != nil || accepted.Revision != uint64(i+1) {
				t.Fatalf("apply %d: got revision %+v, error %v, want revision base + 1 and no error", i, accepted.Revision, err)
			}
			time.Sleep(3 * time.Second)
			wantRevision(t, nodes, uint64(i+1))
		}
	})
}

func TestRacingChangeGetsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		g := newGroup()
		a, b := g.add("a", "z", s), g.add("b", "z", s)
		if _, err := a.sync.Apply(t.Context(), 0, "first", documentWithModels(1)); err != nil {
			t.Fatal(err)
		}
		_, err := b.sync.Apply(t.Context(), 0, "second", documentWithModels(2))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Current != 1 || conflict.ChangeID != "first" {
			t.Errorf("racing change: got %v, want *ConflictError with change \"first\"", err)
		}
		again, err := b.sync.Apply(t.Context(), 0, "first", documentWithModels(1))
		if err != nil || again.Revision != 1 {
			t.Errorf("same change again: got %+v, %v, want revision 1", again, err)
		}
	})
}

func TestUnclearWriteIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		n := newGroup().add("a", "z", s)
		s.lostAnswers = 1
		accepted, err := n.sync.Apply(t.Context(), 0, "first", documentWithModels(1))
		if err != nil || accepted.Revision != 1 {
			t.Errorf("apply: got %+v, %v, want revision 1", accepted, err)
		}
		// The same for a later change, with a stale read before its write.
		s.lostAnswers, s.staleReads = 1, 1
		accepted, err = n.sync.Apply(t.Context(), 1, "second", documentWithModels(2))
		if err != nil || accepted.Revision != 2 {
			t.Errorf("apply with a stale read: got %+v, %v, want revision 2", accepted, err)
		}
	})
}

func TestApplyInAnOutageReportsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		n := newGroup().add("a", "z", s)
		s.setUnavailable(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := n.sync.Apply(ctx, 0, "first", documentWithModels(1)); !errors.Is(err, ErrNotAccepted) {
			t.Errorf("store unavailable: %v, want ErrNotAccepted", err)
		}
	})
}

func TestUnclearApplyIsResolvedByApplyingAgain(t *testing.T) {
	applier, err := NewApplier(0, "first", documentWithModels(1))
	if err != nil {
		t.Fatal(err)
	}
	applier.Read(store.Entry{}, store.ErrNotFound)
	applier.Written(errFake)
	var unclear *UnclearError
	if err := applier.GiveUp(context.DeadlineExceeded); !errors.As(err, &unclear) {
		t.Fatalf("after a lost answer: %v, want *UnclearError", err)
	}
	later := Stored{}.next("first", documentWithModels(1)).next("second", documentWithModels(2))
	again, err := NewApplier(0, "first", documentWithModels(1))
	if err != nil {
		t.Fatal(err)
	}
	again.UseHeld(later)
	if _, err := again.Result(); again.Step() != StepDone || err != nil {
		t.Errorf("same change again, followed by another one: step %d, error %v, want StepDone without error", again.Step(), err)
	}
}

func TestChangeBeyondRecentListIsUnclear(t *testing.T) {
	applier, err := NewApplier(1, "ours", documentWithModels(1))
	if err != nil {
		t.Fatal(err)
	}
	first := Stored{}.next("first", documentWithModels(0))
	value, err := first.Encode()
	if err != nil {
		t.Fatal(err)
	}
	applier.Read(store.Entry{Value: value, Revision: 5}, nil)
	applier.Written(errFake)
	later := first
	for i := range maxRecentChanges + 5 {
		later = later.next(fmt.Sprintf("later-%d", i), documentWithModels(0))
	}
	applier.evaluate(later, 9)
	var unclear *UnclearError
	if _, err := applier.Result(); !errors.As(err, &unclear) {
		t.Errorf("change no longer in the recent list: %v, want *UnclearError", err)
	}
}

func TestTooLargeIsRefusedAtApply(t *testing.T) {
	large := documentWithModels(0)
	r := rand.New(rand.NewPCG(1, 1))
	for range 60_000 {
		name := fmt.Sprintf("%x%x", r.Uint64(), r.Uint64())
		large.Models = append(large.Models, site.Model{Name: name, Version: name, MemoryMB: 1, Class: "c"})
	}
	n := newGroup().add("a", "z", newMemoryStore())
	_, err := n.sync.Apply(t.Context(), 0, "large", large)
	var tooLarge *TooLargeError
	if !errors.As(err, &tooLarge) || !errors.Is(err, ErrNotAccepted) {
		t.Errorf("large document: %v, want *TooLargeError and ErrNotAccepted", err)
	}
}

func TestLongConfigurationIsCompressed(t *testing.T) {
	stored := Stored{}.next("change", documentWithModels(5000))
	value, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > maxUncompressedBytes {
		t.Errorf("5,000 models take %d bytes, want at most 65536 (maxUncompressedBytes)", len(value))
	}
	decoded, err := Decode(value)
	if err != nil || len(decoded.Accepted.Document.Models) != 5000 {
		t.Errorf("round trip: %d models, error %v, want 5000", len(decoded.Accepted.Document.Models), err)
	}
}

func TestNewInstanceStartsFromPeersInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		s := newMemoryStore()
		g, nodes, cancel := runGroup(t, 5, s, &wg)
		defer wg.Wait()
		defer cancel()
		if _, err := nodes[0].sync.Apply(t.Context(), 0, "first", documentWithModels(1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		s.setUnavailable(true)
		newNode := g.add("entry-9", "zone-0", s)
		if _, ok := newNode.sync.Current(); ok {
			t.Error("a new instance reports a configuration before it has one")
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		changes := newNode.sync.Subscribe()
		wg.Go(func() { _ = newNode.sync.Run(ctx) })
		time.Sleep(3 * time.Second)
		wantRevision(t, []*node{newNode}, 1)
		if got := <-changes; got.Revision != 1 {
			t.Errorf("subscriber got revision %d, want 1", got.Revision)
		}
	})
}

func TestRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		g := newGroup()
		a, b := g.add("a", "z", s), g.add("b", "z", s)
		if _, err := b.sync.Apply(t.Context(), 0, "first", documentWithModels(1)); err != nil {
			t.Fatal(err)
		}
		got := a.sync.Revisions(t.Context())
		if len(got) != 2 || got[0].Revision != 0 || got[1].Revision != 1 {
			t.Errorf("Revisions = %+v, want revision 0 of a and 1 of b", got)
		}
	})
}

// TestChangeIsInForceAfterRevisionsOfTheStoreWentBack guards against an instance that waits for a
// revision of the store above the highest that it has seen, while the store, which has lost
// writes, counts again from a lower one.
func TestChangeIsInForceAfterRevisionsOfTheStoreWentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		s := newMemoryStore()
		_, nodes, cancel := runGroup(t, 3, s, &wg)
		defer wg.Wait()
		defer cancel()
		for revision := uint64(1); revision <= 5; revision++ {
			writeRevision(t, s, revision)
		}
		time.Sleep(3 * time.Second)
		wantRevision(t, nodes, 5)
		s.mu.Lock()
		s.entry.Revision = 10
		s.mu.Unlock()
		for revision := uint64(6); revision <= 7; revision++ {
			writeRevision(t, s, revision)
			time.Sleep(3 * time.Second)
			wantRevision(t, nodes, revision)
		}
		before := s.callCount()
		time.Sleep(watchTimeout)
		// Each instance ends one watch, and may read once to make sure.
		if calls := s.callCount() - before; calls > 2*len(nodes) {
			t.Errorf("%d calls of the store by %d instances in %v without a change, want at most two each", calls, len(nodes), watchTimeout)
		}
	})
}
