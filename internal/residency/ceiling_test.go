package residency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/lease"
	"limpethub/internal/modelref"
)

// TestLoadsKeepTheWeightStoresRate counts the loads that begin in each window of 5 s, on a site
// whose weight store allows few. Servers are lost with their disks, demand moves, holders pause
// and are replaced, and orders lose their answer and arrive up to 12 s late: late ones can fall
// together with each other and with those of a new holder.
func TestLoadsKeepTheWeightStoresRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSizedSimulation(t, rapid.Uint64().Draw(t, "seed"), simSize{cores: 3, servers: 9, models: 24, loadsPerSecond: 1.2})
		sim.run(25 * time.Second)
		lost := 0
		for range rapid.IntRange(3, 15).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // Servers are lost, and empty ones replace them.
				for range rapid.IntRange(1, 5).Draw(t, "lost") {
					known := sim.announcements()
					delete(sim.servers, known[rapid.IntRange(0, len(known)-1).Draw(t, "server")].ID)
					lost++
					sim.startServer(fmt.Sprintf("n%d", lost))
				}
			case 1: // The demand shifts to up to three other models.
				sim.requestCounts = map[modelref.Ref]RequestCounts{}
				for range 3 {
					ref := sim.document.Models[rapid.IntRange(0, 23).Draw(t, "model")].Ref()
					sim.requestCounts[ref] = RequestCounts{Running: 40, Unstarted: 5, PrefillTime: time.Second, Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")}
				}
			case 2:
				sim.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lossy")
			case 3:
				i := rapid.IntRange(0, 2).Draw(t, "core")
				sim.pausedUntil[i] = sim.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "pause")) * time.Second)
			}
			sim.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "wait")) * 100 * time.Millisecond)
		}
	})
}

// TestReleasedLeaseStillTellsItsLoads guards against a successor that orders a full burst of loads from the weight store right
// after its predecessor's, because a holder that has released the lease tells of none.
func TestReleasedLeaseStillTellsItsLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore("i", lease.New(lease.Config{}, nil), 0)
	limiter := newLoadLimiter(now, 1, recentLoads{})
	for range loadBurst {
		limiter.ordered(now)
	}
	c.holdsLease, c.weightLoads["svc"] = true, limiter
	if c.updateHolding(now) {
		t.Fatal("the core holds a lease that it never claimed")
	}
	if got := c.loadsForSuccessor(now.Add(time.Second)); got != loadBurst {
		t.Errorf("a second after the release: tells of %d loads, want %d", got, loadBurst)
	}
	if got := c.loadsForSuccessor(now.Add(loadWindow)); got != 0 {
		t.Errorf("%v after the release: tells of %d loads, want none", loadWindow, got)
	}
}
