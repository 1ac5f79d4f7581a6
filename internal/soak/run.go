package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"limpethub/platform/standin"
)

// DefaultSize is the size of a run without other flags.
var DefaultSize = Size{Instances: 4, Plain: 3, Engines: 4, Length: 20 * time.Second}

// Options holds the parameters of a run.
type Options struct {
	Seed uint64
	Size Size
	// Events is run instead of the schedule of the seed, unless it is nil.
	Events []Event
	// Binary is the path of the compiled daemon. Dir is the directory for settings and logs.
	Binary, Dir string
	// Callers is the number of concurrent callers.
	Callers int
	// Subnet is a number from 1 to 60,000 for the instances' addresses. Runs at the same time
	// need different ones.
	Subnet int
}

// Report is the result of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Size       Size        `json:"size"`
	Events     []Event     `json:"events"`
	Violations []Violation `json:"violations"`
	Tally      *tally      `json:"tally"`
	// Recovered is how long after the last fault every request was served again. If that didn't
	// happen, it is how long the run waited for it. It is 0 if the run could not take place.
	Recovered time.Duration `json:"recovered"`
	// Failure says why the run could not take place; it is empty if it did.
	Failure string `json:"failure,omitempty"`
}

// Failed reports whether a promise was broken or the run could not take place.
func (r Report) Failed() bool { return len(r.Violations) > 0 || r.Failure != "" }

// limits holds the bounds from the site's settings and the platform's documentation. The bounds
// written with named constants follow the settings and the configuration that the site writes.
var limits = Limits{
	MemoryMB: engineMB, ModelMB: modelMB, AdapterSlots: adapterSlots,
	OrderLag: 2 * time.Second, LeaveLag: 2 * time.Second, InForceLag: 3 * time.Second,
	MaxStopTime: (graceSeconds + 4) * time.Second,
	LateCrashes: 3, CrashLag: 3 * time.Second,
	LimitFactor: 1.5, LimitSlack: 5, LimitLag: 3 * time.Second, LimitToldLag: 500 * time.Millisecond, LimitWindow: 4 * time.Second,
	RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: 10 * time.Second,
}

// recoveryTimeout is how long after the last fault every request must be served again.
const recoveryTimeout = 15 * time.Second

// Run runs one schedule against a new site.
func Run(ctx context.Context, o Options) Report {
	if o.Events == nil {
		o.Events = Plan(o.Seed, o.Size)
	}
	report := Report{Seed: o.Seed, Size: o.Size, Events: o.Events, Tally: &tally{Answers: map[string]int{}}}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		report.Failure = err.Error()
		return report
	}
	judge := NewJudge(limits, o.Events)
	judge.instances = o.Size.Instances
	s, err := newSite(ctx, o, judge, o.Subnet)
	defer s.close()
	if err != nil {
		report.Failure = err.Error()
		return report
	}
	report.Recovered = s.runUnderLoad(ctx, o, report.Tally)
	if err := checkRefusedForCrashes(o.Dir, judge, s.now()); err != nil {
		report.Failure = err.Error()
	}
	judge.CheckCuts()
	report.Violations = judge.Violations()
	return report
}

// runUnderLoad runs the schedule while callers send requests, then measures how long it takes
// until every request is served again.
func (s *site) runUnderLoad(ctx context.Context, o Options, t *tally) (recovered time.Duration) {
	loadCtx, cancel := context.WithCancel(ctx)
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		s.runCallers(loadCtx, o.Seed, o.Callers, t)
	}()
	// Times of events count from here, the judge's from the start of the run.
	begin := time.Now()
	s.judge.setScheduleStart(s.now())
	s.runSchedule(o.Events, begin, ctx.Done())
	recovered = s.checkRecovery(ctx)
	s.changeConfigurationAfterFaults(ctx)
	cancel()
	<-loadEnded
	return recovered
}

// changesAfterFaults is how many configurations are written after the last fault.
const changesAfterFaults = 2

// changeConfigurationAfterFaults writes configurations once no fault excuses a delay any more, each
// with time for the probes to find it late. Without this, faults would excuse nearly all delays.
func (s *site) changeConfigurationAfterFaults(ctx context.Context) {
	sleepUntil(time.Now().Add(faultMargin), ctx.Done())
	for range changesAfterFaults {
		s.writeConfiguration()
		sleepUntil(time.Now().Add(limits.InForceLag+time.Second), ctx.Done())
	}
}

// checkRecovery sends requests of all kinds to each instance, in rounds, until a round in which
// all succeed. It returns how long that took, and records a violation after recoveryTimeout.
func (s *site) checkRecovery(ctx context.Context) (took time.Duration) {
	caller := standin.NewCaller()
	defer caller.Close()
	var failing string
	began := time.Now()
	for n, end := 0, time.Now().Add(recoveryTimeout); time.Now().Before(end) && ctx.Err() == nil; n++ {
		if failing = s.findFailing(ctx, caller, n); failing == "" {
			return time.Since(began)
		}
		time.Sleep(roundPause)
	}
	if ctx.Err() == nil {
		s.judge.RecordViolation(Recovery, s.now(), "after %s: %s", recoveryTimeout, failing)
	}
	return time.Since(began)
}

// findFailing sends requests of all kinds, for all models, to every instance at once. It
// describes the first failed request of each instance; the result is empty if none failed.
func (s *site) findFailing(ctx context.Context, caller *standin.Caller, round int) string {
	failures := make([]string, len(s.instances))
	var wg sync.WaitGroup
	for n, i := range s.instances {
		wg.Go(func() { failures[n] = s.findFailingAt(ctx, caller, i, round) })
	}
	wg.Wait()
	return strings.Join(slices.DeleteFunc(failures, func(what string) bool { return what == "" }), "; ")
}

// findFailingAt sends requests of all kinds, for all models, to one instance, and describes the
// first that failed.
func (s *site) findFailingAt(ctx context.Context, caller *standin.Caller, i *instance, round int) string {
	models, requestKinds := []string{"", ""}, []RequestKind{NonIdempotent, Idempotent}
	for _, model := range s.models {
		models, requestKinds = append(models, model, model+"/a1"), append(requestKinds, Stream, Stream)
	}
	for n, model := range models {
		r := s.sendRequest(ctx, caller, i, Request{ID: fmt.Sprintf("r%d-%d-%d", round, i.number, n), Kind: requestKinds[n]}, model)
		if r.Answer.Err != nil || r.Answer.Status != http.StatusOK {
			return fmt.Sprintf("instance %d, request kind %d, model %q: status %d, error %v", i.number, requestKinds[n], model, r.Answer.Status, r.Answer.Err)
		}
	}
	return ""
}

// Write writes the report to report.json in a directory.
func (r Report) Write(dir string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("soak: encode report: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o600)
}
