package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"limpethub/internal/gateway"
	"limpethub/internal/lab/entry"
)

// caller sends streamed requests one after the other to the instances that it was told to
// use. It caches the list of instances for one second, as callers do for its time to live.
type caller struct {
	rig      *rig
	number   int
	sent     int
	failures []error
}

// run sends requests until ctx ends. running returns the instances to ask for the list.
func (c *caller) run(ctx context.Context, running func() []*entry.Process) {
	const tokens = 20
	var known []gateway.Entry
	var askedAt time.Time
	for ctx.Err() == nil {
		if time.Since(askedAt) > time.Second {
			known, askedAt = c.rig.entries(running()[0]), time.Now()
		}
		if len(known) == 0 {
			c.failures = append(c.failures, fmt.Errorf("instance list is empty"))
			return
		}
		id := fmt.Sprintf("roll-%d-%d", c.number, c.sent)
		c.sent++
		answer := c.rig.streamAt(known[c.sent%len(known)].Address, id, "alpha", tokens)
		if err := checkWholeStream(answer, id, tokens); err != nil {
			c.failures = append(c.failures, fmt.Errorf("%s: %w", id, err))
		}
	}
}

// TestRollingRestart replaces all instances one after the other while callers send requests.
// Each stream must complete: no request may be cut or refused.
func TestRollingRestart(t *testing.T) {
	r := newRig(t)
	var mu sync.Mutex
	instances := r.startThree()
	running := func() []*entry.Process {
		mu.Lock()
		defer mu.Unlock()
		return instances
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	callers := make([]*caller, 4)
	for i := range callers {
		callers[i] = &caller{rig: r, number: i}
		wg.Go(func() { callers[i].run(ctx, running) })
	}
	for i := range domains {
		newInstance := r.start(fmt.Sprintf("entry-%d", i+4), domains[i])
		old := running()[0]
		mu.Lock()
		instances = append(append([]*entry.Process(nil), instances[1:]...), newInstance)
		mu.Unlock()
		if err := old.Drain(context.Background()); err != nil {
			t.Errorf("drain of old instance %d: %v", i, err)
		}
	}
	stop()
	wg.Wait()
	for _, c := range callers {
		if c.sent == 0 {
			t.Errorf("caller %d sent no request", c.number)
		}
		for _, err := range c.failures {
			t.Error(err)
		}
	}
}

// TestFirstRequestsOfANewInstanceAreServed guards against an instance that counts as ready, and refuses requests for which it has no queue
// yet, before all of its parts have the configuration.
func TestFirstRequestsOfANewInstanceAreServed(t *testing.T) {
	r := newRig(t)
	first := r.start("entry-1", domains[0])
	r.eventually("the instance serves alpha", func() bool { return r.complete(first, "alpha", 1).status == http.StatusOK })
	if err := first.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	// Nobody tells the second one what the fleet knows, which takes it a moment.
	second := r.start("entry-2", domains[1])
	var callers sync.WaitGroup
	defer callers.Wait()
	for range 4 {
		callers.Go(func() {
			if answer := r.complete(second, "alpha", 1); answer.status != http.StatusOK {
				t.Errorf("one of the first requests of an instance that is ready: status %d, error %v, body %s, want 200", answer.status, answer.err, answer.body)
			}
		})
	}
}
