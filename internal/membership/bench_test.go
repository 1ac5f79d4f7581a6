package membership

import (
	"fmt"
	"testing"
)

// BenchmarkChange measures what the change of one member costs in a fleet: the
// claims, the choice of peers, and the new list of members.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			names := make([]string, 0, n)
			for i := range n {
				names = append(names, fmt.Sprintf("entry-%04d", i))
			}
			m := knowing(names...)
			incarnation := uint64(5)
			for i := 0; b.Loop(); i++ {
				incarnation++
				m.Receive(start, Message{Type: TypeRecords, From: names[0], Records: []Record{
					{Name: names[i%n], Incarnation: incarnation, Status: StatusSuspect},
				}})
				m.stale = true
				m.refreshSubjects()
				if len(m.Members()) != n+1 {
					b.Fatal("members are missing")
				}
			}
		})
	}
}

// BenchmarkReceive measures a heartbeat: decoding, answering, encoding.
func BenchmarkReceive(b *testing.B) {
	m := knowing("a")
	ping, err := Message{Type: TypePing, From: "a", Sequence: 1, Records: []Record{alive("a", 5)}}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		message, err := Decode(ping)
		if err != nil {
			b.Fatal(err)
		}
		for _, send := range m.Receive(start, message) {
			if _, err := send.Message.Encode(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
