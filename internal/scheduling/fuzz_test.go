package scheduling

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling/routing"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

const (
	// ampleTime is longer than any request takes in the fuzz tests.
	ampleTime = 10 * time.Minute
	// fuzzSteps is the number of steps of one check; TestMain sets the number of checks.
	fuzzSteps   = 2000
	fuzzServers = 5
)

// draw returns a random number from 0 to n-1.
type draw func(label string, n int) int

// fuzzDriver sends random events to a scheduler and lets an oracle check each decision.
type fuzzDriver struct {
	*oracle
	s              Scheduler
	draw           draw
	now            time.Time
	requestCount   int
	reportSequence uint64
}

func fuzzDocument() *site.Document {
	d := testDocument()
	d.Classes = []site.Class{
		{Name: "urgent", TimeoutMillis: 1000, Weight: 10, QueueLimit: 6},
		{Name: "normal", TimeoutMillis: 1000, Weight: 3, QueueLimit: 5},
		{Name: "overnight", TimeoutMillis: 1000, Weight: 1, QueueLimit: 4, FloorShare: 0.1},
	}
	d.Models = append(d.Models, site.Model{Name: "n", Version: "1", Class: "normal", MemoryMB: 1})
	return d
}

func newFuzzDriver(s Scheduler, document *site.Document, d draw) *fuzzDriver {
	f := &fuzzDriver{oracle: newOracle(document), s: s, draw: d, now: epoch}
	f.setServers(fuzzServers)
	return f
}

func (f *fuzzDriver) setServers(n int) []Decision {
	for _, s := range f.servers {
		s.listed = false
	}
	var list []Server
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		info := Server{Name: name, Near: i%2 == 0, Leaving: f.draw("leaving", 8) == 0}
		if i == 0 {
			info.Services = []string{"forms"}
		}
		s := f.servers[name]
		if s == nil {
			s = &serverState{backoffUntil: map[modelref.Ref]time.Time{}}
			f.servers[name] = s
		}
		s.Server, s.listed = info, true
		list = append(list, info)
	}
	for _, s := range f.servers {
		if !s.listed {
			s.resident = nil
		}
	}
	return f.s.SetServers(f.now, list)
}

// step advances the time and sends one random event to the scheduler.
func (f *fuzzDriver) step() error {
	f.now = f.now.Add(time.Duration(f.draw("pass", 200)) * time.Millisecond)
	var out []Decision
	switch f.draw("event", 13) {
	case 12:
		return f.duplicate()
	case 0, 1, 2, 3:
		out = f.arrive()
	case 4, 5, 6:
		out = f.finish()
	case 7, 8:
		out = f.report()
	case 9:
		out = f.randomChange()
	case 10:
		out = f.s.ObserveDigest(f.now, ServerDigest{
			Instance: fmt.Sprintf("i%d", 2+f.draw("peer", 2)), Server: fmt.Sprintf("s%d", f.draw("server", fuzzServers)),
			Outstanding: f.draw("outstanding", 4), Sequence: uint64(f.now.UnixMilli()),
		})
	case 11:
		return f.tick()
	}
	if err := f.apply(f.now, out); err != nil {
		return err
	}
	f.dropEnded()
	return nil
}

// tick calls Tick and checks that nothing waits past its deadline.
func (f *fuzzDriver) tick() error {
	if err := f.apply(f.now, f.s.Tick(f.now)); err != nil {
		return err
	}
	return f.checkTick(f.now, f.s.NextTick())
}

// duplicate sends a request again that is in progress on the instance.
func (f *fuzzDriver) duplicate() error {
	r := f.pick([]int{phaseWaiting, phaseRunning}[f.draw("phase", 2)])
	if r == nil {
		return nil
	}
	d := f.s.Arrive(f.now, r.Request)
	if len(d) != 1 || d[0].Action != Refuse || d[0].Err.Verdict != verdict.MayHaveRun {
		return fmt.Errorf("duplicate of %s: decisions %+v, want one refusal with the verdict that it may have run", r.ID, d)
	}
	return nil
}

func (f *fuzzDriver) arrive() []Decision {
	f.requestCount++
	r := &trackedRequest{Request: request.Request{
		ID: request.ID(fmt.Sprintf("r%d", f.requestCount)), Class: f.draw("class", 3), Arrived: f.now,
		Idempotent: f.draw("idempotent", 2) == 0, PromptTokens: 100, MaxTokens: 20, PrefixKey: uint64(f.draw("prefix", 3)),
	}}
	r.Deadline = f.now.Add(time.Duration(f.draw("timeout", 3000)) * time.Millisecond)
	if f.draw("long", 2) == 0 {
		r.Deadline = r.Deadline.Add(time.Hour)
	}
	r.Model = []modelref.Ref{"m@1", "n@1", "x@1", ""}[f.draw("model", 4)]
	if r.Model == "" {
		r.Service, r.PromptTokens, r.MaxTokens = "forms", 0, 0
	}
	if f.document.RequireKeys {
		r.Workspace = fmt.Sprint(f.requestCount % 3)
	}
	f.requests[r.ID] = r
	f.order = append(f.order, r)
	return f.s.Arrive(f.now, r.Request)
}

// pick returns a random request in the phase, or nil if there is none.
func (f *fuzzDriver) pick(phase int) *trackedRequest {
	var in []*trackedRequest
	for _, r := range f.order {
		if r.phase == phase {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[f.draw("which", len(in))]
}

// finish ends a running request and retries it if it failed.
func (f *fuzzDriver) finish() []Decision {
	r := f.pick(phaseRunning)
	if r == nil {
		return nil
	}
	o := Outcome{ID: r.ID, Server: r.server, FirstToken: time.Second, Duration: 2 * time.Second, Tokens: 20}
	s := f.servers[r.server]
	r.phase = phaseEnded
	switch f.draw("end", 6) {
	case 0:
		o.Verdict, o.Err = verdict.NotRun, verdict.Refused(verdict.CodeServerRefused, "refused")
		s.backoffUntil[r.Model] = f.now.Add(firstBackoff)
		r.phase = phaseFailed
	case 1:
		o.Verdict, o.Err = verdict.MayHaveRun, errors.New("reset")
		r.phase = phaseFailed
	case 2:
		if f.draw("leaves", 4) == 0 {
			o.Verdict, o.Err, o.ServerLeaving = verdict.NotRun, verdict.Refused(verdict.CodeServerRefused, "leaving"), true
			s.leavingUntil = f.now.Add(leavingHold)
			r.phase = phaseFailed
		}
	}
	if r.phase == phaseEnded {
		return f.s.Finish(f.now, o)
	}
	r.mayHaveRun = r.mayHaveRun || o.Verdict != verdict.NotRun
	if r.mayHaveRun {
		o.Verdict = verdict.MayHaveRun
	}
	out := f.s.Finish(f.now, o)
	return append(out, f.s.Retry(f.now, r.Request, o)...)
}

func (f *fuzzDriver) report() []Decision {
	s := f.servers[fmt.Sprintf("s%d", f.draw("server", fuzzServers))]
	var resident []modelref.Ref
	for _, ref := range []modelref.Ref{"m@1", "n@1", "x@1"} {
		if f.draw("resident", 4) > 0 {
			resident = append(resident, ref)
		}
	}
	f.reportSequence++
	r := engine.Report{Sequence: f.reportSequence, Taken: f.now, MaxBatch: 2, StepMillis: 10, Resident: resident, Leaving: f.draw("leaving", 10) == 0}
	r.Running = f.draw("running", 3)
	if s.listed {
		s.resident, s.reportLeaving, s.unreachable = resident, r.Leaving, false
	}
	return f.s.ObserveReport(f.now, s.Name, r)
}

// randomChange makes one random change other than an arrival, a report or the end of a request:
// to the servers, the peers, the time or the document, or it cancels a waiting request.
func (f *fuzzDriver) randomChange() []Decision {
	switch f.draw("disturb", 6) {
	case 0:
		name := fmt.Sprintf("s%d", f.draw("server", fuzzServers))
		f.servers[name].unreachable = true
		return f.s.ObserveUnreachable(f.now, name)
	case 1:
		return f.setServers(fuzzServers - f.draw("gone", 2))
	case 2:
		f.s.ForgetPeer("i2")
		f.s.Digest()
	case 3:
		f.now = f.now.Add(leavingHold)
		return f.s.Tick(f.now)
	case 4:
		return f.s.SetDocument(f.now, f.document)
	case 5:
		if r := f.pick(phaseWaiting); r != nil {
			r.phase = phaseEnded
			return f.s.Cancel(f.now, r.ID)
		}
	}
	return nil
}

// dropEnded drops ended requests so that the oracle has less to scan.
func (f *fuzzDriver) dropEnded() {
	keep := f.order[:0]
	for _, r := range f.order {
		if r.phase != phaseEnded {
			keep = append(keep, r)
		}
	}
	f.order = keep
}

// run takes random steps and then lets the deadline of all waiting requests pass.
func (f *fuzzDriver) run(steps int) error {
	for range steps {
		if err := f.step(); err != nil {
			return err
		}
	}
	f.now = f.now.Add(2 * time.Hour)
	if err := f.tick(); err != nil {
		return err
	}
	for _, r := range f.order {
		if r.phase != phaseEnded && r.phase != phaseRunning {
			return fmt.Errorf("request %s was neither dispatched, refused nor canceled by its deadline", r.ID)
		}
	}
	return nil
}

func fuzzScheduler(document *site.Document, policy string) Scheduler {
	s, err := New(Options{Instance: "i1", Seed: 1, Policy: policy, Document: document})
	if err != nil {
		panic(err)
	}
	return s
}

// TestFuzz checks random sequences of events with the default policy. TestMain sets the number
// of checks, and fuzzSteps the number of steps of each.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		document := fuzzDocument()
		if err := newFuzzDriver(fuzzScheduler(document, DefaultPolicy), document, d).run(fuzzSteps); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFuzzWorkspaces checks that the guarantees hold with workspaces, which have requests displaced
// from a full queue.
func TestFuzzWorkspaces(t *testing.T) {
	for seed := range uint64(20) {
		document := fuzzDocument()
		document.RequireKeys = true
		if err := newFuzzDriver(fuzzScheduler(document, DefaultPolicy), document, seeded(seed)).run(fuzzSteps); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// seeded returns a draw that doesn't depend on rapid.
func seeded(seed uint64) draw {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(_ string, n int) int { return random.IntN(n) }
}

// TestFuzzBaselines checks that the guarantees hold for every policy, not only the default.
func TestFuzzBaselines(t *testing.T) {
	for _, policy := range []string{routing.PolicyRoundRobin, routing.PolicyRandomOfTwo, routing.PolicyLeastOutstanding} {
		document := fuzzDocument()
		if err := newFuzzDriver(fuzzScheduler(document, policy), document, seeded(1)).run(fuzzSteps); err != nil {
			t.Errorf("%s: %v", policy, err)
		}
	}
}
