package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"limpethub/internal/gateway"
	"limpethub/internal/lab/entry"
)

// caller sends streams one after the other, to the instance that it was told to use.
// It keeps an answer for its time to live.
type caller struct {
	rig      *rig
	number   int
	sent     int
	failures []error
}

// run sends until ctx ends. seeds gives instances that can be asked now.
func (c *caller) run(ctx context.Context, seeds func() []*entry.Process) {
	const tokens = 20
	var known []gateway.Entry
	var asked time.Time
	for ctx.Err() == nil {
		if time.Since(asked) > time.Second {
			known, asked = c.rig.entries(seeds()[0]), time.Now()
		}
		if len(known) == 0 {
			c.failures = append(c.failures, fmt.Errorf("nobody to use"))
			return
		}
		id := fmt.Sprintf("roll-%d-%d", c.number, c.sent)
		c.sent++
		answer := c.rig.streamAt(known[c.sent%len(known)].Address, id, "alpha", tokens)
		if err := wholeStream(answer, id, tokens); err != nil {
			c.failures = append(c.failures, fmt.Errorf("%s: %w", id, err))
		}
	}
}

// TestRollingRestart replaces all instances, one after the other, while callers send:
// no request is cut or refused.
func TestRollingRestart(t *testing.T) {
	r := newRig(t)
	var mu sync.Mutex
	live := r.startThree()
	seeds := func() []*entry.Process {
		mu.Lock()
		defer mu.Unlock()
		return live
	}
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	callers := make([]*caller, 4)
	for i := range callers {
		callers[i] = &caller{rig: r, number: i}
		all.Go(func() { callers[i].run(ctx, seeds) })
	}
	for i := range domains {
		newcomer := r.start(fmt.Sprintf("entry-%d", i+4), domains[i])
		old := seeds()[0]
		mu.Lock()
		live = append(append([]*entry.Process(nil), live[1:]...), newcomer)
		mu.Unlock()
		if err := old.Drain(context.Background()); err != nil {
			t.Errorf("planned stop %d: %v", i, err)
		}
	}
	stop()
	all.Wait()
	for _, c := range callers {
		if c.sent == 0 {
			t.Errorf("caller %d sent nothing", c.number)
		}
		for _, err := range c.failures {
			t.Error(err)
		}
	}
}
