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
	// retries is how many retries are granted.
	retries      int
	finished     []scheduling.Outcome
	neverArrives bool
}

func (s *fakeScheduler) next(id request.ID) []scheduling.Decision {
	s.dispatches++
	return []scheduling.Decision{{ID: id, Action: scheduling.Dispatch, Server: fmt.Sprintf("s%d", s.dispatches)}}
}

func (s *fakeScheduler) Arrive(_ time.Time, r request.Request) []scheduling.Decision {
	if s.neverArrives {
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

func (s *fakeScheduler) Progress(time.Time, request.ID, int) {}

func (s *fakeScheduler) Cancel(time.Time, request.ID) []scheduling.Decision { return nil }

func (s *fakeScheduler) NextTick() time.Time { return time.Time{} }

// script is what one connection to a server gives: events from an offset, then an error.
type script struct {
	from, to int
	err      error
	hang     bool
}

// fakePlane answers each Generate and Resume with the next script.
type fakePlane struct {
	engine.DataPlane
	generate []script
	resume   []script
	resumed  []int
	canceled chan request.ID
	used     int
}

func (p *fakePlane) Generate(ctx context.Context, _ engine.Server, _ engine.Call) (engine.Stream, error) {
	s := p.generate[p.used]
	p.used++
	return open(ctx, s)
}

func (p *fakePlane) Resume(ctx context.Context, _ engine.Server, _ request.ID, after int) (engine.Stream, error) {
	p.resumed = append(p.resumed, after)
	if len(p.resume) == 0 {
		return nil, verdict.Unclear(verdict.CodeServerFailed, errors.New("gone"), "resume failed")
	}
	s := p.resume[0]
	p.resume = p.resume[1:]
	return open(ctx, s)
}

func (p *fakePlane) Cancel(_ context.Context, _ engine.Server, id request.ID) error {
	p.canceled <- id
	return nil
}

func open(ctx context.Context, s script) (engine.Stream, error) {
	if s.from == s.to && s.err != nil {
		return nil, s.err
	}
	return &fakeStream{ctx: ctx, script: s, at: s.from}, nil
}

type fakeStream struct {
	ctx    context.Context
	script script
	at     int
}

func (s *fakeStream) Next() (engine.Event, error) {
	if s.at < s.script.to {
		s.at++
		return engine.Event{Offset: s.at - 1, Data: []byte{byte(s.at - 1)}}, nil
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

type anyServer struct{}

func (anyServer) Server(name string) (engine.Server, bool) { return engine.Server{Name: name}, true }

type trial struct {
	scheduler  *fakeScheduler
	plane      *fakePlane
	sink       recordingSink
	idempotent bool
}

func (tr *trial) run(ctx context.Context) error {
	tr.plane.canceled = make(chan request.ID, 4)
	d := dispatch.New(dispatch.Options{Scheduler: tr.scheduler, Logger: logging.Discard(), Now: time.Now})
	f := New(Options{Dispatcher: d, Plane: tr.plane, Directory: anyServer{}, Logger: logging.Discard(), Now: time.Now})
	call := engine.Call{Request: request.Request{ID: "r", Idempotent: tr.idempotent, Deadline: time.Now().Add(10 * time.Second)}}
	return f.Stream(ctx, call, &tr.sink)
}

var (
	refused = verdict.Refused(verdict.CodeServerRefused, "refused")
	reset   = verdict.Unclear(verdict.CodeServerFailed, errors.New("reset"), "reset")
	cut     = verdict.Unclear(verdict.CodeStreamCut, io.EOF, "cut")
	wrong   = verdict.Unclear(verdict.CodeWrongAnswer, nil, "another request's answer")
	unknown = verdict.Unclear(verdict.CodeRunUnknown, nil, "unknown run")
)

func offsets(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestStreamEnds(t *testing.T) {
	tests := []struct {
		name        string
		generate    []script
		resume      []script
		idempotent  bool
		retries     int
		wantErr     verdict.Code
		wantVerdict verdict.Verdict
		wantEvents  int
		wantRuns    int
	}{
		{name: "whole answer", generate: []script{{to: 3}}, wantEvents: 3, wantRuns: 1},
		{name: "not run is tried again", generate: []script{{err: refused}, {to: 3}}, retries: 1, wantEvents: 3, wantRuns: 2},
		{name: "unclear and non-idempotent is not tried again", generate: []script{{err: reset}}, wantErr: verdict.CodeServerFailed, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
		{name: "unclear and idempotent is tried again", generate: []script{{err: reset}, {to: 2}}, idempotent: true, retries: 1, wantEvents: 2, wantRuns: 2},
		{name: "a later refusal does not prove an unclear attempt not run", generate: []script{{err: reset}, {err: refused}}, idempotent: true, retries: 1, wantErr: verdict.CodeServerRefused, wantVerdict: verdict.MayHaveRun, wantRuns: 2},
		{name: "a refused retry does not prove the attempt not run", generate: []script{{err: reset}}, idempotent: true, wantErr: verdict.CodeServerFailed, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
		{name: "a cut stream resumes at its offset", generate: []script{{to: 2, err: cut}}, resume: []script{{from: 2, to: 5}}, wantEvents: 5, wantRuns: 1},
		{name: "a resumed stream that starts early is not delivered twice", generate: []script{{to: 2, err: cut}}, resume: []script{{from: 0, to: 5}}, wantEvents: 5, wantRuns: 1},
		{name: "a resumed stream with a gap is cut", generate: []script{{to: 2, err: cut}}, resume: []script{{from: 3, to: 5}, {from: 3, to: 5}, {from: 3, to: 5}}, wantErr: verdict.CodeStreamCut, wantVerdict: verdict.Ran, wantEvents: 2, wantRuns: 1},
		{name: "a partial answer is never joined with another run", generate: []script{{to: 2, err: cut}}, idempotent: true, retries: 1, wantErr: verdict.CodeStreamCut, wantVerdict: verdict.Ran, wantEvents: 2, wantRuns: 1},
		{name: "a run that must not repeat is resumed from its start", generate: []script{{err: reset}}, resume: []script{{to: 3}}, wantEvents: 3, wantRuns: 1},
		{name: "another request's answer is final", generate: []script{{err: wrong}}, wantErr: verdict.CodeWrongAnswer, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
		{name: "a server that does not know the run proves nothing", generate: []script{{err: cut}}, resume: []script{{err: unknown}}, wantErr: verdict.CodeRunUnknown, wantVerdict: verdict.MayHaveRun, wantRuns: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := &trial{scheduler: &fakeScheduler{retries: tt.retries}, plane: &fakePlane{generate: tt.generate, resume: tt.resume}, idempotent: tt.idempotent}
				err := tr.run(t.Context())
				checkEnd(t, err, tt.wantErr, tt.wantVerdict)
				if want := offsets(tt.wantEvents); !slices.Equal(tr.sink.offsets, want) {
					t.Errorf("delivered offsets %v, want %v", tr.sink.offsets, want)
				}
				if tr.plane.used != tt.wantRuns {
					t.Errorf("%d runs started, want %d", tr.plane.used, tt.wantRuns)
				}
				if len(tr.scheduler.finished) != tt.wantRuns {
					t.Errorf("%d dispatches finished, want %d", len(tr.scheduler.finished), tt.wantRuns)
				}
			})
		})
	}
}

func checkEnd(t *testing.T, err error, code verdict.Code, want verdict.Verdict) {
	t.Helper()
	if code == "" {
		if err != nil {
			t.Fatalf("failed: %v", err)
		}
		return
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a verdict error", err)
	}
	if e.Code != code || e.Verdict != want {
		t.Fatalf("ended with %s (%s), want %s (%s)", e.Code, e.Verdict, code, want)
	}
}

func TestDeadlineCancelsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &trial{scheduler: &fakeScheduler{}, plane: &fakePlane{generate: []script{{to: 1, hang: true}}}}
		err := tr.run(t.Context())
		checkEnd(t, err, verdict.CodeDeadlineExpired, verdict.Ran)
		if id := <-tr.plane.canceled; id != "r.1" {
			t.Errorf("canceled %s, want r.1", id)
		}
	})
}

func TestCallerGoneWhileWaitingIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		tr := &trial{scheduler: &fakeScheduler{neverArrives: true}, plane: &fakePlane{}}
		err := tr.run(ctx)
		if verdict.Of(err) != verdict.NotRun {
			t.Fatalf("got %v, want not-run", err)
		}
		if tr.plane.used != 0 {
			t.Fatal("a canceled request was sent")
		}
	})
}
