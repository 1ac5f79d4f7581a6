package soak

import (
	"errors"
	"slices"
	"testing"
	"time"

	"limpethub/platform/standin"
)

const ms = time.Millisecond

func newTestJudge(faults ...Event) *Judge { return NewJudge(limits, faults) }

// answer is a whole answer of a server to a plain request.
func answer(id string) standin.Answer {
	return standin.Answer{Status: 200, Seal: "seal-" + id, Body: "d0" + standin.PlainAnswer(id)}
}

func stream(body string, err error) standin.Answer {
	return standin.Answer{Status: 200, Seal: "seal-q", Body: body, Err: err}
}

var errCut = errors.New("unexpected EOF")

// TestJudgeBites plays each promise once broken and once, nearly the same, kept.
func TestJudgeBites(t *testing.T) {
	whole := standin.StreamAnswer(0)
	part := whole[:len(whole)/2]
	order := func(holder string, fence uint64) standin.Order {
		return standin.Order{Operation: "load", Model: "m", Holder: holder, Fence: fence}
	}
	request := func(kind RequestKind, a standin.Answer) Request {
		return Request{ID: "q", Kind: kind, Instance: 1, Start: 1, Answer: a, Began: 900 * ms, Ended: 1100 * ms, Connected: true}
	}
	probe := func(version, status int, began time.Duration) Request {
		return Request{Kind: Probe, Version: version, Instance: 1, Start: 1, Answer: standin.Answer{Status: status}, Began: began, Ended: began + 10*ms}
	}
	stopping := func(j *Judge) { j.Stopping(1, 1, 1000*ms) }
	cases := []struct {
		promise      Promise
		name         string
		broken, kept func(j *Judge)
	}{
		{WholeAnswers, "another caller's answer",
			func(j *Judge) { j.Answered(request(Safe, answer("other"))) },
			func(j *Judge) { j.Answered(request(Safe, answer("q"))) }},
		{RefusedNotRun, "refused after it ran",
			func(j *Judge) {
				j.Asking("q", Unsafe, 0)
				j.Ran("d0", "q", 0)
				j.Answered(request(Unsafe, standin.Answer{Status: 503}))
			},
			func(j *Judge) {
				j.Asking("q", Unsafe, 0)
				j.Ran("d0", "q", 0)
				j.Answered(request(Unsafe, standin.Answer{Status: 504}))
			}},
		{RefusedNotRun, "runs after it was refused",
			func(j *Judge) {
				j.Asking("q", Unsafe, 0)
				j.Answered(request(Unsafe, standin.Answer{Status: 429}))
				j.Ran("d0", "q", 2*time.Second)
			},
			func(j *Judge) {
				j.Asking("q", Unsafe, 0)
				j.Answered(request(Unsafe, standin.Answer{Status: 429}))
				j.Ran("d0", "another", 2*time.Second)
			}},
		{AtMostOnce, "twice",
			func(j *Judge) { j.Asking("q", Unsafe, 0); j.Ran("d0", "q", 0); j.Ran("d1", "q", 0) },
			func(j *Judge) { j.Asking("q", Safe, 0); j.Ran("d0", "q", 0); j.Ran("d1", "q", 0) }},
		{StreamOrder, "an end that is missing",
			func(j *Judge) { j.Answered(request(Stream, stream(part, nil))) },
			func(j *Judge) { j.Answered(request(Stream, stream(part, errCut))) }},
		{StreamOrder, "events twice",
			func(j *Judge) { j.Answered(request(Stream, stream(part+part, errCut))) },
			func(j *Judge) { j.Answered(request(Stream, stream(whole, nil))) }},
		{Room, "a third model",
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "n", "o"}, 0) },
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "m/a1", "n", "n/a1"}, 0) }},
		{Room, "a third adapter",
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "m/a1", "m/a2", "m/a3"}, 0) },
			func(j *Judge) { j.Ordered("e", order("a", 1), []string{"m", "m/a1", "m/a2"}, 0) }},
		{OneOrderer, "an earlier holder goes on",
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
		{OneOrderer, "two under one fence",
			func(j *Judge) { j.Ordered("e", order("a", 1), nil, 0); j.Ordered("e", order("b", 1), nil, 0) },
			func(j *Judge) { j.Ordered("e", order("a", 1), nil, 0); j.Ordered("e", order("a", 1), nil, 0) }},
		{Leaving, "a request long after the announcement",
			func(j *Judge) { j.ServerLeaves("d0", 0); j.Ran("d0", "q", 2500*ms) },
			func(j *Judge) { j.ServerLeaves("d0", 0); j.ServerBack("d0"); j.Ran("d0", "q", 2500*ms) }},
		{PlannedStop, "a request that ran is cut",
			func(j *Judge) {
				stopping(j)
				j.Ran("d0", "q", 950*ms)
				j.Answered(request(Safe, standin.Answer{Err: errCut}))
			},
			func(j *Judge) {
				stopping(j)
				j.Answered(request(Safe, standin.Answer{Err: errCut}))
			}},
		{PlannedStop, "a request is cut before the stop is asked for again",
			func(j *Judge) {
				stopping(j)
				j.Stopping(1, 1, 2000*ms)
				j.Ran("d0", "q", 950*ms)
				j.Answered(request(Safe, standin.Answer{Err: errCut}))
			},
			func(j *Judge) { stopping(j); j.Stopping(1, 1, 2000*ms); j.Answered(request(Safe, answer("q"))) }},
		{PlannedStop, "it takes long",
			func(j *Judge) { stopping(j); j.Stopped(1, 1, 10*time.Second) },
			func(j *Judge) { stopping(j); j.Stopped(1, 1, 5*time.Second) }},
		{InForce, "late",
			func(j *Judge) { j.Started(1, 1, 0); j.Written(2, time.Second); j.Answered(probe(2, 404, 4500*ms)) },
			func(j *Judge) { j.Started(1, 1, 0); j.Written(2, time.Second); j.Answered(probe(2, 404, 3500*ms)) }},
		{NeverBack, "an older one again",
			func(j *Judge) { j.Answered(probe(3, 200, 0)); j.Answered(probe(2, 200, time.Second)) },
			func(j *Judge) { j.Answered(probe(2, 200, 0)); j.Answered(probe(3, 200, time.Second)) }},
		{NeverBack, "gone without a newer one",
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
		{Repeats, "many",
			func(j *Judge) { repeatTimes(j, repeatSlack+2) },
			func(j *Judge) { repeatTimes(j, repeatSlack-1) }},
	}
	for _, c := range cases {
		t.Run(string(c.promise)+": "+c.name, func(t *testing.T) {
			j := newTestJudge()
			c.broken(j)
			if v := j.Violations(); len(v) == 0 || v[0].Promise != c.promise {
				t.Errorf("broken, but the judge says %v", v)
			}
			j = newTestJudge()
			c.kept(j)
			if v := j.Violations(); len(v) > 0 {
				t.Errorf("kept, but the judge says %v", v)
			}
		})
	}
}

// repeatTimes makes one request come to a server again some times.
func repeatTimes(j *Judge, times int) {
	j.Asking("q", Safe, 0)
	for range times + 1 {
		j.Ran("d0", "q", time.Second)
	}
}

// TestFaultsExcuseOnlyWhatTheyTouch checks that what depends on timing is judged again
// once a fault is over for a while.
func TestFaultsExcuseOnlyWhatTheyTouch(t *testing.T) {
	fault := Event{Kind: StoreDown, At: 2 * time.Second, For: time.Second}
	for after, excused := range map[time.Duration]bool{0: true, 20 * time.Second: false} {
		j := newTestJudge(fault)
		j.shift(0)
		j.ServerLeaves("d0", fault.At+after)
		j.Ran("d0", "q", fault.At+after+limits.LeaveLag+time.Second)
		if broken := len(j.Violations()) > 0; broken == excused {
			t.Errorf("%v after the fault: broken %v", after, broken)
		}
	}
}

// TestConfigurationIsJudgedAgainAfterAFault checks that a fault while a configuration was
// written excuses nobody for ever.
func TestConfigurationIsJudgedAgainAfterAFault(t *testing.T) {
	fault := Event{Kind: StoreDown, At: 2 * time.Second, For: time.Second}
	over := fault.At + fault.For + aftermath
	for began, broken := range map[time.Duration]bool{over + limits.InForceLag/2: false, over + 2*limits.InForceLag: true} {
		j := newTestJudge(fault)
		j.Started(1, 1, 0)
		j.Written(2, fault.At)
		j.Answered(Request{Kind: Probe, Version: 2, Instance: 1, Start: 1, Answer: standin.Answer{Status: 404}, Began: began, Ended: began + ms})
		if (len(j.Violations()) > 0) != broken {
			t.Errorf("asked at %v: %v", began, j.Violations())
		}
	}
}

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(50) {
		events := Plan(seed, DefaultSize)
		if !slices.Equal(events, Plan(seed, DefaultSize)) {
			t.Fatalf("seed %d: two schedules", seed)
		}
		if slices.Equal(events, Plan(seed+1, DefaultSize)) {
			t.Errorf("seeds %d and %d have the same schedule", seed, seed+1)
		}
		for _, e := range events {
			seen[e.Kind] = true
			if e.At > DefaultSize.Length+time.Second || e.For > longestFault || scopeOf(e.Kind) == 0 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("50 seeds have %d of %d kinds", len(seen), len(kinds))
	}
}

func TestShrinkKeepsWhatFails(t *testing.T) {
	events := Plan(3, DefaultSize)
	first, second := events[4], events[len(events)-2]
	played := 0
	short := Shrink(events, 200, func(e []Event) bool {
		played++
		return slices.Contains(e, first) && slices.Contains(e, second)
	})
	if !slices.Equal(short, []Event{first, second}) {
		t.Errorf("%d events are left of %d after %d plays", len(short), len(events), played)
	}
	played = 0
	Shrink(events, 5, func([]Event) bool { played++; return true })
	if played > 5 {
		t.Errorf("%d plays, not 5", played)
	}
}
