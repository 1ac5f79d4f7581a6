package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

const (
	// leastTimeLeft is the least time to the deadline with which another attempt is made.
	leastTimeLeft = 30 * time.Millisecond
	// noEvent is the id of the last event while there was none.
	noEvent = -1
	// progressEvery is how many events are told to the dispatcher together.
	progressEvery = 16
)

// AnswerSink takes a server's answer as it is.
type AnswerSink interface {
	// Whole takes an answer that isn't a stream.
	Whole(head *engine.AnswerHead, body []byte) error
	// Begin takes the head of a stream.
	Begin(head *engine.AnswerHead) error
	// Piece takes one whole event. The data isn't valid after the call.
	Piece(data []byte) error
}

// RelayOptions are the parts that a Relay works with.
type RelayOptions struct {
	Dispatcher *dispatch.Dispatcher
	Plane      engine.Passthrough
	Directory  Directory
	Logger     *logrus.Entry
	Now        func() time.Time
}

// Relay passes requests on to backend servers and their answers back, both unchanged.
// It repeats what may be repeated, and lets a stream that broke off go on at another
// server.
type Relay struct {
	options RelayOptions
	// ends shares how failures are explained with the Forwarder.
	ends     *Forwarder
	attempts atomic.Uint64
}

// Attempts is how many attempts were sent to servers.
func (r *Relay) Attempts() uint64 { return r.attempts.Load() }

// NewRelay makes a Relay.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, ends: &Forwarder{now: options.Now}}
}

// RelayEnd says how a relayed request ended.
type RelayEnd struct {
	// Status is the status of the server's answer; 0 if none was delivered.
	Status int
	// Server is the last one that was tried.
	Server string
	// Attempts is to how many servers the request was sent.
	Attempts int
	// Waited is the time until the first dispatch.
	Waited time.Duration
	// FirstEvent is the time to the first event of a stream, and Events how many came.
	FirstEvent time.Duration
	Events     int
}

// relayed is one request on its way.
type relayed struct {
	call    engine.Call
	sink    AnswerSink
	arrived time.Time
	// sent is when the last attempt began.
	sent time.Time
	// after is the id of the last event that the caller has; noEvent at first.
	after int64
	began bool
	end   RelayEnd
	// failure is the last failure that a server answered with and that wasn't delivered.
	failure     *engine.AnswerHead
	failureBody []byte
	retryAfter  time.Duration
}

// Relay runs a request. A nil error means that an answer of a server was delivered
// whole, be it a failure. Any other end is an error with a verdict.
func (r *Relay) Relay(ctx context.Context, call engine.Call, after int64, sink AnswerSink) (RelayEnd, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	q := &relayed{call: call, sink: sink, arrived: r.options.Now(), after: after}
	err := r.untilEnd(ctx, q)
	return q.end, err
}

func (r *Relay) untilEnd(ctx context.Context, q *relayed) error {
	decision, err := r.options.Dispatcher.Admit(ctx, q.call.Request)
	if err != nil {
		return r.ends.explainEnd(ctx, err)
	}
	q.end.Waited = r.options.Now().Sub(q.arrived)
	overall := verdict.NotRun
	for {
		outcome, err := r.attempt(ctx, q, decision)
		r.options.Dispatcher.Finish(outcome)
		if err == nil {
			return nil
		}
		overall = verdict.Combine(overall, outcome.Verdict)
		failure := r.ends.explainEnd(ctx, err).With(overall)
		failure.RetryAfter = max(failure.RetryAfter, q.retryAfter)
		if why := r.finality(ctx, q, failure); why != "" {
			return r.conclude(q, failure, why)
		}
		r.log(q, decision.Server, failure).Info("Trying another server")
		decision, err = r.options.Dispatcher.Retry(ctx, q.call.Request, outcome)
		if err != nil {
			return r.conclude(q, retryRefused(failure, err), "not retried")
		}
	}
}

// finality says why no other attempt is made; empty means that one may be.
func (r *Relay) finality(ctx context.Context, q *relayed, failure *verdict.Error) string {
	request := &q.call.Request
	switch {
	case ctx.Err() != nil || failure.Code == verdict.CodeCanceled:
		return "nobody waits any more"
	case request.Deadline.Sub(r.options.Now()) < leastTimeLeft:
		return "no time left"
	case request.MaxAttempts > 0 && q.end.Attempts >= request.MaxAttempts:
		return "no attempts left"
	case failure.Verdict != verdict.NotRun && !request.Idempotent:
		return "it may have run and isn't idempotent"
	case q.began && q.after == noEvent:
		return "its events carry no ids to resume after"
	}
	return ""
}

// conclude ends a request that failed. A server's own failure is delivered as it is,
// unless its status would promise what isn't proved.
func (r *Relay) conclude(q *relayed, failure *verdict.Error, why string) error {
	if q.failure != nil && !q.began && !(promisesNotRun(q.failure.Status) && !q.call.Request.Idempotent) {
		q.end.Status = q.failure.Status
		return q.sink.Whole(q.failure, q.failureBody)
	}
	failure.Message += "; " + why
	return failure
}

// promisesNotRun reports whether a status tells callers that the request hasn't run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// attempt sends the request to one server. The error is nil once an answer was
// delivered whole.
func (r *Relay) attempt(ctx context.Context, q *relayed, decision scheduling.Decision) (scheduling.Outcome, error) {
	outcome := scheduling.Outcome{ID: q.call.Request.ID, Server: decision.Server}
	q.end.Server = decision.Server
	server, ok := r.options.Directory.Server(decision.Server)
	if !ok {
		err := verdict.Refused(verdict.CodeNoServer, "server %s is gone", decision.Server)
		outcome.Verdict, outcome.Err, outcome.Unsent = verdict.NotRun, err, true
		return outcome, err
	}
	q.call.Priority = decision.Priority
	start := r.options.Now()
	q.sent = start
	err := r.send(ctx, q, server, &outcome)
	outcome.Duration = r.options.Now().Sub(start)
	outcome.Err = err
	if outcome.Verdict == verdict.MayHaveRun {
		outcome.Verdict = verdict.Ran
		if err != nil {
			outcome.Verdict = verdict.Of(err)
		}
	}
	return outcome, err
}

func (r *Relay) send(ctx context.Context, q *relayed, server engine.Server, outcome *scheduling.Outcome) error {
	answer, err := r.options.Plane.Open(ctx, server, q.call, q.after)
	outcome.Unsent = engine.IsUnsent(err)
	if !outcome.Unsent {
		q.end.Attempts++
		r.attempts.Add(1)
	}
	if err != nil {
		return err
	}
	defer answer.Close()
	head := answer.Head()
	if head.Load != nil {
		r.options.Dispatcher.ObserveLoad(server.Name, *head.Load)
	}
	switch {
	case head.Refused:
		return r.refused(q, answer, outcome)
	case head.Succeeded() && head.Events:
		return r.stream(ctx, q, answer, outcome)
	}
	return r.whole(q, answer, outcome)
}

// refused takes a server's statement that it didn't run the request.
func (r *Relay) refused(q *relayed, answer engine.Answer, outcome *scheduling.Outcome) error {
	head := answer.Head()
	// The body is read so that the connection can be used again; it tells nothing.
	if _, err := answer.Body(); err != nil {
		r.log(q, outcome.Server, err).Debug("The body of a refusal was cut")
	}
	outcome.Verdict = verdict.NotRun
	outcome.NotResident = head.Misdirected
	q.retryAfter = head.RetryHint()
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeServerRefused,
		Message: "the server refused with status " + http.StatusText(head.Status), RetryAfter: q.retryAfter}
}

// whole takes an answer that isn't a stream. Nothing of it is delivered before all of
// it is there, so that an answer that is cut may be repeated.
func (r *Relay) whole(q *relayed, answer engine.Answer, outcome *scheduling.Outcome) error {
	head := answer.Head()
	body, err := answer.Body()
	if err != nil {
		return verdict.Unclear(verdict.CodeServerFailed, err, "the answer was cut")
	}
	outcome.Verdict = verdict.Ran
	if head.Status >= http.StatusInternalServerError || promisesNotRun(head.Status) {
		q.failure, q.failureBody = head, body
		outcome.Verdict = verdict.MayHaveRun
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered with status %d", head.Status)
	}
	if q.began {
		return verdict.Unclear(verdict.CodeStreamCut, nil, "the server didn't resume the stream but answered with status %d", head.Status)
	}
	q.end.Status = head.Status
	return delivered(q.sink.Whole(head, body))
}

// delivered marks a failure on the caller's side.
func delivered(err error) error {
	if err == nil {
		return nil
	}
	return &sinkError{err: err}
}

// stream passes on events as they come.
func (r *Relay) stream(ctx context.Context, q *relayed, answer engine.Answer, outcome *scheduling.Outcome) error {
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) {
			outcome.Verdict = verdict.Ran
			return r.begin(q, answer.Head())
		}
		if err != nil {
			return verdict.Unclear(verdict.CodeStreamCut, err, "the stream broke off after %d events", q.end.Events)
		}
		skip, err := q.follows(piece)
		if err != nil {
			return err
		}
		outcome.Tokens++
		if outcome.Tokens == 1 {
			outcome.FirstToken = r.options.Now().Sub(q.sent)
		}
		if outcome.Tokens%progressEvery == 1 {
			r.options.Dispatcher.Progress(q.call.Request.ID, outcome.Tokens)
		}
		if skip {
			continue
		}
		if err := r.piece(q, answer.Head(), piece); err != nil {
			return err
		}
	}
}

// follows checks that an event is the next one for the caller. One that the caller has
// is skipped.
func (q *relayed) follows(piece engine.Piece) (skip bool, err error) {
	if piece.ID < 0 || q.after < 0 {
		return false, nil
	}
	if piece.ID <= q.after {
		return true, nil
	}
	if piece.ID > q.after+1 {
		return false, verdict.Unclear(verdict.CodeStreamCut, nil, "the server skipped from event %d to %d", q.after, piece.ID)
	}
	return false, nil
}

func (r *Relay) piece(q *relayed, head *engine.AnswerHead, piece engine.Piece) error {
	if err := r.begin(q, head); err != nil {
		return err
	}
	if err := delivered(q.sink.Piece(piece.Data)); err != nil {
		return err
	}
	if q.end.Events == 0 {
		q.end.FirstEvent = r.options.Now().Sub(q.arrived)
	}
	q.end.Events++
	q.after = piece.ID
	return nil
}

// begin delivers the head of the first server's answer, once there is an event to
// deliver: until then another server may take over unseen.
func (r *Relay) begin(q *relayed, head *engine.AnswerHead) error {
	if q.began {
		return nil
	}
	q.began = true
	q.end.Status = head.Status
	return delivered(q.sink.Begin(head))
}

func (r *Relay) log(q *relayed, server string, err error) *logrus.Entry {
	return r.options.Logger.WithFields(logrus.Fields{
		"request": q.call.Request.ID, "server": server, "attempts": q.end.Attempts,
		"events": q.end.Events, "error": err.Error(),
	})
}
