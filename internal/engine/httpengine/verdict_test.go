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
	rowID = request.ID("q1")
	// shortWait bounds requests of which the test wants that they end unanswered.
	shortWait = 500 * time.Millisecond
)

// row is one line of docs/VERDICTS.md: a cause and the verdict that it must get.
type row struct {
	name    string
	options httpengine.Options
	// arrange sets the fault; call sends the request named rowID.
	arrange func(w *world)
	call    func(w *world) error
	verdict verdict.Verdict
	code    verdict.Code
	// runs is how often the request must have run in the end.
	runs int
}

func background() context.Context { return context.Background() }

func invokeRow(w *world) error   { return w.invoke(background(), rowID) }
func generateRow(w *world) error { return w.generate(background(), rowID, 30) }

func serviceFaults(change func(*faultproxy.Faults)) func(*world) {
	return func(w *world) { w.serviceProxy.SetFaults(faults(change)) }
}

func engineFaults(change func(*faultproxy.Faults)) func(*world) {
	return func(w *world) { w.engineProxy.SetFaults(faults(change)) }
}

var rows = []row{
	{
		name:    "refused dial",
		arrange: func(w *world) { w.serviceProxy.Refuse() },
		call:    invokeRow,
		verdict: verdict.NotRun, code: verdict.CodeServerFailed,
	}, {
		name:    "canceled before the dial",
		arrange: func(*world) {},
		call: func(w *world) error {
			ctx, cancel := context.WithCancel(background())
			cancel()
			return w.invoke(ctx, rowID)
		},
		verdict: verdict.NotRun, code: verdict.CodeCanceled,
	}, {
		name:    "dial unanswered until the deadline",
		options: httpengine.Options{Dialer: hangingDialer{}},
		arrange: func(*world) {},
		call: func(w *world) error {
			ctx, cancel := context.WithTimeout(background(), shortWait)
			defer cancel()
			return w.invoke(ctx, rowID)
		},
		verdict: verdict.NotRun, code: verdict.CodeDeadlineExpired,
	}, {
		name:    "explicit refusal",
		arrange: func(w *world) { w.service.SetFaults(plainservice.Faults{Refuse: true}) },
		call:    invokeRow,
		verdict: verdict.NotRun, code: verdict.CodeServerRefused,
	}, {
		name:    "refusal without the request's id",
		arrange: func(w *world) { w.service.SetFaults(plainservice.Faults{Refuse: true, WrongAnswer: true}) },
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeWrongAnswer,
	}, {
		name:    "reset at the request's first byte",
		arrange: serviceFaults(func(f *faultproxy.Faults) { f.ResetToServer = 0 }),
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed,
	}, {
		name:    "reset during the request's bytes",
		arrange: serviceFaults(func(f *faultproxy.Faults) { f.ResetToServer = 40 }),
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed,
	}, {
		name:    "reset after the run",
		arrange: serviceFaults(func(f *faultproxy.Faults) { f.ResetToClient = 0 }),
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed, runs: 1,
	}, {
		name:    "connection closed after the run",
		arrange: func(w *world) { w.service.SetFaults(plainservice.Faults{CutAfterRun: true}) },
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed, runs: 1,
	}, {
		name:    "service answer cut in its body",
		arrange: serviceFaults(func(f *faultproxy.Faults) { f.CloseToClient = 180 }),
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:    "answer after the deadline",
		arrange: serviceFaults(func(f *faultproxy.Faults) { f.DropToClient = true }),
		call: func(w *world) error {
			ctx, cancel := context.WithTimeout(background(), shortWait)
			defer cancel()
			return w.invoke(ctx, rowID)
		},
		verdict: verdict.MayHaveRun, code: verdict.CodeDeadlineExpired, runs: 1,
	}, {
		name:    "another request's service answer",
		arrange: func(w *world) { w.service.SetFaults(plainservice.Faults{WrongAnswer: true}) },
		call:    invokeRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeWrongAnswer, runs: 1,
	}, {
		name:    "stream failed without a refusal",
		arrange: func(w *world) { w.service.SetFaults(plainservice.Faults{FailBefore: true}) },
		call: func(w *world) error {
			_, err := w.adapter.Generate(background(), serverAt(w.serviceProxy.Address()), completionCall(rowID, 3))
			return err
		},
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed,
	}, {
		name:    "stream reset before its head",
		arrange: engineFaults(func(f *faultproxy.Faults) { f.ResetToClient = 0 }),
		call:    generateRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeServerFailed, runs: 1,
	}, {
		name:    "stream reset in its middle",
		arrange: engineFaults(func(f *faultproxy.Faults) { f.ResetToClient = 1200 }),
		call:    generateRow,
		verdict: verdict.Ran, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:    "clean end without the end marker",
		arrange: func(w *world) { w.engine.SetFaults(modelengine.Faults{CutAfter: 5}) },
		call:    generateRow,
		verdict: verdict.Ran, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:    "piece left out",
		arrange: func(w *world) { w.engine.SetFaults(modelengine.Faults{DropEvery: 4}) },
		call:    generateRow,
		verdict: verdict.Ran, code: verdict.CodeStreamCut, runs: 1,
	}, {
		name:    "another request's piece",
		arrange: func(w *world) { w.engine.SetFaults(modelengine.Faults{WrongIDAfter: 3}) },
		call:    generateRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeWrongAnswer, runs: 1,
	}, {
		name:    "silence before the head",
		options: httpengine.Options{SilentAfter: shortWait},
		arrange: engineFaults(func(f *faultproxy.Faults) { f.DropToClient = true }),
		call:    generateRow,
		verdict: verdict.MayHaveRun, code: verdict.CodeServerSilent, runs: 1,
	},
}

// hangingDialer never connects.
type hangingDialer struct{}

func (hangingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestVerdictTable(t *testing.T) {
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			w := newWorld(t, r.options)
			r.arrange(w)
			err := r.call(w)
			wantVerdict(t, err, r.verdict, r.code)
			awaitRuns(t, w, r.runs)
			if fault := contradiction(verdictOf(err), r.runs); fault != "" {
				t.Fatalf("%v: %s", err, fault)
			}
		})
	}
}

// awaitRuns waits until the request ran as often as wanted, then checks that it
// didn't run more often.
func awaitRuns(t *testing.T, w *world, want int) {
	t.Helper()
	runs := func() int { return w.service.RunCounts()[rowID] + w.engine.Runs(rowID) }
	for runs() < want {
		time.Sleep(time.Millisecond)
	}
	if got := runs(); got != want {
		t.Fatalf("%d runs, want %d", got, want)
	}
}

// The stale pooled connection: the server runs the second request and the
// connection dies, reused, without a byte of the answer. That is where net/http
// sends again by itself.
func staleConnection(w *world, call func(id request.ID)) {
	call("first")
	w.service.SetFaults(plainservice.Faults{CutAfterRun: true})
	call(rowID)
}

func TestStaleConnectionIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			w := newWorld(t, httpengine.Options{})
			var last error
			staleConnection(w, func(id request.ID) {
				call := formCall(id)
				call.Method = method
				if method != http.MethodPost {
					call.Body = nil
				}
				_, last = w.adapter.Invoke(background(), serverAt(w.serviceProxy.Address()), call)
			})
			wantVerdict(t, last, verdict.MayHaveRun, verdict.CodeServerFailed)
			awaitRuns(t, w, 1)
			if got := w.serviceProxy.Accepted(); got != 1 {
				t.Fatalf("%d connections, want 1: the connection wasn't reused", got)
			}
		})
	}
}

func TestOracleCatchesPlainClient(t *testing.T) {
	w := newWorld(t, httpengine.Options{})
	broken := &plainClient{client: &http.Client{Transport: &http.Transport{}}}
	var last verdict.Verdict
	staleConnection(w, func(id request.ID) {
		last = broken.invoke(w.serviceProxy.Address(), id, "form")
	})
	if fault := contradiction(last, w.service.RunCounts()[rowID]); fault == "" {
		t.Fatalf("the oracle found nothing wrong: verdict %v, %d runs", last, w.service.RunCounts()[rowID])
	}
}

func TestOracleCatchesErrorsTakenAsProof(t *testing.T) {
	w := newWorld(t, httpengine.Options{})
	w.serviceProxy.SetFaults(faults(func(f *faultproxy.Faults) { f.ResetToClient = 0 }))
	broken := &plainClient{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	v := broken.invoke(w.serviceProxy.Address(), rowID, "form")
	if fault := contradiction(v, w.service.RunCounts()[rowID]); fault == "" {
		t.Fatalf("the oracle found nothing wrong: verdict %v", v)
	}
}

func TestUntrustedServerIsNotRun(t *testing.T) {
	w := newWorld(t, httpengine.Options{TLS: func() *tls.Config { return &tls.Config{} }})
	w.serviceProxy.SetFaults(faults(func(f *faultproxy.Faults) { f.ResetToServer = 0 }))
	wantVerdict(t, w.invoke(background(), rowID), verdict.NotRun, verdict.CodeServerFailed)
	awaitRuns(t, w, 0)
}

func TestSilentConnectionIsResumedOnNewOne(t *testing.T) {
	w := newWorld(t, httpengine.Options{SilentAfter: shortWait})
	server := serverAt(w.engineProxy.Address())
	s, err := w.adapter.Generate(background(), server, completionCall(rowID, 2000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	w.engineProxy.SilenceOpen()
	last := 0
	for err == nil {
		var event engine.Event
		if event, err = s.Next(); err == nil {
			last = event.Offset
		}
	}
	wantVerdict(t, err, verdict.Ran, verdict.CodeServerSilent)
	before := w.engineProxy.Accepted()
	patient := httpengine.New(httpengine.Options{SilentAfter: time.Minute})
	s, err = patient.Resume(background(), server, rowID, last)
	if err != nil {
		t.Fatal(err)
	}
	text, err := drain(s)
	if err != nil {
		t.Fatal(err)
	}
	checkWhole(t, text, rowID, last+1, 2000)
	awaitRuns(t, w, 1)
	if got := w.engineProxy.Accepted(); got != before+1 {
		t.Fatalf("resume used %d new connections, want 1", got-before)
	}
}

func TestQuestionsUseNewConnections(t *testing.T) {
	w := newWorld(t, httpengine.Options{})
	server := serverAt(w.engineProxy.Address())
	for want := 1; want <= 3; want++ {
		if _, err := w.adapter.State(background(), server, rowID); err != nil {
			t.Fatal(err)
		}
		if got := w.engineProxy.Accepted(); got != want {
			t.Fatalf("%d connections after %d questions", got, want)
		}
	}
}

func TestWrongPieceClosesConnection(t *testing.T) {
	w := newWorld(t, httpengine.Options{})
	w.engine.SetFaults(modelengine.Faults{WrongIDAfter: 3})
	wantVerdict(t, generateRow(w), verdict.MayHaveRun, verdict.CodeWrongAnswer)
	w.engine.SetFaults(modelengine.Faults{})
	if err := w.generate(background(), "q2", 5); err != nil {
		t.Fatal(err)
	}
	if got := w.engineProxy.Accepted(); got != 2 {
		t.Fatalf("%d connections, want 2", got)
	}
}

func TestConnectionsAreRetiredByAge(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{time.Hour, 1}, {time.Nanosecond, 3}} {
		w := newWorld(t, httpengine.Options{MaxConnAge: c.age})
		for _, id := range []request.ID{"a", "b", "c"} {
			if err := w.invoke(background(), id); err != nil {
				t.Fatal(err)
			}
		}
		if got := w.serviceProxy.Accepted(); got != c.want {
			t.Fatalf("age %v: %d connections, want %d", c.age, got, c.want)
		}
	}
}
