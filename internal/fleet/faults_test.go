package fleet

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// settled starts n instances in three failure domains and waits until they know
// each other.
func settled(n int, seed uint64) *world {
	w := newWorld(n, 3, seed, intact)
	for _, node := range w.nodes {
		node.start()
	}
	w.advance(10 * time.Second)
	return w
}

// count returns how many other live instances see a member in a state.
func (w *world) count(name string, state membership.State) int {
	count := 0
	for _, n := range w.nodes {
		if !n.up || n.id.Name == name {
			continue
		}
		for _, m := range n.machine.Members() {
			if m.Name == name && m.State == state {
				count++
			}
		}
	}
	return count
}

// deaths counts transitions to dead in all views for a stretch of time, but for
// those of one member.
func (w *world) deaths(d time.Duration, but string) int {
	for _, n := range w.nodes {
		n.machine.TakeTransitions()
	}
	w.advance(d)
	deaths := 0
	for _, n := range w.nodes {
		for _, t := range n.machine.TakeTransitions() {
			if t.Member.State == membership.Dead && t.Member.Name != but {
				deaths++
			}
		}
	}
	return deaths
}

func TestKilledInstanceIsDeadEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := settled(9, seed)
		w.nodes[seed%9].stop()
		w.advance(3 * time.Second)
		if got := w.count(w.nodes[seed%9].id.Name, membership.Dead); got != 8 {
			t.Errorf("seed %d: %d of 8 see the death", seed, got)
		}
	}
}

func TestLostFailureDomainIsDeadEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := settled(9, seed)
		if took := w.loseDomain(fmt.Sprintf("zone-%d", seed%3)); took > 3*time.Second {
			t.Errorf("seed %d: the loss is known after %v", seed, took)
		}
	}
}

func TestLeavingIsKnownEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := settled(9, seed)
		leaver := w.nodes[seed%9]
		leaver.leaving = true
		leaver.send(leaver.machine.Leave(w.now))
		w.advance(3 * time.Second)
		if got := w.count(leaver.id.Name, membership.Leaving); got != 8 {
			t.Errorf("seed %d: %d of 8 see it leaving", seed, got)
		}
	}
}

func TestLossAloneKillsNobody(t *testing.T) {
	t.Parallel()
	w := settled(9, 1)
	w.lossPerMil = 50
	if got := w.deaths(10*time.Minute, ""); got != 0 {
		t.Errorf("%d deaths with 5%% loss", got)
	}
}

func TestOneWayCutsBetweenPairsKillNobody(t *testing.T) {
	t.Parallel()
	w := settled(9, 2)
	for i := range w.nodes { // Each instance can't reach its two next ones.
		for step := 1; step <= 2; step++ {
			w.cut[path{w.nodes[i].id.Name, w.nodes[(i+step)%9].id.Name}] = true
		}
	}
	if got := w.deaths(2*time.Minute, ""); got != 0 {
		t.Errorf("%d deaths with one-way cuts between pairs", got)
	}
}

func TestDeafInstanceKillsNobodyElse(t *testing.T) {
	t.Parallel()
	for _, deaf := range []bool{true, false} {
		w := settled(9, 3)
		odd := w.nodes[4].id.Name
		for _, n := range w.nodes {
			p := path{n.id.Name, odd}
			if !deaf {
				p = path{odd, n.id.Name}
			}
			w.cut[p] = true
		}
		w.advance(10 * time.Second)
		for _, n := range w.nodes {
			if n.id.Name == odd {
				continue
			}
			for _, m := range n.machine.Members() {
				if dead := m.State == membership.Dead; dead != (m.Name == odd) {
					t.Errorf("deaf %v: %s sees %s %v", deaf, n.id.Name, m.Name, m.State)
				}
			}
		}
	}
}

func TestPausedInstanceComesBackWithoutKillingOthers(t *testing.T) {
	t.Parallel()
	w := settled(9, 4)
	paused := w.nodes[3]
	paused.pausedUntil = w.now.Add(20 * time.Second)
	w.advance(10 * time.Second)
	if got := w.count(paused.id.Name, membership.Dead); got != 8 {
		t.Fatalf("%d of 8 see the paused instance dead", got)
	}
	if got := w.deaths(11*time.Second, paused.id.Name); got != 0 {
		t.Errorf("%d others were taken for dead", got)
	}
	w.advance(10 * time.Second)
	if got := w.count(paused.id.Name, membership.Alive); got != 8 {
		t.Errorf("%d of 8 see the instance alive again", got)
	}
}

// TestRegionsMeetAgain cuts a third of the fleet off for two minutes.
func TestRegionsMeetAgain(t *testing.T) {
	t.Parallel()
	w := settled(30, 5)
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if (a.id.FailureDomain == "zone-0") != (b.id.FailureDomain == "zone-0") {
				w.cut[path{a.id.Name, b.id.Name}] = true
			}
		}
	}
	w.advance(2 * time.Minute)
	if got := w.count(w.nodes[0].id.Name, membership.Dead); got != 20 {
		t.Errorf("%d of 20 see an instance beyond the cut dead", got)
	}
	clear(w.cut)
	w.advance(time.Minute)
	for _, n := range w.nodes {
		if got := w.count(n.id.Name, membership.Alive); got != 29 {
			t.Errorf("%s is alive for %d of 29", n.id.Name, got)
		}
	}
}
