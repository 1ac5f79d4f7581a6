package scheduling

import (
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Each broken variant distorts what a right scheduler is told, so that it breaks one
// promise.
type (
	dropsRefusals    struct{ Scheduler }
	ignoresSilence   struct{ Scheduler }
	ignoresLeaving   struct{ Scheduler }
	repeatsUnclear   struct{ Scheduler }
	forgetsUnclear   struct{ Scheduler }
	ignoresClass     struct{ Scheduler }
	ignoresDeadline  struct{ Scheduler }
	ignoresResidency struct{ Scheduler }
	neverTicks       struct{ Scheduler }
)

func (b dropsRefusals) Tick(now time.Time) []Decision {
	var keep []Decision
	for _, d := range b.Scheduler.Tick(now) {
		if d.Action != Refuse {
			keep = append(keep, d)
		}
	}
	return keep
}

func (b ignoresSilence) ObserveUnreachable(time.Time, string) []Decision { return nil }

func (b ignoresLeaving) ObserveReport(now time.Time, name string, r engine.Report) []Decision {
	r.Leaving = false
	return b.Scheduler.ObserveReport(now, name, r)
}

func (b repeatsUnclear) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	r.Idempotent = true
	return b.Scheduler.Retry(now, r, last)
}

func (b forgetsUnclear) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	if r.Idempotent {
		last.Verdict = verdict.NotRun
	}
	return b.Scheduler.Retry(now, r, last)
}

func (b ignoresClass) Arrive(now time.Time, r request.Request) []Decision {
	r.Class = 2 - r.Class
	return b.Scheduler.Arrive(now, r)
}

func (b ignoresDeadline) Arrive(now time.Time, r request.Request) []Decision {
	r.Deadline = r.Arrived.Add(plenty)
	return b.Scheduler.Arrive(now, r)
}

func (b ignoresResidency) ObserveReport(now time.Time, name string, r engine.Report) []Decision {
	r.Resident = append(r.Resident, "m@1")
	return b.Scheduler.ObserveReport(now, name, r)
}

func (b neverTicks) Tick(time.Time) []Decision { return nil }

// widened has room for twice as many waiting requests.
func widened() Scheduler {
	document := fuzzDocument()
	for i := range document.Classes {
		document.Classes[i].QueueLimit *= 2
	}
	return fixedDocument{fuzzScheduler(document, DefaultPolicy)}
}

type fixedDocument struct{ Scheduler }

func (fixedDocument) SetDocument(time.Time, *site.Document) []Decision { return nil }

// floorless has a floor for the class that must have none.
func floorless() Scheduler {
	document := fuzzDocument()
	document.Classes[1].FloorShare = 0.3
	return fixedDocument{fuzzScheduler(document, DefaultPolicy)}
}

func baseless() Scheduler {
	document := fuzzDocument()
	document.Adapters = nil
	return fixedDocument{fuzzScheduler(document, DefaultPolicy)}
}

func TestOracleCatchesBrokenSchedulers(t *testing.T) {
	right := func() Scheduler { return fuzzScheduler(fuzzDocument(), DefaultPolicy) }
	variants := map[string]func() Scheduler{
		"drops refusals":     func() Scheduler { return dropsRefusals{right()} },
		"ignores silence":    func() Scheduler { return ignoresSilence{right()} },
		"ignores leaving":    func() Scheduler { return ignoresLeaving{right()} },
		"repeats unclear":    func() Scheduler { return repeatsUnclear{right()} },
		"forgets unclear":    func() Scheduler { return forgetsUnclear{right()} },
		"ignores class":      func() Scheduler { return ignoresClass{right()} },
		"ignores deadline":   func() Scheduler { return ignoresDeadline{right()} },
		"ignores residency":  func() Scheduler { return ignoresResidency{right()} },
		"never ticks":        func() Scheduler { return neverTicks{right()} },
		"queue too long":     widened,
		"floor for no floor": floorless,
		"adapter alone":      baseless,
	}
	for name, make := range variants {
		t.Run(name, func(t *testing.T) {
			const seed = 1
			err := newWorld(make(), fuzzDocument(), seeded(seed)).run(fuzzSteps)
			if err == nil {
				t.Fatalf("seed %d: not caught", seed)
			}
			t.Logf("seed %d: caught: %v", seed, err)
		})
	}
}
