// Package forward carries requests to backend servers: it dispatches, streams,
// resumes on a new connection, retries what may be retried, and ends each request
// exactly once with a verdict.
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
	// maxResumes is how often one run is resumed before it is reported cut.
	maxResumes = 3
	// cancelTimeout bounds the cancel order to a server.
	cancelTimeout = 2 * time.Second
	// resumePause is the wait between two tries to resume.
	resumePause = 50 * time.Millisecond
)

// Directory finds a server's address by its name.
type Directory interface {
	Server(name string) (engine.Server, bool)
}

// Options are the parts that a Forwarder works with.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Plane      engine.DataPlane
	Directory  Directory
	Logger     *logrus.Entry
	Now        func() time.Time
}

// Forwarder carries requests to backend servers.
type Forwarder struct {
	dispatcher *dispatch.Dispatcher
	plane      engine.DataPlane
	directory  Directory
	logger     *logrus.Entry
	now        func() time.Time
	attempts   atomic.Uint64
}

// New makes a Forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{
		dispatcher: options.Dispatcher,
		plane:      options.Plane,
		directory:  options.Directory,
		logger:     options.Logger,
		now:        options.Now,
	}
}

// Attempts is how many attempts were sent to servers.
func (f *Forwarder) Attempts() uint64 { return f.attempts.Load() }

// Stream runs a model request and delivers its events to sink. It returns nil when
// the whole answer was delivered; any other end is an error with a verdict.
func (f *Forwarder) Stream(ctx context.Context, call engine.Call, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	return f.attemptUntilEnd(ctx, call, func(server engine.Server, attempt engine.Call) attemptResult {
		return f.streamOnce(ctx, server, attempt, sink)
	})
}

// Invoke runs a call of a plain service.
func (f *Forwarder) Invoke(ctx context.Context, call engine.Call) (engine.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	var response engine.Response
	err := f.attemptUntilEnd(ctx, call, func(server engine.Server, attempt engine.Call) attemptResult {
		got, err := f.plane.Invoke(ctx, server, attempt)
		response = got
		return attemptResult{err: err, repeatable: true}
	})
	return response, err
}

// attemptResult says how one attempt ended.
type attemptResult struct {
	err        error
	firstToken time.Duration
	tokens     int
	// repeatable is false once a part of the answer has reached the caller.
	repeatable bool
}

// attemptUntilEnd admits the request and makes attempts until one ends it. The verdict of a
// failure covers all attempts, not just the last one.
func (f *Forwarder) attemptUntilEnd(ctx context.Context, call engine.Call, attempt func(engine.Server, engine.Call) attemptResult) error {
	decision, err := f.dispatcher.Admit(ctx, call.Request)
	if err != nil {
		return f.explainEnd(ctx, err)
	}
	overall := verdict.NotRun
	for number := 1; ; number++ {
		outcome, result := f.attempt(call, decision, number, attempt)
		f.dispatcher.Finish(outcome)
		if result.err == nil {
			return nil
		}
		overall = verdict.Combine(overall, outcome.Verdict)
		failure := f.explainEnd(ctx, result.err).With(overall)
		if !f.mayRetry(ctx, call.Request, failure, result) {
			return failure
		}
		f.logger.WithFields(logrus.Fields{"request": call.Request.ID, "server": decision.Server, "verdict": overall.String(), "error": failure.Error()}).Info("retry")
		decision, err = f.dispatcher.Retry(ctx, call.Request, outcome)
		if err != nil {
			return retryRefused(failure, err)
		}
	}
}

func (f *Forwarder) attempt(call engine.Call, decision scheduling.Decision, number int, attempt func(engine.Server, engine.Call) attemptResult) (scheduling.Outcome, attemptResult) {
	outcome := scheduling.Outcome{ID: call.Request.ID, Server: decision.Server}
	server, ok := f.directory.Server(decision.Server)
	if !ok {
		err := verdict.Refused(verdict.CodeNoServer, "server %s is no longer configured", decision.Server)
		outcome.Verdict, outcome.Err = verdict.NotRun, err
		return outcome, attemptResult{err: err, repeatable: true}
	}
	call.Priority = decision.Priority
	call.Request.ID = request.ID(fmt.Sprintf("%s.%d", call.Request.ID, number))
	f.attempts.Add(1)
	start := f.now()
	result := attempt(server, call)
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

// mayRetry applies the rule: only what was proved not run or is idempotent, only
// within the deadline, and never after a part of the answer was delivered.
func (f *Forwarder) mayRetry(ctx context.Context, r request.Request, failure *verdict.Error, result attemptResult) bool {
	if !result.repeatable || ctx.Err() != nil {
		return false
	}
	if !f.now().Before(r.Deadline) || failure.Code == verdict.CodeCanceled {
		return false
	}
	return failure.Verdict == verdict.NotRun || r.Idempotent
}

// retryRefused merges the failure of the attempts with the refusal to retry. The
// verdict is that of the attempts: the refusal proves nothing about them.
func retryRefused(failure *verdict.Error, refusal error) *verdict.Error {
	merged := *failure
	var e *verdict.Error
	if errors.As(refusal, &e) {
		merged.RetryAfter = e.RetryAfter
		merged.Message = fmt.Sprintf("%s; not retried: %s", failure.Message, e.Message)
	}
	return &merged
}

// explainEnd gives every failure its verdict, and the deadline or the caller's
// departure as the cause where that ended it.
func (f *Forwarder) explainEnd(ctx context.Context, err error) *verdict.Error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.Unclear(verdict.CodeInternal, err, "the request failed")
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && e.Code != verdict.CodeDeadlineExpired:
		return &verdict.Error{Verdict: e.Verdict, Code: verdict.CodeDeadlineExpired, Message: "the deadline passed before the whole answer was there", Err: err}
	case errors.Is(ctx.Err(), context.Canceled):
		return &verdict.Error{Verdict: e.Verdict, Code: verdict.CodeCanceled, Message: "the caller canceled the request", Err: err}
	}
	return e
}

// callerRequestID strips the attempt number from a run's id.
func callerRequestID(id request.ID) request.ID {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return id[:i]
	}
	return id
}
