package residency

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// benchmarkSnapshot returns a pool in which each server holds three models and most of their
// adapters. A tenth of the models have requests and lack one copy each.
func benchmarkSnapshot(servers, models, adapters int) Snapshot {
	now := time.Unix(1000, 0)
	s := Snapshot{Now: now, Needs: map[modelref.Ref]Need{}, WeightStoreLoads: 3}
	for i := range models {
		s.Models = append(s.Models, Model{Ref: model(i), MemoryMB: 70, WeightStoreLoadTime: 4 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 400 * time.Millisecond})
		if i%10 == 0 {
			s.Needs[model(i)] = Need{Load: 2, HeldLoad: 2, LastUsed: now}
		}
	}
	for i := range adapters {
		a := Adapter{Ref: modelref.Ref(fmt.Sprintf("m%02d/a%d@1", i%models, i)), Base: model(i % models), MemoryMB: 1}
		s.Adapters = append(s.Adapters, a)
		if i%5 == 0 {
			s.Needs[a.Ref] = Need{Load: 0.1, HeldLoad: 0.1, Waiting: i % 2, LastUsed: now}
		}
	}
	for i := range servers {
		v := ServerView{ID: fmt.Sprintf("s%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Ready: true, MemoryMB: 220, AdapterSlots: 8,
			Models: map[modelref.Ref]engine.HoldingState{}, Adapters: map[modelref.Ref]engine.HoldingState{},
			InMemory: map[modelref.Ref]bool{}, OnDisk: map[modelref.Ref]bool{}, Requests: i % 7}
		for k := range 3 {
			m := (i*3 + k) % models
			v.Models[model(m)] = engine.StateResident
			for n := m; n < adapters && len(v.Adapters) < 7; n += models {
				v.Adapters[s.Adapters[n].Ref] = engine.StateResident
			}
		}
		for k := range models {
			if (k+i)%4 == 0 {
				v.OnDisk[model(k)] = true
			}
		}
		s.Servers = append(s.Servers, v)
	}
	return s
}

// BenchmarkPlan measures one plan, from a small pool to the largest one expected.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, models, adapters int }{{4, 10, 25}, {60, 130, 300}, {150, 250, 750}, {10_000, 1_400, 4_000}} {
		b.Run(fmt.Sprintf("%dx%d", size.servers, size.models), func(b *testing.B) {
			s := benchmarkSnapshot(size.servers, size.models, size.adapters)
			b.ReportAllocs()
			for b.Loop() {
				Plan(s)
			}
		})
	}
}
