package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

// fakeScheduler dispatches to server "s1", then "s2", and so on.
type fakeScheduler struct {
	scheduling.Scheduler
	dispatches int
	// retries is how many retries the scheduler allows.
	retries  int
	finished []scheduling.Outcome
	// queuesForever makes Arrive queue every request, without a later decision.
	queuesForever bool
}

func (s *fakeScheduler) next(id request.ID) []scheduling.Decision {
	s.dispatches++
	return []scheduling.Decision{{ID: id, Action: scheduling.Dispatch, Server: fmt.Sprintf("s%d", s.dispatches)}}
}

func (s *fakeScheduler) Arrive(_ time.Time, r request.Request) []scheduling.Decision {
	if s.queuesForever {
		return []scheduling.Decision{{ID: r.ID, Action: scheduling.Queue}}
	}
	return s.next(r.ID)
}

func (s *fakeScheduler) Retry(_ time.Time, r request.Request, _ scheduling.Outcome) []scheduling.Decision {
	s.retries--
	if s.retries < 0 {
		return []scheduling.Decision{{ID: r.ID, Action: scheduling.Refuse, Err: verdict.Refused(verdict.CodeNoServer, "no budget")}}
	}
	return s.next(r.ID)
}

func (s *fakeScheduler) Finish(_ time.Time, o scheduling.Outcome) []scheduling.Decision {
	s.finished = append(s.finished, o)
	return nil
}

func (s *fakeScheduler) Progress(time.Time, request.ID, int) []scheduling.Decision { return nil }

func (s *fakeScheduler) Cancel(time.Time, request.ID) []scheduling.Decision { return nil }

func (s *fakeScheduler) NextTick() time.Time { return time.Time{} }

// connectionScript is what one connection to a server delivers: the events with the offsets
// from <= offset < to, and then err. If hang is set, it delivers nothing more until its
// context ends.
type connectionScript struct {
	from, to int
	err      error
	hang     bool
}

// fakePlane answers every Generate and every Resume with the next script of its kind.
type fakePlane struct {
	engine.DataPlane
	generate      []connectionScript
	resume        []connectionScript
	resumedAfter  []int
	canceled      chan request.ID
	generateCalls int
}

func (p *fakePlane) Generate(ctx context.Context, _ engine.Server, _ engine.Call) (engine.Stream, error) {
	s := p.generate[p.generateCalls]
	p.generateCalls++
	return openStream(ctx, s)
}

func (p *fakePlane) Resume(ctx context.Context, _ engine.Server, _ request.ID, after int) (engine.Stream, error) {
	p.resumedAfter = append(p.resumedAfter, after)
	if len(p.resume) == 0 {
		return nil, verdict.Unclear(verdict.CodeServerFailed, errors.New("gone"), "resume failed")
	}
	s := p.resume[0]
	p.resume = p.resume[1:]
	return openStream(ctx, s)
}

func (p *fakePlane) Cancel(_ context.Context, _ engine.Server, id request.ID) error {
	p.canceled <- id
	return nil
}

func openStream(ctx context.Context, s connectionScript) (engine.Stream, error) {
	if s.from == s.to && s.err != nil {
		return nil, s.err
	}
	return &fakeStream{ctx: ctx, script: s, nextOffset: s.from}, nil
}

type fakeStream struct {
	ctx        context.Context
	script     connectionScript
	nextOffset int
}

func (s *fakeStream) Next() (engine.Event, error) {
	if s.nextOffset < s.script.to {
		s.nextOffset++
		return engine.Event{Offset: s.nextOffset - 1, Data: []byte{byte(s.nextOffset - 1)}}, nil
	}
	if s.script.hang {
		<-s.ctx.Done()
		return engine.Event{}, verdict.Unclear(verdict.CodeServerSilent, s.ctx.Err(), "silent")
	}
	if s.script.err != nil {
		return engine.Event{}, s.script.err
	}
	return engine.Event{End: true}, nil
}

func (s *fakeStream) Close() error { return nil }

type recordingSink struct{ offsets []int }

func (s *recordingSink) Event(e engine.Event) error {
	s.offsets = append(s.offsets, e.Offset)
	return nil
}

// testVersion is the software version of the servers in these tests.
const testVersion = "v1"

// anyServer is a Directory that knows a server of every name.
type anyServer struct{}

func (anyServer) Server(name string) (engine.Server, bool) {
	return engine.Server{Name: name, SoftwareVersion: testVersion}, true
}

// streamTest runs one Stream call with a fake scheduler and a fake data plane.
type streamTest struct {
	scheduler  *fakeScheduler
	plane      *fakePlane
	sink       recordingSink
	idempotent bool
}

func (tr *streamTest) run(ctx context.Context) error {
	tr.plane.canceled = make(chan request.ID, 4)
	d := dispatch.New(dispatch.Options{Scheduler: tr.scheduler, Logger: logging.Discard(), Now: time.Now})
	f := New(Options{Dispatcher: d, Plane: tr.plane, Directory: anyServer{}, Logger: logging.Discard(), Now: time.Now})
	call := engine.Call{Request: request.Request{ID: "r", Idempotent: tr.idempotent, Deadline: time.Now().Add(10 * time.Second)}}
	return f.Stream(ctx, call, &tr.sink)
}

var (
	errRefused     = verdict.Refused(verdict.CodeServerRefused, "refused")
	errReset       = verdict.Unclear(verdict.CodeServerFailed, errors.New("reset"), "reset")
	errCut         = verdict.Unclear(verdict.CodeStreamCut, io.EOF, "cut")
	errWrongAnswer = verdict.Unclear(verdict.CodeWrongAnswer, nil, "another request's answer")
	errUnknownRun  = verdict.Unclear(verdict.CodeRunUnknown, nil, "unknown run")
)

// offsets returns 0 to n-1.
func offsets(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestStreamEnds guards against wrong ends of a stream: an event that is delivered twice or
// left out, answers of two runs joined into one, a second run of a request that must not
// repeat, and a verdict NotRun without proof.
func TestStreamEnds(t *testing.T) {
	tests := []struct {
		name         string
		generate     []connectionScript
		resume       []connectionScript
		idempotent   bool
		retries      int
		wantCode     verdict.Code
		wantVerdict  verdict.Verdict
		wantEvents   int
		wantAttempts int
	}{
		{name: "whole answer", generate: []connectionScript{{to: 3}}, wantEvents: 3, wantAttempts: 1},
		{name: "a not-run attempt is retried", generate: []connectionScript{{err: errRefused}, {to: 3}}, retries: 1, wantEvents: 3, wantAttempts: 2},
		{name: "an unclear attempt of a non-idempotent request is not retried", generate: []connectionScript{{err: errReset}}, wantCode: verdict.CodeServerFailed, wantVerdict: verdict.MayHaveRun, wantAttempts: 1},
		{name: "an unclear attempt of an idempotent request is retried", generate: []connectionScript{{err: errReset}, {to: 2}}, idempotent: true, retries: 1, wantEvents: 2, wantAttempts: 2},
		{name: "a later refusal does not make an unclear attempt not-run", generate: []connectionScript{{err: errReset}, {err: errRefused}}, idempotent: true, retries: 1, wantCode: verdict.CodeServerRefused, wantVerdict: verdict.MayHaveRun, wantAttempts: 2},
		{name: "a refused retry does not make the attempt not-run", generate: []connectionScript{{err: errReset}}, idempotent: true, wantCode: verdict.CodeServerFailed, wantVerdict: verdict.MayHaveRun, wantAttempts: 1},
		{name: "a cut stream resumes at its offset", generate: []connectionScript{{to: 2, err: errCut}}, resume: []connectionScript{{from: 2, to: 5}}, wantEvents: 5, wantAttempts: 1},
		{name: "a resumed stream that starts early is not delivered twice", generate: []connectionScript{{to: 2, err: errCut}}, resume: []connectionScript{{from: 0, to: 5}}, wantEvents: 5, wantAttempts: 1},
		{name: "a resumed stream with a gap is cut", generate: []connectionScript{{to: 2, err: errCut}}, resume: []connectionScript{{from: 3, to: 5}, {from: 3, to: 5}, {from: 3, to: 5}}, wantCode: verdict.CodeStreamCut, wantVerdict: verdict.Ran, wantEvents: 2, wantAttempts: 1},
		{name: "a partial answer is never joined with another run", generate: []connectionScript{{to: 2, err: errCut}}, idempotent: true, retries: 1, wantCode: verdict.CodeStreamCut, wantVerdict: verdict.Ran, wantEvents: 2, wantAttempts: 1},
		{name: "a run of a non-idempotent request is resumed from its start", generate: []connectionScript{{err: errReset}}, resume: []connectionScript{{to: 3}}, wantEvents: 3, wantAttempts: 1},
		{name: "another request's answer is final", generate: []connectionScript{{err: errWrongAnswer}}, wantCode: verdict.CodeWrongAnswer, wantVerdict: verdict.MayHaveRun, wantAttempts: 1},
		{name: "a server that does not know the run proves nothing", generate: []connectionScript{{err: errCut}}, resume: []connectionScript{{err: errUnknownRun}}, wantCode: verdict.CodeRunUnknown, wantVerdict: verdict.MayHaveRun, wantAttempts: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := &streamTest{scheduler: &fakeScheduler{retries: tt.retries}, plane: &fakePlane{generate: tt.generate, resume: tt.resume}, idempotent: tt.idempotent}
				err := tr.run(t.Context())
				checkEnd(t, err, tt.wantCode, tt.wantVerdict)
				if want := offsets(tt.wantEvents); !slices.Equal(tr.sink.offsets, want) {
					t.Errorf("delivered offsets %v, want %v", tr.sink.offsets, want)
				}
				if tr.plane.generateCalls != tt.wantAttempts {
					t.Errorf("%d attempts sent, want %d", tr.plane.generateCalls, tt.wantAttempts)
				}
				if len(tr.scheduler.finished) != tt.wantAttempts {
					t.Errorf("%d dispatches finished, want %d", len(tr.scheduler.finished), tt.wantAttempts)
				}
			})
		})
	}
}

// checkEnd checks the code and verdict of an error. An empty code means no error.
func checkEnd(t *testing.T, err error, code verdict.Code, want verdict.Verdict) {
	t.Helper()
	if code == "" {
		if err != nil {
			t.Fatalf("got error %v, want none", err)
		}
		return
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a verdict error", err)
	}
	if e.Code != code || e.Verdict != want {
		t.Fatalf("got %s (%s), want %s (%s)", e.Code, e.Verdict, code, want)
	}
}

// TestDeadlineCancelsTheRun guards against runs that continue on their server after the
// deadline of the request.
func TestDeadlineCancelsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &streamTest{scheduler: &fakeScheduler{}, plane: &fakePlane{generate: []connectionScript{{to: 1, hang: true}}}}
		err := tr.run(t.Context())
		checkEnd(t, err, verdict.CodeDeadlineExpired, verdict.Ran)
		if id := <-tr.plane.canceled; id != "r.1" {
			t.Errorf("canceled %s, want r.1", id)
		}
	})
}

// TestCancelWhileQueuedIsNotRun guards against sending a request whose context ended while it
// was queued, and against a verdict other than NotRun for it.
func TestCancelWhileQueuedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		tr := &streamTest{scheduler: &fakeScheduler{queuesForever: true}, plane: &fakePlane{}}
		err := tr.run(ctx)
		if verdict.Of(err) != verdict.NotRun {
			t.Fatalf("got error %v, want one with the verdict not-run", err)
		}
		if tr.plane.generateCalls != 0 {
			t.Fatal("the canceled request was sent to a server, want it not sent")
		}
	})
}
