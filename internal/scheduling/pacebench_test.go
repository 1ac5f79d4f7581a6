package scheduling

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/scheduling/pace"
)

// BenchmarkRefreshPaces computes the factors of 10,000 servers of which all were measured.
func BenchmarkRefreshPaces(b *testing.B) {
	s, err := New(Options{Instance: "i1", Document: testDocument()})
	if err != nil {
		b.Fatal(err)
	}
	c := s.(*core)
	var list []Server
	for i := range 10_000 {
		list = append(list, Server{Name: fmt.Sprint(i), Pool: "llm", Slots: 16})
	}
	c.SetServers(epoch, list)
	now := epoch
	for b.Loop() {
		b.StopTimer()
		now = now.Add(time.Minute)
		for i, server := range list {
			c.servers[server.Name].pace.Merge(now, pace.Estimate{Light: pace.Part{Factor: 1 + float64(i%100)/100, Weight: 1, Load: 0.2}})
		}
		c.learnsPaces = true
		b.StartTimer()
		c.refreshPaces(now)
	}
}
