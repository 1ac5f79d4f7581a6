package scheduling

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testDocument() *site.Document {
	return &site.Document{
		Site:           "test",
		FailureDomains: []string{"a", "b"},
		Classes: []site.Class{
			{Name: "urgent", TimeoutMillis: 10_000, Weight: 10, QueueLimit: 10},
			{Name: "overnight", TimeoutMillis: 600_000, Weight: 1, QueueLimit: 10},
		},
		Models:   []site.Model{{Name: "m", Version: "1", Class: "urgent", MemoryMB: 1}},
		Adapters: []site.Adapter{{Name: "x", Version: "1", Base: "m@1", Class: "urgent", MemoryMB: 1}},
		Budgets:  site.Budgets{RetryShare: 0.1},
	}
}

func newScheduler(t *testing.T, names ...string) Scheduler {
	t.Helper()
	s, err := New(Options{Instance: "i1", FailureDomain: "a", Document: testDocument()})
	if err != nil {
		t.Fatal(err)
	}
	var servers []Server
	for _, name := range names {
		servers = append(servers, Server{Name: name, FailureDomain: "a", Near: true})
	}
	s.SetServers(epoch, servers)
	return s
}

func testRequest(id request.ID) request.Request {
	return request.Request{
		ID: id, Model: "m@1", Arrived: epoch, Deadline: epoch.Add(10 * time.Second),
		PromptTokens: 10, MaxTokens: 10,
	}
}

func report(resident ...modelref.Ref) engine.Report {
	return engine.Report{Sequence: 1, Taken: epoch, MaxBatch: 4, StepMillis: 10, Resident: resident}
}

// requireOne fails the test unless there is exactly one decision, with the given action.
func requireOne(t *testing.T, decisions []Decision, action Action) Decision {
	t.Helper()
	if len(decisions) != 1 || decisions[0].Action != action {
		t.Fatalf("decisions = %+v, want one with action %d (1 dispatch, 2 queue, 3 refuse)", decisions, action)
	}
	return decisions[0]
}

func TestWaitsUntilTheModelIsResident(t *testing.T) {
	s := newScheduler(t, "s1")
	requireOne(t, s.Arrive(epoch, testRequest("r")), Queue)
	d := requireOne(t, s.ObserveReport(epoch.Add(time.Second), "s1", report("m@1")), Dispatch)
	if d.Server != "s1" {
		t.Fatalf("dispatched to %q, want s1", d.Server)
	}
}

func TestRefusesAtTheDeadline(t *testing.T) {
	s := newScheduler(t, "s1")
	requireOne(t, s.Arrive(epoch, testRequest("r")), Queue)
	d := requireOne(t, s.Tick(epoch.Add(10*time.Second)), Refuse)
	if d.Err.Verdict != verdict.NotRun || d.Err.RetryAfter == 0 {
		t.Fatalf("refusal = %+v, want verdict not-run and a time to retry after", d.Err)
	}
}

// TestAnAdapterNeedsItselfAndItsBase guards against dispatching a request for an adapter to a
// server that holds only the base model.
func TestAnAdapterNeedsItselfAndItsBase(t *testing.T) {
	s := newScheduler(t, "s1")
	r := testRequest("r")
	r.Model = "x@1"
	requireOne(t, s.Arrive(epoch, r), Queue)
	if got := s.ObserveReport(epoch, "s1", report("m@1")); len(got) != 0 {
		t.Fatalf("decisions with only the base resident = %+v, want none", got)
	}
	requireOne(t, s.ObserveReport(epoch, "s1", report("m@1", "x@1")), Dispatch)
}

func TestUnreachableAndLeavingServersGetNothing(t *testing.T) {
	s := newScheduler(t, "s1", "s2")
	s.ObserveReport(epoch, "s1", report("m@1"))
	s.ObserveReport(epoch, "s2", report("m@1"))
	s.ObserveUnreachable(epoch, "s1")
	s.SetServers(epoch, []Server{{Name: "s1"}, {Name: "s2", Leaving: true}})
	requireOne(t, s.Arrive(epoch, testRequest("r")), Queue)
}

// TestNonIdempotentRequestThatMayHaveRunIsNotRetried guards against running such a request twice.
func TestNonIdempotentRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	s := newScheduler(t, "s1")
	s.ObserveReport(epoch, "s1", report("m@1"))
	r := testRequest("r")
	requireOne(t, s.Arrive(epoch, r), Dispatch)
	last := Outcome{ID: "r", Server: "s1", Verdict: verdict.MayHaveRun, Err: verdict.Unclear(verdict.CodeServerFailed, nil, "reset")}
	s.Finish(epoch, last)
	d := requireOne(t, s.Retry(epoch, r, last), Refuse)
	if d.Err.Verdict != verdict.MayHaveRun {
		t.Fatalf("verdict = %v, want %v", d.Err.Verdict, verdict.MayHaveRun)
	}
}

// TestFailuresOfTheCallerOrTheDeadlineDontBlameTheServer guards against a back-off of a server
// that isn't at fault: after a cancellation or a missed deadline it still gets requests.
func TestFailuresOfTheCallerOrTheDeadlineDontBlameTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		end  time.Duration
		err  error
		want Action
	}{
		"reset":    {time.Second, errors.New("reset"), Queue},
		"canceled": {time.Second, verdict.Unclear(verdict.CodeServerFailed, context.Canceled, "gone"), Dispatch},
		"late":     {10 * time.Second, errors.New("reset"), Dispatch},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(t, "s1")
			s.ObserveReport(epoch, "s1", report("m@1"))
			requireOne(t, s.Arrive(epoch, testRequest("r")), Dispatch)
			now := epoch.Add(c.end)
			s.Finish(now, Outcome{ID: "r", Server: "s1", Err: c.err})
			next := testRequest("next")
			next.Deadline = now.Add(time.Second)
			requireOne(t, s.Arrive(now, next), c.want)
		})
	}
}

// TestNewDocumentKeepsWaitingRequests checks that a waiting request survives a new document
// that reorders the classes, and keeps its class by name.
func TestNewDocumentKeepsWaitingRequests(t *testing.T) {
	s := newScheduler(t, "s1")
	r := testRequest("r")
	r.Class = 1
	requireOne(t, s.Arrive(epoch, r), Queue)
	next := testDocument()
	next.Classes = []site.Class{next.Classes[1], next.Classes[0]}
	if got := s.SetDocument(epoch, next); len(got) != 0 {
		t.Fatalf("decisions for the new document = %+v, want none", got)
	}
	if d := requireOne(t, s.ObserveReport(epoch, "s1", report("m@1")), Dispatch); d.Priority != 0 {
		t.Fatalf("priority = %d, want 0, the new position of class overnight", d.Priority)
	}
}

// TestRetryBudgetRunsOut checks that without any success only a fixed number of retries is
// granted: retry.defaultSpare, 3.
func TestRetryBudgetRunsOut(t *testing.T) {
	s := newScheduler(t, "s1", "s2")
	s.ObserveReport(epoch, "s1", report("m@1"))
	s.ObserveReport(epoch, "s2", report("m@1"))
	retried := 0
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		r := testRequest(request.ID(fmt.Sprint(i)))
		last := Outcome{ID: r.ID, Server: "s1", Verdict: verdict.NotRun, Err: errors.New("dial")}
		d := s.Retry(now, r, last)[0]
		if d.Action == Dispatch {
			retried++
			s.Finish(now, Outcome{ID: r.ID, Server: d.Server, Err: context.Canceled})
		}
	}
	if retried != 3 {
		t.Fatalf("%d of 20 requests retried without any success, want 3", retried)
	}
}
