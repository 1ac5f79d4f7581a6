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

// DefaultSize is that of a usual run.
var DefaultSize = Size{Instances: 4, Plain: 3, Engines: 4, Length: 20 * time.Second}

// Options are what a run needs.
type Options struct {
	Seed uint64
	Size Size
	// Events replaces the schedule of the seed if it isn't nil.
	Events []Event
	// Binary is the daemon's program, and Dir a folder for settings and logs.
	Binary, Dir string
	// Callers is how many callers ask at the same time.
	Callers int
	// Subnet keeps the addresses of runs at the same time apart: 1 to 60,000.
	Subnet int
}

// Report is how a run ended.
type Report struct {
	Seed       uint64      `json:"seed"`
	Size       Size        `json:"size"`
	Events     []Event     `json:"events"`
	Violations []Violation `json:"violations"`
	Tally      *tally      `json:"tally"`
	// Recovered is how long after the last fault all was served again.
	Recovered time.Duration `json:"recovered"`
	// Failure is why the run couldn't be played, if it couldn't.
	Failure string `json:"failure,omitempty"`
}

// Failed reports whether a promise was broken, or nothing could be said.
func (r Report) Failed() bool { return len(r.Violations) > 0 || r.Failure != "" }

// limits are the bounds that the site's settings and the pages give.
var limits = Limits{
	MemoryMB: engineMB, SizeMB: modelMB, AdapterSlots: adapterSlots,
	OrderLag: 2 * time.Second, LeaveLag: 2 * time.Second, InForceLag: 3 * time.Second,
	StopTime:    (graceSeconds + 4) * time.Second,
	RepeatRatio: repeatRatio, RepeatSlack: repeatSlack, RepeatWindow: 10 * time.Second,
}

// recoverLimit is how long after the last fault all must be served again.
const recoverLimit = 15 * time.Second

// Run plays one schedule.
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
	s, err := newSite(ctx, o, judge, o.Subnet)
	defer s.close()
	if err != nil {
		report.Failure = err.Error()
		return report
	}
	report.Recovered = s.playAll(ctx, o, report.Tally)
	report.Violations = judge.Violations()
	return report
}

// playAll plays the schedule under load, then looks how soon all is served again.
func (s *site) playAll(ctx context.Context, o Options, t *tally) (recovered time.Duration) {
	load, cancel := context.WithCancel(ctx)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		s.load(load, o.Seed, o.Callers, t)
	}()
	// Times of events count from the run's begin, as the judge's do.
	begin := time.Now()
	s.judge.shift(s.now())
	s.play(o.Events, begin, ctx.Done())
	recovered = s.checkRecovery(ctx)
	cancel()
	<-loaded
	return recovered
}

// checkRecovery asks each instance for everything until all of it is served.
func (s *site) checkRecovery(ctx context.Context) (took time.Duration) {
	caller := standin.NewCaller()
	defer caller.Close()
	var missing string
	began := time.Now()
	for n, end := 0, time.Now().Add(recoverLimit); time.Now().Before(end) && ctx.Err() == nil; n++ {
		if missing = s.missing(ctx, caller, n); missing == "" {
			return time.Since(began)
		}
		time.Sleep(probePeriod)
	}
	if ctx.Err() == nil {
		s.judge.Broken(Recovery, s.now(), "after %s: %s", recoverLimit, missing)
	}
	return time.Since(began)
}

// missing asks all instances for all kinds and models, and names one that failed on each.
func (s *site) missing(ctx context.Context, caller *standin.Caller, round int) string {
	found := make([]string, len(s.instances))
	var all sync.WaitGroup
	for n, i := range s.instances {
		all.Go(func() { found[n] = s.missingAt(ctx, caller, i, round) })
	}
	all.Wait()
	return strings.Join(slices.DeleteFunc(found, func(what string) bool { return what == "" }), "; ")
}

// missingAt asks one instance for all kinds and models, and names the first that failed.
func (s *site) missingAt(ctx context.Context, caller *standin.Caller, i *instance, round int) string {
	models, kinds := []string{"", ""}, []RequestKind{Unsafe, Safe}
	for _, model := range s.models {
		models, kinds = append(models, model, model+"/a1"), append(kinds, Stream, Stream)
	}
	for n, model := range models {
		r := s.ask(ctx, caller, i, Request{ID: fmt.Sprintf("r%d-%d-%d", round, i.number, n), Kind: kinds[n]}, model)
		if r.Answer.Err != nil || r.Answer.Status != http.StatusOK {
			return fmt.Sprintf("instance %d, kind %d, model %q: status %d, %v", i.number, kinds[n], model, r.Answer.Status, r.Answer.Err)
		}
	}
	return ""
}

// Write keeps the report in a folder.
func (r Report) Write(dir string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("soak: encode report: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o600)
}
