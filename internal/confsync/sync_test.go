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
			t.Errorf("%s: revision %d (%v), want %d", n.name, accepted.Revision, ok, want)
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
			accepted, err := nodes[i].sync.Apply(t.Context(), uint64(i), fmt.Sprintf("change-%d", i), document(i))
			if err != nil || accepted.Revision != uint64(i+1) {
				t.Fatalf("apply %d: %+v, %v", i, accepted.Revision, err)
			}
			time.Sleep(3 * time.Second)
			wantRevision(t, nodes, uint64(i+1))
		}
	})
}

func TestRacingOperatorsGetAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		g := newGroup()
		a, b := g.add("a", "z", s), g.add("b", "z", s)
		if _, err := a.sync.Apply(t.Context(), 0, "first", document(1)); err != nil {
			t.Fatal(err)
		}
		_, err := b.sync.Apply(t.Context(), 0, "second", document(2))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Current != 1 || conflict.ChangeID != "first" {
			t.Errorf("the racing change: %v", err)
		}
		again, err := b.sync.Apply(t.Context(), 0, "first", document(1))
		if err != nil || again.Revision != 1 {
			t.Errorf("the same change again: %+v, %v", again, err)
		}
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		n := newGroup().add("a", "z", s)
		s.loseAnswer = 1
		accepted, err := n.sync.Apply(t.Context(), 0, "first", document(1))
		if err != nil || accepted.Revision != 1 {
			t.Errorf("apply: %+v, %v", accepted, err)
		}
		// Also when another change followed and the next read is stale.
		s.loseAnswer, s.stale = 1, 1
		accepted, err = n.sync.Apply(t.Context(), 1, "second", document(2))
		if err != nil || accepted.Revision != 2 {
			t.Errorf("apply under a stale read: %+v, %v", accepted, err)
		}
	})
}

func TestApplyInAnOutageSaysWhatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		n := newGroup().add("a", "z", s)
		s.setAway(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := n.sync.Apply(ctx, 0, "first", document(1)); !errors.Is(err, ErrNotAccepted) {
			t.Errorf("nothing could be written: %v, want ErrNotAccepted", err)
		}
	})
}

func TestUnclearApplyIsResolvedByApplyingAgain(t *testing.T) {
	applier, err := NewApplier(0, "first", document(1))
	if err != nil {
		t.Fatal(err)
	}
	applier.Read(store.Entry{}, store.ErrNotFound)
	applier.Written(errAway)
	var unclear *UnclearError
	if err := applier.GiveUp(context.DeadlineExceeded); !errors.As(err, &unclear) {
		t.Fatalf("after a lost answer: %v, want *UnclearError", err)
	}
	later := Stored{}.next("first", document(1)).next("second", document(2))
	again, err := NewApplier(0, "first", document(1))
	if err != nil {
		t.Fatal(err)
	}
	again.Known(later)
	if _, err := again.Result(); again.Step() != StepDone || err != nil {
		t.Errorf("the same change again, under a later one: step %d, %v", again.Step(), err)
	}
}

func TestForgottenChangeIsUnclear(t *testing.T) {
	applier, err := NewApplier(1, "ours", document(1))
	if err != nil {
		t.Fatal(err)
	}
	first := Stored{}.next("first", document(0))
	value, err := first.Encode()
	if err != nil {
		t.Fatal(err)
	}
	applier.Read(store.Entry{Value: value, Revision: 5}, nil)
	applier.Written(errAway)
	later := first
	for i := range maxRecent + 5 {
		later = later.next(fmt.Sprintf("later-%d", i), document(0))
	}
	applier.judge(later, 9)
	var unclear *UnclearError
	if _, err := applier.Result(); !errors.As(err, &unclear) {
		t.Errorf("a change beyond memory: %v, want *UnclearError", err)
	}
}

func TestTooLargeIsRefusedAtApply(t *testing.T) {
	large := document(0)
	r := rand.New(rand.NewPCG(1, 1))
	for range 60_000 {
		name := fmt.Sprintf("%x%x", r.Uint64(), r.Uint64())
		large.Models = append(large.Models, site.Model{Name: name, Version: name, MemoryMB: 1, Class: "c"})
	}
	n := newGroup().add("a", "z", newMemoryStore())
	_, err := n.sync.Apply(t.Context(), 0, "large", large)
	var tooLarge *TooLargeError
	if !errors.As(err, &tooLarge) || !errors.Is(err, ErrNotAccepted) {
		t.Errorf("large document: %v", err)
	}
}

func TestLongConfigurationIsCompressed(t *testing.T) {
	stored := Stored{}.next("change", document(5000))
	value, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > plainBytes {
		t.Errorf("5,000 models take %d bytes", len(value))
	}
	back, err := Decode(value)
	if err != nil || len(back.Accepted.Document.Models) != 5000 {
		t.Errorf("round trip: %d models, %v", len(back.Accepted.Document.Models), err)
	}
}

func TestNewInstanceStartsFromPeersInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		s := newMemoryStore()
		g, nodes, cancel := runGroup(t, 5, s, &wg)
		defer wg.Wait()
		defer cancel()
		if _, err := nodes[0].sync.Apply(t.Context(), 0, "first", document(1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		s.setAway(true)
		fresh := g.add("entry-9", "zone-0", s)
		if _, ok := fresh.sync.Current(); ok {
			t.Error("a new instance serves before it has a configuration")
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		changes := fresh.sync.Subscribe()
		wg.Go(func() { _ = fresh.sync.Run(ctx) })
		time.Sleep(3 * time.Second)
		wantRevision(t, []*node{fresh}, 1)
		if got := <-changes; got.Revision != 1 {
			t.Errorf("subscriber got revision %d", got.Revision)
		}
	})
}

func TestRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		g := newGroup()
		a, b := g.add("a", "z", s), g.add("b", "z", s)
		if _, err := b.sync.Apply(t.Context(), 0, "first", document(1)); err != nil {
			t.Fatal(err)
		}
		got := a.sync.Revisions(t.Context())
		if len(got) != 2 || got[0].Revision != 0 || got[1].Revision != 1 {
			t.Errorf("Revisions = %+v", got)
		}
	})
}
