package scheduling

import (
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Each variant of a correct scheduler breaks one guarantee: it changes the events that the
// scheduler gets or the decisions that it returns.
type (
	dropsRefusals      struct{ Scheduler }
	ignoresUnreachable struct{ Scheduler }
	ignoresLeaving     struct{ Scheduler }
	retriesMayHaveRun  struct{ Scheduler }
	forgetsMayHaveRun  struct{ Scheduler }
	invertsClasses     struct{ Scheduler }
	ignoresDeadline    struct{ Scheduler }
	ignoresResidency   struct{ Scheduler }
	neverTicks         struct{ Scheduler }
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

func (b ignoresUnreachable) ObserveUnreachable(time.Time, string) []Decision { return nil }

func (b ignoresLeaving) ObserveReport(now time.Time, name string, r engine.Report) []Decision {
	r.Leaving = false
	return b.Scheduler.ObserveReport(now, name, r)
}

func (b retriesMayHaveRun) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	r.Idempotent = true
	return b.Scheduler.Retry(now, r, last)
}

func (b forgetsMayHaveRun) Retry(now time.Time, r request.Request, last Outcome) []Decision {
	if r.Idempotent {
		last.Verdict = verdict.NotRun
	}
	return b.Scheduler.Retry(now, r, last)
}

func (b invertsClasses) Arrive(now time.Time, r request.Request) []Decision {
	r.Class = 2 - r.Class
	return b.Scheduler.Arrive(now, r)
}

func (b ignoresDeadline) Arrive(now time.Time, r request.Request) []Decision {
	r.Deadline = r.Arrived.Add(ampleTime)
	return b.Scheduler.Arrive(now, r)
}

func (b ignoresResidency) ObserveReport(now time.Time, name string, r engine.Report) []Decision {
	r.Resident = append(r.Resident, "m@1")
	return b.Scheduler.ObserveReport(now, name, r)
}

func (b neverTicks) Tick(time.Time) []Decision { return nil }

// withLongerQueues returns a scheduler that lets twice as many requests wait.
func withLongerQueues() Scheduler {
	document := fuzzDocument()
	for i := range document.Classes {
		document.Classes[i].QueueLimit *= 2
	}
	return fixedDocument{fuzzScheduler(document, DefaultPolicy)}
}

// fixedDocument ignores new documents: the fuzz driver would otherwise replace the document
// that breaks the guarantee by the correct one.
type fixedDocument struct{ Scheduler }

func (fixedDocument) SetDocument(time.Time, *site.Document) []Decision { return nil }

// withExtraFloor returns a scheduler with a floor for a class that must not have one.
func withExtraFloor() Scheduler {
	document := fuzzDocument()
	document.Classes[1].FloorShare = 0.3
	return fixedDocument{fuzzScheduler(document, DefaultPolicy)}
}

// withoutAdapters returns a scheduler that doesn't know which adapter needs which base model.
func withoutAdapters() Scheduler {
	document := fuzzDocument()
	document.Adapters = nil
	return fixedDocument{fuzzScheduler(document, DefaultPolicy)}
}

// TestOracleCatchesBrokenSchedulers guards against an oracle that accepts everything: each
// variant breaks one guarantee, and the oracle must find a violation.
func TestOracleCatchesBrokenSchedulers(t *testing.T) {
	correct := func() Scheduler { return fuzzScheduler(fuzzDocument(), DefaultPolicy) }
	variants := map[string]func() Scheduler{
		"drops refusals":            func() Scheduler { return dropsRefusals{correct()} },
		"ignores unreachable":       func() Scheduler { return ignoresUnreachable{correct()} },
		"ignores leaving":           func() Scheduler { return ignoresLeaving{correct()} },
		"retries what may have run": func() Scheduler { return retriesMayHaveRun{correct()} },
		"forgets what may have run": func() Scheduler { return forgetsMayHaveRun{correct()} },
		"inverts classes":           func() Scheduler { return invertsClasses{correct()} },
		"ignores deadline":          func() Scheduler { return ignoresDeadline{correct()} },
		"ignores residency":         func() Scheduler { return ignoresResidency{correct()} },
		"never ticks":               func() Scheduler { return neverTicks{correct()} },
		"queue too long":            withLongerQueues,
		"extra floor":               withExtraFloor,
		"adapter without its base":  withoutAdapters,
	}
	for name, make := range variants {
		t.Run(name, func(t *testing.T) {
			const seed = 1
			err := newFuzzDriver(make(), fuzzDocument(), seeded(seed)).run(fuzzSteps)
			if err == nil {
				t.Fatalf("seed %d: the oracle found no violation", seed)
			}
			t.Logf("seed %d: violation found: %v", seed, err)
		})
	}
}
