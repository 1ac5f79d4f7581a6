package scheduling

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// overloadResult is what became of the requests of an overload.
type overloadResult struct {
	arrived, onTime, late, refused int
	// lateRefusals counts the refusals after the caller had left, and longestWait is the longest
	// time that a caller waited for a refusal.
	lateRefusals int
	longestWait  time.Duration
}

// replayOverload sends requests to one server, which runs batch requests of the given duration at
// once, in the order of their dispatch. Each request has the given objective for its first event,
// which comes when it begins to run, and its caller leaves if none comes for patience.
func replayOverload(t *testing.T, perSecond int, objective, patience time.Duration) overloadResult {
	t.Helper()
	const (
		batch    = 4
		duration = 400 * time.Millisecond
		length   = 20 * time.Second
		step     = 5 * time.Millisecond
	)
	s := newScheduler(t, "s1")
	s.ObserveReport(epoch, "s1", report("m@1"))
	type running struct {
		id   request.ID
		ends time.Time
	}
	var result overloadResult
	var active []running
	var waiting []request.ID
	arrivals := map[request.ID]request.Request{}
	apply := func(now time.Time, decisions []Decision) {
		for _, d := range decisions {
			switch d.Action {
			case Dispatch:
				waiting = append(waiting, d.ID)
			case Refuse:
				result.refused++
				if d.Err.Verdict != verdict.NotRun || d.Err.RetryAfter <= 0 {
					t.Fatalf("refusal %+v, want verdict not-run and a time to come back", d.Err)
				}
				waited := now.Sub(arrivals[d.ID].Arrived)
				result.longestWait = max(result.longestWait, waited)
				if now.After(arrivals[d.ID].FirstEventBy) {
					result.lateRefusals++
				}
			}
		}
	}
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(step) {
		var still []running
		for _, r := range active {
			if now.Before(r.ends) {
				still = append(still, r)
				continue
			}
			apply(now, s.Finish(now, Outcome{ID: r.id, Server: "s1", Verdict: verdict.Ran, FirstToken: 10 * time.Millisecond, Duration: duration, Tokens: 10}))
		}
		active = still
		if due := int(now.Sub(epoch).Seconds() * float64(perSecond)); result.arrived < due {
			result.arrived++
			r := requestAt(request.ID(fmt.Sprint(result.arrived)), now, time.Minute)
			r.Objective, r.FirstEventBy = now.Add(objective), now.Add(patience)
			r.Prefix = []request.PrefixPart{{Key: 1, Tokens: 5}, {Key: uint64(result.arrived) + 10, Tokens: 10}}
			arrivals[r.ID] = r
			apply(now, s.Arrive(now, r))
		}
		apply(now, s.Tick(now))
		for len(waiting) > 0 && len(active) < batch {
			r := arrivals[waiting[0]]
			if now.After(r.Objective) {
				result.late++
			} else {
				result.onTime++
			}
			active = append(active, running{id: waiting[0], ends: now.Add(duration)})
			waiting = waiting[1:]
		}
	}
	return result
}

// TestLastingOverloadServesOnTimeWhatItServes replays twice as many requests as a server can run
// for 20 s. In the order of their arrival, all would wait until shortly before their callers
// leave, and none would be on time. What can't begin before then is refused in time.
func TestLastingOverloadServesOnTimeWhatItServes(t *testing.T) {
	const objective, patience = 500 * time.Millisecond, 2 * time.Second
	got := replayOverload(t, 20, objective, patience)
	t.Logf("%+v", got)
	const capacity = 200 // 4 requests at once, 0.4 s each, for 20 s
	if got.onTime < capacity*6/10 {
		t.Errorf("%d requests were on time, want at least 60 %% of the %d that the server can run", got.onTime, capacity)
	}
	if got.lateRefusals > 0 || got.longestWait > patience {
		t.Errorf("%d refusals after the caller had left, the longest wait was %v, want none and at most %v", got.lateRefusals, got.longestWait, patience)
	}
}
