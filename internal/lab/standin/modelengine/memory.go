package modelengine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// drainPoll is how often an unload looks whether the last run has ended.
const drainPoll = 10 * time.Millisecond

// holding is one version in memory.
type holding struct {
	ref, base modelref.Ref
	memoryMB  int64
	state     engine.HoldingState
}

func (e *Engine) usedLocked() int64 {
	var used int64
	for _, h := range e.holdings {
		used += h.memoryMB
	}
	return used
}

func (e *Engine) sortedLocked() []*holding {
	out := make([]*holding, 0, len(e.holdings))
	for _, h := range e.holdings {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *holding) int { return strings.Compare(string(a.ref), string(b.ref)) })
	return out
}

// Preload puts a version into memory at once, as at the start of a process.
func (e *Engine) Preload(ref, base modelref.Ref, memoryMB int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.reserveLocked(ref, base, memoryMB); reason != "" {
		return fmt.Errorf("modelengine: preload %s: %s", ref, reason)
	}
	e.holdings[ref].state = engine.StateResident
	e.recordLocked(time.Now())
	return nil
}

// reserveLocked takes memory for a load. It returns why it can't, or "".
func (e *Engine) reserveLocked(ref, base modelref.Ref, memoryMB int64) string {
	if _, held := e.holdings[ref]; held {
		return "already held"
	}
	if base != "" && !e.servesLocked(base) {
		return "base is not resident"
	}
	needed := e.usedLocked() + memoryMB
	e.stats.PeakMemoryMB = max(e.stats.PeakMemoryMB, needed)
	if needed > e.options.MemoryMB {
		e.stats.MemoryViolations++
		return "out of memory"
	}
	e.holdings[ref] = &holding{ref: ref, base: base, memoryMB: memoryMB, state: engine.StateLoading}
	return ""
}

// servesLocked reports whether a version can serve now: it and its base are resident.
func (e *Engine) servesLocked(ref modelref.Ref) bool {
	h, ok := e.holdings[ref]
	if !ok || h.state != engine.StateResident {
		return false
	}
	return h.base == "" || e.servesLocked(h.base)
}

// releaseLocked begins an unload. It returns why it can't, or "".
func (e *Engine) releaseLocked(ref modelref.Ref) string {
	h, ok := e.holdings[ref]
	if !ok {
		return "not held"
	}
	if h.state != engine.StateResident {
		return "not resident"
	}
	for _, other := range e.holdings {
		if other.base == ref {
			return "adapters depend on it"
		}
	}
	h.state = engine.StateUnloading
	return ""
}

// busyLocked reports whether requests of a version are in the engine.
func (e *Engine) busyLocked(ref modelref.Ref) bool {
	for _, r := range e.batch {
		if r.model == ref {
			return true
		}
	}
	for _, r := range e.waiting {
		if r.model == ref && !r.ended() {
			return true
		}
	}
	return false
}

// inventory returns the exact account.
func (e *Engine) inventory() engine.Inventory {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.Inventory{
		Incarnation: e.options.Name + "/" + strconv.Itoa(e.incarnation),
		MemoryMB:    e.options.MemoryMB,
		Holdings:    make([]engine.Holding, 0, len(e.holdings)),
		Orders:      slices.Clone(e.orders),
		Role:        e.role,
	}
	if e.options.HonoursFencing {
		out.Fence = e.fence
	}
	for _, h := range e.sortedLocked() {
		out.Holdings = append(out.Holdings, engine.Holding{Ref: h.ref, MemoryMB: h.memoryMB, State: h.state})
	}
	return out
}
