package modelengine

import (
	"container/heap"
	"time"

	"limpethub/internal/engine"
)

// wakeLocked starts the stepping goroutine if there is work and none runs. It ends
// by itself when the engine is idle, so that an idle engine costs nothing.
func (e *Engine) wakeLocked() {
	if e.stepping || e.faults.Paused || len(e.batch)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	go e.step()
}

// step runs batches until no work is left.
func (e *Engine) step() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	next := time.Now()
	for {
		duration, more := e.beginStep()
		if !more {
			return
		}
		next = next.Add(duration)
		if late := time.Until(next); late < -duration {
			next = time.Now()
		}
		timer.Reset(time.Until(next))
		<-timer.C
		e.finishStep()
	}
}

// beginStep fills the batch and returns how long the step takes.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Paused || len(e.batch)+len(e.waiting) == 0 {
		e.stepping = false
		e.recordLocked(time.Now())
		return 0, false
	}
	for len(e.batch) < e.options.MaxBatch && len(e.waiting) > 0 {
		e.startLocked(heap.Pop(&e.waiting).(*run))
	}
	return e.stepTimeLocked(), true
}

func (e *Engine) stepTimeLocked() time.Duration {
	factor := e.faults.SlowFactor
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(float64(e.options.StepTime) * factor)
}

// startLocked moves a waiting run into the batch.
func (e *Engine) startLocked(r *run) {
	if r.ended() {
		return
	}
	if e.starts[r.id] > 0 {
		e.stats.Duplicates++
	}
	e.starts[r.id]++
	r.state = engine.RunRunning
	hit, total := e.prefixes.touch(r.model, r.prompt)
	e.stats.PrefixHits += hit
	e.stats.PrefixTokens += total
	r.prefillLeft = float64(total - hit)
	e.batch = append(e.batch, r)
}

// finishStep reads prompts within the step's budget and gives each run that has
// read its prompt one more token. A slow engine reads no more in its longer steps.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Paused {
		return
	}
	budget := e.options.PrefillPerSecond * e.options.StepTime.Seconds()
	kept := e.batch[:0]
	for _, r := range e.batch {
		read := min(budget, r.prefillLeft)
		budget -= read
		r.prefillLeft -= read
		if r.prefillLeft <= 0 && !r.ended() {
			e.stats.Tokens++
			r.tokens++
			if r.tokens >= r.limit {
				r.state = engine.RunDone
			}
			r.announce()
		}
		if !r.ended() {
			kept = append(kept, r)
		}
	}
	clear(e.batch[len(kept):])
	e.batch = kept
	e.recordLocked(time.Now())
}
