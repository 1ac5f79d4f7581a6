package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"limpethub/internal/lab/entry"
	"limpethub/internal/lab/standin/kvstore"
	"limpethub/internal/operatorapi"
	"limpethub/internal/site"
)

var storeDown = kvstore.Faults{Down: true}

func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// TestPlannedStopCutsNothing stops an instance while streams run on it and callers
// that kept an old answer still come.
func TestPlannedStopCutsNothing(t *testing.T) {
	const tokens = 150
	r := newRig(t)
	instances := r.startThree()
	var answers []<-chan reply
	ask := func(i int) {
		id := fmt.Sprintf("stop-%d", i)
		answers = append(answers, async(func() reply { return r.stream(instances[0], id, "alpha", tokens) }))
		r.eventually("the stream runs", func() bool { return r.runs(id) == 1 })
	}
	for i := range 4 {
		ask(i)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- instances[0].Drain(context.Background()) }()
	r.eventually("the other instances send callers elsewhere", func() bool { return len(r.entries(instances[1])) == 2 })
	ask(4) // A caller that kept an old answer.
	for i, answer := range answers {
		if err := wholeStream(<-answer, fmt.Sprintf("stop-%d", i), tokens); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Fatalf("the process ended with %v", err)
	}
}

// TestStoreOutage takes the key-value service away: callers don't notice, a new
// instance starts from its peers, and changes wait until it is back.
func TestStoreOutage(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.Store.SetFaults(storeDown)
	for i := range 12 {
		if got := r.complete(instances[i%3], "alpha", 2); got.status != http.StatusOK {
			t.Fatalf("request %d: %d %s", i, got.status, got.body)
		}
	}
	newcomer := r.start("entry-4", domains[0])
	r.eventually("the new instance serves", func() bool { return r.complete(newcomer, "beta", 2).status == http.StatusOK })
	changed := r.Document
	changed.Classes = append([]site.Class(nil), r.Document.Classes...)
	changed.Classes[0].TimeoutMillis = 21_000
	if _, err := newcomer.Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "outage", Document: changed}); err == nil {
		t.Fatal("a change was accepted while nothing could be kept")
	}
	r.Store.SetFaults(kvstore.Faults{})
	r.eventually("the change is accepted", func() bool {
		_, err := newcomer.Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "outage", Document: changed})
		return err == nil
	})
	r.inForce(append(instances, newcomer), 2)
}

// inForce waits until all instances have the revision.
func (r *rig) inForce(instances []*entry.Process, revision uint64) {
	r.t.Helper()
	for _, p := range instances {
		r.eventually(fmt.Sprintf("revision %d in force", revision), func() bool {
			accepted, err := p.Operator.Configuration(r.t.Context())
			return err == nil && accepted.Revision == revision
		})
	}
}

// TestRacingOperators lets three operators change the same revision through three
// instances at once, while the service loses some answers after the write.
func TestRacingOperators(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	for round := uint64(1); round <= 3; round++ {
		r.Store.SetFaults(kvstore.Faults{LoseAnswers: round == 2})
		restore := time.AfterFunc(time.Second, func() { r.Store.SetFaults(kvstore.Faults{}) })
		won, lost := r.race(instances, round)
		restore.Stop()
		r.Store.SetFaults(kvstore.Faults{})
		if won != 1 || lost != len(instances)-1 {
			t.Fatalf("round %d: %d accepted, %d conflicts", round, won, lost)
		}
		r.inForce(instances, round+1)
	}
	r.sameDocument(instances)
}

// race applies one change per instance, all edited from the same revision.
func (r *rig) race(instances []*entry.Process, base uint64) (won, lost int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, p := range instances {
		changed := r.Document
		changed.Classes = append([]site.Class(nil), r.Document.Classes...)
		changed.Classes[0].QueueLimit = 1000*int(base) + i
		all.Go(func() {
			_, err := p.Operator.Apply(r.t.Context(), operatorapi.ApplyRequest{
				BaseRevision: base, ChangeID: fmt.Sprintf("race-%d-%d", base, i), Document: changed,
			})
			var conflict *operatorapi.ConflictError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				won++
			case errors.As(err, &conflict):
				lost++
			default:
				r.t.Errorf("instance %d: %v", i, err)
			}
		})
	}
	all.Wait()
	return won, lost
}

func (r *rig) sameDocument(instances []*entry.Process) {
	r.t.Helper()
	want, err := instances[0].Operator.Configuration(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	for _, p := range instances[1:] {
		got, err := p.Operator.Configuration(r.t.Context())
		if err != nil {
			r.t.Fatal(err)
		}
		if got.ChangeID != want.ChangeID || got.Document.Classes[0] != want.Document.Classes[0] {
			r.t.Errorf("instances differ: %s and %s", got.ChangeID, want.ChangeID)
		}
	}
}

// TestPausedPlacementHolder freezes the instance that places models. Another one takes
// over and loads a new model; the first one comes back, still believing that it holds
// the lease. No memory is overcommitted, and one holder is left.
func TestPausedPlacementHolder(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	holder := r.holder(instances)
	if err := holder.Pause(); err != nil {
		t.Fatal(err)
	}
	others := without(instances, holder)
	r.eventually("another instance places", func() bool {
		next := r.holderName(others)
		return next != "" && next != r.nameOf(holder)
	})
	changed := r.Document
	changed.Models = append(append([]site.Model(nil), r.Document.Models...), site.Model{Name: "gamma", Version: "1", Default: true, MemoryMB: 2500, Class: "batch"})
	if _, err := others[0].Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "gamma", Document: changed}); err != nil {
		t.Fatal(err)
	}
	r.eventually("the new model is served", func() bool { return r.complete(others[0], "gamma", 2).status == http.StatusOK })
	if err := holder.Resume(); err != nil {
		t.Fatal(err)
	}
	r.inForce(instances, 2)
	r.eventually("all agree on the holder", func() bool {
		name := r.holderName([]*entry.Process{holder})
		return name != "" && name != r.nameOf(holder) && name == r.holderName(others)
	})
	r.eventually("the paused instance serves the new model", func() bool { return r.complete(holder, "gamma", 2).status == http.StatusOK })
	r.memoryHeld()
}

// TestKilledPlacementHolder kills the instance that places models, in an outage of the
// key-value service that ends later.
func TestKilledPlacementHolder(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	holder := r.holder(instances)
	killed := r.nameOf(holder)
	r.Store.SetFaults(storeDown)
	holder.Kill()
	others := without(instances, holder)
	for i := range 6 {
		if got := r.complete(others[i%2], "alpha", 2); got.status != http.StatusOK {
			t.Fatalf("request %d: %d %s", i, got.status, got.body)
		}
	}
	r.Store.SetFaults(kvstore.Faults{})
	r.eventually("another instance places", func() bool {
		name := r.holderName(others)
		return name != "" && name != killed
	})
	r.memoryHeld()
}

// holderName is the placement holder on which the instances agree; empty if they don't.
func (r *rig) holderName(instances []*entry.Process) string {
	agreed := ""
	for i, p := range instances {
		status, err := p.Operator.Status(r.t.Context())
		if err != nil {
			return ""
		}
		name, _, _ := strings.Cut(status.Placement.Holder, "/")
		if i > 0 && name != agreed {
			return ""
		}
		agreed = name
	}
	return agreed
}

func (r *rig) holder(instances []*entry.Process) *entry.Process {
	r.t.Helper()
	r.eventually("a placement holder is known", func() bool { return r.holderName(instances) != "" })
	return r.instances[r.holderName(instances)]
}

func (r *rig) nameOf(p *entry.Process) string {
	for name, known := range r.instances {
		if known == p {
			return name
		}
	}
	return ""
}

func without(instances []*entry.Process, one *entry.Process) []*entry.Process {
	var out []*entry.Process
	for _, p := range instances {
		if p != one {
			out = append(out, p)
		}
	}
	return out
}

// TestPlannedStopInAnOutage stops the instance that places models while calls of the
// key-value service hang: its stream ends whole, and the process ends by itself.
func TestPlannedStopInAnOutage(t *testing.T) {
	const tokens = 100
	r := newRig(t)
	instances := r.startThree()
	holder := r.holder(instances)
	r.Store.SetFaults(kvstore.Faults{Hang: true})
	answer := async(func() reply { return r.stream(holder, "outage-stop", "alpha", tokens) })
	r.eventually("the stream runs", func() bool { return r.runs("outage-stop") == 1 })
	if err := holder.Drain(context.Background()); err != nil {
		t.Fatalf("the process ended with %v", err)
	}
	if err := wholeStream(<-answer, "outage-stop", tokens); err != nil {
		t.Fatal(err)
	}
	others := without(instances, holder)
	if got := r.complete(others[0], "alpha", 2); got.status != http.StatusOK {
		t.Fatalf("the others: %d %s", got.status, got.body)
	}
}
