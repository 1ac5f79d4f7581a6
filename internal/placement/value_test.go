package placement

import (
	"errors"
	"strings"
	"testing"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// smallInput returns a site of two models on three servers of 100 MiB. Servers a and c are
// in failure domain x, b is in y. big (60 MiB) is resident on a and b, small (40 MiB) on
// all three.
func smallInput() Input {
	doc := &site.Document{
		FailureDomains: []string{"x", "y"},
		Classes:        []site.Class{{Name: "urgent", Weight: 4}, {Name: "night", Weight: 1}},
		Models: []site.Model{
			{Name: "big", Version: "1", MemoryMB: 60, Class: "urgent"},
			{Name: "small", Version: "1", MemoryMB: 40, Class: "night"},
		},
	}
	server := func(name, domain string, refs ...modelref.Ref) Server {
		s := Server{Name: name, FailureDomain: domain, CapacityMB: 100, TokensPerSecond: 1000, Ready: true, Reachable: true}
		for _, ref := range refs {
			size := int64(60)
			if ref == "small@1" {
				size = 40
			}
			s.Copies = append(s.Copies, Copy{Ref: ref, State: engine.StateResident, MemoryMB: size})
			s.CommittedMB += size
		}
		return s
	}
	return Input{
		Document: doc,
		Servers: []Server{
			server("a", "x", "big@1", "small@1"), server("b", "y", "big@1", "small@1"), server("c", "x", "small@1"),
		},
		Budget: Budget{Loads: 1},
	}
}

func describeMoves(p Plan) string {
	var out []string
	for _, m := range p.Moves {
		out = append(out, string(m.Action)+" "+string(m.Ref)+" "+m.Server)
	}
	return strings.Join(out, ", ")
}

func TestPlans(t *testing.T) {
	cases := []struct {
		name   string
		change func(in *Input)
		want   string
	}{
		{"nothing to do", func(*Input) {}, ""},
		// small@1 is lost from b as well, but the budget allows one load per plan.
		{"lost copy is restored in the other failure domain", func(in *Input) {
			in.Servers[1].Copies, in.Servers[1].CommittedMB = nil, 0
		}, "load big@1 b"},
		{"hot model gets a third copy", func(in *Input) {
			in.Demand = []demand.Estimate{{Ref: "big@1", Tokens: 3000, Weight: 4}}
		}, "load big@1 c"},
		// The demand exceeds the capacity of two copies, 2 x 1000 x 0.75 = 1500 tokens/s,
		// by 60 tokens/s.
		{"small excess demand moves nothing", func(in *Input) {
			in.Demand = []demand.Estimate{{Ref: "big@1", Tokens: 1560, Weight: 4}}
		}, ""},
		{"no demand copies while IgnoreDemand is set", func(in *Input) {
			in.Demand = []demand.Estimate{{Ref: "big@1", Tokens: 3000, Weight: 4}}
			in.IgnoreDemand = true
		}, ""},
		{"no load without budget", func(in *Input) {
			in.Demand = []demand.Estimate{{Ref: "big@1", Tokens: 3000, Weight: 4}}
			in.Budget.Loads = 0
		}, ""},
		{"removed version is unloaded", func(in *Input) {
			in.Document.Models = in.Document.Models[:1]
		}, "unload small@1 a, unload small@1 b, unload small@1 c"},
		{"copies on a leaving server don't count", func(in *Input) {
			in.Servers[0].Leaving = true
		}, "load big@1 c"},
		{"a redundant copy is evicted for a first copy", func(in *Input) {
			in.Document.Models = append(in.Document.Models, site.Model{Name: "new", Version: "1", MemoryMB: 70, Class: "urgent"})
		}, "unload small@1 c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := smallInput()
			c.change(&in)
			if got := describeMoves(NewValue().Plan(in)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestCheckFit(t *testing.T) {
	doc := smallInput().Document
	doc.Servers = []site.Server{{Name: "a", Kind: site.KindEngine, MemoryMB: 100}}
	if err := CheckFit(doc); err != nil {
		t.Errorf("CheckFit of an exact fit: got %v, want nil", err)
	}
	doc.Adapters = []site.Adapter{{Name: "ad", Version: "1", Base: "big@1", MemoryMB: 1}}
	var fitErr *FitError
	if err := CheckFit(doc); !errors.As(err, &fitErr) || !strings.Contains(err.Error(), "takes 101 MiB") {
		t.Errorf("CheckFit: got %v, want a FitError with the sum 101 MiB", err)
	}
	doc.Servers[0].MemoryMB = 60
	doc.Servers = append(doc.Servers, site.Server{Name: "b", Kind: site.KindEngine, MemoryMB: 60})
	if err := CheckFit(doc); !errors.As(err, &fitErr) || fitErr.Ref != "ad@1" {
		t.Errorf("CheckFit: got %v, want a FitError for ad@1, which fits on no server together with its base", err)
	}
}
