package placement

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/site"
)

// benchInput returns a site where each unit has two copies. Each unit has the same demand,
// 300 tokens/s per server in total, except that the first model's is ten times as high.
func benchInput(models, adapters, servers int) Input {
	doc := &site.Document{FailureDomains: []string{"a", "b", "c"}, Classes: []site.Class{{Name: "c", Weight: 1}}}
	for i := range models {
		doc.Models = append(doc.Models, site.Model{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryMB: 10000, Class: "c"})
	}
	for i := range adapters {
		doc.Adapters = append(doc.Adapters, site.Adapter{
			Name: fmt.Sprintf("a%d", i), Version: "1", MemoryMB: 300, Base: doc.Models[i%models].Ref(), Class: "c",
		})
	}
	in := Input{Now: time.Unix(0, 0), Document: doc, Budget: Budget{Loads: 1}}
	for i := range servers {
		in.Servers = append(in.Servers, Server{
			Name: fmt.Sprintf("s%d", i), FailureDomain: doc.FailureDomains[i%3], CapacityMB: 50000,
			TokensPerSecond: 1000, Ready: true, Reachable: true,
		})
	}
	for k, u := range doc.Units() {
		model := k
		if k >= models {
			model = (k - models) % models
		}
		in.giveCopy(u, model%servers)
		in.giveCopy(u, (model+1)%servers)
		tokens := float64(servers) * 300 / float64(models+adapters)
		if k == 0 {
			tokens *= 10
		}
		in.Demand = append(in.Demand, demand.Estimate{Ref: u.Ref, Tokens: tokens, Weight: 1})
	}
	return in
}

func (in *Input) giveCopy(u site.Unit, s int) {
	server := &in.Servers[s]
	server.Copies = append(server.Copies, Copy{Ref: u.Ref, State: engine.StateResident, MemoryMB: u.MemoryMB})
	server.CommittedMB += u.MemoryMB
}

// BenchmarkPlan measures the time and memory of one plan: for a site of 40 models, 95
// adapters and 21 servers, for one cell of a large site (14 models, 100 servers), and for
// cells with more models, adapters, or other numbers of servers.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, adapters, servers int }{
		{40, 95, 21}, {14, 0, 100}, {14, 35, 100}, {28, 0, 100}, {56, 0, 100}, {14, 0, 50}, {14, 0, 200},
	} {
		in := benchInput(size.models, size.adapters, size.servers)
		b.Run(fmt.Sprintf("models=%d/adapters=%d/servers=%d", size.models, size.adapters, size.servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewValue().Plan(in)
			}
		})
	}
}

// BenchmarkPlanAllCells measures planning for a site of 1,400 models on 10,000 servers,
// divided into 100 cells.
func BenchmarkPlanAllCells(b *testing.B) {
	in := benchInput(14, 0, 100)
	b.ReportAllocs()
	for b.Loop() {
		for range 100 {
			NewValue().Plan(in)
		}
	}
}
