package confsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/pause"
	"limpethub/internal/store"
	"limpethub/internal/storecall"
)

func (s *memoryStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// TestStoreCallsGrowSlowlyWithTheFleet counts the calls of whole fleets. Only the
// few instances that watch and the seldom reads that make sure call the store.
func TestStoreCallsGrowSlowlyWithTheFleet(t *testing.T) {
	const minutes = 5
	for _, n := range []int{9, 30, 90} {
		synctest.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			s := newMemoryStore()
			_, nodes, cancel := runGroup(t, n, s, &wg)
			defer wg.Wait()
			defer cancel()
			time.Sleep(10 * time.Second)
			before := s.count()
			time.Sleep(minutes * time.Minute)
			quiet := s.count() - before
			// 6 watches that last 20 s, and a read each minute or more per instance.
			if limit := minutes * (6*60/20 + 2*n); quiet > limit {
				t.Errorf("%d instances: %d calls in %d min, want at most %d", n, quiet, minutes, limit)
			}
			before = s.count()
			const changes = 20
			for i := range changes {
				if _, err := nodes[i%n].sync.Apply(t.Context(), uint64(i), fmt.Sprintf("change-%d", i), document(i)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
			}
			wantRevision(t, nodes, changes)
			t.Logf("%d instances: %.2f calls a second in a quiet time, %.1f calls per change",
				n, float64(quiet)/(minutes*60), float64(s.count()-before)/changes-float64(quiet)*3/(minutes*60))
		})
	}
}

// TestTenMinutesWithoutTheStore shows that what is in force stays so, that the
// fleet calls little, and that changes pass again soon after the outage.
func TestTenMinutesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		s := newMemoryStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer wg.Wait()
		defer cancel()
		g, nodes := budgetedGroup(ctx, 9, s, &wg)
		if _, err := nodes[0].sync.Apply(ctx, 0, "first", document(1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		s.setAway(true)
		before := s.count()
		time.Sleep(10 * time.Minute)
		wantRevision(t, nodes, 1)
		calls := s.count() - before
		if limit := 9 * 600; calls > limit {
			t.Errorf("%d calls in the outage, want at most one a second per instance", calls)
		}
		t.Logf("%.2f calls a second during the outage", float64(calls)/600)
		fresh := budgeted(g, 9, s)
		wg.Go(func() { _ = fresh.sync.Run(ctx) })
		time.Sleep(3 * time.Second)
		wantRevision(t, []*node{fresh}, 1)
		s.setAway(false)
		applyCtx, stop := context.WithTimeout(ctx, 15*time.Second)
		defer stop()
		if _, err := nodes[3].sync.Apply(applyCtx, 1, "second", document(2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		wantRevision(t, append(nodes, fresh), 2)
	})
}

// budgetedGroup runs n Syncs, each with a call budget of its own.
func budgetedGroup(ctx context.Context, n int, s store.Store, wg *sync.WaitGroup) (*group, []*node) {
	g := newGroup()
	var nodes []*node
	for i := range n {
		nodes = append(nodes, budgeted(g, i, s))
	}
	for _, n := range nodes {
		wg.Go(func() { _ = n.sync.Run(ctx) })
	}
	wg.Go(func() {
		for pause.For(ctx, 250*time.Millisecond) {
			g.gossip()
		}
	})
	return g, nodes
}

func budgeted(g *group, i int, s store.Store) *node {
	wrapped := storecall.New(storecall.Options{Store: s, Seed: uint64(i)}).For(storecall.PurposeConfig)
	return g.add(fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%3), wrapped)
}
