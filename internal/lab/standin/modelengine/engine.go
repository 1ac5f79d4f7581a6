// Package modelengine stands in for a model engine: continuous batching in steps,
// a prefix cache, a queue by priority and deadline, strictly accounted memory, and
// orders. It speaks the protocol of docs/ENGINES.md. Each fault can be switched
// while it runs.
package modelengine

import (
	"context"
	"maps"
	"sync"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// WeightStore is where an engine loads from.
type WeightStore interface {
	Load(ctx context.Context, memoryMB int64) error
}

// Options describes an engine.
type Options struct {
	// Name is the server's name in the configuration.
	Name string
	// MemoryMB is the size of the accelerator's memory, in MiB.
	MemoryMB int64
	// StepTime is the duration of one decode step.
	StepTime time.Duration
	// PrefillPerSecond is how many prompt tokens the engine reads in a second.
	PrefillPerSecond float64
	// MaxBatch is how many requests run at once.
	MaxBatch int
	// MaxWaiting is how many requests may wait; more are refused as overloaded.
	MaxWaiting int
	// PrefixBlocks is how many prompt blocks the prefix cache holds.
	PrefixBlocks int
	// CacheEventLag is how late cache events come.
	CacheEventLag time.Duration
	// ReportLag is how old a report is when it is read.
	ReportLag time.Duration
	// UnloadTime is how long an unload takes.
	UnloadTime time.Duration
	// HonoursFencing makes the engine refuse orders with an old fencing number.
	HonoursFencing bool
	// OrderToken, if set, must come with each order.
	OrderToken string
	// Weights is the weight store; nil means that loads take no time.
	Weights WeightStore
}

// Faults are the ways in which an engine can misbehave. They can be set while it runs.
type Faults struct {
	// SlowFactor multiplies the duration of steps; 0 means 1.
	SlowFactor float64
	// Paused freezes all steps and loads, and all answers.
	Paused bool
	// LoseOrders drops orders without effect and without an answer.
	LoseOrders bool
	// DelayOrders applies orders that much later, long after their answer.
	DelayOrders time.Duration
	// LoseOrderAnswers applies orders and closes the connection without an answer.
	LoseOrderAnswers bool
	// CutAfter ends each stream cleanly, without its end marker, after that many
	// events; 0 means never.
	CutAfter int
	// WrongIDAfter gives events the id of another request after that many; 0 never.
	WrongIDAfter int
	// DropEvery leaves out each n-th event; 0 means none.
	DropEvery int
	// ReportLag, if positive, replaces the lag of reports.
	ReportLag time.Duration
	// LoseCacheEvery makes each n-th cache event get lost; 0 means none.
	LoseCacheEvery int
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	options Options

	mu          sync.Mutex
	incarnation int
	faults      Faults
	leaving     bool
	role        string
	fence       uint64
	holdings    map[modelref.Ref]*holding
	orders      []engine.OrderOutcome
	runs        map[request.ID]*run
	// starts counts how often each request began to run. A restart doesn't clear it.
	starts   map[request.ID]int
	waiting  runQueue
	batch    []*run
	prefixes *prefixCache
	history  reportHistory
	stats    Stats
	sequence uint64
	stepping bool
	life     context.Context
	end      context.CancelFunc
}

// Stats counts what the engine has done.
type Stats struct {
	// Requests is how many were accepted.
	Requests int `json:"requests"`
	// Refused counts refusals by reason.
	Refused map[engine.RefusalReason]int `json:"refused"`
	// Tokens is how many tokens were generated.
	Tokens int `json:"tokens"`
	// Loads and Unloads count moves that were begun.
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	// PeakMemoryMB is the most memory ever needed, in MiB, refused loads included.
	PeakMemoryMB int64 `json:"peak_memory_mb"`
	// MemoryViolations counts loads that would have exceeded the memory.
	MemoryViolations int `json:"memory_violations"`
	// OrdersUnchecked counts orders with a wrong token.
	OrdersUnchecked int `json:"orders_unchecked"`
	// StaleOrders counts orders refused for their fencing number.
	StaleOrders int `json:"stale_orders"`
	// Duplicates counts requests whose id had begun to run before.
	Duplicates int `json:"duplicates"`
	// PrefixHits and PrefixTokens count prompt tokens found in the cache and in all.
	PrefixHits   int `json:"prefix_hits"`
	PrefixTokens int `json:"prefix_tokens"`
}

// New returns an engine with empty memory.
func New(o Options) *Engine {
	e := &Engine{options: o, starts: map[request.ID]int{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetLocked()
	e.stats.Refused = map[engine.RefusalReason]int{}
	return e
}

// resetLocked empties what a process loses when it restarts.
func (e *Engine) resetLocked() {
	e.incarnation++
	e.holdings = map[modelref.Ref]*holding{}
	e.runs = map[request.ID]*run{}
	e.waiting = nil
	e.batch = nil
	e.orders = nil
	e.fence = 0
	e.leaving = false
	e.prefixes = newPrefixCache(e.options.PrefixBlocks)
	e.prefixes.loseEvery = e.faults.LoseCacheEvery
	e.life, e.end = context.WithCancel(context.Background())
}

// Restart loses all requests, memory and orders, as a process that died does.
// Counts stay.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	for _, r := range e.runs {
		r.finish(engine.RunUnknown)
	}
	e.resetLocked()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.prefixes.loseEvery = f.LoseCacheEvery
	e.wakeLocked()
}

// Faults returns the faults now set.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetLeaving makes the engine refuse new work, or take it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLocked(time.Now())
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Refused = maps.Clone(e.stats.Refused)
	return out
}

// Runs returns how often the request with the id began to run, restarts included.
func (e *Engine) Runs(id request.ID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[id]
}

// RunCounts returns how often each request began to run.
func (e *Engine) RunCounts() map[request.ID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.starts)
}
