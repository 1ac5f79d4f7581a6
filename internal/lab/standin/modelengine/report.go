package modelengine

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// Limits of the history from which lagging reports are read.
const (
	historySpacing = 20 * time.Millisecond
	historyLength  = 512
)

// reportHistory holds past reports, the oldest first.
type reportHistory []engine.Report

// at returns the newest report that is no younger than the given time; the oldest
// one if all are younger.
func (h reportHistory) at(when time.Time) engine.Report {
	found := h[0]
	for _, report := range h {
		if report.Taken.After(when) {
			break
		}
		found = report
	}
	return found
}

// recordLocked adds the present state to the history.
func (e *Engine) recordLocked(now time.Time) {
	if n := len(e.history); n > 0 && now.Sub(e.history[n-1].Taken) < historySpacing && e.stepping {
		return
	}
	e.sequence++
	e.history = append(e.history, e.reportLocked(now))
	if len(e.history) > historyLength {
		e.history = append(e.history[:0], e.history[historyLength/2:]...)
	}
}

func (e *Engine) reportLocked(now time.Time) engine.Report {
	report := engine.Report{
		Sequence:      e.sequence,
		Taken:         now,
		Running:       len(e.batch),
		Waiting:       len(e.waiting),
		WaitingTokens: e.waiting.waitingTokens(),
		MaxBatch:      e.options.MaxBatch,
		StepMillis:    float64(e.stepTimeLocked()) / float64(time.Millisecond),
		Leaving:       e.leaving,
	}
	report.Resident = e.residentLocked()
	return report
}

// residentLocked lists what can serve now, sorted.
func (e *Engine) residentLocked() []modelref.Ref {
	out := make([]modelref.Ref, 0, len(e.holdings))
	for _, h := range e.sortedLocked() {
		if h.state == engine.StateResident {
			out = append(out, h.ref)
		}
	}
	return out
}

// report returns the lagging report.
func (e *Engine) report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.recordLocked(now)
	lag := e.options.ReportLag
	if e.faults.ReportLag > 0 {
		lag = e.faults.ReportLag
	}
	return e.history.at(now.Add(-lag))
}
