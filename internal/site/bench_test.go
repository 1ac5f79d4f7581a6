package site

import (
	"encoding/json"
	"fmt"
	"testing"

	"limpethub/internal/modelref"
	"limpethub/internal/strictjson"
)

// largeDocument returns a document of the size that docs/CAPACITY.md plans for.
func largeDocument() Document {
	const models, adapters, servers, domains = 1400, 3000, 10_000, 10
	d := Document{
		Site:    "large",
		Classes: []Class{{Name: "c", TimeoutMillis: 1000, Weight: 1, QueueLimit: 100}},
		Budgets: Budgets{LoadsPerSecond: 1, ConcurrentLoads: 1, LoadMillis: 1000, StoreCallsPerSecond: 1},
	}
	for i := range domains {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%d", i))
	}
	for i := range models {
		d.Models = append(d.Models, Model{Name: fmt.Sprintf("model-%d", i), Version: "1", Default: true, MemoryMB: 10_000, Class: "c"})
	}
	for i := range adapters {
		base := modelref.New(fmt.Sprintf("model-%d", i%models), "1")
		d.Adapters = append(d.Adapters, Adapter{Name: fmt.Sprintf("adapter-%d", i), Version: "1", Default: true, Base: base, MemoryMB: 100, Class: "c"})
	}
	for i := range servers {
		d.Servers = append(d.Servers, Server{
			Name: fmt.Sprintf("server-%d", i), Kind: KindEngine, Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			FailureDomain: fmt.Sprintf("domain-%d", i%domains), Accelerators: 8, MemoryMB: 640_000,
		})
	}
	return d
}

func BenchmarkLarge(b *testing.B) {
	d := largeDocument()
	strictjson.FillLists(&d)
	data, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("parse with itself as overlay", func(b *testing.B) {
		for b.Loop() {
			if _, err := Parse(File{"base", data}, File{"overlay", data}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("verify", func(b *testing.B) {
		for b.Loop() {
			if err := Verify(&d); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("diff", func(b *testing.B) {
		for b.Loop() {
			if _, err := Diff(&d, &d); err != nil {
				b.Fatal(err)
			}
		}
	})
}
