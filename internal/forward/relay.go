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
	// minTimeLeft is the minimum time to the deadline for another attempt.
	minTimeLeft = 30 * time.Millisecond
	// noEventID stands for the id of the last event when none was delivered.
	noEventID = -1
	// progressBatchEvents is the number of events per progress report to the dispatcher.
	progressBatchEvents = 16
)

// AnswerSink receives a server's answer unchanged, on its way to the caller.
type AnswerSink interface {
	// WholeAnswer delivers an answer that isn't a stream.
	WholeAnswer(head *engine.AnswerHead, body []byte) error
	// Begin delivers the head of a stream.
	Begin(head *engine.AnswerHead) error
	// Event delivers one whole event. The data is valid only during the call.
	Event(data []byte) error
}

// RelayOptions holds the dependencies of a Relay.
type RelayOptions struct {
	Dispatcher *dispatch.Dispatcher
	Plane      engine.Passthrough
	Directory  Directory
	Logger     *logrus.Entry
	Now        func() time.Time
}

// Relay forwards requests to backend servers and returns their answers, both unchanged. It
// retries requests that may be retried, and resumes a broken stream on another server. In
// contrast, Forwarder handles decoded events and resumes a stream on the same server.
type Relay struct {
	options RelayOptions
	// errorMapper is a Forwarder of which only verdictError is used.
	errorMapper *Forwarder
	attempts    atomic.Uint64
}

// Attempts returns how many attempts were sent to servers.
func (r *Relay) Attempts() uint64 { return r.attempts.Load() }

// NewRelay returns a Relay.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, errorMapper: &Forwarder{now: options.Now}}
}

// RelayResult describes how a relayed request ended.
type RelayResult struct {
	// Status is the HTTP status of the delivered answer; 0 if none was delivered.
	Status int
	// Server is the server of the last attempt.
	Server string
	// Attempts is how many times the request was sent to a server.
	Attempts int
	// Waited is the time from arrival to the first dispatch.
	Waited time.Duration
	// FirstEvent is the time from arrival to the first delivered event of a stream, and
	// Events is the number of delivered events.
	FirstEvent time.Duration
	Events     int
}

// relayedRequest is the state of one request in a Relay.
type relayedRequest struct {
	call    engine.Call
	sink    AnswerSink
	arrived time.Time
	// attemptStart is when the last attempt was sent.
	attemptStart time.Time
	// lastEventID is the id of the last event that the caller has, or noEventID.
	lastEventID   int64
	headDelivered bool
	end           RelayResult
	// serverFailure is the last failure that a server answered with. It is delivered only
	// if no other attempt is made.
	serverFailure     *engine.AnswerHead
	serverFailureBody []byte
	retryAfter        time.Duration
}

// Relay runs a request. The caller already has the events up to lastEventID; noEventID (-1)
// means none. A nil error means that a server's answer was delivered completely, even if
// that answer is a failure. Any other end is an error with a verdict.
func (r *Relay) Relay(ctx context.Context, call engine.Call, lastEventID int64, sink AnswerSink) (RelayResult, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	q := &relayedRequest{call: call, sink: sink, arrived: r.options.Now(), lastEventID: lastEventID}
	err := r.runAttempts(ctx, q)
	return q.end, err
}

func (r *Relay) runAttempts(ctx context.Context, q *relayedRequest) error {
	decision, err := r.options.Dispatcher.Admit(ctx, q.call.Request)
	if err != nil {
		return r.errorMapper.verdictError(ctx, err)
	}
	q.end.Waited = r.options.Now().Sub(q.arrived)
	combinedVerdict := verdict.NotRun
	for {
		outcome, err := r.attempt(ctx, q, decision)
		r.options.Dispatcher.Finish(outcome)
		if err == nil {
			return nil
		}
		combinedVerdict = verdict.Combine(combinedVerdict, outcome.Verdict)
		failure := r.errorMapper.verdictError(ctx, err).With(combinedVerdict)
		failure.RetryAfter = max(failure.RetryAfter, q.retryAfter)
		if reason := r.noRetryReason(ctx, q, failure); reason != "" {
			return r.endFailed(q, failure, reason)
		}
		r.log(q, decision.Server, failure).Info("Trying another server")
		decision, err = r.options.Dispatcher.Retry(ctx, q.call.Request, outcome)
		if err != nil {
			return r.endFailed(q, retryRefused(failure, err), "not retried")
		}
	}
}

// noRetryReason returns why no other attempt may be made, or "" if one may.
func (r *Relay) noRetryReason(ctx context.Context, q *relayedRequest, failure *verdict.Error) string {
	request := &q.call.Request
	switch {
	case ctx.Err() != nil || failure.Code == verdict.CodeCanceled:
		return "the caller no longer waits for the answer"
	case request.Deadline.Sub(r.options.Now()) < minTimeLeft:
		return "too little time left before the deadline"
	case request.MaxAttempts > 0 && q.end.Attempts >= request.MaxAttempts:
		return "no attempts left"
	case failure.Verdict != verdict.NotRun && !request.Idempotent:
		return "the request may have run and is not idempotent"
	case q.headDelivered && q.lastEventID == noEventID:
		return "the events of the stream have no ids to resume from"
	}
	return ""
}

// endFailed ends a request that failed. A failure that a server answered with is delivered
// unchanged, unless its status would tell the caller without proof that the request hasn't
// run.
func (r *Relay) endFailed(q *relayedRequest, failure *verdict.Error, reason string) error {
	if q.serverFailure != nil && !q.headDelivered && !(impliesNotRun(q.serverFailure.Status) && !q.call.Request.Idempotent) {
		q.end.Status = q.serverFailure.Status
		return q.sink.WholeAnswer(q.serverFailure, q.serverFailureBody)
	}
	failure.Message += "; " + reason
	return failure
}

// impliesNotRun reports whether callers take a status to mean that the request hasn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// attempt sends the request to one server. The error is nil once the server's answer was
// delivered completely.
func (r *Relay) attempt(ctx context.Context, q *relayedRequest, decision scheduling.Decision) (scheduling.Outcome, error) {
	outcome := scheduling.Outcome{ID: q.call.Request.ID, Server: decision.Server}
	q.end.Server = decision.Server
	server, ok := r.options.Directory.Server(decision.Server)
	if !ok {
		err := verdict.Refused(verdict.CodeNoServer, "server %s is no longer known", decision.Server)
		outcome.Verdict, outcome.Err, outcome.Unsent = verdict.NotRun, err, true
		return outcome, err
	}
	q.call.Priority = decision.Priority
	start := r.options.Now()
	q.attemptStart = start
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

func (r *Relay) send(ctx context.Context, q *relayedRequest, server engine.Server, outcome *scheduling.Outcome) error {
	answer, err := r.options.Plane.Open(ctx, server, q.call, q.lastEventID)
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
		return r.handleRefusal(q, answer, outcome)
	case head.Succeeded() && head.Events:
		return r.relayStream(ctx, q, answer, outcome)
	}
	return r.relayWhole(q, answer, outcome)
}

// handleRefusal handles an answer that states that the server didn't run the request.
func (r *Relay) handleRefusal(q *relayedRequest, answer engine.Answer, outcome *scheduling.Outcome) error {
	head := answer.Head()
	// Reading the body lets the connection be reused. Its content isn't needed.
	if _, err := answer.Body(); err != nil {
		r.log(q, outcome.Server, err).Debug("Reading the body of a refusal failed")
	}
	outcome.Verdict = verdict.NotRun
	outcome.NotResident = head.Misdirected
	q.retryAfter = head.RetryHint()
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeServerRefused,
		Message: "the server refused with status " + http.StatusText(head.Status), RetryAfter: q.retryAfter}
}

// relayWhole relays an answer that isn't a stream. It delivers nothing before the whole
// answer has arrived, so that the request can still be retried if the answer breaks off.
func (r *Relay) relayWhole(q *relayedRequest, answer engine.Answer, outcome *scheduling.Outcome) error {
	head := answer.Head()
	body, err := answer.Body()
	if err != nil {
		return verdict.Unclear(verdict.CodeServerFailed, err, "the answer broke off before its end")
	}
	outcome.Verdict = verdict.Ran
	if head.Status >= http.StatusInternalServerError || impliesNotRun(head.Status) {
		q.serverFailure, q.serverFailureBody = head, body
		outcome.Verdict = verdict.MayHaveRun
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered with status %d", head.Status)
	}
	if q.headDelivered {
		return verdict.Unclear(verdict.CodeStreamCut, nil, "the server did not resume the stream but answered with status %d", head.Status)
	}
	q.end.Status = head.Status
	return wrapSinkError(q.sink.WholeAnswer(head, body))
}

// wrapSinkError marks an error as a failure on the caller's side.
func wrapSinkError(err error) error {
	if err == nil {
		return nil
	}
	return &sinkError{err: err}
}

// relayStream delivers the events of a stream as they arrive.
func (r *Relay) relayStream(ctx context.Context, q *relayedRequest, answer engine.Answer, outcome *scheduling.Outcome) error {
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) {
			outcome.Verdict = verdict.Ran
			return r.deliverHead(q, answer.Head())
		}
		if err != nil {
			return verdict.Unclear(verdict.CodeStreamCut, err, "the stream broke off after %d events", q.end.Events)
		}
		skip, err := q.checkSequence(piece)
		if err != nil {
			return err
		}
		outcome.Tokens++
		if outcome.Tokens == 1 {
			outcome.FirstToken = r.options.Now().Sub(q.attemptStart)
		}
		if outcome.Tokens%progressBatchEvents == 1 {
			r.options.Dispatcher.Progress(q.call.Request.ID, outcome.Tokens)
		}
		if skip {
			continue
		}
		if err := r.deliverEvent(q, answer.Head(), piece); err != nil {
			return err
		}
	}
}

// checkSequence checks that an event is the next one after lastEventID. An event that the
// caller already has is skipped. A gap is an error. The first event and events without ids
// aren't checked.
func (q *relayedRequest) checkSequence(piece engine.Piece) (skip bool, err error) {
	if piece.ID < 0 || q.lastEventID < 0 {
		return false, nil
	}
	if piece.ID <= q.lastEventID {
		return true, nil
	}
	if piece.ID > q.lastEventID+1 {
		return false, verdict.Unclear(verdict.CodeStreamCut, nil, "the server skipped from event %d to %d", q.lastEventID, piece.ID)
	}
	return false, nil
}

func (r *Relay) deliverEvent(q *relayedRequest, head *engine.AnswerHead, piece engine.Piece) error {
	if err := r.deliverHead(q, head); err != nil {
		return err
	}
	if err := wrapSinkError(q.sink.Event(piece.Data)); err != nil {
		return err
	}
	if q.end.Events == 0 {
		q.end.FirstEvent = r.options.Now().Sub(q.arrived)
	}
	q.end.Events++
	q.lastEventID = piece.ID
	return nil
}

// deliverHead delivers the head of an answer once, before the first event or at the end of
// an empty stream. Until then another server can take over without the caller noticing.
func (r *Relay) deliverHead(q *relayedRequest, head *engine.AnswerHead) error {
	if q.headDelivered {
		return nil
	}
	q.headDelivered = true
	q.end.Status = head.Status
	return wrapSinkError(q.sink.Begin(head))
}

func (r *Relay) log(q *relayedRequest, server string, err error) *logrus.Entry {
	return r.options.Logger.WithFields(logrus.Fields{
		"request": q.call.Request.ID, "server": server, "attempts": q.end.Attempts,
		"events": q.end.Events, "error": err.Error(),
	})
}
