package fleet

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// BenchmarkDetection measures, in virtual time, how long after an instance is killed all others
// see it as dead.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := newJoinedWorld(n, min(n, 10))
			w.advance(5 * time.Second)
			total, worst := 0.0, 0.0
			for i := range b.N {
				took := measureDetection(w, w.instances[i*7%n]).Seconds()
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(worst, "virtual-s-worst")
		})
	}
}

// measureDetection stops an instance and returns the time until all others see it as dead. It
// then starts the instance again and waits until all others see it as alive.
func measureDetection(w *world, stopped *instance) time.Duration {
	stopped.stop()
	start := w.now
	for !w.seenByAllOthers(stopped, membership.Dead) {
		w.advance(20 * time.Millisecond)
	}
	took := w.now.Sub(start)
	stopped.start()
	for !w.seenByAllOthers(stopped, membership.Alive) {
		w.advance(200 * time.Millisecond)
	}
	return took
}

// seenByAllOthers reports whether all other running instances see a member in a state.
func (w *world) seenByAllOthers(subject *instance, state membership.State) bool {
	for _, n := range w.instances {
		if !n.up || n == subject {
			continue
		}
		if m, ok := n.machine.Member(subject.id.Name); !ok || m.State != state {
			return false
		}
	}
	return true
}

// BenchmarkDomainLoss measures, in virtual time, how long after the loss of one of three failure
// domains the remaining instances see all of its instances as dead.
func BenchmarkDomainLoss(b *testing.B) {
	for _, n := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			total, worst := 0.0, 0.0
			for i := range b.N {
				w := newJoinedWorld(n, 3)
				w.advance(5*time.Second + time.Duration(i)*77*time.Millisecond)
				took := w.stopDomain(fmt.Sprintf("zone-%d", i%3)).Seconds()
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(worst, "virtual-s-worst")
		})
	}
}

// stopDomain stops all instances of a failure domain and returns the time until the remaining
// instances see all of them as dead.
func (w *world) stopDomain(domain string) time.Duration {
	var lost []*instance
	for _, n := range w.instances {
		if n.id.FailureDomain == domain {
			n.stop()
			lost = append(lost, n)
		}
	}
	start := w.now
	for _, n := range lost {
		for !w.seenByAllOthers(n, membership.Dead) {
			w.advance(20 * time.Millisecond)
		}
	}
	return w.now.Sub(start)
}

// BenchmarkRegionsMeet measures, in virtual time, how long it takes after a one-minute partition
// of one of three failure domains until all instances see each other as alive, and how many
// bytes per second an instance sends during that time.
func BenchmarkRegionsMeet(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			total, bytes := 0.0, 0.0
			for range b.N {
				w := newJoinedWorld(n, 3)
				w.advance(5 * time.Second)
				w.isolateDomain("zone-0")
				w.advance(time.Minute)
				clear(w.cutLinks)
				measureBytes = true
				w.bytes = 0
				start := w.now
				for !w.allSeenAlive() {
					w.advance(500 * time.Millisecond)
				}
				measureBytes = false
				took := w.now.Sub(start).Seconds()
				total += took
				bytes += float64(w.bytes) / float64(n) / took
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(bytes/float64(b.N), "B/s/instance")
		})
	}
}

// isolateDomain cuts all links between a failure domain and the rest of the fleet.
func (w *world) isolateDomain(domain string) {
	for _, a := range w.instances {
		for _, b := range w.instances {
			if (a.id.FailureDomain == domain) != (b.id.FailureDomain == domain) {
				w.cutLinks[link{a.id.Name, b.id.Name}] = true
			}
		}
	}
}

// allSeenAlive reports whether each instance is seen as alive by all others.
func (w *world) allSeenAlive() bool {
	for _, n := range w.instances {
		if !w.seenByAllOthers(n, membership.Alive) {
			return false
		}
	}
	return true
}
