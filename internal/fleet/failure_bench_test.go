package fleet

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// BenchmarkDetection measures, in virtual time, how long after a kill all others
// hold an instance dead.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := joined(n, min(n, 10))
			w.advance(5 * time.Second)
			total, worst := 0.0, 0.0
			for i := range b.N {
				took := detect(w, w.nodes[i*7%n]).Seconds()
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(worst, "virtual-s-worst")
		})
	}
}

func detect(w *world, victim *node) time.Duration {
	victim.stop()
	start := w.now
	for !w.seenBy(victim, membership.Dead) {
		w.advance(20 * time.Millisecond)
	}
	took := w.now.Sub(start)
	victim.start()
	for !w.seenBy(victim, membership.Alive) {
		w.advance(200 * time.Millisecond)
	}
	return took
}

// seenBy reports whether all other live instances see a member in a state.
func (w *world) seenBy(subject *node, state membership.State) bool {
	for _, n := range w.nodes {
		if !n.up || n == subject {
			continue
		}
		if m, ok := n.machine.Member(subject.id.Name); !ok || m.State != state {
			return false
		}
	}
	return true
}

// BenchmarkDomainLoss measures, in virtual time, how long after the loss of a third
// of the fleet all others hold all of it dead.
func BenchmarkDomainLoss(b *testing.B) {
	for _, n := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			total, worst := 0.0, 0.0
			for i := range b.N {
				w := joined(n, 3)
				w.advance(5*time.Second + time.Duration(i)*77*time.Millisecond)
				took := w.loseDomain(fmt.Sprintf("zone-%d", i%3)).Seconds()
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(worst, "virtual-s-worst")
		})
	}
}

// loseDomain stops a failure domain and waits until all others know it.
func (w *world) loseDomain(domain string) time.Duration {
	var lost []*node
	for _, n := range w.nodes {
		if n.id.FailureDomain == domain {
			n.stop()
			lost = append(lost, n)
		}
	}
	start := w.now
	for _, n := range lost {
		for !w.seenBy(n, membership.Dead) {
			w.advance(20 * time.Millisecond)
		}
	}
	return w.now.Sub(start)
}

// BenchmarkRegionsMeet measures, in virtual time, how long a fleet takes to be
// whole again after a third of it was cut off for a minute, and the bytes that an
// instance sends a second meanwhile.
func BenchmarkRegionsMeet(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			total, bytes := 0.0, 0.0
			for range b.N {
				w := joined(n, 3)
				w.advance(5 * time.Second)
				w.cutRegion("zone-0")
				w.advance(time.Minute)
				clear(w.cut)
				measureBytes = true
				w.bytes = 0
				start := w.now
				for !w.whole() {
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

func (w *world) cutRegion(domain string) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if (a.id.FailureDomain == domain) != (b.id.FailureDomain == domain) {
				w.cut[path{a.id.Name, b.id.Name}] = true
			}
		}
	}
}

func (w *world) whole() bool {
	for _, n := range w.nodes {
		if !w.seenBy(n, membership.Alive) {
			return false
		}
	}
	return true
}
