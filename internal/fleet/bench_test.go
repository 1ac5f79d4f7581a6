package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// measureBytes makes the worlds count the bytes of messages, which costs time.
var measureBytes = false

// headerBytes is what QUIC, UDP and IP add to one datagram.
const headerBytes = 60

func (w *world) measure(send membership.OutgoingMessage) {
	data, err := send.Message.Encode()
	if err != nil {
		w.oracle.fault("message can't be sent: %v", err)
	}
	w.bytes += len(data) + headerBytes
}

// joined starts n instances that know each other from the start, as after a long
// quiet time.
func joined(n, domains int) *world {
	w := newWorld(n, domains, 1, intact)
	w.oracle.quiet = true
	for _, node := range w.nodes {
		node.start()
	}
	everyone := make([]membership.Record, 0, n)
	for _, node := range w.nodes {
		everyone = append(everyone, membership.Record{
			Name: node.id.Name, Incarnation: node.firstIncarnation, CallerAddress: node.id.CallerAddress,
			PeerAddress: node.id.PeerAddress, FailureDomain: node.id.FailureDomain,
		})
	}
	for _, node := range w.nodes {
		node.machine.Receive(w.now, membership.Message{
			Type: membership.TypeRecords, From: "setup", Records: everyone,
		})
	}
	return w
}

// quietTime lets what the start caused run out.
const quietTime = 15 * time.Second

// BenchmarkSpread measures, in virtual time, how long a revision takes from its
// acceptance to being in force on all instances.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{9, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := joined(n, min(n, 10))
			w.advance(5 * time.Second)
			total, worst := 0.0, 0.0
			for range b.N {
				took := spreadOnce(w).Seconds()
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(worst, "virtual-s-worst")
		})
	}
}

// spreadOnce accepts a change and waits until it is in force everywhere.
func spreadOnce(w *world) time.Duration {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	want := n.held.Accepted.Revision + 1
	n.apply()
	for n.held.Accepted.Revision < want {
		w.advance(time.Millisecond)
	}
	start := w.now
	for !w.everywhere(want) {
		w.advance(50 * time.Millisecond)
	}
	return w.now.Sub(start)
}

func (w *world) everywhere(revision uint64) bool {
	for _, n := range w.nodes {
		if n.up && n.held.Accepted.Revision < revision {
			return false
		}
	}
	return true
}

// BenchmarkControl measures what membership costs an instance per second of virtual
// time, in a quiet fleet: bytes sent and processor time of the state machine with
// its codec.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := joined(n, min(n, 10))
			w.advance(quietTime)
			measureBytes = true
			defer func() { measureBytes = false }()
			w.bytes, w.messages = 0, 0
			b.ResetTimer()
			for range b.N {
				w.advance(time.Second)
			}
			perNode := float64(b.N * n)
			b.ReportMetric(float64(w.bytes)/perNode, "B/s/instance")
			b.ReportMetric(float64(w.messages)/perNode, "messages/s/instance")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/perNode, "cpu-µs/s/instance")
		})
	}
}

// BenchmarkMemory measures the heap of one membership machine by its size.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			records := fleetRecords(n)
			var before, after runtime.MemStats
			machines := make([]*membership.Machine, 0, b.N)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range b.N {
				m := membership.New(membership.Identity{Name: "self"}, 1, membership.DefaultSettings(), uint64(i))
				m.Receive(time.Unix(1, 0), membership.Message{Type: membership.TypeRecords, From: "setup", Records: records()})
				machines = append(machines, m)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/machine")
			runtime.KeepAlive(machines)
		})
	}
}

// fleetRecords makes records with strings of their own each time, as decoding does.
func fleetRecords(n int) func() []membership.Record {
	return func() []membership.Record {
		out := make([]membership.Record, 0, n)
		for i := range n {
			out = append(out, membership.Record{
				Name: fmt.Sprintf("entry-%04d", i), Incarnation: 1,
				CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
				PeerAddress:   fmt.Sprintf("10.1.%d.%d:7443", i>>8, i&255),
				FailureDomain: fmt.Sprintf("zone-%d", i%10),
			})
		}
		return out
	}
}
