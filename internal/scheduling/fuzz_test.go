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
	w := &fuzzDriver{oracle: newOracle(document), s: s, draw: d, now: epoch}
	w.setServers(fuzzServers)
	return w
}

func (w *fuzzDriver) setServers(n int) []Decision {
	for _, s := range w.servers {
		s.listed = false
	}
	var list []Server
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		info := Server{Name: name, Near: i%2 == 0, Leaving: w.draw("leaving", 8) == 0}
		if i == 0 {
			info.Services = []string{"forms"}
		}
		s := w.servers[name]
		if s == nil {
			s = &serverState{backoffUntil: map[modelref.Ref]time.Time{}}
			w.servers[name] = s
		}
		s.Server, s.listed = info, true
		list = append(list, info)
	}
	for _, s := range w.servers {
		if !s.listed {
			s.resident = nil
		}
	}
	return w.s.SetServers(w.now, list)
}

// step takes one random event.
func (w *fuzzDriver) step() error {
	w.now = w.now.Add(time.Duration(w.draw("pass", 200)) * time.Millisecond)
	var out []Decision
	switch w.draw("event", 13) {
	case 12:
		return w.duplicate()
	case 0, 1, 2, 3:
		out = w.arrive()
	case 4, 5, 6:
		out = w.finish()
	case 7, 8:
		out = w.report()
	case 9:
		out = w.randomChange()
	case 10:
		out = w.s.ObserveDigest(w.now, ServerDigest{
			Instance: fmt.Sprintf("i%d", 2+w.draw("peer", 2)), Server: fmt.Sprintf("s%d", w.draw("server", fuzzServers)),
			Outstanding: w.draw("outstanding", 4), Sequence: uint64(w.now.UnixMilli()),
		})
	case 11:
		return w.tick()
	}
	if err := w.apply(w.now, out); err != nil {
		return err
	}
	w.dropEnded()
	return nil
}

// tick calls Tick and checks that nothing waits past its deadline.
func (w *fuzzDriver) tick() error {
	if err := w.apply(w.now, w.s.Tick(w.now)); err != nil {
		return err
	}
	return w.checkTick(w.now, w.s.NextTick())
}

// duplicate sends a request again that is in progress on the instance.
func (w *fuzzDriver) duplicate() error {
	r := w.pick([]int{phaseWaiting, phaseRunning}[w.draw("phase", 2)])
	if r == nil {
		return nil
	}
	d := w.s.Arrive(w.now, r.Request)
	if len(d) != 1 || d[0].Action != Refuse || d[0].Err.Verdict != verdict.MayHaveRun {
		return fmt.Errorf("duplicate of %s: decisions %+v, want one refusal with the verdict that it may have run", r.ID, d)
	}
	return nil
}

func (w *fuzzDriver) arrive() []Decision {
	w.requestCount++
	r := &trackedRequest{Request: request.Request{
		ID: request.ID(fmt.Sprintf("r%d", w.requestCount)), Class: w.draw("class", 3), Arrived: w.now,
		Idempotent: w.draw("idempotent", 2) == 0, PromptTokens: 100, MaxTokens: 20, PrefixKey: uint64(w.draw("prefix", 3)),
	}}
	r.Deadline = w.now.Add(time.Duration(w.draw("timeout", 3000)) * time.Millisecond)
	if w.draw("long", 2) == 0 {
		r.Deadline = r.Deadline.Add(time.Hour)
	}
	r.Model = []modelref.Ref{"m@1", "n@1", "x@1", ""}[w.draw("model", 4)]
	if r.Model == "" {
		r.Service, r.PromptTokens, r.MaxTokens = "forms", 0, 0
	}
	w.requests[r.ID] = r
	w.order = append(w.order, r)
	return w.s.Arrive(w.now, r.Request)
}

// pick returns a random request in the phase, or nil if there is none.
func (w *fuzzDriver) pick(phase int) *trackedRequest {
	var in []*trackedRequest
	for _, r := range w.order {
		if r.phase == phase {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[w.draw("which", len(in))]
}

// finish ends a running request and retries it if it failed.
func (w *fuzzDriver) finish() []Decision {
	r := w.pick(phaseRunning)
	if r == nil {
		return nil
	}
	o := Outcome{ID: r.ID, Server: r.server, FirstToken: time.Second, Duration: 2 * time.Second, Tokens: 20}
	s := w.servers[r.server]
	r.phase = phaseEnded
	switch w.draw("end", 6) {
	case 0:
		o.Verdict, o.Err = verdict.NotRun, verdict.Refused(verdict.CodeServerRefused, "refused")
		s.backoffUntil[r.Model] = w.now.Add(firstBackoff)
		r.phase = phaseFailed
	case 1:
		o.Verdict, o.Err = verdict.MayHaveRun, errors.New("reset")
		r.phase = phaseFailed
	case 2:
		if w.draw("leaves", 4) == 0 {
			o.Verdict, o.Err, o.ServerLeaving = verdict.NotRun, verdict.Refused(verdict.CodeServerRefused, "leaving"), true
			s.leavingUntil = w.now.Add(leavingHold)
			r.phase = phaseFailed
		}
	}
	if r.phase == phaseEnded {
		return w.s.Finish(w.now, o)
	}
	r.mayHaveRun = r.mayHaveRun || o.Verdict != verdict.NotRun
	if r.mayHaveRun {
		o.Verdict = verdict.MayHaveRun
	}
	out := w.s.Finish(w.now, o)
	return append(out, w.s.Retry(w.now, r.Request, o)...)
}

func (w *fuzzDriver) report() []Decision {
	s := w.servers[fmt.Sprintf("s%d", w.draw("server", fuzzServers))]
	var resident []modelref.Ref
	for _, ref := range []modelref.Ref{"m@1", "n@1", "x@1"} {
		if w.draw("resident", 4) > 0 {
			resident = append(resident, ref)
		}
	}
	w.reportSequence++
	r := engine.Report{Sequence: w.reportSequence, Taken: w.now, MaxBatch: 2, StepMillis: 10, Resident: resident, Leaving: w.draw("leaving", 10) == 0}
	r.Running = w.draw("running", 3)
	if s.listed {
		s.resident, s.reportLeaving, s.unreachable = resident, r.Leaving, false
	}
	return w.s.ObserveReport(w.now, s.Name, r)
}

// randomChange makes one random change that isn't about a dispatched request: to the servers,
// the peers, the time, the document, or by canceling a waiting request.
func (w *fuzzDriver) randomChange() []Decision {
	switch w.draw("disturb", 6) {
	case 0:
		name := fmt.Sprintf("s%d", w.draw("server", fuzzServers))
		w.servers[name].unreachable = true
		return w.s.ObserveUnreachable(w.now, name)
	case 1:
		return w.setServers(fuzzServers - w.draw("gone", 2))
	case 2:
		w.s.ForgetPeer("i2")
		w.s.Digest()
	case 3:
		w.now = w.now.Add(leavingHold)
		return w.s.Tick(w.now)
	case 4:
		return w.s.SetDocument(w.now, w.document)
	case 5:
		if r := w.pick(phaseWaiting); r != nil {
			r.phase = phaseEnded
			return w.s.Cancel(w.now, r.ID)
		}
	}
	return nil
}

// dropEnded drops ended requests so that the oracle has less to scan.
func (w *fuzzDriver) dropEnded() {
	keep := w.order[:0]
	for _, r := range w.order {
		if r.phase != phaseEnded {
			keep = append(keep, r)
		}
	}
	w.order = keep
}

// run takes random steps and then lets the deadline of all waiting requests pass.
func (w *fuzzDriver) run(steps int) error {
	for range steps {
		if err := w.step(); err != nil {
			return err
		}
	}
	w.now = w.now.Add(2 * time.Hour)
	if err := w.tick(); err != nil {
		return err
	}
	for _, r := range w.order {
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

// TestFuzz runs 60 checks of 2,000 steps each, 120,000 in all.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		document := fuzzDocument()
		if err := newFuzzDriver(fuzzScheduler(document, DefaultPolicy), document, d).run(fuzzSteps); err != nil {
			t.Fatal(err)
		}
	})
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
