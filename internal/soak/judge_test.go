package soak

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"limpethub/platform/standin"
)

const ms = time.Millisecond

func newTestJudge(faults ...Event) *Judge { return NewJudge(limits, faults) }

// wholeAnswer returns a server's complete answer to a plain request.
func wholeAnswer(id string) standin.Answer {
	return standin.Answer{Status: 200, Seal: "seal-" + id, Body: "d0" + standin.PlainAnswer(id)}
}

func streamAnswer(body string, err error) standin.Answer {
	return standin.Answer{Status: 200, Seal: "seal-q", Body: body, Err: err}
}

var errCut = errors.New("unexpected EOF")

// TestJudgeReportsOnlyBrokenPromises guards against a judge that misses a violation or reports
// a kept promise as broken. For each promise that the judge checks itself, one case breaks the
// promise and a similar one keeps it.
func TestJudgeReportsOnlyBrokenPromises(t *testing.T) {
	whole := standin.StreamAnswer(0)
	part := whole[:len(whole)/2]
	order := func(holder string, fence uint64) standin.Order {
		return standin.Order{Operation: "load", Model: "m", Holder: holder, Fence: fence}
	}
	request := func(kind RequestKind, a standin.Answer) Request {
		return Request{ID: "q", Kind: kind, Instance: 1, StartNumber: 1, Answer: a, Began: 900 * ms, Ended: 1100 * ms, Connected: true}
	}
	probe := func(version, status int, began time.Duration) Request {
		return Request{Kind: Probe, Version: version, Instance: 1, StartNumber: 1, Answer: standin.Answer{Status: status}, Began: began, Ended: began + 10*ms}
	}
	stopping := func(j *Judge) { j.Stopping(1, 1, 1000*ms) }
	cases := []struct {
		promise      Promise
		name         string
		broken, kept func(j *Judge)
	}{
		{WholeAnswers, "another caller's answer",
			func(j *Judge) { j.Answered(request(Idempotent, wholeAnswer("other"))) },
			func(j *Judge) { j.Answered(request(Idempotent, wholeAnswer("q"))) }},
		{RefusedNotRun, "refused after it ran",
			func(j *Judge) {
				j.Sending("q", NonIdempotent, processID{}, 0)
				j.Ran("d0", "q", 0)
				j.Answered(request(NonIdempotent, standin.Answer{Status: 503}))
			},
			func(j *Judge) {
				j.Sending("q", NonIdempotent, processID{}, 0)
				j.Ran("d0", "q", 0)
				j.Answered(request(NonIdempotent, standin.Answer{Status: 504}))
			}},
		{RefusedNotRun, "runs after it was refused",
			func(j *Judge) {
				j.Sending("q", NonIdempotent, processID{}, 0)
				j.Answered(request(NonIdempotent, standin.Answer{Status: 429}))
				j.Ran("d0", "q", 2*time.Second)
			},
			func(j *Judge) {
				j.Sending("q", NonIdempotent, processID{}, 0)
				j.Answered(request(NonIdempotent, standin.Answer{Status: 429}))
				j.Ran("d0", "another", 2*time.Second)
			}},
		{AtMostOnce, "twice",
			func(j *Judge) {
				j.Sending("q", NonIdempotent, processID{}, 0)
				j.Ran("d0", "q", 0)
				j.Ran("d1", "q", 0)
			},
			func(j *Judge) { j.Sending("q", Idempotent, processID{}, 0); j.Ran("d0", "q", 0); j.Ran("d1", "q", 0) }},
		{StreamOrder, "the end is missing",
			func(j *Judge) { j.Answered(request(Stream, streamAnswer(part, nil))) },
			func(j *Judge) { j.Answered(request(Stream, streamAnswer(part, errCut))) }},
		{StreamOrder, "events come twice",
			func(j *Judge) { j.Answered(request(Stream, streamAnswer(part+part, errCut))) },
			func(j *Judge) { j.Answered(request(Stream, streamAnswer(whole, nil))) }},
		{ServerCapacity, "a third model",
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "n", "o"}, 0) },
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "m/a1", "n", "n/a1"}, 0) }},
		{ServerCapacity, "a third adapter",
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "m/a1", "m/a2", "m/a3"}, 0) },
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "m/a1", "m/a2"}, 0) }},
		{OneLeaseHolder, "an earlier lease holder sends orders too late",
			func(j *Judge) {
				j.Ordered("e", order("a", 1), nil, 0)
				j.Ordered("e", order("b", 2), nil, time.Second)
				j.Ordered("f", order("a", 1), nil, 4*time.Second)
			},
			func(j *Judge) {
				j.Ordered("e", order("a", 1), nil, 0)
				j.Ordered("e", order("b", 2), nil, time.Second)
				j.Ordered("f", order("a", 1), nil, 2*time.Second)
			}},
		{OneLeaseHolder, "two holders with one fencing number",
			func(j *Judge) { j.Ordered("e", order("a", 1), nil, 0); j.Ordered("e", order("b", 1), nil, 0) },
			func(j *Judge) { j.Ordered("e", order("a", 1), nil, 0); j.Ordered("e", order("a", 1), nil, 0) }},
		{Leaving, "a request long after the announcement",
			func(j *Judge) { j.ServerLeaving("d0", 0); j.Ran("d0", "q", 2500*ms) },
			func(j *Judge) { j.ServerLeaving("d0", 0); j.ServerRestarting("d0"); j.Ran("d0", "q", 2500*ms) }},
		{PlannedStop, "a request that ran is cut",
			func(j *Judge) {
				stopping(j)
				j.Ran("d0", "q", 950*ms)
				j.Answered(request(Idempotent, standin.Answer{Err: errCut}))
			},
			func(j *Judge) {
				stopping(j)
				j.Answered(request(Idempotent, standin.Answer{Err: errCut}))
			}},
		{PlannedStop, "a request is cut after the first of two requests to stop",
			func(j *Judge) {
				stopping(j)
				j.Stopping(1, 1, 2000*ms)
				j.Ran("d0", "q", 950*ms)
				j.Answered(request(Idempotent, standin.Answer{Err: errCut}))
			},
			func(j *Judge) {
				stopping(j)
				j.Stopping(1, 1, 2000*ms)
				j.Answered(request(Idempotent, wholeAnswer("q")))
			}},
		{PlannedStop, "the stop takes too long",
			func(j *Judge) { stopping(j); j.Stopped(1, 1, 10*time.Second) },
			func(j *Judge) { stopping(j); j.Stopped(1, 1, 5*time.Second) }},
		{InForce, "late",
			func(j *Judge) { j.Started(1, 1, 0); j.Written(2, time.Second); j.Answered(probe(2, 404, 4500*ms)) },
			func(j *Judge) { j.Started(1, 1, 0); j.Written(2, time.Second); j.Answered(probe(2, 404, 3500*ms)) }},
		{VersionNeverGoesBack, "an older version after a newer one",
			func(j *Judge) { j.Answered(probe(3, 200, 0)); j.Answered(probe(2, 200, time.Second)) },
			func(j *Judge) { j.Answered(probe(2, 200, 0)); j.Answered(probe(3, 200, time.Second)) }},
		{VersionNeverGoesBack, "no longer in force without a newer one",
			func(j *Judge) {
				j.Written(3, 0)
				j.Answered(probe(3, 200, 0))
				j.Answered(probe(3, 404, time.Second))
			},
			func(j *Judge) {
				j.Written(3, 0)
				j.Answered(probe(3, 200, 0))
				j.Written(4, 500*ms)
				j.Answered(probe(3, 404, time.Second))
			}},
		// The budget for the one request is retrySlack plus retryRatio, that is 56.2 retries.
		{RetryBudget, "many",
			func(j *Judge) { retry(j, retrySlack+2) },
			func(j *Judge) { retry(j, retrySlack-1) }},
	}
	for _, c := range cases {
		t.Run(string(c.promise)+": "+c.name, func(t *testing.T) {
			j := newTestJudge()
			c.broken(j)
			if v := j.Violations(); len(v) == 0 || v[0].Promise != c.promise {
				t.Errorf("broken promise: got violations %v, want this promise as the first", v)
			}
			j = newTestJudge()
			c.kept(j)
			if v := j.Violations(); len(v) > 0 {
				t.Errorf("kept promise: got violations %v, want none", v)
			}
		})
	}
}

// retry makes servers get one request the given number of times after its first arrival.
func retry(j *Judge, times int) {
	j.Sending("q", Idempotent, processID{}, 0)
	for range times + 1 {
		j.Ran("d0", "q", time.Second)
	}
}

// TestFaultExcusesNothingLongAfterIt guards against a fault that excuses later violations for
// the rest of the run. A leaving server gets a late request during a fault, and another run has
// the same 20 s after the start of the fault.
func TestFaultExcusesNothingLongAfterIt(t *testing.T) {
	fault := Event{Kind: StoreDown, At: 2 * time.Second, For: time.Second}
	for after, excused := range map[time.Duration]bool{0: true, 20 * time.Second: false} {
		j := newTestJudge(fault)
		j.setScheduleStart(0)
		j.ServerLeaving("d0", fault.At+after)
		j.Ran("d0", "q", fault.At+after+limits.LeaveLag+time.Second)
		if broken := len(j.Violations()) > 0; broken == excused {
			t.Errorf("server leaving %v after the start of the fault: got violations: %v, want violations only 20 s after it", after, broken)
		}
	}
}

// TestConfigurationIsCheckedAgainAfterFault: a configuration that is written during a fault
// may come into force late, but only for a limited time after the fault. The test guards
// against a judge that excuses the delay for the rest of the run.
func TestConfigurationIsCheckedAgainAfterFault(t *testing.T) {
	fault := Event{Kind: StoreDown, At: 2 * time.Second, For: time.Second}
	excusedUntil := fault.At + fault.For + faultMargin
	for began, wantViolation := range map[time.Duration]bool{excusedUntil + limits.InForceLag/2: false, excusedUntil + 2*limits.InForceLag: true} {
		j := newTestJudge(fault)
		j.Started(1, 1, 0)
		j.Written(2, fault.At)
		j.Answered(Request{Kind: Probe, Version: 2, Instance: 1, StartNumber: 1, Answer: standin.Answer{Status: 404}, Began: began, Ended: began + ms})
		if (len(j.Violations()) > 0) != wantViolation {
			t.Errorf("probe at %v: got violations %v, want none soon after the fault, and one long after it", began, j.Violations())
		}
	}
}

// TestOnlyFaultsOfTheInstanceOrStoreExcuseALateConfiguration guards against a judge that excuses an
// instance which reaches the store by a fault of another one, as by nearly any fault.
func TestOnlyFaultsOfTheInstanceOrStoreExcuseALateConfiguration(t *testing.T) {
	for _, c := range []struct {
		kind    FaultKind
		target  int
		excused bool
	}{
		{StoreDown, 0, true}, {StoreSilent, 0, true},
		{StoreLinkOneWay, 1, true}, {StoreLinkOneWay, 0, false},
		{KillInstance, 1, true}, {KillInstance, 0, false}, {PauseInstance, 0, false},
		{PeersOneWay, 1, true}, {PeersOneWay, 0, false},
		{KillMost, 0, true}, {KillMost, 1, false},
		{StoreRejectsMost, 0, true}, {StoreRejectsMost, 1, false},
		{ServerDown, 1, false},
	} {
		j := newTestJudge(Event{Kind: c.kind, Target: c.target, At: time.Second, For: 4 * time.Second})
		j.setScheduleStart(0)
		j.Started(1, 1, 0)
		j.Written(2, 1500*ms)
		j.Answered(Request{Kind: Probe, Version: 2, Instance: 1, StartNumber: 1, Answer: standin.Answer{Status: 404}, Began: 4900 * ms, Ended: 4910 * ms})
		if broken := len(j.Violations()) > 0; broken == c.excused {
			t.Errorf("%s of %d: instance 1 late by 3.4 s gave violations %v, want excused %v", c.kind, c.target, j.Violations(), c.excused)
		}
	}
}

func isLong(kind FaultKind) bool {
	return slices.ContainsFunc(slices.Concat(longFaultKinds, longestFaultKinds, cutFaultKinds), func(k scopedKind) bool { return k.kind == kind })
}

// TestJudgeOfPromptsThatCrashServers checks that requests which still reach servers are counted from
// the fifth crash on, by part, and that only other prompts may not be refused.
func TestJudgeOfPromptsThatCrashServers(t *testing.T) {
	const ms = time.Millisecond
	j := NewJudge(limits, nil)
	for n := range 5 {
		j.Crashed(crashingSubject{part: "a"}, time.Duration(n)*100*ms)
	}
	for n := range 3 {
		j.CrashingArrived(crashingSubject{part: "a"}, "s", "q0", 3500*ms+time.Duration(n)*ms)
		j.CrashingArrived(crashingSubject{part: "a"}, "s", "q0", 3000*ms)
		j.CrashingArrived(crashingSubject{part: "b"}, "s", "q0", 9000*ms)
	}
	j.SendingCrashing("q1")
	j.RefusedForCrashes("q1", "", 4000*ms)
	if len(j.Violations()) > 0 {
		t.Fatalf("got violations %v, want none", j.Violations())
	}
	j.CrashingArrived(crashingSubject{part: "a"}, "s", "q0", 3600*ms)
	j.RefusedForCrashes("q2", "", 4000*ms)
	if v := j.Violations(); len(v) != 2 || v[0].Promise != CrashingPrompts || v[1].Promise != SoundPrompts {
		t.Errorf("got violations %v, want one for the fourth late request and one for the sound prompt", v)
	}
}

// TestJudgeOfRequestsThatCrashServers checks that the sends of a request are counted from the third crash
// on, and that sound requests may not be refused for crashes.
func TestJudgeOfRequestsThatCrashServers(t *testing.T) {
	const ms = time.Millisecond
	j := NewJudge(limits, []Event{{Kind: PauseInstance, Target: 2, At: 1000 * ms, For: 500 * ms}})
	dead := crashingSubject{path: "/dead"}
	for n := range 3 {
		j.Crashed(dead, time.Duration(n)*100*ms)
	}
	for range 3 {
		j.CrashingArrived(dead, "s", "q0", 3300*ms)
	}
	if len(j.Violations()) > 0 {
		t.Fatalf("got violations %v, want none for three late sends", j.Violations())
	}
	// An instance that has just started, or goes on after a pause, isn't bound yet.
	j.Started(1, 2, 2000*ms)
	j.Sending("started", NonIdempotent, processID{1, 2}, 2500*ms)
	j.Sending("paused", NonIdempotent, processID{2, 1}, 2500*ms)
	j.CrashingArrived(dead, "s", "started", 4900*ms)
	j.CrashingArrived(dead, "s", "paused", 4400*ms)
	if len(j.Violations()) > 0 {
		t.Fatalf("got violations %v, want none for instances that aren't bound yet", j.Violations())
	}
	j.CrashingArrived(dead, "s", "started", 5100*ms)
	if v := j.Violations(); len(v) != 1 || v[0].Promise != CrashingRequests {
		t.Errorf("got violations %v, want one for the fourth late send", v)
	}
}

// TestJudgeOfServerLimits checks that arrivals are counted in each window from when a limit must be
// kept until it ends.
func TestJudgeOfServerLimits(t *testing.T) {
	const ms = time.Millisecond
	j := NewJudge(limits, nil)
	arrive := func(n int, at time.Duration) {
		for range n {
			j.Arrived("s", "q1", at)
		}
	}
	arrive(100, 0)
	j.Sending("q1", Stream, processID{1, 1}, 0)
	j.LimitNamed("s", 1.5, 0)
	arrive(100, 4000*ms)
	if len(j.Violations()) > 0 {
		t.Fatalf("got violations %v, want none for a process that wasn't told", j.Violations())
	}
	j.LimitNamed("s", 1.5, 0)
	j.Answered(Request{ID: "q0", Kind: Stream, Instance: 1, StartNumber: 1, Ended: 2500 * ms, Answer: standin.Answer{Server: "s", Limited: true}})
	arrive(100, 2900*ms)
	arrive(14, 3100*ms)
	arrive(14, 7200*ms)
	if len(j.Violations()) > 0 {
		t.Fatalf("got violations %v, want none for 14 requests in 4 s", j.Violations())
	}
	arrive(1, 7300*ms)
	if len(j.Violations()) != 1 {
		t.Errorf("got violations %v, want one for 15 requests in 4 s", j.Violations())
	}
	j.LimitEnded("s")
	arrive(100, 7400*ms)
	if len(j.Violations()) != 1 {
		t.Errorf("got violations %v after the limit ended, want no more", j.Violations())
	}
}

// TestScheduleDependsOnlyOnSeed checks that a seed always gives the same schedule, so that a
// failed run can be repeated. Also, neighboring seeds give different schedules, events
// keep to the bounds of their times, and 50 seeds include all kinds of faults.
func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	planned := map[FaultKind]bool{}
	for seed := range uint64(50) {
		events := Plan(seed, DefaultSize)
		if !slices.Equal(events, Plan(seed, DefaultSize)) {
			t.Fatalf("seed %d: got two different schedules, want the same", seed)
		}
		if slices.Equal(events, Plan(seed+1, DefaultSize)) {
			t.Errorf("seeds %d and %d: got the same schedule, want different ones", seed, seed+1)
		}
		for _, e := range events {
			planned[e.Kind] = true
			if e.At > DefaultSize.Length+time.Second || e.For > max(maxFaultDuration, longFaultDuration, longestFaultDuration) || e.For > maxFaultDuration && !isLong(e.Kind) || scopeOf(e.Kind) == 0 {
				t.Errorf("seed %d: got event %s, want a start up to 1 s after the schedule's length, a duration up to maxFaultDuration, and a kind with a scope", seed, e)
			}
		}
	}
	if want := len(faultKinds) + len(laterFaultKinds) + len(fleetFaultKinds) + len(longFaultKinds) + len(longestFaultKinds) - 1 + len(versionFaultKinds) + len(cutFaultKinds); len(planned) != want {
		t.Errorf("50 seeds: got %d kinds of faults, want %d", len(planned), want)
	}
}

// TestShrinkKeepsFailingEvents checks that Shrink finds the two events that make a schedule
// fail, and that it stays within its budget of runs.
func TestShrinkKeepsFailingEvents(t *testing.T) {
	events := Plan(3, DefaultSize)
	first, second := events[4], events[len(events)-2]
	runs := 0
	short := Shrink(events, 200, func(e []Event) bool {
		runs++
		return slices.Contains(e, first) && slices.Contains(e, second)
	})
	if !slices.Equal(short, []Event{first, second}) {
		t.Errorf("got %d events of %d after %d runs, want the two that make the schedule fail", len(short), len(events), runs)
	}
	runs = 0
	Shrink(events, 5, func([]Event) bool { runs++; return true })
	if runs > 5 {
		t.Errorf("got %d runs, want at most 5", runs)
	}
}

// TestJudgeOfSoftwareVersions checks that a stream may hold events of one version only, over all tries of
// its caller, and that an event which two servers have sent counts as that of either.
func TestJudgeOfSoftwareVersions(t *testing.T) {
	j := NewJudge(limits, nil)
	try := func(id string, from int64, events int, versions ...string) Request {
		for n := range events {
			for _, version := range versions {
				j.EventSent(id, from+int64(n), version)
			}
		}
		return Request{ID: id, From: from, Answer: standin.Answer{Body: strings.Repeat("id: 0\n\n", events)}}
	}
	j.StreamEnded([]Request{try("a", 0, 2, "v1"), try("a-again", 2, 0), try("a-again2", 2, 3, "v1", "v2")})
	j.StreamEnded([]Request{try("b", 0, 0, "v2"), try("b-again", 0, 5, "v1")})
	if len(j.Violations()) > 0 {
		t.Fatalf("got violations %v, want none", j.Violations())
	}
	j.StreamEnded([]Request{try("c", 0, 2, "v1"), try("c-again", 2, 1, "v2")})
	if v := j.Violations(); len(v) != 1 || v[0].Promise != OneVersion {
		t.Errorf("got violations %v, want one for a stream of two versions", v)
	}
}

// TestJudgeOfInstancesThatAreCutOff checks that first tries are counted from cutLag after the begin of a cut to its end,
// and that instances may serve a third fewer.
func TestJudgeOfInstancesThatAreCutOff(t *testing.T) {
	for _, test := range []struct {
		served, of int
		broken     bool
	}{{30, 30, false}, {20, 30, false}, {19, 30, true}, {0, minCutSent - 1, false}} {
		const instances, target = 4, cutVariants // Instance 1 alone.
		j := NewJudge(limits, []Event{{Kind: InstancesCutOff, At: time.Second, For: 9 * time.Second, Target: target}})
		j.instances = instances
		send := func(instance, status int, at time.Duration) {
			j.Answered(Request{ID: "q", Kind: Idempotent, Instance: instance, Began: at, Ended: at + time.Millisecond, Answer: standin.Answer{
				Status: status, Seal: "seal-q", Body: standin.PlainAnswer("q"),
			}})
		}
		for n := range test.of {
			status := http.StatusOK
			if n >= test.served {
				status = http.StatusServiceUnavailable
			}
			send(1, status, 5*time.Second)
			send(2, http.StatusOK, 5*time.Second)
			send(1, http.StatusServiceUnavailable, 3*time.Second)
			send(1, http.StatusServiceUnavailable, 11*time.Second)
		}
		j.CheckCuts()
		if broken := len(j.Violations()) > 0; broken != test.broken {
			t.Errorf("%d of %d first tries served, all at the others: broken %v, want %v: %v", test.served, test.of, broken, test.broken, j.Violations())
		}
	}
}
