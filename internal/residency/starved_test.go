package residency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

const (
	// starvedAfter is for how long something may be asked for without being served; the deployments' rule for what counts as
	// never served.
	starvedAfter = 8 * time.Second
	// starvedWarmUp is the time for the first loads, which come from the weight store.
	starvedWarmUp = 15 * time.Second
	starvedPlay   = 30 * time.Second
)

// caller asks for one version again and again, one request at a time.
type caller struct {
	ref modelref.Ref
	// pause is the time between the end of a request and the next one, patience how long one waits, and run how long it runs.
	pause, patience, run time.Duration

	nextAt, waitsSince, runsUntil time.Time
	servedAt                      time.Time
	longestUnserved               time.Duration
}

// step moves the caller on and returns what it counts for placement.
func (c *caller) step(now time.Time, resident bool) RequestCounts {
	if c.runsUntil.IsZero() && c.waitsSince.IsZero() && !now.Before(c.nextAt) {
		c.waitsSince = now
	}
	switch {
	case !c.runsUntil.IsZero() && !now.Before(c.runsUntil):
		c.runsUntil, c.nextAt = time.Time{}, now.Add(c.pause)
	case !c.waitsSince.IsZero() && resident:
		c.waitsSince, c.runsUntil = time.Time{}, now.Add(c.run)
	case !c.waitsSince.IsZero() && now.Sub(c.waitsSince) >= c.patience:
		c.waitsSince, c.nextAt = time.Time{}, now.Add(c.pause)
	}
	switch {
	case !c.runsUntil.IsZero():
		c.servedAt = now
		return RequestCounts{Running: 1}
	case !c.waitsSince.IsZero():
		return RequestCounts{Waiting: 1}
	}
	return RequestCounts{}
}

// playCallers runs the simulation with the callers, and records for how long each wasn't served after the warm-up.
func (sim *simulation) playCallers(callers []*caller, others map[modelref.Ref]RequestCounts) {
	warm := sim.now.Add(starvedWarmUp)
	for end := warm.Add(starvedPlay); sim.now.Before(end); {
		counts := map[modelref.Ref]RequestCounts{}
		for ref, c := range others {
			counts[ref] = c
		}
		for _, c := range callers {
			if counted := c.step(sim.now, sim.isResident(c.ref)); counted != (RequestCounts{}) {
				counts[c.ref] = counted
			}
			if !sim.now.Before(warm) {
				c.longestUnserved = max(c.longestUnserved, sim.now.Sub(later(c.servedAt, warm)))
			}
		}
		sim.requestCounts = counts
		sim.step()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isResident reports whether a server can run requests for a version.
func (sim *simulation) isResident(ref modelref.Ref) bool {
	for _, s := range sim.servers {
		if s.models[ref] || s.adapters[ref] {
			return true
		}
	}
	return false
}

func checkNobodyStarves(t *rapid.T, callers []*caller) {
	for _, c := range callers {
		if c.longestUnserved > starvedAfter {
			t.Errorf("%s was asked for and not served for %v, want %v at most", c.ref, c.longestUnserved, starvedAfter)
		}
	}
}

// adapterCallers replaces the adapters of the document by some of the first model, and returns a caller for each.
func adapterCallers(sim *simulation, count int, of func(n int) caller) []*caller {
	base := sim.document.Models[0].Ref()
	sim.document.Adapters = nil
	var out []*caller
	for n := range count {
		a := site.Adapter{Name: fmt.Sprintf("m0/a%d", n), Version: "1", Base: base, MemoryMB: 1}
		sim.document.Adapters = append(sim.document.Adapters, a)
		c := of(n)
		c.ref = a.Ref()
		out = append(out, &c)
	}
	return out
}

// TestAdaptersAskedForAgainAndAgainAreServed guards against adapters that are never loaded, since the others are never idle for
// long: there are more adapters in use than slots.
func TestAdaptersAskedForAgainAndAgainAreServed(t *testing.T) {
	busy := caller{pause: 150 * time.Millisecond, patience: 2400 * time.Millisecond, run: 300 * time.Millisecond}
	rare := caller{pause: time.Second, patience: 2400 * time.Millisecond, run: 300 * time.Millisecond}
	always := caller{pause: 0, patience: 2400 * time.Millisecond, run: time.Second}
	for name, of := range map[string]func(n int) caller{
		"all ask without a pause of half a second": func(int) caller { return busy },
		"some ask rarely": func(n int) caller {
			if n%2 == 0 {
				return rare
			}
			return busy
		},
		"some are always in use": func(n int) caller {
			if n < 6 {
				return always
			}
			return rare
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 1)
				callers := adapterCallers(sim, 9, of)
				base := sim.document.Models[0].Ref()
				sim.playCallers(callers, map[modelref.Ref]RequestCounts{base: {Running: 6, Unstarted: 2, PrefillTime: 600 * time.Millisecond}})
				checkNobodyStarves(t, callers)
			})
		})
	}
}

// TestModelsAskedForAgainAndAgainAreServed guards against models that are never loaded, since those in memory are never idle for long:
// there are more models in use than the servers can hold. The weights are on the servers' disks, so that what is measured is
// the wait for memory.
func TestModelsAskedForAgainAndAgainAreServed(t *testing.T) {
	for name, pause := range map[string]time.Duration{"in use now and then": 600 * time.Millisecond, "in use most of the time": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := newSizedSimulation(t, rapid.Uint64().Draw(t, "seed"), simSize{cores: 1, servers: 4, models: 14, loadsPerSecond: simLoadsPerSecond})
				var callers []*caller
				for _, m := range sim.document.Models {
					for _, s := range sim.servers {
						s.onDisk[m.Ref()] = true
					}
					callers = append(callers, &caller{ref: m.Ref(), pause: pause, patience: 2400 * time.Millisecond, run: 300 * time.Millisecond})
				}
				sim.playCallers(callers, nil)
				checkNobodyStarves(t, callers)
			})
		})
	}
}
