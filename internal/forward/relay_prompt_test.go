package forward

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/crashguard"
	"limpethub/internal/crashwatch"
	"limpethub/internal/engine"
	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// endedProber says that every server has ended.
type endedProber struct{}

func (endedProber) Probe(context.Context, engine.Server) engine.Liveness { return engine.LivenessEnded }

// hangingPassthrough answers nothing until the request is canceled.
type hangingPassthrough struct{ sent chan struct{} }

func (p hangingPassthrough) Open(ctx context.Context, _ engine.Server, _ engine.Call, _ int64) (engine.Answer, error) {
	p.sent <- struct{}{}
	<-ctx.Done()
	return nil, verdict.Unclear(verdict.CodeServerFailed, ctx.Err(), "no answer")
}

// withGuard gives a relay the parts that hold back prompts that crash servers.
func withGuard(r *Relay) *crashguard.Guard {
	guard := crashguard.New(crashguard.Options{
		Publish: func(gossip.Timed) {}, MayTry: func(quarantine.Subject) bool { return false }, Logger: logging.Discard(), Now: time.Now,
	})
	r.options.Guard = guard
	r.options.Crashes = crashwatch.New(crashwatch.Options{
		Prober: endedProber{}, OnEnded: guard.ServerEnded, OnProven: guard.Proven, Logger: logging.Discard(), Now: time.Now,
	})
	return guard
}

func promptCall(id request.ID, parts ...request.Part) engine.Call {
	call := relayCall(true, 1)
	call.Request.ID, call.Request.Parts = id, parts
	return call
}

func crashReport(process int64, part request.Part) crashwatch.Ended {
	return crashwatch.Ended{Server: engine.Server{Name: "s", StartMillis: process}, At: time.Now(), Parts: []request.Part{part}}
}

// TestRelayEndsARequestThatComesIntoQuarantine guards against a request that stays on its server until
// it crashes it, and against an answer which says that it has not run.
func TestRelayEndsARequestThatComesIntoQuarantine(t *testing.T) {
	r, _ := newTestRelay(t)
	guard := withGuard(r)
	plane := hangingPassthrough{sent: make(chan struct{}, 1)}
	r.options.Plane = plane
	ended := make(chan error, 1)
	go func() {
		_, err := r.Relay(context.Background(), promptCall("q", 7), -1, &recordingCaller{})
		ended <- err
	}()
	<-plane.sent
	for n := range int64(3) {
		guard.ServerEnded(crashReport(n, 7))
		time.Sleep(30 * time.Millisecond)
	}
	select {
	case err := <-ended:
		if e := verdictOf(t, err); e.Code != verdict.CodePromptQuarantined || e.Verdict != verdict.MayHaveRun {
			t.Errorf("got %v, want code prompt_quarantined, may have run", e)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the request is still on its server")
	}
	_, err := r.Relay(t.Context(), promptCall("next", 7), -1, &recordingCaller{})
	if e := verdictOf(t, err); e.Code != verdict.CodePromptQuarantined || e.Verdict != verdict.NotRun {
		t.Errorf("the next one: got %v, want code prompt_quarantined, not run", e)
	}
}

// goneServers is a Directory that knows no server.
type goneServers struct{}

func (goneServers) Server(string) (engine.Server, bool) { return engine.Server{}, false }

// retryHook calls a function when the relay logs that it tries another server.
type retryHook struct{ onRetry func() }

func (retryHook) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

func (h retryHook) Fire(entry *logrus.Entry) error {
	if entry.Message == "Trying another server" {
		h.onRetry()
	}
	return nil
}

// TestAttemptThatNeverBeganDoesntHoldUpOthers guards against a suspected part that stays taken by a
// request whose server was gone, while that request waits for another server.
func TestAttemptThatNeverBeganDoesntHoldUpOthers(t *testing.T) {
	r, _ := newTestRelay(t)
	guard := withGuard(r)
	r.options.Directory = goneServers{}
	other := guard.Enter(t.Context(), &request.Request{Parts: []request.Part{7}})
	defer other.Leave()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	retries := 0
	logger.AddHook(retryHook{onRetry: func() {
		if retries++; retries > 1 {
			return
		}
		guard.ServerEnded(crashReport(1, 7))
		if !other.MaySend() {
			t.Error("another request with the part may not go, although nothing is on a server")
		}
	}})
	r.options.Logger = logrus.NewEntry(logger)
	_, _ = r.Relay(t.Context(), promptCall("q", 7), -1, &recordingCaller{})
	if retries == 0 {
		t.Error("the request didn't try another server")
	}
}

// TestAnswersProveTheirPrompts guards against parts that stay suspected although whole answers or
// streams with them arrive.
func TestAnswersProveTheirPrompts(t *testing.T) {
	for name, reply := range map[string]serverReply{
		"whole answer": {status: 200, body: "fine"},
		"stream":       {status: 200, events: []int64{0, 1}},
	} {
		r, _ := newTestRelay(t, reply)
		guard := withGuard(r)
		guard.ServerEnded(crashReport(1, 7))
		ticket := guard.Enter(t.Context(), &request.Request{Parts: []request.Part{7}})
		if !ticket.MayBeCause() {
			t.Fatalf("%s: the part counts as proven before any answer", name)
		}
		if _, err := r.Relay(t.Context(), promptCall("q", 7), -1, &recordingCaller{}); err != nil {
			t.Fatal(err)
		}
		if ticket.MayBeCause() {
			t.Errorf("%s: the part isn't proven", name)
		}
		ticket.Leave()
	}
}

// TestRefusedOrFailedAnswersProveNothing guards against a part that counts as proven although its
// request didn't run.
func TestRefusedOrFailedAnswersProveNothing(t *testing.T) {
	for name, reply := range map[string]serverReply{
		"refusal":      {status: 503, refused: true},
		"failure":      {status: 500, body: "no"},
		"empty stream": {status: 200, events: []int64{}},
	} {
		r, _ := newTestRelay(t, reply)
		guard := withGuard(r)
		ticket := guard.Enter(t.Context(), &request.Request{Parts: []request.Part{7}})
		_, _ = r.Relay(t.Context(), promptCall("q", 7), -1, &recordingCaller{})
		if !ticket.MayBeCause() {
			t.Errorf("%s: the part counts as proven", name)
		}
		ticket.Leave()
	}
}
