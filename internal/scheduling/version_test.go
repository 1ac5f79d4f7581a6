package scheduling

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// versionScheduler returns a scheduler with servers of two software versions: s1 and s2 have v1, the
// others v2. Each has a batch of 4.
func versionScheduler(t *testing.T) Scheduler {
	t.Helper()
	s := newScheduler(t)
	var servers []Server
	for n, version := range []string{"v1", "v1", "v2", "v2", ""} {
		servers = append(servers, Server{Name: fmt.Sprint("s", n+1), FailureDomain: "a", Near: true, Slots: 4, SoftwareVersion: version})
	}
	s.SetServers(epoch, servers)
	for _, server := range servers {
		s.ObserveReport(epoch, server.Name, report("m@1"))
	}
	return s
}

func resumedAt(id request.ID, version string) request.Request {
	r := requestAt(id, epoch, 10*time.Second)
	r.SoftwareVersion, r.Idempotent = version, true
	return r
}

// TestStreamGoesOnOnlyAtItsVersion guards against streams that go on at a server whose software version
// is another one, or none.
func TestStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	s := versionScheduler(t)
	for n := range 4 {
		for version, want := range map[string][]string{"v1": {"s1", "s2"}, "v2": {"s3", "s4"}} {
			d := requireOne(t, s.Arrive(epoch, resumedAt(request.ID(fmt.Sprint(version, n)), version)), Dispatch)
			if d.Server != want[0] && d.Server != want[1] {
				t.Errorf("a stream of %s went on at %s, want one of %v", version, d.Server, want)
			}
		}
	}
	d := requireOne(t, s.Arrive(epoch, resumedAt("unknown", "v3")), Refuse)
	if d.Err.Code != verdict.CodeVersionUnavailable || d.Err.Verdict != verdict.NotRun || d.Err.RetryAfter <= 0 {
		t.Errorf("a version without servers: got %v, want a refusal at once, not run", d.Err)
	}
}

// TestNewStreamsDontCrowdOutOnesThatGoOn guards against streams that can't go on because new ones have
// taken the room of the version's last server, and against ones that wait for room.
func TestNewStreamsDontCrowdOutOnesThatGoOn(t *testing.T) {
	s := versionScheduler(t)
	s.SetServers(epoch, []Server{{Name: "s1", FailureDomain: "a", Near: true, Slots: 4, SoftwareVersion: "v1"}})
	s.ObserveReport(epoch, "s1", report("m@1"))
	for n := range 12 {
		s.Arrive(epoch, requestAt(request.ID(fmt.Sprint("new", n)), epoch, 10*time.Second))
	}
	s.Finish(epoch, Outcome{ID: "new0", Server: "s1", Verdict: verdict.Ran})
	requireOne(t, s.Arrive(epoch, resumedAt("r0", "v1")), Dispatch)
	refused := false
	for n := range 8 {
		d := s.Arrive(epoch, resumedAt(request.ID(fmt.Sprint("more", n)), "v1"))
		refused = refused || d[0].Action == Refuse
		if d[0].Action == Queue {
			t.Fatal("a stream that goes on waits for room")
		}
	}
	if !refused {
		t.Error("a server gets any number of streams that go on, want a refusal once it is full")
	}
}

// TestStreamThatWaitsForItsServerIsRefusedWhenThatLeaves guards against a stream that waits until its
// deadline after the last server of its version has left.
func TestStreamThatWaitsForItsServerIsRefusedWhenThatLeaves(t *testing.T) {
	s := versionScheduler(t)
	v1 := Server{Name: "s1", FailureDomain: "a", Near: true, Slots: 4, SoftwareVersion: "v1"}
	v2 := Server{Name: "s3", FailureDomain: "a", Near: true, Slots: 4, SoftwareVersion: "v2"}
	s.SetServers(epoch, []Server{v1, v2})
	d := requireOne(t, s.Arrive(epoch, resumedAt("r", "v1")), Dispatch)
	failed := Outcome{ID: "r", Server: d.Server, Verdict: verdict.MayHaveRun, Err: verdict.Unclear(verdict.CodeServerFailed, nil, "reset")}
	s.Finish(epoch, failed)
	// The connection was reset, the server may live: the stream waits for the end of the back-off.
	requireOne(t, s.Retry(epoch, resumedAt("r", "v1"), failed), Queue)
	v1.Leaving = true
	s.SetServers(epoch.Add(10*time.Millisecond), []Server{v1, v2})
	left := requireOne(t, s.Tick(epoch.Add(versionCheckPeriod+10*time.Millisecond)), Refuse)
	if left.Err.Code != verdict.CodeVersionUnavailable || left.Err.Verdict != verdict.MayHaveRun {
		t.Errorf("got %v, want a refusal that may have run", left.Err)
	}
}

// TestStreamThatWaitsGoesToNoOtherVersion guards against a waiting stream that a free server of another
// version takes.
func TestStreamThatWaitsGoesToNoOtherVersion(t *testing.T) {
	s := versionScheduler(t)
	s.SetServers(epoch, []Server{
		{Name: "s1", FailureDomain: "a", Near: true, Slots: 4, SoftwareVersion: "v1"},
		{Name: "s3", FailureDomain: "a", Near: true, Slots: 4, SoftwareVersion: "v2"},
	})
	requireOne(t, s.Arrive(epoch, resumedAt("r", "v1")), Dispatch)
	failed := Outcome{ID: "r", Server: "s1", Verdict: verdict.MayHaveRun, Err: verdict.Unclear(verdict.CodeServerFailed, nil, "reset")}
	s.Finish(epoch, failed)
	requireOne(t, s.Retry(epoch, resumedAt("r", "v1"), failed), Queue)
	for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
		for _, d := range s.Tick(epoch.Add(at)) {
			if d.Action == Dispatch && d.Server != "s1" {
				t.Fatalf("went on at %s", d.Server)
			}
			if d.Action == Dispatch {
				return
			}
		}
	}
	t.Error("never went on at the server of its version")
}

// TestStreamWaitsForACopyWhereOnlyItsVersionServes guards against streams that are refused at once because the
// servers with their model were lost, although another one is about to load it, and against ones that wait
// for a copy that may come at another version.
func TestStreamWaitsForACopyWhereOnlyItsVersionServes(t *testing.T) {
	server := func(name, version string) Server {
		return Server{Name: name, FailureDomain: "a", Near: true, Slots: 4, Pool: "llm", SoftwareVersion: version}
	}
	resumed := resumedAt("r", "v1")
	resumed.Service = "llm"
	s := newScheduler(t)
	s.SetServers(epoch, []Server{server("s1", "v1"), server("s2", "v1")})
	requireOne(t, s.Arrive(epoch, resumed), Queue)
	s.Tick(epoch.Add(versionCheckPeriod + time.Millisecond))
	if d := requireOne(t, s.ObserveResident(epoch.Add(time.Second), "s2", report("m@1").Resident), Dispatch); d.Server != "s2" {
		t.Errorf("went on at %s, want s2, which has loaded the model", d.Server)
	}
	s = newScheduler(t)
	s.SetServers(epoch, []Server{server("s1", "v1"), server("s2", "v2")})
	requireOne(t, s.Arrive(epoch, resumed), Refuse)
}
