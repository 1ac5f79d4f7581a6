package fleet

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// TestChangeReachesLargeFleetWhileStoreRejectsWatchers guards against a change that doesn't come
// into force on instances which reach the store, because it rejects all those that watch it; and
// against so many others taking their place that the store is flooded.
func TestChangeReachesLargeFleetWhileStoreRejectsWatchers(t *testing.T) {
	t.Parallel()
	const (
		bound          = 3 * time.Second // From a change to its being in force with this many instances.
		callsPerSecond = 200             // Of the whole fleet, with every instance that takes over.
	)
	for _, n := range []int{68, 295} {
		w := newJoinedWorld(n, 3)
		w.advance(joinSettleTime)
		w.applyAnywhere()
		w.advance(joinSettleTime)
		w.store.rejected = map[string]bool{}
		for _, i := range w.instances {
			if i.fetchPlanner.Watching() {
				w.store.rejected[i.id.Name] = true
			}
		}
		if len(w.store.rejected) != 6 {
			t.Fatalf("%d of %d instances watch the store, want 2 in each of 3 failure domains", len(w.store.rejected), n)
		}
		w.advance(100 * time.Millisecond)
		for change := range 3 {
			calls := w.store.calls
			w.applyAnywhere()
			w.advance(bound)
			latest := w.oracle.latestAvailable()
			behind := 0
			for _, i := range w.instances {
				if !w.store.rejected[i.id.Name] && i.held.Accepted.Revision < latest {
					behind++
				}
			}
			if behind > 0 {
				t.Errorf("%d instances, change %d: %d that reach the store are behind after %v", n, change+1, behind, bound)
			}
			w.advance(10 * time.Second)
			if calls = w.store.calls - calls; calls > 13*callsPerSecond {
				t.Errorf("%d instances: %d calls of the store in 13 s, want at most %d a second", n, calls, callsPerSecond)
			}
		}
		watching := 0
		for _, i := range w.instances {
			if i.fetchPlanner.Watching() {
				watching++
			}
		}
		t.Logf("%d instances: %d watch the store", n, watching)
	}
}

// applyAnywhere writes the next configuration as an operator does that uses no instance.
func (w *world) applyAnywhere() {
	w.changes++
	entry, base := store.Entry{}, uint64(0)
	if latest := w.store.latest(); latest != nil {
		entry, base = store.Entry{Value: latest.value, Revision: store.Revision(latest.revision)}, latest.stored.Accepted.Revision
	}
	applier, err := confsync.NewApplier(base, fmt.Sprintf("change-%d", w.changes), site.Document{RequireKeys: w.keys})
	if err != nil {
		panic(err)
	}
	if entry.Revision == 0 {
		applier.Read(entry, store.ErrNotFound)
	} else {
		applier.Read(entry, nil)
	}
	value, expected := applier.Write()
	next, err := confsync.Decode(value)
	if err != nil {
		panic(err)
	}
	if err := w.store.write(next, value, int(expected)); err != nil {
		w.oracle.addFault("the operator's write failed: %v", err)
	}
}
