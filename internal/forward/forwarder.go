// Package forward carries dispatched requests to backend servers and their answers to the
// callers. It retries or resumes where that is allowed, and ends each request exactly once:
// with the whole answer or with an error that has a verdict. Forwarder streams events of
// model engines and calls plain services; Relay passes requests and answers on unchanged.
package forward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/dispatch"
	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

const (
	// maxResumes limits how often a resume of one run is tried, including failed tries.
	maxResumes = 3
	// cancelTimeout limits the call that cancels a run on a server.
	cancelTimeout = 2 * time.Second
	// resumeDelay is the delay after a failed attempt to resume.
	resumeDelay = 50 * time.Millisecond
)

// Directory looks up a server's address by its name.
type Directory interface {
	Server(name string) (engine.Server, bool)
}

// Options holds the dependencies of a Forwarder.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Plane      engine.DataPlane
	Directory  Directory
	Logger     *logrus.Entry
	Now        func() time.Time
}

// Forwarder carries model requests and service calls to backend servers.
type Forwarder struct {
	dispatcher *dispatch.Dispatcher
	plane      engine.DataPlane
	directory  Directory
	logger     *logrus.Entry
	now        func() time.Time
	attempts   atomic.Uint64
}

func New(options Options) *Forwarder {
	return &Forwarder{
		dispatcher: options.Dispatcher,
		plane:      options.Plane,
		directory:  options.Directory,
		logger:     options.Logger,
		now:        options.Now,
	}
}

// Attempts returns how many attempts were made on servers, including those whose connection
// failed.
func (f *Forwarder) Attempts() uint64 { return f.attempts.Load() }

// Stream runs a model request and delivers its events to sink. It returns nil when the
// whole answer was delivered; any other end is a *verdict.Error.
func (f *Forwarder) Stream(ctx context.Context, call engine.Call, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	return f.runAttempts(ctx, call, func(server engine.Server, attemptCall engine.Call) attemptResult {
		return f.streamOnce(ctx, server, attemptCall, sink)
	})
}

// Invoke calls a plain service. Any error is a *verdict.Error.
func (f *Forwarder) Invoke(ctx context.Context, call engine.Call) (engine.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	var response engine.Response
	err := f.runAttempts(ctx, call, func(server engine.Server, attemptCall engine.Call) attemptResult {
		answer, err := f.plane.Invoke(ctx, server, attemptCall)
		response = answer
		return attemptResult{err: err, retryable: true}
	})
	return response, err
}

// attemptResult describes how one attempt ended. One event of the answer counts as one token.
type attemptResult struct {
	err        error
	firstToken time.Duration
	tokens     int
	// retryable is false once a part of the answer was delivered to the caller.
	retryable bool
}

// runAttempts admits the request and makes attempts until one succeeds or no other may be
// made. The verdict of a failure covers all attempts, not just the last one.
func (f *Forwarder) runAttempts(ctx context.Context, call engine.Call, sendOnce func(engine.Server, engine.Call) attemptResult) error {
	decision, err := f.dispatcher.Admit(ctx, call.Request)
	if err != nil {
		return f.verdictError(ctx, err)
	}
	combinedVerdict := verdict.NotRun
	for number := 1; ; number++ {
		outcome, result := f.attempt(call, decision, number, sendOnce)
		f.dispatcher.Finish(outcome)
		if result.err == nil {
			return nil
		}
		combinedVerdict = verdict.Combine(combinedVerdict, outcome.Verdict)
		failure := f.verdictError(ctx, result.err).With(combinedVerdict)
		if !f.mayRetry(ctx, call.Request, failure, result) {
			return failure
		}
		f.logger.WithFields(logrus.Fields{"request": call.Request.ID, "server": decision.Server, "verdict": combinedVerdict.String(), "error": failure.Error()}).Info("retry")
		decision, err = f.dispatcher.Retry(ctx, call.Request, outcome)
		if err != nil {
			return retryRefused(failure, err)
		}
	}
}

// attempt makes one attempt on the server of the decision. On the server, the request has
// an ID of its own, "<request ID>.<number>", so that attempts are distinct runs.
func (f *Forwarder) attempt(call engine.Call, decision scheduling.Decision, number int, sendOnce func(engine.Server, engine.Call) attemptResult) (scheduling.Outcome, attemptResult) {
	outcome := scheduling.Outcome{ID: call.Request.ID, Server: decision.Server}
	server, ok := f.directory.Server(decision.Server)
	if !ok {
		err := verdict.Refused(verdict.CodeNoServer, "server %s is no longer configured", decision.Server)
		outcome.Verdict, outcome.Err = verdict.NotRun, err
		return outcome, attemptResult{err: err, retryable: true}
	}
	call.Priority = decision.Priority
	call.Request.ID = request.ID(fmt.Sprintf("%s.%d", call.Request.ID, number))
	f.attempts.Add(1)
	start := f.now()
	result := sendOnce(server, call)
	outcome.Duration = f.now().Sub(start)
	outcome.FirstToken = result.firstToken
	outcome.Tokens = result.tokens
	outcome.Err = result.err
	outcome.Verdict = verdict.Ran
	if result.err != nil {
		outcome.Verdict = verdict.Of(result.err)
		outcome.ServerLeaving = engine.IsLeaving(result.err)
	}
	return outcome, result
}

// mayRetry reports whether another attempt is allowed: only if the request is proved not to
// have run or is idempotent, only before the deadline, and never after a part of the answer
// was delivered.
func (f *Forwarder) mayRetry(ctx context.Context, r request.Request, failure *verdict.Error, result attemptResult) bool {
	if !result.retryable || ctx.Err() != nil {
		return false
	}
	if !f.now().Before(r.Deadline) || failure.Code == verdict.CodeCanceled {
		return false
	}
	return failure.Verdict == verdict.NotRun || r.Idempotent
}

// retryRefused adds the refusal of a retry to the failure of the attempts. The verdict
// remains that of the attempts, because the refusal proves nothing about them.
func retryRefused(failure *verdict.Error, refusal error) *verdict.Error {
	merged := *failure
	var e *verdict.Error
	if errors.As(refusal, &e) {
		merged.RetryAfter = e.RetryAfter
		merged.Message = fmt.Sprintf("%s; not retried: %s", failure.Message, e.Message)
	}
	return &merged
}

// verdictError returns the error to report for err, always with a verdict. If the deadline
// or the caller's cancellation ended the request, the error has the code for that, and err is
// its underlying error. If a *verdict.Error canceled ctx, it is that error.
func (f *Forwarder) verdictError(ctx context.Context, err error) *verdict.Error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.Unclear(verdict.CodeInternal, err, "the request failed")
	}
	var canceledBy *verdict.Error
	if errors.As(context.Cause(ctx), &canceledBy) {
		return canceledBy.With(e.Verdict)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && e.Code != verdict.CodeDeadlineExpired:
		return &verdict.Error{Verdict: e.Verdict, Code: verdict.CodeDeadlineExpired, Message: "the deadline passed before the whole answer was there", Err: err}
	case errors.Is(ctx.Err(), context.Canceled):
		return &verdict.Error{Verdict: e.Verdict, Code: verdict.CodeCanceled, Message: "the caller canceled the request", Err: err}
	}
	return e
}

// callerRequestID returns the ID of the request to which a run belongs: the ID of the run
// without the attempt number.
func callerRequestID(id request.ID) request.ID {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return id[:i]
	}
	return id
}
