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

func (s *memoryStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// TestStoreCallsGrowSlowlyWithTheFleet guards against store calls that grow with the fleet by
// more than the verifying reads: only the few chosen watchers and these periodic reads may call
// the store, 18 times a minute and twice a minute per instance.
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
			before := s.callCount()
			time.Sleep(minutes * time.Minute)
			idleCalls := s.callCount() - before
			// 6 watches of 20 s each, and two reads per instance a minute: jitter shortens their
			// mean period of a minute or more to half at most.
			if limit := minutes * (6*60/20 + 2*n); idleCalls > limit {
				t.Errorf("%d instances: %d calls in %d min, want at most %d", n, idleCalls, minutes, limit)
			}
			before = s.callCount()
			const changes = 20
			for i := range changes {
				if _, err := nodes[i%n].sync.Apply(t.Context(), uint64(i), fmt.Sprintf("change-%d", i), documentWithModels(i)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
			}
			wantRevision(t, nodes, changes)
			t.Logf("%d instances: %.2f calls a second while idle, %.1f calls per change",
				n, float64(idleCalls)/(minutes*60), float64(s.callCount()-before)/changes-float64(idleCalls)*3/(minutes*60))
		})
	}
}

// TestStoreOutageOfTenMinutes guards against an outage of the store that affects the
// configuration in force, makes the fleet call the store often, or delays changes after its
// end. A new instance must start from its peers during the outage.
func TestStoreOutageOfTenMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		s := newMemoryStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer wg.Wait()
		defer cancel()
		g, nodes := runBudgetedGroup(ctx, 9, s, &wg)
		if _, err := nodes[0].sync.Apply(ctx, 0, "first", documentWithModels(1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		s.setUnavailable(true)
		before := s.callCount()
		time.Sleep(10 * time.Minute)
		wantRevision(t, nodes, 1)
		calls := s.callCount() - before
		if limit := 9 * 600; calls > limit {
			t.Errorf("%d calls during the outage, want at most one a second per instance", calls)
		}
		t.Logf("%.2f calls a second during the outage", float64(calls)/600)
		newNode := addBudgetedNode(g, 9, s)
		wg.Go(func() { _ = newNode.sync.Run(ctx) })
		time.Sleep(3 * time.Second)
		wantRevision(t, []*node{newNode}, 1)
		s.setUnavailable(false)
		applyCtx, stop := context.WithTimeout(ctx, 15*time.Second)
		defer stop()
		if _, err := nodes[3].sync.Apply(applyCtx, 1, "second", documentWithModels(2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		wantRevision(t, append(nodes, newNode), 2)
	})
}

// runBudgetedGroup runs n Syncs, each with its own budget of store calls.
func runBudgetedGroup(ctx context.Context, n int, s store.Store, wg *sync.WaitGroup) (*group, []*node) {
	g := newGroup()
	var nodes []*node
	for i := range n {
		nodes = append(nodes, addBudgetedNode(g, i, s))
	}
	for _, node := range nodes {
		wg.Go(func() { _ = node.sync.Run(ctx) })
	}
	wg.Go(func() {
		for pause.For(ctx, 250*time.Millisecond) {
			g.gossip()
		}
	})
	return g, nodes
}

func addBudgetedNode(g *group, i int, s store.Store) *node {
	wrapped := storecall.New(storecall.Options{Store: s, Seed: uint64(i)}).For(storecall.PurposeConfig)
	return g.add(fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%3), wrapped)
}
