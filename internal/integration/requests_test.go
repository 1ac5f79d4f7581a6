package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/lab/entry"
	"limpethub/internal/lab/faultproxy"
	"limpethub/internal/lab/standin/plainservice"
	"limpethub/internal/verdict"
)

// setServiceFaults sets the faults of all service servers.
func (r *rig) setServiceFaults(f plainservice.Faults) {
	for _, s := range r.Services {
		s.SetFaults(f)
	}
}

// TestRepeatAfterKill kills an instance while it runs a non-idempotent request. The caller
// repeats the request through another instance, which can't know whether it ran and must not
// run it again.
func TestRepeatAfterKill(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.setServiceFaults(plainservice.Faults{Slow: time.Second})
	first := async(func() reply { return r.submitForm(instances[0], "form-1", "") })
	r.eventually("the request runs", func() bool { return r.runCount("form-1") == 1 })
	instances[0].Kill()
	if got := <-first; got.err == nil {
		t.Fatalf("killed instance answered with status %d, want a connection error", got.status)
	}
	for range 3 {
		got := r.submitForm(instances[1], "form-1", "entry-1;age=1000")
		if got.status != http.StatusConflict || got.verdict() != verdict.MayHaveRun {
			t.Fatalf("repeat: got %d %s %s, want 409 with verdict may-have-run", got.status, got.verdict(), got.body)
		}
	}
	r.eventually("another instance no longer lists the killed one", func() bool {
		return instanceNames(r.entries(instances[1])) != "" && len(r.entries(instances[1])) == 2
	})
	if n := r.runCount("form-1"); n != 1 {
		t.Fatalf("the request ran %d times, want once", n)
	}
}

// TestRepeatWhilePaused pauses an instance while it runs a non-idempotent request. A repeat
// through another instance must not run the request again. The paused instance must answer the
// first request when it resumes.
func TestRepeatWhilePaused(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.setServiceFaults(plainservice.Faults{Slow: time.Second})
	first := async(func() reply { return r.submitForm(instances[0], "form-2", "") })
	r.eventually("the request runs", func() bool { return r.runCount("form-2") == 1 })
	if err := instances[0].Pause(); err != nil {
		t.Fatal(err)
	}
	got := r.submitForm(instances[1], "form-2", "entry-1;age=1000")
	if err := instances[0].Resume(); err != nil {
		t.Fatal(err)
	}
	if got.verdict() != verdict.MayHaveRun {
		t.Fatalf("repeat: got %d %s %s, want verdict may-have-run", got.status, got.verdict(), got.body)
	}
	if answer := <-first; answer.status != http.StatusOK {
		t.Fatalf("first request after the pause: got %d, error %v, want 200", answer.status, answer.err)
	}
	if n := r.runCount("form-2"); n != 1 {
		t.Fatalf("the request ran %d times, want once", n)
	}
}

// TestRepeatOfRefusedCall repeats a refused non-idempotent request through another instance
// while the store is down, and gets the verdict that it didn't run. Sent again as a new
// request it runs once; later repeats must not run it again.
func TestRepeatOfRefusedCall(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.Store.SetFaults(storeDown)
	r.setServiceFaults(plainservice.Faults{Refuse: true})
	if got := r.submitForm(instances[0], "form-3", ""); got.verdict() != verdict.NotRun {
		t.Fatalf("refused request: got %d %s %s, want verdict not-run", got.status, got.verdict(), got.body)
	}
	if got := r.submitForm(instances[1], "form-3", "entry-1;age=1000"); got.status != http.StatusConflict || got.verdict() != verdict.NotRun {
		t.Fatalf("repeat of the refused request: got %d %s %s, want 409 with verdict not-run", got.status, got.verdict(), got.body)
	}
	r.setServiceFaults(plainservice.Faults{})
	r.eventually("the request, sent again as a new one, succeeds", func() bool { return r.submitForm(instances[2], "form-3", "").status == http.StatusOK })
	for _, p := range instances {
		if got := r.submitForm(p, "form-3", "entry-3;age=1000"); got.status == http.StatusOK {
			t.Fatalf("repeat after the run: got %d, want a failure", got.status)
		}
	}
	if n := r.runCount("form-3"); n != 1 {
		t.Fatalf("the request ran %d times, want once", n)
	}
}

// TestLostAnswerIsNotRetried closes the connection to a service after the request ran, without
// an answer, on reused and on new connections. The request must not be sent again, neither by
// the instance nor by its HTTP client.
func TestLostAnswerIsNotRetried(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	for i := range 4 {
		r.submitForm(instances[0], fmt.Sprintf("warm-%d", i), "")
	}
	r.setServiceFaults(plainservice.Faults{CutAfterRun: true})
	for i := range 6 {
		id := fmt.Sprintf("form-4-%d", i)
		got := r.submitForm(instances[0], id, "")
		if got.verdict() != verdict.MayHaveRun || got.status != http.StatusBadGateway {
			t.Fatalf("request with a lost answer: got %d %s %s, want 502 with verdict may-have-run", got.status, got.verdict(), got.body)
		}
		if n := r.runCount(id); n != 1 {
			t.Fatalf("the request ran %d times, want once", n)
		}
	}
}

// TestStreamResumesOnNewConnection breaks the connection to the server in the middle of a
// stream. The instance must connect again and resume the same run, so that the caller gets
// the whole stream.
func TestStreamResumesOnNewConnection(t *testing.T) {
	const tokens = 100
	tests := []struct {
		name             string
		breakConnections func(*faultproxy.Proxy)
	}{
		{"reset", (*faultproxy.Proxy).ResetOpen},
		{"silence", (*faultproxy.Proxy).SilenceOpen},
	}
	r := newRig(t)
	instances := r.startThree()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			id := "stream-" + tt.name
			answer := async(func() reply { return r.stream(instances[0], id, "alpha", tokens) })
			r.eventually("the stream has started", func() bool { return r.runCount(id) == 1 })
			time.Sleep(200 * time.Millisecond)
			for _, proxy := range r.proxies {
				tt.breakConnections(proxy)
			}
			if err := checkWholeStream(<-answer, id, tokens); err != nil {
				t.Fatal(err)
			}
			if n := r.runCount(id); n != 1 {
				t.Fatalf("the request ran %d times, want once", n)
			}
		})
	}
}

// TestServerKilledDuringStream kills all engine servers in the middle of a stream. The stream
// must end with an error event with the verdict ran, and must not continue with the output of
// another run.
func TestServerKilledDuringStream(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	answer := async(func() reply { return r.stream(instances[0], "dying", "alpha", 400) })
	r.eventually("the stream has started", func() bool { return r.runCount("dying") == 1 })
	time.Sleep(200 * time.Millisecond)
	for name := range r.Engines {
		r.KillServer(name)
	}
	got := <-answer
	if checkWholeStream(got, "dying", 400) == nil {
		t.Fatal("stream of a killed server is complete, want it cut")
	}
	if !containsAll(got.body, "event: error", `"verdict":"ran"`) {
		t.Fatalf("got %s, want an error event with verdict ran", tail(got.body))
	}
}

// TestLeavingServerGetsNoNewWork marks a server as leaving while the platform's list lags too
// far behind to show it. The instances learn it from the server's own reports and refusals. No
// request may fail meanwhile, and none may reach the server once all instances know its state.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.List.SetLag(10 * time.Minute)
	r.Engines["engine-1"].SetLeaving(true)
	r.List.SetLeaving("engine-1", true)
	for i := range 30 {
		p := instances[i%len(instances)]
		if got := r.complete(p, "alpha", 2); got.status != http.StatusOK {
			t.Fatalf("request %d: got %d %s, want 200", i, got.status, got.body)
		}
	}
	r.eventually("all instances report the server as leaving", func() bool { return r.serverState(instances, "engine-1") == "leaving" })
	before := r.Engines["engine-1"].Stats()
	for i := range 30 {
		r.complete(instances[i%len(instances)], "alpha", 2)
	}
	after := r.Engines["engine-1"].Stats()
	if after.Requests != before.Requests || after.Refused[engine.RefusalLeaving] != before.Refused[engine.RefusalLeaving] {
		t.Fatalf("new requests reached a leaving server: statistics before %+v, after %+v", before, after)
	}
}

// serverState returns the state of a server that all instances report; empty if they differ
// or one doesn't answer.
func (r *rig) serverState(instances []*entry.Process, name string) string {
	agreed := ""
	for i, p := range instances {
		status, err := p.Operator.Status(r.t.Context())
		if err != nil {
			return ""
		}
		for _, s := range status.Servers {
			if s.Name != name {
				continue
			}
			if i > 0 && string(s.State) != agreed {
				return ""
			}
			agreed = string(s.State)
		}
	}
	return agreed
}

// TestRepeatOfUnreceivedCall repeats a request that the first instance never received. The
// second instance runs it. When the first attempt arrives late at the first instance, it must
// be refused, or the request would run twice.
func TestRepeatOfUnreceivedCall(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	first := ""
	for _, e := range r.entries(instances[1]) {
		if e.Instance == "entry-1" {
			first = fmt.Sprintf("entry-1;incarnation=%d;age=50", e.Incarnation)
		}
	}
	if got := r.submitForm(instances[1], "form-5", first); got.status != http.StatusOK {
		t.Fatalf("repeat of an unreceived request: got %d %s, want 200", got.status, got.body)
	}
	if got := r.submitForm(instances[0], "form-5", ""); got.status != http.StatusConflict || got.verdict() != verdict.Ran {
		t.Fatalf("late first request: got %d %s %s, want 409 with verdict ran", got.status, got.verdict(), got.body)
	}
	if n := r.runCount("form-5"); n != 1 {
		t.Fatalf("the request ran %d times, want once", n)
	}
}
