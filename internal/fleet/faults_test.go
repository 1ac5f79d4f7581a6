package fleet

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// newSettledWorld starts n instances in three failure domains and gives them 10 s to learn of each
// other.
func newSettledWorld(n int, seed uint64) *world {
	w := newWorld(n, 3, seed, intact)
	for _, instance := range w.instances {
		instance.start()
	}
	w.advance(10 * time.Second)
	return w
}

// countViews returns how many other running instances see a member in a state.
func (w *world) countViews(name string, state membership.State) int {
	views := 0
	for _, n := range w.instances {
		if !n.up || n.id.Name == name {
			continue
		}
		for _, m := range n.machine.Members() {
			if m.Name == name && m.State == state {
				views++
			}
		}
	}
	return views
}

// countDeaths advances the time by d and counts the transitions to dead in the views of all
// instances during that time. Transitions of the member named by except don't count.
func (w *world) countDeaths(d time.Duration, except string) int {
	for _, n := range w.instances {
		n.machine.TakeTransitions()
	}
	w.advance(d)
	deaths := 0
	for _, n := range w.instances {
		for _, t := range n.machine.TakeTransitions() {
			if t.Member.State == membership.Dead && t.Member.Name != except {
				deaths++
			}
		}
	}
	return deaths
}

func TestKilledInstanceIsDeadEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSettledWorld(9, seed)
		w.instances[seed%9].stop()
		w.advance(3 * time.Second)
		if got := w.countViews(w.instances[seed%9].id.Name, membership.Dead); got != 8 {
			t.Errorf("seed %d: %d of 8 other instances see the killed instance as dead, want 8", seed, got)
		}
	}
}

func TestLostFailureDomainIsDeadEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSettledWorld(9, seed)
		if took := w.stopDomain(fmt.Sprintf("zone-%d", seed%3)); took > 3*time.Second {
			t.Errorf("seed %d: all others saw the failure domain as dead after %v, want at most 3s", seed, took)
		}
	}
}

func TestLeavingIsKnownEverywhereWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSettledWorld(9, seed)
		leaver := w.instances[seed%9]
		leaver.leaving = true
		leaver.send(leaver.machine.Leave(w.now))
		w.advance(3 * time.Second)
		if got := w.countViews(leaver.id.Name, membership.Leaving); got != 8 {
			t.Errorf("seed %d: %d of 8 other instances see the instance as leaving, want 8", seed, got)
		}
	}
}

func TestPacketLossAloneCausesNoDeaths(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(9, 1)
	w.lossPerMille = 50
	if got := w.countDeaths(10*time.Minute, ""); got != 0 {
		t.Errorf("%d transitions to dead with 5%% packet loss, want 0", got)
	}
}

func TestOneWayCutsBetweenPairsCauseNoDeaths(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(9, 2)
	for i := range w.instances { // Each instance can't reach the next two.
		for step := 1; step <= 2; step++ {
			w.cutLinks[link{w.instances[i].id.Name, w.instances[(i+step)%9].id.Name}] = true
		}
	}
	if got := w.countDeaths(2*time.Minute, ""); got != 0 {
		t.Errorf("%d transitions to dead with one-way cuts between pairs, want 0", got)
	}
}

// An instance that can send but not receive, or receive but not send, must be seen as dead by
// all others. It must not make them see any other instance as dead.
func TestInstanceCutOffInOneDirectionIsTheOnlyDeath(t *testing.T) {
	t.Parallel()
	for _, inboundCut := range []bool{true, false} {
		w := newSettledWorld(9, 3)
		cutOff := w.instances[4].id.Name
		for _, n := range w.instances {
			p := link{n.id.Name, cutOff}
			if !inboundCut {
				p = link{cutOff, n.id.Name}
			}
			w.cutLinks[p] = true
		}
		w.advance(10 * time.Second)
		for _, n := range w.instances {
			if n.id.Name == cutOff {
				continue
			}
			for _, m := range n.machine.Members() {
				if dead := m.State == membership.Dead; dead != (m.Name == cutOff) {
					t.Errorf("inbound cut %v: %s sees %s as %v; want only the cut-off instance dead", inboundCut, n.id.Name, m.Name, m.State)
				}
			}
		}
	}
}

// An instance that is paused for 20 s must be seen as dead meanwhile and as alive afterwards. It
// handles the messages and timers of the pause only when it continues. That must not make any
// instance see another one as dead.
func TestPausedInstanceReturnsWithoutOtherDeaths(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(9, 4)
	paused := w.instances[3]
	paused.pausedUntil = w.now.Add(20 * time.Second)
	w.advance(10 * time.Second)
	if got := w.countViews(paused.id.Name, membership.Dead); got != 8 {
		t.Fatalf("%d of 8 other instances see the paused instance as dead, want 8", got)
	}
	if got := w.countDeaths(11*time.Second, paused.id.Name); got != 0 {
		t.Errorf("%d transitions to dead of other instances, want 0", got)
	}
	w.advance(10 * time.Second)
	if got := w.countViews(paused.id.Name, membership.Alive); got != 8 {
		t.Errorf("%d of 8 other instances see the instance as alive after its pause, want 8", got)
	}
}

// TestIsolatedDomainRejoins cuts one of three failure domains off for two minutes, so that the
// other instances see its instances as dead. A minute after the links work again, all instances
// must see each other as alive.
func TestIsolatedDomainRejoins(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(30, 5)
	for _, a := range w.instances {
		for _, b := range w.instances {
			if (a.id.FailureDomain == "zone-0") != (b.id.FailureDomain == "zone-0") {
				w.cutLinks[link{a.id.Name, b.id.Name}] = true
			}
		}
	}
	w.advance(2 * time.Minute)
	if got := w.countViews(w.instances[0].id.Name, membership.Dead); got != 20 {
		t.Errorf("%d of 20 instances outside the isolated domain see one inside as dead, want 20", got)
	}
	clear(w.cutLinks)
	w.advance(time.Minute)
	for _, n := range w.instances {
		if got := w.countViews(n.id.Name, membership.Alive); got != 29 {
			t.Errorf("%s is seen as alive by %d of 29 other instances, want 29", n.id.Name, got)
		}
	}
}
