package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/callerload"
	"limpethub/internal/crashguard"
	"limpethub/internal/crashwatch"
	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

const (
	// minTimeLeft is the minimum time to the deadline for another attempt.
	minTimeLeft = 30 * time.Millisecond
	// noEventID is the lastEventID of a caller that has no event.
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
	// Event delivers one whole event. Its data is valid only during the call.
	Event(event engine.RawEvent) error
}

type RelayOptions struct {
	Dispatcher *dispatch.Dispatcher
	Plane      engine.Passthrough
	Directory  Directory
	// Crashes learns which requests run on which server process, and Guard holds back those that crash
	// servers. Both are nil or none.
	Crashes *crashwatch.Watch
	Guard   *crashguard.Guard
	// Streams knows which software versions began streams; nil if none are taken up elsewhere.
	Streams StreamVersions
	// Reach says whether this instance reaches the servers, and Peers passes requests on if it doesn't. Both
	// are nil or none.
	Reach Reach
	Peers Peers
	// Recheck reports, right before each send to a server, whether the request may still run: it may have waited
	// since it was authorized. Its error is a *verdict.Error with NotRun. nil means that all may.
	Recheck func(*request.Request) error
	// MayStart reports, right before each send to a server or a peer, whether the request may still begin to run
	// while this instance stops. Its error is a *verdict.Error with NotRun. nil means that all may.
	MayStart func(*request.Request) error
	// MaySend reports, right before the first byte is sent, whether a server still takes requests. Its error is a
	// *verdict.Error with NotRun. nil means that all do.
	MaySend func(engine.Server) error
	// Quota counts further attempts against the limits of workspaces; nil means none.
	Quota  Quota
	Logger *logrus.Entry
	Now    func() time.Time
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

// Attempts returns how many attempts were sent to servers. An attempt of which nothing reached
// the server, for example because the connection failed, doesn't count.
func (r *Relay) Attempts() uint64 { return r.attempts.Load() }

func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, errorMapper: &Forwarder{now: options.Now}}
}

// Quota counts what requests use of the limits of workspaces. The first attempt of a request is counted before
// the request gets here.
type Quota interface {
	// Charge counts a request that is sent to another server, and Return takes that back.
	Charge(r *request.Request)
	Return(r *request.Request)
}

// RelayResult describes how a relayed request ended.
type RelayResult struct {
	// Status is the HTTP status of the delivered answer; 0 if none was delivered.
	Status int
	// Server is the server of the last attempt, and SoftwareVersion the version of its software; empty if
	// unknown.
	Server, SoftwareVersion string
	// Peer is the instance that the request was passed on to; empty if it wasn't.
	Peer string
	// Attempts is how many times the request was sent to a server.
	Attempts int
	// Waited is the time from the call of Relay to the first dispatch.
	Waited time.Duration
	// SentAfter is the time from the call of Relay to the last attempt, when its server's address was
	// looked up.
	SentAfter time.Duration
	// FirstEvent is the time from the call of Relay to the first delivered event of a stream,
	// and Events is the number of delivered events.
	FirstEvent time.Duration
	Events     int
}

type relayedRequest struct {
	call engine.Call
	// ticket is nil if the relay has no Guard.
	ticket *crashguard.Ticket
	sink   AnswerSink
	// relayStart is the time of the call of Relay.
	relayStart time.Time
	// server is that of the last attempt.
	server engine.Server
	// attemptStart is when the last attempt was sent.
	attemptStart time.Time
	// lastEventID is the id of the last event that the caller has, or noEventID.
	lastEventID   int64
	headDelivered bool
	// began is true if the caller has events of the stream, from this request or an earlier one, and
	// softwareVersion is the version of the server that began it then; empty if unknown.
	began           bool
	softwareVersion string
	result          RelayResult
	// helpers are the only instances that the request may be passed on to; nil means any.
	helpers []string
	// connectionFailures is how many attempts found no connection to their server.
	connectionFailures int
	// serverFailure is the last failure that a server answered with. It is delivered only
	// if no other attempt is made.
	serverFailure     *engine.AnswerHead
	serverFailureBody []byte
	// whole is the head of an answer that was read whole and isn't delivered yet, with wholeBody; nil if there is none.
	whole     *engine.AnswerHead
	wholeBody []byte
}

// Relay runs a request. The caller already has the events up to lastEventID; noEventID (-1)
// means none. A nil error means that a server's answer was delivered completely, even if
// that answer is a failure. Any other end is an error with a verdict.
func (r *Relay) Relay(ctx context.Context, call engine.Call, lastEventID int64, sink AnswerSink) (RelayResult, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	relayed := &relayedRequest{call: call, sink: sink, relayStart: r.options.Now(), lastEventID: lastEventID}
	if r.options.Guard != nil {
		relayed.ticket = r.options.Guard.Enter(ctx, &relayed.call.Request)
		defer relayed.ticket.Leave()
		ctx = relayed.ticket.Context()
	}
	if err := r.findOrigin(ctx, relayed); err != nil {
		return relayed.result, err
	}
	err := r.runAttempts(ctx, relayed)
	return relayed.result, err
}

func (r *Relay) runAttempts(ctx context.Context, relayed *relayedRequest) error {
	decision, err := r.firstDecision(ctx, relayed)
	if err != nil && r.mayPassOn(ctx, relayed) && errors.Is(err, errNotDirect) {
		return r.passOn(ctx, relayed, verdict.NotRun, nil)
	}
	if err != nil {
		return r.errorMapper.verdictError(ctx, err)
	}
	relayed.result.Waited = r.options.Now().Sub(relayed.relayStart)
	combinedVerdict := verdict.NotRun
	var failure *verdict.Error
	for {
		if decision.Action == scheduling.PassOn {
			relayed.helpers = decision.Peers
			return r.passOn(ctx, relayed, combinedVerdict, failure)
		}
		outcome, err := r.attempt(ctx, relayed, decision)
		r.options.Dispatcher.Finish(outcome)
		if relayed.ticket != nil {
			relayed.ticket.AttemptEnded()
		}
		if err == nil {
			return r.deliverWhole(ctx, relayed)
		}
		combinedVerdict = verdict.Combine(combinedVerdict, outcome.Verdict)
		failure = r.errorMapper.verdictError(ctx, err).With(combinedVerdict)
		if reason := r.noRetryReason(ctx, relayed, failure); reason != "" {
			return r.endFailed(relayed, failure, reason)
		}
		if r.passesOnAfter(ctx, relayed, outcome) {
			return r.passOnRetry(ctx, relayed, outcome, failure)
		}
		// The scheduler may still refuse the retry. The logged server is the one that failed.
		r.log(relayed, decision.Server, failure).Info("Trying another server")
		decision, err = r.retry(ctx, relayed, outcome)
		if err != nil && errors.Is(err, errNotDirect) && r.mayPassOn(ctx, relayed) {
			return r.passOn(ctx, relayed, combinedVerdict, failure)
		}
		if err != nil {
			return r.endFailed(relayed, retryRefused(failure, r.errorMapper.verdictError(ctx, err)), "not retried")
		}
	}
}

// noRetryReason returns why no other attempt may be made, or "" if one may. The first reason
// also covers a deadline that has passed.
func (r *Relay) noRetryReason(ctx context.Context, relayed *relayedRequest, failure *verdict.Error) string {
	request := &relayed.call.Request
	switch {
	case ctx.Err() != nil || failure.Code == verdict.CodeCanceled:
		return "nobody waits any more"
	case failure.Code == verdict.CodeCallersMemory:
		return "there is no room for its answer"
	case failure.Code == verdict.CodeUnauthorized || failure.Code == verdict.CodeStaleConfiguration || failure.Code == verdict.CodeStopping:
		return "not sent to a server"
	case request.Deadline.Sub(r.options.Now()) < minTimeLeft:
		return "no time left"
	case request.MaxAttempts > 0 && relayed.result.Attempts >= request.MaxAttempts:
		return "no attempts left"
	case failure.Verdict != verdict.NotRun && !request.Idempotent:
		return "it may have run and isn't idempotent"
	case relayed.headDelivered && relayed.lastEventID == noEventID:
		return "its events carry no ids to resume after"
	case relayed.began && relayed.softwareVersion == "":
		return "the software version that began the stream isn't known"
	case relayed.ticket != nil && relayed.ticket.EndsAttempts():
		return "servers have ended under it, so that it isn't sent to another one"
	}
	return ""
}

// endFailed ends a request that failed. If a server answered with a failure and no part of
// another answer was delivered, that failure is delivered unchanged. The exception is a
// non-idempotent request with a status that callers take as proof that the request hasn't run:
// there the error is returned instead.
func (r *Relay) endFailed(relayed *relayedRequest, failure *verdict.Error, reason string) error {
	if relayed.serverFailure != nil && !relayed.headDelivered && !(impliesNotRun(relayed.serverFailure.Status) && !relayed.call.Request.Idempotent) {
		relayed.result.Status = relayed.serverFailure.Status
		relayed.call.Account.BeginAnswer()
		return relayed.sink.WholeAnswer(relayed.serverFailure, relayed.serverFailureBody)
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
func (r *Relay) attempt(ctx context.Context, relayed *relayedRequest, decision scheduling.Decision) (scheduling.Outcome, error) {
	outcome := scheduling.Outcome{ID: relayed.call.Request.ID, Server: decision.Server}
	relayed.result.Server = decision.Server
	server, err := r.chosenServer(relayed, decision.Server)
	if err != nil {
		outcome.Verdict, outcome.Err, outcome.Unsent = verdict.NotRun, err, true
		return outcome, err
	}
	if err := r.recheck(&relayed.call.Request); err != nil {
		outcome.Verdict, outcome.Err, outcome.Unsent = verdict.NotRun, err, true
		return outcome, err
	}
	relayed.server, relayed.result.SoftwareVersion = server, server.SoftwareVersion
	relayed.call.Priority = decision.Priority
	relayed.call.OpenConnectionsOnly = r.openConnectionsOnly(relayed)
	relayed.call.MaySend = func() error { return r.maySend(ctx, relayed, server) }
	start := r.options.Now()
	relayed.attemptStart = start
	relayed.result.SentAfter = start.Sub(relayed.relayStart)
	run := r.startRun(server, &relayed.call.Request)
	attemptCtx, release := r.whileAnswered(ctx, relayed)
	err = r.send(attemptCtx, relayed, server, run, &outcome)
	r.endRun(attemptCtx, relayed, run, err)
	release()
	outcome.Duration = r.options.Now().Sub(start)
	outcome.Err = err
	// MayHaveRun is also the zero value. It means here that the answer didn't show the verdict,
	// so the verdict follows from the error.
	if outcome.Verdict == verdict.MayHaveRun {
		outcome.Verdict = verdict.Ran
		if err != nil {
			outcome.Verdict = verdict.Of(err)
		}
	}
	return outcome, err
}

// mayStart reports whether the request may still begin to run.
func (r *Relay) mayStart(q *request.Request) error {
	if r.options.MayStart == nil {
		return nil
	}
	return r.options.MayStart(q)
}

// maySend reports, right before the first byte is sent, whether the request may still be sent to a server. Its caller may have
// left while it waited, or before it was read.
func (r *Relay) maySend(ctx context.Context, relayed *relayedRequest, server engine.Server) error {
	if relayed.callerLeft(ctx) {
		return errCallerLeft
	}
	if r.options.MaySend == nil {
		return nil
	}
	return r.options.MaySend(server)
}

// errCallerLeft is the error of a request that isn't sent since its caller has left.
var errCallerLeft = verdict.Refused(verdict.CodeCanceled, "the caller left before the request was sent")

func (relayed *relayedRequest) callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil || relayed.call.CallerLeft != nil && relayed.call.CallerLeft()
}

// recheck reports whether the request may still run at a server.
func (r *Relay) recheck(q *request.Request) error {
	if err := r.mayStart(q); err != nil {
		return err
	}
	if r.options.Recheck == nil {
		return nil
	}
	return r.options.Recheck(q)
}

// send sends the request and relays the answer. It sets outcome.Verdict only if the answer
// shows the verdict; otherwise the verdict is that of the error.
func (r *Relay) send(ctx context.Context, relayed *relayedRequest, server engine.Server, run *crashwatch.Run, outcome *scheduling.Outcome) error {
	uncharge := r.chargeAgain(relayed)
	answer, err := r.options.Plane.Open(ctx, server, relayed.call, relayed.lastEventID)
	outcome.Unsent = engine.IsUnsent(err)
	if outcome.Unsent {
		uncharge()
	}
	if !outcome.Unsent {
		relayed.result.Attempts++
		r.attempts.Add(1)
	}
	if err != nil && !outcome.Unsent {
		return &brokenAnswerError{err: err}
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
		return r.handleRefusal(relayed, answer, outcome)
	case head.Succeeded() && head.Events:
		return r.relayStream(relayed, answer, run, outcome)
	}
	return r.relayWhole(relayed, answer, run, outcome)
}

// chargeAgain counts a request that was sent to a server before. uncharge takes that back.
func (r *Relay) chargeAgain(relayed *relayedRequest) (uncharge func()) {
	request := &relayed.call.Request
	if r.options.Quota == nil || request.Workspace == "" || relayed.result.Attempts == 0 {
		return func() {}
	}
	r.options.Quota.Charge(request)
	return func() { r.options.Quota.Return(request) }
}

// handleRefusal handles an answer that states that the server didn't run the request.
func (r *Relay) handleRefusal(relayed *relayedRequest, answer engine.Answer, outcome *scheduling.Outcome) error {
	head := answer.Head()
	// Reading the body lets the connection be reused. Its content isn't needed.
	if _, err := answer.Body(); err != nil {
		r.log(relayed, outcome.Server, err).Debug("Reading the body of a refusal failed")
	}
	outcome.Verdict = verdict.NotRun
	// A misdirected request was refused because the server at the address is another one or
	// doesn't hold the model.
	outcome.NotResident = head.Misdirected
	// A pause that the server asked for doesn't bind the caller, whose next request may go to
	// another server.
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeServerRefused,
		Message:    "the server refused with status " + http.StatusText(head.Status),
		RetryAfter: r.options.Dispatcher.RetryAfter(relayed.call.Request)}
}

// relayWhole reads an answer that isn't a stream, which deliverWhole then delivers. Nothing is delivered before the whole
// answer has arrived, so that the request can still be retried if the answer breaks off.
func (r *Relay) relayWhole(relayed *relayedRequest, answer engine.Answer, run *crashwatch.Run, outcome *scheduling.Outcome) error {
	head := answer.Head()
	body, err := answer.Body()
	if errors.Is(err, callerload.ErrNoRoom) {
		outcome.Verdict = verdict.Ran
		return noRoomForAnswer(err)
	}
	if err != nil {
		return &brokenAnswerError{err: verdict.Unclear(verdict.CodeServerFailed, err, "the answer was cut")}
	}
	outcome.Verdict = verdict.Ran
	if head.Status >= http.StatusInternalServerError || impliesNotRun(head.Status) {
		relayed.serverFailure, relayed.serverFailureBody = head, body
		// An answer with a failure doesn't show whether the request ran. With MayHaveRun,
		// attempt uses the error's verdict.
		outcome.Verdict = verdict.MayHaveRun
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered with status %d", head.Status)
	}
	if relayed.headDelivered {
		return verdict.Unclear(verdict.CodeStreamCut, nil, "the server didn't resume the stream but answered with status %d", head.Status)
	}
	if head.Succeeded() {
		relayed.answerBegun(run)
	}
	relayed.whole, relayed.wholeBody = head, body
	return nil
}

// noRoomForAnswer returns the error of an answer that can't be held beside those of other callers. The server isn't at fault.
func noRoomForAnswer(cause error) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.Ran, Code: verdict.CodeCallersMemory, Err: cause,
		Message: "the requests and answers of callers take as much memory as they may",
	}
}

// deliverWhole delivers the answer that relayWhole has read, if there is one. The request has ended at the server by then, however
// slowly its caller reads.
func (r *Relay) deliverWhole(ctx context.Context, relayed *relayedRequest) error {
	if relayed.whole == nil {
		return nil
	}
	relayed.result.Status = relayed.whole.Status
	relayed.call.Account.BeginAnswer()
	if err := wrapSinkError(relayed.sink.WholeAnswer(relayed.whole, relayed.wholeBody)); err != nil {
		return r.errorMapper.verdictError(ctx, err).With(verdict.Ran)
	}
	return nil
}

// wrapSinkError marks an error as a failure on the caller's side.
func wrapSinkError(err error) error {
	if err == nil {
		return nil
	}
	return &sinkError{err: err}
}

func (r *Relay) log(relayed *relayedRequest, server string, err error) *logrus.Entry {
	return r.options.Logger.WithFields(logrus.Fields{
		"request": relayed.call.Request.ID, "server": server, "attempts": relayed.result.Attempts,
		"events": relayed.result.Events, "error": err.Error(),
	})
}
