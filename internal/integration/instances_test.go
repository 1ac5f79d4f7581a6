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

// TestDrainFinishesStreams drains an instance while it serves streams. A caller with an
// outdated instance list still sends it a request. Ending the process too early would cut
// these streams.
func TestDrainFinishesStreams(t *testing.T) {
	const tokens = 150
	r := newRig(t)
	instances := r.startThree()
	var answers []<-chan reply
	startStream := func(i int) {
		id := fmt.Sprintf("stop-%d", i)
		answers = append(answers, async(func() reply { return r.stream(instances[0], id, "alpha", tokens) }))
		r.eventually("the stream has started", func() bool { return r.runCount(id) == 1 })
	}
	for i := range 4 {
		startStream(i)
	}
	drained := make(chan error, 1)
	go func() { drained <- instances[0].Drain(context.Background()) }()
	r.eventually("another instance no longer lists the draining one", func() bool { return len(r.entries(instances[1])) == 2 })
	startStream(4) // From a caller with an outdated instance list.
	for i, answer := range answers {
		if err := checkWholeStream(<-answer, fmt.Sprintf("stop-%d", i), tokens); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if err := <-drained; err != nil {
		t.Fatalf("drained process exited with an error: %v", err)
	}
}

// TestStoreOutage checks that, while the store is down, requests succeed, a new instance
// gets its configuration from its peers, and configuration changes fail. They succeed
// once the store is back.
func TestStoreOutage(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.Store.SetFaults(storeDown)
	for i := range 12 {
		if got := r.complete(instances[i%3], "alpha", 2); got.status != http.StatusOK {
			t.Fatalf("request %d during the outage: got %d %s, want 200", i, got.status, got.body)
		}
	}
	newInstance := r.start("entry-4", domains[0])
	r.eventually("the new instance serves beta", func() bool { return r.complete(newInstance, "beta", 2).status == http.StatusOK })
	changed := r.Document
	changed.Classes = append([]site.Class(nil), r.Document.Classes...)
	changed.Classes[0].TimeoutMillis = 21_000
	if _, err := newInstance.Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "outage", Document: changed}); err == nil {
		t.Fatal("configuration change succeeded while the store was down, want an error")
	}
	r.Store.SetFaults(kvstore.Faults{})
	r.eventually("the configuration change is accepted", func() bool {
		_, err := newInstance.Operator.Apply(t.Context(), operatorapi.ApplyRequest{BaseRevision: 1, ChangeID: "outage", Document: changed})
		return err == nil
	})
	r.waitForRevision(append(instances, newInstance), 2)
}

// waitForRevision waits until each instance has the revision of the configuration.
func (r *rig) waitForRevision(instances []*entry.Process, revision uint64) {
	r.t.Helper()
	for _, p := range instances {
		r.eventually(fmt.Sprintf("the instance has revision %d", revision), func() bool {
			accepted, err := p.Operator.Configuration(r.t.Context())
			return err == nil && accepted.Revision == revision
		})
	}
}

// TestConcurrentChanges sends three changes of the same revision through three instances at
// once: exactly one is accepted, the others get a conflict. In the second round the store
// loses the answers of writes, so an instance can't tell at once whether its write succeeded.
func TestConcurrentChanges(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	for round := uint64(1); round <= 3; round++ {
		r.Store.SetFaults(kvstore.Faults{LoseAnswers: round == 2})
		restore := time.AfterFunc(time.Second, func() { r.Store.SetFaults(kvstore.Faults{}) })
		accepted, conflicts := r.applyConcurrently(instances, round)
		restore.Stop()
		r.Store.SetFaults(kvstore.Faults{})
		if accepted != 1 || conflicts != len(instances)-1 {
			t.Fatalf("round %d: got %d accepted and %d conflicts, want 1 and 2", round, accepted, conflicts)
		}
		r.waitForRevision(instances, round+1)
	}
	r.checkSameDocument(instances)
}

// applyConcurrently applies one change through each instance, all based on the same
// revision, and counts the accepted ones and the conflicts.
func (r *rig) applyConcurrently(instances []*entry.Process, base uint64) (accepted, conflicts int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, p := range instances {
		changed := r.Document
		changed.Classes = append([]site.Class(nil), r.Document.Classes...)
		changed.Classes[0].QueueLimit = 1000*int(base) + i
		wg.Go(func() {
			_, err := p.Operator.Apply(r.t.Context(), operatorapi.ApplyRequest{
				BaseRevision: base, ChangeID: fmt.Sprintf("race-%d-%d", base, i), Document: changed,
			})
			var conflict *operatorapi.ConflictError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &conflict):
				conflicts++
			default:
				r.t.Errorf("change through instance %d: %v, want success or a conflict", i, err)
			}
		})
	}
	wg.Wait()
	return accepted, conflicts
}

// checkSameDocument fails the test if the instances differ in the last change or in the
// first class of their configuration.
func (r *rig) checkSameDocument(instances []*entry.Process) {
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
			r.t.Errorf("configurations differ: change %s, want %s as on the first instance", got.ChangeID, want.ChangeID)
		}
	}
}

// TestPausedPlacementHolder pauses the holder of the placement lease. Another instance takes
// the lease and loads a new model. When the first one resumes, it still believes that it
// holds the lease. It must not overcommit memory, and must accept the new holder.
func TestPausedPlacementHolder(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	holder := r.placementHolder(instances)
	if err := holder.Pause(); err != nil {
		t.Fatal(err)
	}
	others := without(instances, holder)
	r.eventually("another instance holds the placement lease", func() bool {
		next := r.holderName(others)
		return next != "" && next != r.instanceName(holder)
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
	r.waitForRevision(instances, 2)
	r.eventually("the resumed instance accepts the new lease holder", func() bool {
		name := r.holderName([]*entry.Process{holder})
		return name != "" && name != r.instanceName(holder) && name == r.holderName(others)
	})
	r.eventually("the resumed instance serves the new model", func() bool { return r.complete(holder, "gamma", 2).status == http.StatusOK })
	r.checkMemory()
}

// TestKilledPlacementHolder kills the holder of the placement lease while the store is down.
// The other instances serve requests meanwhile, and one of them takes the lease when the
// store is back.
func TestKilledPlacementHolder(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	holder := r.placementHolder(instances)
	killed := r.instanceName(holder)
	r.Store.SetFaults(storeDown)
	holder.Kill()
	others := without(instances, holder)
	for i := range 6 {
		if got := r.complete(others[i%2], "alpha", 2); got.status != http.StatusOK {
			t.Fatalf("request %d during the outage: got %d %s, want 200", i, got.status, got.body)
		}
	}
	r.Store.SetFaults(kvstore.Faults{})
	r.eventually("another instance holds the placement lease", func() bool {
		name := r.holderName(others)
		return name != "" && name != killed
	})
	r.checkMemory()
}

// holderName returns the name of the placement lease holder that all instances report; empty
// if they differ or one doesn't answer.
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

func (r *rig) placementHolder(instances []*entry.Process) *entry.Process {
	r.t.Helper()
	r.eventually("all instances report the same placement lease holder", func() bool { return r.holderName(instances) != "" })
	return r.instances[r.holderName(instances)]
}

func (r *rig) instanceName(p *entry.Process) string {
	for name, known := range r.instances {
		if known == p {
			return name
		}
	}
	return ""
}

func without(instances []*entry.Process, excluded *entry.Process) []*entry.Process {
	var out []*entry.Process
	for _, p := range instances {
		if p != excluded {
			out = append(out, p)
		}
	}
	return out
}

// TestDrainInStoreOutage drains the holder of the placement lease while the store doesn't
// answer. Waiting for the store must neither cut the holder's stream nor keep its process
// from exiting.
func TestDrainInStoreOutage(t *testing.T) {
	const tokens = 100
	r := newRig(t)
	instances := r.startThree()
	holder := r.placementHolder(instances)
	r.Store.SetFaults(kvstore.Faults{Hang: true})
	answer := async(func() reply { return r.stream(holder, "outage-stop", "alpha", tokens) })
	r.eventually("the stream has started", func() bool { return r.runCount("outage-stop") == 1 })
	if err := holder.Drain(context.Background()); err != nil {
		t.Fatalf("drained process exited with an error: %v", err)
	}
	if err := checkWholeStream(<-answer, "outage-stop", tokens); err != nil {
		t.Fatal(err)
	}
	others := without(instances, holder)
	if got := r.complete(others[0], "alpha", 2); got.status != http.StatusOK {
		t.Fatalf("request to another instance after the drain: got %d %s, want 200", got.status, got.body)
	}
}
