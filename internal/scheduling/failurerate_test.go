package scheduling

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// replayFailures sends one request after the other to three servers for the given time, from now
// on. fails decides by the server and the number of its requests so far whether one fails. It
// returns the time of the end and each server's share of the requests.
func replayFailures(t *testing.T, s Scheduler, now time.Time, length time.Duration, fails func(server string, n int) bool) (time.Time, map[string]float64) {
	t.Helper()
	const period, duration = 50 * time.Millisecond, 40 * time.Millisecond
	counts, sent := map[string]int{}, 0
	for end := now.Add(length); now.Before(end); now = now.Add(period) {
		sent++
		id := request.ID(fmt.Sprintf("%d-%d", now.UnixNano(), sent))
		d := requireOne(t, s.Arrive(now, requestAt(id, now, 10*time.Second)), Dispatch)
		outcome := Outcome{ID: id, Server: d.Server, Verdict: verdict.Ran, FirstToken: 5 * time.Millisecond, Duration: duration, Tokens: 5}
		counts[d.Server]++
		if fails(d.Server, counts[d.Server]) {
			outcome.Verdict, outcome.Err = verdict.MayHaveRun, verdict.Unclear(verdict.CodeServerFailed, errors.New("reset"), "no answer")
		}
		s.Finish(now.Add(duration), outcome)
	}
	shares := map[string]float64{}
	for name, n := range counts {
		shares[name] = float64(n) / float64(sent)
	}
	return now, shares
}

func threeServers(t *testing.T) Scheduler {
	t.Helper()
	s := newScheduler(t, "s1", "s2", "s3")
	for _, name := range []string{"s1", "s2", "s3"} {
		s.ObserveReport(epoch, name, report("m@1"))
	}
	return s
}

// TestServerThatFailsSomeRequestsGetsFew replays a server that fails two of five requests and
// serves the others, beside two servers that serve all. It gets few requests, and its share again
// some time after it has recovered.
func TestServerThatFailsSomeRequestsGetsFew(t *testing.T) {
	s := threeServers(t)
	never := func(string, int) bool { return false }
	now, _ := replayFailures(t, s, epoch, 5*time.Second, never)
	now, shares := replayFailures(t, s, now, 20*time.Second, func(server string, n int) bool { return server == "s1" && n%5 < 2 })
	if shares["s1"] > 0.1 {
		t.Errorf("the failing server got %.2f of the requests, want at most 0.1", shares["s1"])
	}
	now, _ = replayFailures(t, s, now, 4*failureHalfLife, never)
	if _, shares = replayFailures(t, s, now, 10*time.Second, never); shares["s1"] < 0.2 {
		t.Errorf("after it recovered, the server got %.2f of the requests, want about a third", shares["s1"])
	}
}

// TestFailuresOfAllServersDoNotShiftLoad: if all servers fail a part of the requests, as a
// service does that answers some with an error, none is avoided.
func TestFailuresOfAllServersDoNotShiftLoad(t *testing.T) {
	s := threeServers(t)
	_, shares := replayFailures(t, s, epoch, time.Minute, func(_ string, n int) bool { return n%7 == 0 })
	for name, share := range shares {
		if share < 0.2 || share > 0.5 {
			t.Errorf("%s got %.2f of the requests, want about a third", name, share)
		}
	}
}
