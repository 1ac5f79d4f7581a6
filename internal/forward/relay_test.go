package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// reply is what a fake server does with one request.
type reply struct {
	err     error
	status  int
	refused bool
	body    string
	bodyErr error
	// events are ids of a stream; end is the error after them, nil for a whole stream.
	events []int64
	end    error
}

// relayPlane answers requests in order and notes what was sent.
type relayPlane struct {
	replies []reply
	servers []string
	afters  []int64
	closed  int
}

func (p *relayPlane) Open(_ context.Context, server engine.Server, _ engine.Call, after int64) (engine.Answer, error) {
	if len(p.replies) == 0 {
		return nil, errors.New("one request too many")
	}
	next := p.replies[0]
	p.replies = p.replies[1:]
	p.servers = append(p.servers, server.Name)
	p.afters = append(p.afters, after)
	if next.err != nil {
		return nil, next.err
	}
	return &fakeAnswer{plane: p, reply: next}, nil
}

type fakeAnswer struct {
	plane *relayPlane
	reply reply
}

func (a *fakeAnswer) Head() *engine.AnswerHead {
	return &engine.AnswerHead{
		Status: a.reply.status, Header: http.Header{"From": {"server"}}, Refused: a.reply.refused,
		Misdirected: a.reply.status == http.StatusMisdirectedRequest, Events: a.reply.events != nil,
	}
}

func (a *fakeAnswer) Body() ([]byte, error) { return []byte(a.reply.body), a.reply.bodyErr }

func (a *fakeAnswer) Next() (engine.Piece, error) {
	if len(a.reply.events) == 0 {
		if a.reply.end != nil {
			return engine.Piece{}, a.reply.end
		}
		return engine.Piece{}, io.EOF
	}
	id := a.reply.events[0]
	a.reply.events = a.reply.events[1:]
	return engine.Piece{ID: id, Data: fmt.Appendf(nil, "e%d ", id)}, nil
}

func (a *fakeAnswer) Close() { a.plane.closed++ }

// caller keeps what was delivered.
type caller struct {
	status int
	text   strings.Builder
	heads  int
}

func (c *caller) Whole(head *engine.AnswerHead, body []byte) error {
	c.status = head.Status
	c.heads++
	c.text.Write(body)
	return nil
}

func (c *caller) Begin(head *engine.AnswerHead) error {
	c.status = head.Status
	c.heads++
	return nil
}

func (c *caller) Piece(data []byte) error {
	c.text.Write(data)
	return nil
}

// relayWorld is a Relay over a real scheduler with three servers of one service.
func relayWorld(t *testing.T, replies ...reply) (*Relay, *relayPlane) {
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
		servers = append(servers, scheduling.Server{Name: name, Services: []string{"svc"}, Slots: 4})
	}
	d.SetServers(servers)
	plane := &relayPlane{replies: replies}
	return NewRelay(RelayOptions{Dispatcher: d, Plane: plane, Directory: anyServer{}, Logger: logging.Discard(), Now: time.Now}), plane
}

func relayCall(idempotent bool, attempts int) engine.Call {
	now := time.Now()
	return engine.Call{Request: request.Request{
		ID: "r", Service: "svc", Arrived: now, Deadline: now.Add(time.Second),
		Idempotent: idempotent, MaxAttempts: attempts,
	}}
}

func verdictOf(t *testing.T, err error) *verdict.Error {
	t.Helper()
	var e *verdict.Error
	if !errors.As(err, &e) {
		t.Fatalf("the request ended with %v", err)
	}
	return e
}

func TestRelayDeliversOneAnswer(t *testing.T) {
	lost := verdict.Unclear(verdict.CodeServerFailed, nil, "lost")
	unsent := &engine.UnsentError{Err: verdict.Refused(verdict.CodeServerFailed, "no connection")}
	ok := reply{status: 200, body: "fine"}
	for name, c := range map[string]struct {
		idempotent bool
		attempts   int
		replies    []reply
		// sent is how many servers got the request.
		sent    int
		status  int
		verdict verdict.Verdict
	}{
		"success":                                    {false, 1, []reply{ok}, 1, 200, 0},
		"lost answer, idempotent":                    {true, 2, []reply{{err: lost}, ok}, 2, 200, 0},
		"lost answer, not idempotent":                {false, 2, []reply{{err: lost}, ok}, 1, 0, verdict.MayHaveRun},
		"refused, another takes it":                  {false, 2, []reply{{status: 503, refused: true}, ok}, 2, 200, 0},
		"refused, no attempt left":                   {false, 1, []reply{{status: 503, refused: true}, ok}, 1, 0, verdict.NotRun},
		"other server at the address":                {false, 2, []reply{{status: 421, refused: true}, ok}, 2, 200, 0},
		"no connection costs no attempt":             {false, 1, []reply{{err: unsent}, ok}, 2, 200, 0},
		"cut answer, idempotent":                     {true, 2, []reply{{status: 200, bodyErr: io.ErrUnexpectedEOF}, ok}, 2, 200, 0},
		"cut answer, not idempotent":                 {false, 2, []reply{{status: 200, bodyErr: io.ErrUnexpectedEOF}, ok}, 1, 0, verdict.MayHaveRun},
		"server's failure is passed on":              {false, 2, []reply{{status: 500}, ok}, 1, 500, 0},
		"server's failure, idempotent":               {true, 2, []reply{{status: 500}, ok}, 2, 200, 0},
		"last failure of an idempotent request":      {true, 2, []reply{{status: 500}, {status: 500}}, 2, 500, 0},
		"unproved 503 promises nothing":              {false, 2, []reply{{status: 503}, ok}, 1, 0, verdict.MayHaveRun},
		"client error of the server is passed on":    {true, 2, []reply{{status: 404}, ok}, 1, 404, 0},
		"refusal after a lost answer proves nothing": {true, 2, []reply{{err: lost}, {status: 503, refused: true}}, 2, 0, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			r, plane := relayWorld(t, c.replies...)
			var got caller
			end, err := r.Relay(t.Context(), relayCall(c.idempotent, c.attempts), -1, &got)
			if len(plane.servers) != c.sent || got.status != c.status {
				t.Errorf("sent to %v, delivered status %d (%v)", plane.servers, got.status, err)
			}
			if c.status == 0 && verdictOf(t, err).Verdict != c.verdict {
				t.Errorf("verdict %v", verdictOf(t, err).Verdict)
			}
			if c.status != 0 && (err != nil || end.Status != c.status || got.heads != 1) {
				t.Errorf("ended with %v, %+v, %d heads", err, end, got.heads)
			}
		})
	}
}

func TestRelayResumesStreams(t *testing.T) {
	cut := io.ErrUnexpectedEOF
	for name, c := range map[string]struct {
		idempotent bool
		after      int64
		replies    []reply
		afters     string
		text       string
		whole      bool
	}{
		"whole":                       {true, -1, []reply{{status: 200, events: []int64{0, 1, 2}}}, "[-1]", "e0 e1 e2 ", true},
		"resumed after the last":      {true, -1, []reply{{status: 200, events: []int64{0, 1}, end: cut}, {status: 200, events: []int64{2, 3}}}, "[-1 1]", "e0 e1 e2 e3 ", true},
		"repeated events are skipped": {true, -1, []reply{{status: 200, events: []int64{0, 1}, end: cut}, {status: 200, events: []int64{0, 1, 2}}}, "[-1 1]", "e0 e1 e2 ", true},
		"a gap is a cut":              {true, -1, []reply{{status: 200, events: []int64{0, 1}, end: cut}, {status: 200, events: []int64{3}}}, "[-1 1]", "e0 e1 ", false},
		"not idempotent":              {false, -1, []reply{{status: 200, events: []int64{0}, end: cut}, {status: 200, events: []int64{1}}}, "[-1]", "e0 ", false},
		"no event yet, idempotent":    {true, -1, []reply{{status: 200, events: []int64{}, end: cut}, {status: 200, events: []int64{0}}}, "[-1 -1]", "e0 ", true},
		"the caller's own resume":     {true, 4, []reply{{status: 200, events: []int64{5}, end: cut}, {status: 200, events: []int64{6}}}, "[4 5]", "e5 e6 ", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, plane := relayWorld(t, c.replies...)
			var got caller
			_, err := r.Relay(t.Context(), relayCall(c.idempotent, 2), c.after, &got)
			if (err == nil) != c.whole || got.text.String() != c.text {
				t.Errorf("delivered %q, %v", got.text.String(), err)
			}
			if fmt.Sprint(plane.afters) != c.afters || got.heads > 1 {
				t.Errorf("asked after %v, %d heads", plane.afters, got.heads)
			}
			if plane.closed != len(plane.servers) {
				t.Errorf("%d answers were closed of %d", plane.closed, len(plane.servers))
			}
		})
	}
}

// TestRelayBudgetIsPerService: refused attempts cost budget too, so that servers which
// refuse everything don't multiply the load.
func TestRelayBudgetIsPerService(t *testing.T) {
	var replies []reply
	for range 60 {
		replies = append(replies, reply{status: 503, refused: true})
	}
	r, plane := relayWorld(t, replies...)
	const requests = 20
	for i := range requests {
		call := relayCall(false, 3)
		call.Request.ID = request.ID(fmt.Sprint("r", i))
		if _, err := r.Relay(t.Context(), call, -1, &caller{}); verdictOf(t, err).Verdict != verdict.NotRun {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if again := len(plane.servers) - requests; again > 3 {
		t.Errorf("%d requests were sent again with a spare budget of 3 and no success", again)
	}
}

func TestRelayEndsAtTheDeadline(t *testing.T) {
	r, plane := relayWorld(t, reply{err: verdict.Unclear(verdict.CodeServerFailed, nil, "lost")}, reply{status: 200})
	call := relayCall(true, 2)
	call.Request.Deadline = time.Now().Add(leastTimeLeft / 2)
	if _, err := r.Relay(t.Context(), call, -1, &caller{}); err == nil || len(plane.servers) != 1 {
		t.Errorf("sent to %v, %v", plane.servers, err)
	}
}
