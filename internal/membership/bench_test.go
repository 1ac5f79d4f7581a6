package membership

import (
	"fmt"
	"testing"
)

// BenchmarkChange measures the cost of one member's change in a fleet: merging the claim,
// choosing the heartbeat peers and listing the members.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			names := make([]string, 0, n)
			for i := range n {
				names = append(names, fmt.Sprintf("entry-%04d", i))
			}
			m := newMachineKnowing(names...)
			incarnation := uint64(5)
			for i := 0; b.Loop(); i++ {
				incarnation++
				m.Receive(start, Message{Type: TypeRecords, From: names[0], Records: []Record{
					{Name: names[i%n], Incarnation: incarnation, Status: StatusSuspect},
				}})
				m.heartbeatPeersStale = true
				m.refreshHeartbeatPeers()
				if len(m.Members()) != n+1 {
					b.Fatal("the list of members has the wrong length, want all known members and this instance")
				}
			}
		})
	}
}

// BenchmarkReceive measures one heartbeat: decoding, handling and encoding the answer.
func BenchmarkReceive(b *testing.B) {
	m := newMachineKnowing("a")
	ping, err := Message{Type: TypePing, From: "a", Sequence: 1, Records: []Record{alive("a", 5)}}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		message, err := Decode(ping)
		if err != nil {
			b.Fatal(err)
		}
		for _, sent := range m.Receive(start, message) {
			if _, err := sent.Message.Encode(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
