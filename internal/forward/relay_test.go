package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"limpethub/internal/callerload"
	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// serverReply is the reply of a fake server to one request.
type serverReply struct {
	err     error
	status  int
	refused bool
	body    string
	bodyErr error
	// events are the event ids of a stream; nil if the answer isn't a stream. endErr is the
	// error after the events, nil for a complete stream.
	events []int64
	endErr error
}

// fakePassthrough answers requests with its replies in order, and records to which servers
// and with which last event IDs they were sent.
type fakePassthrough struct {
	mu           sync.Mutex
	replies      []serverReply
	servers      []string
	lastEventIDs []int64
	closed       int
}

func (p *fakePassthrough) Open(_ context.Context, server engine.Server, _ engine.Call, lastEventID int64) (engine.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.replies) == 0 {
		return nil, errors.New("fakePassthrough has no reply left for this request")
	}
	next := p.replies[0]
	p.replies = p.replies[1:]
	p.servers = append(p.servers, server.Name)
	p.lastEventIDs = append(p.lastEventIDs, lastEventID)
	if next.err != nil {
		return nil, next.err
	}
	return &fakeAnswer{plane: p, reply: next}, nil
}

type fakeAnswer struct {
	plane *fakePassthrough
	reply serverReply
}

func (a *fakeAnswer) Head() *engine.AnswerHead {
	return &engine.AnswerHead{
		Status: a.reply.status, Header: http.Header{"From": {"server"}}, Refused: a.reply.refused,
		Misdirected: a.reply.status == http.StatusMisdirectedRequest, Events: a.reply.events != nil,
	}
}

func (a *fakeAnswer) Body() ([]byte, error) { return []byte(a.reply.body), a.reply.bodyErr }

func (a *fakeAnswer) Next() (engine.RawEvent, error) {
	if len(a.reply.events) == 0 {
		if a.reply.endErr != nil {
			return engine.RawEvent{}, a.reply.endErr
		}
		return engine.RawEvent{}, io.EOF
	}
	id := a.reply.events[0]
	a.reply.events = a.reply.events[1:]
	return engine.RawEvent{ID: id, Data: fmt.Appendf(nil, "e%d ", id)}, nil
}

func (a *fakeAnswer) Close() {
	a.plane.mu.Lock()
	defer a.plane.mu.Unlock()
	a.plane.closed++
}

// recordingCaller is an AnswerSink that records what is delivered.
type recordingCaller struct {
	status int
	text   strings.Builder
	heads  int
}

func (c *recordingCaller) WholeAnswer(head *engine.AnswerHead, body []byte) error {
	c.status = head.Status
	c.heads++
	c.text.Write(body)
	return nil
}

func (c *recordingCaller) Begin(head *engine.AnswerHead) error {
	c.status = head.Status
	c.heads++
	return nil
}

func (c *recordingCaller) Event(event engine.RawEvent) error {
	data := event.Data
	c.text.Write(data)
	return nil
}

// newTestRelay returns a Relay with a real scheduler and three servers of one service, which
// give the replies in order.
func newTestRelay(t *testing.T, replies ...serverReply) (*Relay, *fakePassthrough) {
	t.Helper()
	scheduler, err := scheduling.New(scheduling.Options{Instance: "i", Seed: 1, Document: &site.Document{
		Classes: []site.Class{{Name: "c", TimeoutMillis: 1000, Weight: 1, QueueLimit: 10}},
		Budgets: site.Budgets{RetryShare: 0.2, RetrySpare: 3},
	}})
	if err != nil {
		t.Fatal(err)
	}
	d := dispatch.New(dispatch.Options{Scheduler: scheduler, Logger: logging.Discard(), Now: time.Now})
	t.Cleanup(d.Close)
	var servers []scheduling.Server
	for _, name := range []string{"s1", "s2", "s3"} {
		servers = append(servers, scheduling.Server{Name: name, Services: []string{"svc"}, Slots: 4, SoftwareVersion: testVersion})
	}
	d.SetServers(servers)
	plane := &fakePassthrough{replies: replies}
	return NewRelay(RelayOptions{Dispatcher: d, Plane: plane, Directory: anyServer{}, Logger: logging.Discard(), Now: time.Now}), plane
}

func relayCall(idempotent bool, maxAttempts int) engine.Call {
	now := time.Now()
	return engine.Call{Request: request.Request{
		ID: "r", Service: "svc", Arrived: now, Deadline: now.Add(time.Second),
		Idempotent: idempotent, MaxAttempts: maxAttempts,
	}}
}

func verdictOf(t *testing.T, err error) *verdict.Error {
	t.Helper()
	var e *verdict.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a verdict error", err)
	}
	return e
}

// TestRelayDeliversOneAnswer guards against a second run of a request that must not repeat,
// a missing retry of one that may, more than one delivered answer, and wrong verdicts.
func TestRelayDeliversOneAnswer(t *testing.T) {
	lost := verdict.Unclear(verdict.CodeServerFailed, nil, "lost")
	unsent := &engine.UnsentError{Err: verdict.Refused(verdict.CodeServerFailed, "no connection")}
	ok := serverReply{status: 200, body: "fine"}
	// The verdict of a case that delivers an answer (wantStatus isn't 0) is 0 and isn't checked.
	for name, c := range map[string]struct {
		idempotent  bool
		maxAttempts int
		replies     []serverReply
		// wantSent is how many times the request must be sent to a server.
		wantSent    int
		wantStatus  int
		wantVerdict verdict.Verdict
	}{
		"success":                                        {false, 1, []serverReply{ok}, 1, 200, 0},
		"lost answer, idempotent, is retried":            {true, 2, []serverReply{{err: lost}, ok}, 2, 200, 0},
		"lost answer, not idempotent, is not retried":    {false, 2, []serverReply{{err: lost}, ok}, 1, 0, verdict.MayHaveRun},
		"refusal is retried on another server":           {false, 2, []serverReply{{status: 503, refused: true}, ok}, 2, 200, 0},
		"refusal without an attempt left":                {false, 1, []serverReply{{status: 503, refused: true}, ok}, 1, 0, verdict.NotRun},
		"misdirected request is retried":                 {false, 2, []serverReply{{status: 421, refused: true}, ok}, 2, 200, 0},
		"failed connection does not count as an attempt": {false, 1, []serverReply{{err: unsent}, ok}, 2, 200, 0},
		"truncated answer, idempotent, is retried":       {true, 2, []serverReply{{status: 200, bodyErr: io.ErrUnexpectedEOF}, ok}, 2, 200, 0},
		"truncated answer, not idempotent":               {false, 2, []serverReply{{status: 200, bodyErr: io.ErrUnexpectedEOF}, ok}, 1, 0, verdict.MayHaveRun},
		"failure of the server is passed on":             {false, 2, []serverReply{{status: 500}, ok}, 1, 500, 0},
		"failure of the server, idempotent, is retried":  {true, 2, []serverReply{{status: 500}, ok}, 2, 200, 0},
		"last failure of an idempotent request":          {true, 2, []serverReply{{status: 500}, {status: 500}}, 2, 500, 0},
		"503 without proof of not-run":                   {false, 2, []serverReply{{status: 503}, ok}, 1, 0, verdict.MayHaveRun},
		"client error of the server is passed on":        {true, 2, []serverReply{{status: 404}, ok}, 1, 404, 0},
		"refusal after a lost answer may have run":       {true, 2, []serverReply{{err: lost}, {status: 503, refused: true}}, 2, 0, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			r, plane := newTestRelay(t, c.replies...)
			var got recordingCaller
			result, err := r.Relay(t.Context(), relayCall(c.idempotent, c.maxAttempts), -1, &got)
			if len(plane.servers) != c.wantSent || got.status != c.wantStatus {
				t.Errorf("sent to %v, delivered status %d (%v), want %d requests sent and status %d", plane.servers, got.status, err, c.wantSent, c.wantStatus)
			}
			if c.wantStatus == 0 && verdictOf(t, err).Verdict != c.wantVerdict {
				t.Errorf("got verdict %v, want %v", verdictOf(t, err).Verdict, c.wantVerdict)
			}
			if c.wantStatus != 0 && (err != nil || result.Status != c.wantStatus || got.heads != 1) {
				t.Errorf("ended with %v, %+v, %d heads, want no error and one head with status %d", err, result, got.heads, c.wantStatus)
			}
		})
	}
}

// TestRelayResumesStreams guards against events that are lost or delivered twice when a broken
// stream is resumed on another server.
func TestRelayResumesStreams(t *testing.T) {
	cut := io.ErrUnexpectedEOF
	for name, c := range map[string]struct {
		idempotent       bool
		lastEventID      int64
		replies          []serverReply
		wantLastEventIDs string
		wantText         string
		wantWhole        bool
	}{
		"whole":                            {true, -1, []serverReply{{status: 200, events: []int64{0, 1, 2}}}, "[-1]", "e0 e1 e2 ", true},
		"resumed after the last event":     {true, -1, []serverReply{{status: 200, events: []int64{0, 1}, endErr: cut}, {status: 200, events: []int64{2, 3}}}, "[-1 1]", "e0 e1 e2 e3 ", true},
		"repeated events are skipped":      {true, -1, []serverReply{{status: 200, events: []int64{0, 1}, endErr: cut}, {status: 200, events: []int64{0, 1, 2}}}, "[-1 1]", "e0 e1 e2 ", true},
		"gap in the event ids is an error": {true, -1, []serverReply{{status: 200, events: []int64{0, 1}, endErr: cut}, {status: 200, events: []int64{3}}}, "[-1 1]", "e0 e1 ", false},
		"not idempotent, not resumed":      {false, -1, []serverReply{{status: 200, events: []int64{0}, endErr: cut}, {status: 200, events: []int64{1}}}, "[-1]", "e0 ", false},
		"broken before the first event":    {true, -1, []serverReply{{status: 200, events: []int64{}, endErr: cut}, {status: 200, events: []int64{0}}}, "[-1 -1]", "e0 ", true},
		"end without an event":             {true, -1, []serverReply{{status: 200, events: []int64{0, 1}, endErr: cut}, {status: 200, events: []int64{}}}, "[-1 1]", "e0 e1 ", false},
		"end after repeated events only":   {true, -1, []serverReply{{status: 200, events: []int64{0, 1}, endErr: cut}, {status: 200, events: []int64{0, 1}}}, "[-1 1]", "e0 e1 ", false},
		"caller's resume, nothing follows": {true, 4, []serverReply{{status: 200, events: []int64{}}}, "[4]", "", true},
		"resume requested by the caller":   {true, 4, []serverReply{{status: 200, events: []int64{5}, endErr: cut}, {status: 200, events: []int64{6}}}, "[4 5]", "e5 e6 ", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, plane := newTestRelay(t, c.replies...)
			var got recordingCaller
			_, err := r.Relay(t.Context(), relayCall(c.idempotent, 2), c.lastEventID, &got)
			if (err == nil) != c.wantWhole || got.text.String() != c.wantText {
				t.Errorf("delivered %q, %v, want %q, whole: %v", got.text.String(), err, c.wantText, c.wantWhole)
			}
			if fmt.Sprint(plane.lastEventIDs) != c.wantLastEventIDs || got.heads > 1 {
				t.Errorf("last event IDs sent: %v, %d heads, want %s and at most one head", plane.lastEventIDs, got.heads, c.wantLastEventIDs)
			}
			if plane.closed != len(plane.servers) {
				t.Errorf("%d answers were closed of %d, want all", plane.closed, len(plane.servers))
			}
		})
	}
}

// TestResumedStreamEndsWithoutAnEventAtItsLongest guards against a complete stream that counts as broken: its connection broke
// after its last event, which the length that the request allows shows.
func TestResumedStreamEndsWithoutAnEventAtItsLongest(t *testing.T) {
	r, _ := newTestRelay(t, serverReply{status: 200, events: []int64{0, 1}, endErr: io.ErrUnexpectedEOF}, serverReply{status: 200, events: []int64{}})
	call := relayCall(true, 2)
	call.Request.MaxTokens = 2
	var got recordingCaller
	if _, err := r.Relay(t.Context(), call, -1, &got); err != nil || got.text.String() != "e0 e1 " {
		t.Errorf("delivered %q, %v, want both events and the end", got.text.String(), err)
	}
}

// TestRelayRefusalsUseRetryBudget guards against retries without a limit when servers refuse
// everything: retries of refused requests must use up the retry budget of the service, so
// that they don't multiply the load.
func TestRelayRefusalsUseRetryBudget(t *testing.T) {
	var replies []serverReply
	for range 60 {
		replies = append(replies, serverReply{status: 503, refused: true})
	}
	r, plane := newTestRelay(t, replies...)
	const requests = 20
	for i := range requests {
		call := relayCall(false, 3)
		call.Request.ID = request.ID(fmt.Sprint("r", i))
		if _, err := r.Relay(t.Context(), call, -1, &recordingCaller{}); verdictOf(t, err).Verdict != verdict.NotRun {
			t.Fatalf("request %d: got %v, want verdict not-run", i, err)
		}
	}
	if retries := len(plane.servers) - requests; retries > 3 {
		t.Errorf("%d retries were sent, want at most the spare budget of 3, because no request succeeded", retries)
	}
}

// TestRelayMakesNoRetryCloseToDeadline guards against a retry with less than minTimeLeft to
// the deadline.
func TestRelayMakesNoRetryCloseToDeadline(t *testing.T) {
	r, plane := newTestRelay(t, serverReply{err: verdict.Unclear(verdict.CodeServerFailed, nil, "lost")}, serverReply{status: 200})
	call := relayCall(true, 2)
	call.Request.Deadline = time.Now().Add(minTimeLeft / 2)
	if _, err := r.Relay(t.Context(), call, -1, &recordingCaller{}); err == nil || len(plane.servers) != 1 {
		t.Errorf("sent to %v, ended with %v, want one attempt and an error", plane.servers, err)
	}
}

// slowCaller is an AnswerSink whose caller reads its answer only once it is released.
type slowCaller struct {
	recordingCaller
	reads chan struct{}
}

func (c *slowCaller) WholeAnswer(head *engine.AnswerHead, body []byte) error {
	<-c.reads
	return c.recordingCaller.WholeAnswer(head, body)
}

// TestCallerThatReadsSlowlyTakesNoPlaceAtAServer guards against requests that wait for a server whose places are taken by answers which it has
// long given, and which their callers don't read.
func TestCallerThatReadsSlowlyTakesNoPlaceAtAServer(t *testing.T) {
	const places = 400 // more than the three servers have, waiting ones included
	replies := make([]serverReply, places+1)
	for n := range replies {
		replies[n] = serverReply{status: http.StatusOK, body: "ok"}
	}
	relay, _ := newTestRelay(t, replies...)
	reads := make(chan struct{})
	var ended sync.WaitGroup
	for n := range places {
		call := relayCall(true, 1)
		call.Request.ID = request.ID(fmt.Sprint("slow", n))
		sink := &slowCaller{reads: reads}
		begun := make(chan struct{})
		ended.Go(func() {
			close(begun)
			if _, err := relay.Relay(t.Context(), call, noEventID, sink); err != nil {
				t.Error(err)
			}
		})
		<-begun
		time.Sleep(time.Millisecond)
	}
	caller := &recordingCaller{}
	if _, err := relay.Relay(t.Context(), relayCall(true, 1), noEventID, caller); err != nil || caller.status != http.StatusOK {
		t.Errorf("beside callers that don't read: status %d, error %v, want 200", caller.status, err)
	}
	close(reads)
	ended.Wait()
}

// TestAnswerWithoutRoomIsNotTriedAgain guards against a server that counts as faulty, and a request that runs again, because there is no memory
// for its answer.
func TestAnswerWithoutRoomIsNotTriedAgain(t *testing.T) {
	relay, plane := newTestRelay(t, serverReply{status: http.StatusOK, bodyErr: fmt.Errorf("read: %w", callerload.ErrNoRoom)}, serverReply{status: http.StatusOK})
	_, err := relay.Relay(t.Context(), relayCall(true, 3), noEventID, &recordingCaller{})
	var failed *verdict.Error
	if !errors.As(err, &failed) || failed.Code != verdict.CodeCallersMemory || failed.Verdict != verdict.Ran || len(plane.servers) != 1 {
		t.Errorf("got %v after %d attempts, want %s with the verdict ran after one", err, len(plane.servers), verdict.CodeCallersMemory)
	}
}
