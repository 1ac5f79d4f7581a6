package scheduling

import (
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// pausedScheduler has two servers that hold the model m@1.
func pausedScheduler(t *testing.T) Scheduler {
	t.Helper()
	s := newScheduler(t, "s1", "s2")
	for _, name := range []string{"s1", "s2"} {
		s.ObserveReport(epoch, name, report("m@1"))
	}
	return s
}

func requestAt(id request.ID, arrived time.Time, timeout time.Duration) request.Request {
	r := testRequest(id)
	r.Arrived, r.Deadline = arrived, arrived.Add(timeout)
	return r
}

// TestPausedServerGetsNothingUntilItsPauseEnds: the other server takes all requests meanwhile,
// and no back-off follows the pause, because it isn't a failure.
func TestPausedServerGetsNothingUntilItsPauseEnds(t *testing.T) {
	s := pausedScheduler(t)
	const wait = 3 * time.Second
	s.ObservePaused(epoch, "s1", epoch.Add(wait))
	s.ObservePaused(epoch, "s1", epoch.Add(time.Second)) // A later answer doesn't shorten the pause.
	used := map[string]bool{}
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		id := request.ID(string(rune('a' + i)))
		d := requireOne(t, s.Arrive(now, requestAt(id, now, 10*time.Second)), Dispatch)
		used[d.Server] = true
		s.Finish(now, Outcome{ID: id, Server: d.Server, Verdict: verdict.Ran, Duration: time.Millisecond, Tokens: 1})
	}
	if used["s1"] {
		t.Error("a request was dispatched to s1 during its pause")
	}
	s.ObserveUnreachable(epoch.Add(wait), "s2")
	now := epoch.Add(wait)
	if d := requireOne(t, s.Arrive(now, requestAt("z", now, 10*time.Second)), Dispatch); d.Server != "s1" {
		t.Errorf("after the pause: dispatched to %s, want s1", d.Server)
	}
}

// TestRefusesAtOnceWhenAllServersPause replays an overloaded service whose servers all refuse
// with a time to come back. What can't wait that long is refused at once, also if it waits
// already, and told when the first server takes requests again; what can wait is queued.
func TestRefusesAtOnceWhenAllServersPause(t *testing.T) {
	s := pausedScheduler(t)
	s.ObservePaused(epoch, "s1", epoch.Add(5*time.Second))
	if d := requireOne(t, s.Arrive(epoch, requestAt("served", epoch, time.Second)), Dispatch); d.Server != "s2" {
		t.Fatalf("dispatched to %s, want s2", d.Server)
	}
	s.ObserveUnreachable(epoch, "s2") // It makes requests wait, without a pause.
	requireOne(t, s.Arrive(epoch, requestAt("short", epoch, time.Second)), Queue)
	requireOne(t, s.Arrive(epoch, requestAt("long", epoch, 9*time.Second)), Queue)
	refused := requireOne(t, s.ObservePaused(epoch, "s2", epoch.Add(2*time.Second)), Refuse)
	if refused.ID != "short" || refused.Err.Code != verdict.CodeServersPaused || refused.Err.Verdict != verdict.NotRun {
		t.Errorf("refusal = %+v, want request short with code servers_paused and verdict not-run", refused)
	}
	now := epoch.Add(500 * time.Millisecond)
	refused = requireOne(t, s.Arrive(now, requestAt("late", now, time.Second)), Refuse)
	const left, most = 1500 * time.Millisecond, 1800 * time.Millisecond
	if after := refused.Err.RetryAfter; refused.Err.Code != verdict.CodeServersPaused || after < left || after > most {
		t.Errorf("refusal = %+v, want code servers_paused and a retry after the pause, %v to %v", refused.Err, left, most)
	}
	stream := requestAt("stream", now, time.Minute)
	stream.FirstEventBy = now.Add(time.Second)
	if d := requireOne(t, s.Arrive(now, stream), Refuse); d.Err.Code != verdict.CodeServersPaused {
		t.Errorf("a stream whose caller leaves during the pause: %+v, want code servers_paused", d.Err)
	}
	if after := s.RetryAfter(now, requestAt("x", now, time.Second)); after < left || after > most {
		t.Errorf("RetryAfter = %v, want %v to %v", after, left, most)
	}
	s.ObserveReport(epoch.Add(time.Second), "s2", engine.Report{Sequence: 2, Taken: epoch.Add(time.Second), MaxBatch: 4, StepMillis: 10, Resident: report("m@1").Resident})
	if d := requireOne(t, s.Tick(epoch.Add(2*time.Second)), Dispatch); d.ID != "long" || d.Server != "s2" {
		t.Errorf("at the end of the pause: decision %+v, want request long dispatched to s2", d)
	}
}
