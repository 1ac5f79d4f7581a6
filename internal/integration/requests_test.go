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

// setServices gives all service servers the same faults.
func (r *rig) setServices(f plainservice.Faults) {
	for _, s := range r.Services {
		s.SetFaults(f)
	}
}

// TestRepeatAfterKill kills the first instance in the middle of a call that must run
// at most once; the caller repeats it through another one.
func TestRepeatAfterKill(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.setServices(plainservice.Faults{Slow: time.Second})
	first := async(func() reply { return r.form(instances[0], "form-1", "") })
	r.eventually("the call runs", func() bool { return r.runs("form-1") == 1 })
	instances[0].Kill()
	if got := <-first; got.err == nil {
		t.Fatalf("the killed instance answered %d", got.status)
	}
	for range 3 {
		got := r.form(instances[1], "form-1", "entry-1;age=1000")
		if got.status != http.StatusConflict || got.verdict() != verdict.MayHaveRun {
			t.Fatalf("repeat: %d %s %s", got.status, got.verdict(), got.body)
		}
	}
	r.eventually("callers are sent elsewhere", func() bool {
		return names(r.entries(instances[1])) != "" && len(r.entries(instances[1])) == 2
	})
	if n := r.runs("form-1"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// TestRepeatWhilePaused freezes the first instance in the middle of a call.
func TestRepeatWhilePaused(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.setServices(plainservice.Faults{Slow: time.Second})
	first := async(func() reply { return r.form(instances[0], "form-2", "") })
	r.eventually("the call runs", func() bool { return r.runs("form-2") == 1 })
	if err := instances[0].Pause(); err != nil {
		t.Fatal(err)
	}
	got := r.form(instances[1], "form-2", "entry-1;age=1000")
	if err := instances[0].Resume(); err != nil {
		t.Fatal(err)
	}
	if got.verdict() != verdict.MayHaveRun {
		t.Fatalf("repeat: %d %s %s", got.status, got.verdict(), got.body)
	}
	if answer := <-first; answer.status != http.StatusOK {
		t.Fatalf("the first attempt ended with %d %v", answer.status, answer.err)
	}
	if n := r.runs("form-2"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// TestRepeatOfWhatDidNotRun asks through another instance what became of a refused
// call, and then sends it afresh, in an outage of the key-value service: it runs once.
func TestRepeatOfWhatDidNotRun(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.Store.SetFaults(storeDown)
	r.setServices(plainservice.Faults{Refuse: true})
	if got := r.form(instances[0], "form-3", ""); got.verdict() != verdict.NotRun {
		t.Fatalf("refused call: %d %s %s", got.status, got.verdict(), got.body)
	}
	if got := r.form(instances[1], "form-3", "entry-1;age=1000"); got.status != http.StatusConflict || got.verdict() != verdict.NotRun {
		t.Fatalf("repeat that asks what became of it: %d %s %s", got.status, got.verdict(), got.body)
	}
	r.setServices(plainservice.Faults{})
	r.eventually("sent afresh, it runs", func() bool { return r.form(instances[2], "form-3", "").status == http.StatusOK })
	for _, p := range instances {
		if got := r.form(p, "form-3", "entry-3;age=1000"); got.status == http.StatusOK {
			t.Fatalf("a further repeat ran: %d", got.status)
		}
	}
	if n := r.runs("form-3"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// TestLostAnswerIsNotSentAgain cuts the connection after the run, on new and on
// pooled connections: the call is not sent again by anybody.
func TestLostAnswerIsNotSentAgain(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	for i := range 4 {
		r.form(instances[0], fmt.Sprintf("warm-%d", i), "")
	}
	r.setServices(plainservice.Faults{CutAfterRun: true})
	for i := range 6 {
		id := fmt.Sprintf("form-4-%d", i)
		got := r.form(instances[0], id, "")
		if got.verdict() != verdict.MayHaveRun || got.status != http.StatusBadGateway {
			t.Fatalf("%d %s %s", got.status, got.verdict(), got.body)
		}
		if n := r.runs(id); n != 1 {
			t.Fatalf("the call ran %d times", n)
		}
	}
}

// TestStreamSurvivesItsConnection breaks the connection to the engine in the middle
// of a stream: it is resumed on a new one, whole, on the same run.
func TestStreamSurvivesItsConnection(t *testing.T) {
	const tokens = 100
	tests := []struct {
		name   string
		strike func(*faultproxy.Proxy)
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
			r.eventually("the stream runs", func() bool { return r.runs(id) == 1 })
			time.Sleep(200 * time.Millisecond)
			for _, proxy := range r.proxies {
				tt.strike(proxy)
			}
			if err := wholeStream(<-answer, id, tokens); err != nil {
				t.Fatal(err)
			}
			if n := r.runs(id); n != 1 {
				t.Fatalf("%d runs", n)
			}
		})
	}
}

// TestEngineDiesInStream kills the engine in the middle of a stream: the answer is
// reported cut, with the verdict that it ran, and never joined with another run.
func TestEngineDiesInStream(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	answer := async(func() reply { return r.stream(instances[0], "dying", "alpha", 400) })
	r.eventually("the stream runs", func() bool { return r.runs("dying") == 1 })
	time.Sleep(200 * time.Millisecond)
	for name := range r.Engines {
		r.KillServer(name)
	}
	got := <-answer
	if wholeStream(got, "dying", 400) == nil {
		t.Fatal("a stream of a dead engine ended whole")
	}
	if !containsAll(got.body, "event: error", `"verdict":"ran"`) {
		t.Fatalf("no error event: %s", tail(got.body))
	}
}

// TestLeavingServerGetsNoNewWork lets a server leave while the platform's list says
// nothing: the server's own report and refusals are enough, and no caller notices.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	r.List.SetLag(10 * time.Minute)
	r.Engines["engine-1"].SetLeaving(true)
	r.List.SetLeaving("engine-1", true)
	for i := range 30 {
		p := instances[i%len(instances)]
		if got := r.complete(p, "alpha", 2); got.status != http.StatusOK {
			t.Fatalf("request %d: %d %s", i, got.status, got.body)
		}
	}
	r.eventually("the instances have seen it", func() bool { return r.serverState(instances, "engine-1") == "leaving" })
	before := r.Engines["engine-1"].Stats()
	for i := range 30 {
		r.complete(instances[i%len(instances)], "alpha", 2)
	}
	after := r.Engines["engine-1"].Stats()
	if after.Requests != before.Requests || after.Refused[engine.RefusalLeaving] != before.Refused[engine.RefusalLeaving] {
		t.Fatalf("new work reached a leaving server: %+v then %+v", before, after)
	}
}

// serverState is the state of a server on which all instances agree; empty if they don't.
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

// TestRepeatOfWhatNeverArrived repeats a call that the first instance never got: it is
// barred there and run by the other one, and comes too late at the first.
func TestRepeatOfWhatNeverArrived(t *testing.T) {
	r := newRig(t)
	instances := r.startThree()
	first := ""
	for _, e := range r.entries(instances[1]) {
		if e.Instance == "entry-1" {
			first = fmt.Sprintf("entry-1;incarnation=%d;age=50", e.Incarnation)
		}
	}
	if got := r.form(instances[1], "form-5", first); got.status != http.StatusOK {
		t.Fatalf("repeat of what never arrived: %d %s", got.status, got.body)
	}
	if got := r.form(instances[0], "form-5", ""); got.status != http.StatusConflict || got.verdict() != verdict.Ran {
		t.Fatalf("the late first attempt: %d %s %s", got.status, got.verdict(), got.body)
	}
	if n := r.runs("form-5"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}
