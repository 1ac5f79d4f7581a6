package bench

import (
	"fmt"
	"time"

	"limpethub/internal/lab/load"
	"limpethub/internal/lab/standin/kvstore"
	"limpethub/internal/lab/standin/modelengine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// Profile is a site with its work.
type Profile struct {
	Name     string
	Document site.Document
	Shape    load.Shape
	Engine   modelengine.Options
	LoadTime time.Duration
}

// Figures of the stand-in engines. Steps are slower than a real engine's, so that
// callers, instances and engines fit on one machine.
const (
	stepTime         = 25 * time.Millisecond
	prefillPerSecond = 8000
	maxBatch         = 8
	maxWaiting       = 64
	prefixBlocks     = 400
	reportLag        = 500 * time.Millisecond
	listLag          = 3 * time.Second
	unloadTime       = 300 * time.Millisecond
	serverMemoryMB   = 80_000
)

func engineOptions() modelengine.Options {
	return modelengine.Options{
		StepTime: stepTime, PrefillPerSecond: prefillPerSecond, MaxBatch: maxBatch,
		MaxWaiting: maxWaiting, PrefixBlocks: prefixBlocks, ReportLag: reportLag, UnloadTime: unloadTime,
	}
}

// Capacity is how many model requests a second the engines can finish when all
// batches are full and no prefix is cached. A request holds its place in a batch while
// its prompt is read and while its answer is generated.
func (p Profile) Capacity() float64 {
	answer, prompt := p.Shape.ModelTokens()
	engines := 0
	for _, server := range p.Document.Servers {
		if server.Kind == site.KindEngine {
			engines++
		}
	}
	held := answer*p.Engine.StepTime.Seconds() + prompt/p.Engine.PrefillPerSecond
	perEngine := min(float64(p.Engine.MaxBatch)/held, p.Engine.PrefillPerSecond/prompt)
	return float64(engines) * perEngine
}

// SiteOptions describes the site for StartSite.
func (p Profile) SiteOptions() SiteOptions {
	return SiteOptions{
		Document: p.Document, Engine: p.Engine, LoadTime: p.LoadTime, ListLag: listLag,
		Store:      kvstore.Options{WritesPerSecond: 400, ReadsPerSecond: 2000},
		Popularity: p.Shape.Popularity(&p.Document),
	}
}

// bursts is how arrivals cluster at both sites.
func bursts() load.Bursts {
	return load.Bursts{CalmMean: 1500 * time.Millisecond, BurstMean: 500 * time.Millisecond, Factor: 2}
}

// Rigline is the site with 12 + 3 servers, 26 models and 60 adapters.
func Rigline() Profile {
	document := site.Document{
		Site:           "rigline",
		FailureDomains: []string{"pnw-a", "pnw-b", "pnw-c"},
		Classes: []site.Class{
			{Name: "appraisal", TimeoutMillis: 3000, Weight: 8, QueueLimit: 400},
			{Name: "report", TimeoutMillis: 4000, Weight: 4, QueueLimit: 400},
			{Name: "desk", TimeoutMillis: 3000, Weight: 4, QueueLimit: 200},
			{Name: "overnight", TimeoutMillis: 8000, Weight: 1, QueueLimit: 1000, FloorShare: 0.05},
		},
		Budgets: site.Budgets{LoadsPerSecond: 1.5, ConcurrentLoads: 6, LoadMillis: 4000, RetryShare: 0.1, StoreCallsPerSecond: 20},
	}
	addServers(&document, "drafting", 12, "desk", 3)
	addUnits(&document, 26, 60, []string{"appraisal", "report", "overnight"}, []int64{18_000, 14_000, 8_000})
	document.Services = []site.Service{{Name: "financing", Servers: []string{"desk-1", "desk-2", "desk-3"}, Class: "desk"}}
	return Profile{
		Name: "rigline", Document: document, Engine: engineOptions(), LoadTime: 2 * time.Second,
		Shape: load.Shape{
			Name: "rigline", ZipfExponent: 0.9, Bursts: bursts(),
			Classes: []load.ClassLoad{
				{Class: "appraisal", Share: 0.25, Timeout: 3 * time.Second, PromptTokens: load.Range{Min: 200, Max: 500}, AnswerTokens: load.Range{Min: 16, Max: 40}, PrefixTokens: 160, Prefixes: 2},
				{Class: "report", Share: 0.35, Timeout: 4 * time.Second, PromptTokens: load.Range{Min: 200, Max: 600}, AnswerTokens: load.Range{Min: 24, Max: 64}, PrefixTokens: 160, Prefixes: 3},
				{Class: "overnight", Share: 0.40, Timeout: 8 * time.Second, PromptTokens: load.Range{Min: 80, Max: 300}, AnswerTokens: load.Range{Min: 16, Max: 64}, PrefixTokens: 64, Prefixes: 4},
			},
			Services: []load.ServiceLoad{{Service: "financing", Class: "desk", PerSecond: 5, Timeout: 3 * time.Second}},
		},
	}
}

// TichyVers is the site with 18 + 3 servers, 40 models and 95 adapters.
func TichyVers() Profile {
	document := site.Document{
		Site:           "tichy-vers",
		FailureDomains: []string{"bts-a", "bts-b", "bts-c"},
		Classes: []site.Class{
			{Name: "storefront", TimeoutMillis: 2500, Weight: 8, QueueLimit: 400},
			{Name: "translation", TimeoutMillis: 4000, Weight: 3, QueueLimit: 400},
			{Name: "review", TimeoutMillis: 8000, Weight: 1, QueueLimit: 1000, FloorShare: 0.05},
		},
		Budgets: site.Budgets{LoadsPerSecond: 2, ConcurrentLoads: 3, LoadMillis: 4000, RetryShare: 0.1, StoreCallsPerSecond: 20},
	}
	addServers(&document, "manuscript", 18, "storefront", 3)
	addUnits(&document, 40, 95, []string{"storefront", "translation", "review"}, []int64{8_000, 14_000, 18_000})
	document.Services = []site.Service{{Name: "orders", Servers: []string{"storefront-1", "storefront-2", "storefront-3"}, Class: "storefront"}}
	return Profile{
		Name: "tichy-vers", Document: document, Engine: engineOptions(), LoadTime: 2 * time.Second,
		Shape: load.Shape{
			Name: "tichy-vers", ZipfExponent: 0.9, Bursts: bursts(),
			Classes: []load.ClassLoad{
				{Class: "storefront", Share: 0.30, Timeout: 2500 * time.Millisecond, PromptTokens: load.Range{Min: 40, Max: 160}, AnswerTokens: load.Range{Min: 8, Max: 24}, PrefixTokens: 32, Prefixes: 2},
				{Class: "translation", Share: 0.30, Timeout: 4 * time.Second, PromptTokens: load.Range{Min: 100, Max: 300}, AnswerTokens: load.Range{Min: 24, Max: 64}, PrefixTokens: 64, Prefixes: 3},
				{Class: "review", Share: 0.40, Timeout: 8 * time.Second, PromptTokens: load.Range{Min: 400, Max: 1200}, AnswerTokens: load.Range{Min: 32, Max: 80}, PrefixTokens: 320, Prefixes: 2},
			},
			Services: []load.ServiceLoad{{Service: "orders", Class: "storefront", PerSecond: 5, Timeout: 2500 * time.Millisecond}},
		},
	}
}

// addServers adds engines and servers of plain services, in turns over the domains.
func addServers(d *site.Document, engines string, nEngines int, services string, nServices int) {
	for i := range nEngines {
		d.Servers = append(d.Servers, site.Server{
			Name: fmt.Sprintf("%s-%d", engines, i+1), Kind: site.KindEngine, Address: "127.0.0.1:1",
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)], Accelerators: 1, MemoryMB: serverMemoryMB,
			HonoursFencing: i%3 != 0, ChecksOrders: i%2 == 0,
		})
	}
	for i := range nServices {
		d.Servers = append(d.Servers, site.Server{
			Name: fmt.Sprintf("%s-%d", services, i+1), Kind: site.KindService, Address: "127.0.0.1:1",
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
		})
	}
}

// adapterMemoryMB is the size of an adapter beside its base.
const adapterMemoryMB = 400

// addUnits adds models of the classes in turns, with the class's size, and adapters on
// the models in turns.
func addUnits(d *site.Document, models, adapters int, classes []string, sizesMB []int64) {
	for i := range models {
		d.Models = append(d.Models, site.Model{
			Name: fmt.Sprintf("model-%02d", i+1), Version: "1", Default: true,
			MemoryMB: sizesMB[i%len(classes)], Class: classes[i%len(classes)],
		})
	}
	for i := range adapters {
		base := d.Models[i%models]
		d.Adapters = append(d.Adapters, site.Adapter{
			Name: fmt.Sprintf("adapter-%02d", i+1), Version: "1", Default: true,
			Base: modelref.New(base.Name, base.Version), MemoryMB: adapterMemoryMB, Class: base.Class,
		})
	}
}
