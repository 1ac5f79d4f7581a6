package httpengine_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/engine/httpengine"
	"limpethub/internal/lab/faultproxy"
	"limpethub/internal/lab/standin/modelengine"
	"limpethub/internal/lab/standin/plainservice"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

func newStringReader(text string) io.Reader { return strings.NewReader(text) }

const (
	caseID = request.ID("q1")
	// shortTimeout bounds requests that are expected to end without an answer.
	shortTimeout = 500 * time.Millisecond
)

// verdictCase is one row of docs/VERDICTS.md: a cause of failure and its required verdict.
type verdictCase struct {
	name    string
	options httpengine.Options
	// injectFault sets up the fault; call sends the request with the id caseID.
	injectFault func(fx *fixture)
	call        func(fx *fixture) error
	verdict     verdict.Verdict
	code        verdict.Code
	// runs is how often the server must have run the request in the end.
	runs int
}

func background() context.Context { return context.Background() }

func invokeCase(fx *fixture) error   { return fx.invoke(background(), caseID) }
func generateCase(fx *fixture) error { return fx.generate(background(), caseID, 30) }

func serviceFaults(change func(*faultproxy.Faults)) func(*fixture) {
	return func(fx *fixture) { fx.serviceProxy.SetFaults(faults(change)) }
}

func engineFaults(change func(*faultproxy.Faults)) func(*fixture) {
	return func(fx *fixture) { fx.engineProxy.SetFaults(faults(change)) }
}

// verdictCases has a case for each cause of a failure. Numbers in the proxy's faults are bytes
// passed before the fault: 0 means at the first byte, 40 lies in the request, 180 in the body of the
// service's answer, and 1200 in the events of the stream.
var verdictCases = []verdictCase{
	{
		name:        "refused dial",
		injectFault: func(fx *fixture) { fx.serviceProxy.Refuse() },
		call:        invokeCase,
		verdict:     verdict.NotRun, code: verdict.CodeServerFailed,
	}, {
		name:        "canceled before the dial",
		injectFault: func(*fixture) {},
		call: func(fx *fixture) error {
			ctx, cancel := context.WithCancel(background())
			cancel()
			return fx.invoke(ctx, caseID)
		},
		verdict: verdict.NotRun, code: verdict.CodeCanceled,
	}, {
		name:        "dial unanswered until the deadline",
		options:     httpengine.Options{Dialer: hangingDialer{}},
		injectFault: func(*fixture) {},
		call: func(fx *fixture) error {
			ctx, cancel := context.WithTimeout(background(), shortTimeout)
			defer cancel()
			return fx.invoke(ctx, caseID)
		},
		verdict: verdict.NotRun, code: verdict.CodeDeadlineExpired,
	}, {
		name:        "explicit refusal",
		injectFault: func(fx *fixture) { fx.service.SetFaults(plainservice.Faults{Refuse: true}) },
		call:        invokeCase,
		verdict:     verdict.NotRun, code: verdict.CodeServerRefused,
	}, {
		name:        "refusal without the request's id",
		injectFault: func(fx *fixture) { fx.service.SetFaults(plainservice.Faults{Refuse: true, WrongAnswer: true}) },
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeWrongAnswer,
	}, {
		name:        "reset at the request's first byte",
		injectFault: serviceFaults(func(f *faultproxy.Faults) { f.ResetToServer = 0 }),
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeServerFailed,
	}, {
		name:        "reset during the request's bytes",
		injectFault: serviceFaults(func(f *faultproxy.Faults) { f.ResetToServer = 40 }),
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeServerFailed,
	}, {
		name:        "reset after the run",
		injectFault: serviceFaults(func(f *faultproxy.Faults) { f.ResetToClient = 0 }),
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeServerFailed, runs: 1,
	}, {
		name:        "connection closed after the run",
		injectFault: func(fx *fixture) { fx.service.SetFaults(plainservice.Faults{CutAfterRun: true}) },
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeServerFailed, runs: 1,
	}, {
		name:        "service answer truncated in its body",
		injectFault: serviceFaults(func(f *faultproxy.Faults) { f.CloseToClient = 180 }),
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:        "answer after the deadline",
		injectFault: serviceFaults(func(f *faultproxy.Faults) { f.DropToClient = true }),
		call: func(fx *fixture) error {
			ctx, cancel := context.WithTimeout(background(), shortTimeout)
			defer cancel()
			return fx.invoke(ctx, caseID)
		},
		verdict: verdict.MayHaveRun, code: verdict.CodeDeadlineExpired, runs: 1,
	}, {
		name:        "another request's service answer",
		injectFault: func(fx *fixture) { fx.service.SetFaults(plainservice.Faults{WrongAnswer: true}) },
		call:        invokeCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeWrongAnswer, runs: 1,
	}, {
		// With FailBefore, the plain service answers any request with status 500, and doesn't
		// state that it didn't run the request.
		name:        "status 500 without a refusal",
		injectFault: func(fx *fixture) { fx.service.SetFaults(plainservice.Faults{FailBefore: true}) },
		call: func(fx *fixture) error {
			_, err := fx.adapter.Generate(background(), serverAt(fx.serviceProxy.Address()), completionCall(caseID, 3))
			return err
		},
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed,
	}, {
		name:        "stream reset before its head",
		injectFault: engineFaults(func(f *faultproxy.Faults) { f.ResetToClient = 0 }),
		call:        generateCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeServerFailed, runs: 1,
	}, {
		name:        "stream reset in its middle",
		injectFault: engineFaults(func(f *faultproxy.Faults) { f.ResetToClient = 1200 }),
		call:        generateCase,
		verdict:     verdict.Ran, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:        "clean end without the end marker",
		injectFault: func(fx *fixture) { fx.engine.SetFaults(modelengine.Faults{CutAfter: 5}) },
		call:        generateCase,
		verdict:     verdict.Ran, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:        "event missing",
		injectFault: func(fx *fixture) { fx.engine.SetFaults(modelengine.Faults{DropEvery: 4}) },
		call:        generateCase,
		verdict:     verdict.Ran, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:        "event of another request",
		injectFault: func(fx *fixture) { fx.engine.SetFaults(modelengine.Faults{WrongIDAfter: 3}) },
		call:        generateCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeWrongAnswer, runs: 1,
	}, {
		name:        "silence before the head",
		options:     httpengine.Options{SilentAfter: shortTimeout},
		injectFault: engineFaults(func(f *faultproxy.Faults) { f.DropToClient = true }),
		call:        generateCase,
		verdict:     verdict.MayHaveRun, code: verdict.CodeServerSilent, runs: 1,
	},
}

// hangingDialer blocks until the context ends.
type hangingDialer struct{}

func (hangingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestVerdictTable(t *testing.T) {
	for _, r := range verdictCases {
		t.Run(r.name, func(t *testing.T) {
			fx := newFixture(t, r.options)
			r.injectFault(fx)
			err := r.call(fx)
			wantVerdict(t, err, r.verdict, r.code)
			awaitRuns(t, fx, r.runs)
			if problem := contradiction(verdictOf(err), r.runs); problem != "" {
				t.Fatalf("%v: %s", err, problem)
			}
		})
	}
}

// awaitRuns waits, without a limit of its own, until the request ran want times, then checks that
// it ran no more often.
func awaitRuns(t *testing.T, fx *fixture, want int) {
	t.Helper()
	runs := func() int { return fx.service.RunCounts()[caseID] + fx.engine.Runs(caseID) }
	for runs() < want {
		time.Sleep(time.Millisecond)
	}
	if got := runs(); got != want {
		t.Fatalf("%d runs, want %d", got, want)
	}
}

// failOnReusedConnection makes the second request fail on a reused connection: the server
// runs it and closes the connection without any byte of an answer. net/http resends a
// request by itself in this case if it considers the request replayable.
func failOnReusedConnection(fx *fixture, call func(id request.ID)) {
	call("first")
	fx.service.SetFaults(plainservice.Faults{CutAfterRun: true})
	call(caseID)
}

func TestRequestIsNotResentAfterReusedConnectionFails(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			fx := newFixture(t, httpengine.Options{})
			var last error
			failOnReusedConnection(fx, func(id request.ID) {
				call := formCall(id)
				call.Method = method
				if method != http.MethodPost {
					call.Body = nil
				}
				_, last = fx.adapter.Invoke(background(), serverAt(fx.serviceProxy.Address()), call)
			})
			wantVerdict(t, last, verdict.MayHaveRun, verdict.CodeServerFailed)
			awaitRuns(t, fx, 1)
			if got := fx.serviceProxy.Accepted(); got != 1 {
				t.Fatalf("%d connections, want 1: the second request didn't reuse the connection", got)
			}
		})
	}
}

// Shows that contradiction, the test oracle, detects the fault that the adapter avoids:
// net/http's own client resends the request, which then runs twice.
func TestOracleDetectsResendByPlainClient(t *testing.T) {
	fx := newFixture(t, httpengine.Options{})
	broken := &plainClient{client: &http.Client{Transport: &http.Transport{}}}
	var last verdict.Verdict
	failOnReusedConnection(fx, func(id request.ID) {
		last = broken.invoke(fx.serviceProxy.Address(), id, "form")
	})
	if problem := contradiction(last, fx.service.RunCounts()[caseID]); problem == "" {
		t.Fatalf("the oracle didn't detect the resent request: verdict %v, %d runs", last, fx.service.RunCounts()[caseID])
	}
}

// Shows that contradiction, the test oracle, detects a client that takes each connection error as
// proof that the request didn't run: the connection is reset after the run.
func TestOracleDetectsConnectionErrorsTreatedAsNotRun(t *testing.T) {
	fx := newFixture(t, httpengine.Options{})
	fx.serviceProxy.SetFaults(faults(func(f *faultproxy.Faults) { f.ResetToClient = 0 }))
	broken := &plainClient{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	v := broken.invoke(fx.serviceProxy.Address(), caseID, "form")
	if problem := contradiction(v, fx.service.RunCounts()[caseID]); problem == "" {
		t.Fatalf("the oracle didn't detect that the request ran: verdict %v", v)
	}
}

// A failed TLS handshake has written bytes to the connection, but none of the request. The
// proxy resets the connection at the first byte of the handshake.
func TestFailedTLSHandshakeIsNotRun(t *testing.T) {
	fx := newFixture(t, httpengine.Options{TLS: func() *tls.Config { return &tls.Config{} }})
	fx.serviceProxy.SetFaults(faults(func(f *faultproxy.Faults) { f.ResetToServer = 0 }))
	wantVerdict(t, fx.invoke(background(), caseID), verdict.NotRun, verdict.CodeServerFailed)
	awaitRuns(t, fx, 0)
}

// Guards against a second run when a connection goes silent: the run must be resumed after
// the last event received, on a new connection.
func TestSilentStreamIsResumedOnNewConnection(t *testing.T) {
	fx := newFixture(t, httpengine.Options{SilentAfter: shortTimeout})
	server := serverAt(fx.engineProxy.Address())
	s, err := fx.adapter.Generate(background(), server, completionCall(caseID, 2000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	fx.engineProxy.SilenceOpen()
	last := 0
	for err == nil {
		var event engine.Event
		if event, err = s.Next(); err == nil {
			last = event.Offset
		}
	}
	wantVerdict(t, err, verdict.Ran, verdict.CodeServerSilent)
	before := fx.engineProxy.Accepted()
	adapterWithLongTimeout := httpengine.New(httpengine.Options{SilentAfter: time.Minute})
	s, err = adapterWithLongTimeout.Resume(background(), server, caseID, last)
	if err != nil {
		t.Fatal(err)
	}
	text, err := readAllEvents(s)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, text, caseID, last+1, 2000)
	awaitRuns(t, fx, 1)
	if got := fx.engineProxy.Accepted(); got != before+1 {
		t.Fatalf("resume used %d new connections, want 1", got-before)
	}
}

func TestStateQueriesUseNewConnections(t *testing.T) {
	fx := newFixture(t, httpengine.Options{})
	server := serverAt(fx.engineProxy.Address())
	for want := 1; want <= 3; want++ {
		if _, err := fx.adapter.State(background(), server, caseID); err != nil {
			t.Fatal(err)
		}
		if got := fx.engineProxy.Accepted(); got != want {
			t.Fatalf("%d connections after %d state queries, want one new connection each", got, want)
		}
	}
}

func TestEventOfAnotherRequestClosesConnection(t *testing.T) {
	fx := newFixture(t, httpengine.Options{})
	fx.engine.SetFaults(modelengine.Faults{WrongIDAfter: 3})
	wantVerdict(t, generateCase(fx), verdict.MayHaveRun, verdict.CodeWrongAnswer)
	fx.engine.SetFaults(modelengine.Faults{})
	if err := fx.generate(background(), "q2", 5); err != nil {
		t.Fatal(err)
	}
	if got := fx.engineProxy.Accepted(); got != 2 {
		t.Fatalf("%d connections, want 2: the one with the wrong event must not be reused", got)
	}
}

func TestConnectionsAreRetiredByAge(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{time.Hour, 1}, {time.Nanosecond, 3}} {
		fx := newFixture(t, httpengine.Options{MaxConnAge: c.age})
		for _, id := range []request.ID{"a", "b", "c"} {
			if err := fx.invoke(background(), id); err != nil {
				t.Fatal(err)
			}
		}
		if got := fx.serviceProxy.Accepted(); got != c.want {
			t.Fatalf("age %v: %d connections, want %d", c.age, got, c.want)
		}
	}
}
