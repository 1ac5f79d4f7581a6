package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpethub/internal/membership"
)

// measureBytes makes worlds count the bytes of messages. It is off by default since encoding
// each message takes time.
var measureBytes = false

// datagramOverheadBytes is what the QUIC, UDP and IP headers add to one datagram.
const datagramOverheadBytes = 60

func (w *world) countBytes(send membership.OutgoingMessage) {
	data, err := send.Message.Encode()
	if err != nil {
		w.oracle.addFault("message can't be encoded: %v", err)
	}
	w.bytes += len(data) + datagramOverheadBytes
}

// newJoinedWorld starts n instances that all know each other from the start, as in a fleet
// that has been running for a long time.
func newJoinedWorld(n, domains int) *world {
	w := newWorld(n, domains, 1, intact)
	w.oracle.skipLeavingCheck = true
	for _, instance := range w.instances {
		instance.start()
	}
	everyone := make([]membership.Record, 0, n)
	for _, instance := range w.instances {
		everyone = append(everyone, membership.Record{
			Name: instance.id.Name, Incarnation: instance.firstIncarnation, CallerAddress: instance.id.CallerAddress,
			PeerAddress: instance.id.PeerAddress, FailureDomain: instance.id.FailureDomain,
		})
	}
	for _, instance := range w.instances {
		instance.machine.Receive(w.now, membership.Message{
			Type: membership.TypeRecords, From: "setup", Records: everyone,
		})
	}
	return w
}

// joinSettleTime is long enough for the extra messages after the start to end.
const joinSettleTime = 15 * time.Second

// BenchmarkSpread measures, in virtual time, how long a revision takes from being held by the
// instance that applied it to being in force on all instances.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{9, 100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := newJoinedWorld(n, min(n, 10))
			w.advance(5 * time.Second)
			total, worst := 0.0, 0.0
			for range b.N {
				took := spreadChange(w).Seconds()
				total += took
				worst = max(worst, took)
			}
			b.ReportMetric(total/float64(b.N), "virtual-s/op")
			b.ReportMetric(worst, "virtual-s-worst")
		})
	}
}

// spreadChange applies a change at a random instance and returns the time from when that instance
// holds it until it is in force on all instances.
func spreadChange(w *world) time.Duration {
	n := w.instances[w.random.IntN(len(w.instances))]
	want := n.held.Accepted.Revision + 1
	n.apply()
	for n.held.Accepted.Revision < want {
		w.advance(time.Millisecond)
	}
	start := w.now
	for !w.inForceEverywhere(want) {
		w.advance(50 * time.Millisecond)
	}
	return w.now.Sub(start)
}

func (w *world) inForceEverywhere(revision uint64) bool {
	for _, n := range w.instances {
		if n.up && n.held.Accepted.Revision < revision {
			return false
		}
	}
	return true
}

// BenchmarkControl measures what membership costs one instance per second of virtual time in a
// fleet without faults: bytes and messages sent, and processor time of the simulation, which
// includes the state machines and the encoding of messages.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := newJoinedWorld(n, min(n, 10))
			w.advance(joinSettleTime)
			measureBytes = true
			defer func() { measureBytes = false }()
			w.bytes, w.messages = 0, 0
			b.ResetTimer()
			for range b.N {
				w.advance(time.Second)
			}
			instanceSeconds := float64(b.N * n)
			b.ReportMetric(float64(w.bytes)/instanceSeconds, "B/s/instance")
			b.ReportMetric(float64(w.messages)/instanceSeconds, "messages/s/instance")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/instanceSeconds, "cpu-µs/s/instance")
		})
	}
}

// BenchmarkMemory measures the heap of one membership state machine by the size of the fleet.
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

// fleetRecords returns a function that makes n records. Each call allocates new strings, as
// decoding a message does.
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
