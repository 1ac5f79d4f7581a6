package forward

import (
	"context"
	"errors"

	"limpethub/internal/crashwatch"
	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

// admit waits until the request may go to a server, and then for a server.
func (r *Relay) admit(ctx context.Context, relayed *relayedRequest) (scheduling.Decision, error) {
	for {
		if err := relayed.waitForGuard(); err != nil {
			return scheduling.Decision{}, err
		}
		decision, err := r.admitWhileDirect(ctx, relayed)
		if err != nil || relayed.ticket == nil || decision.Action == scheduling.PassOn || relayed.ticket.MaySend() {
			return decision, err
		}
		// The request or a part of its prompt has become suspected while it waited for the server.
		r.options.Dispatcher.Finish(unsentOutcome(relayed, decision))
	}
}

// retry asks for another attempt like admit. The attempt that it releases if the request has become
// suspected doesn't count.
func (r *Relay) retry(ctx context.Context, relayed *relayedRequest, last scheduling.Outcome) (scheduling.Decision, error) {
	if err := relayed.waitForGuard(); err != nil {
		return scheduling.Decision{}, err
	}
	waitCtx, release := r.whileDirect(ctx, relayed)
	decision, err := r.options.Dispatcher.Retry(waitCtx, relayed.call.Request, last)
	err = notDirectError(ctx, waitCtx, err)
	release()
	if err != nil || relayed.ticket == nil || decision.Action == scheduling.PassOn || relayed.ticket.MaySend() {
		return decision, err
	}
	r.options.Dispatcher.Finish(unsentOutcome(relayed, decision))
	return r.admit(ctx, relayed)
}

// waitForGuard waits until the request may go to a server.
func (relayed *relayedRequest) waitForGuard() error {
	if relayed.ticket == nil {
		return nil
	}
	err := relayed.ticket.Wait()
	relayed.call.Request.Suspect = relayed.ticket.Suspect()
	return err
}

// errNotSent is the cause of an attempt that was released before anything was sent.
var errNotSent = verdict.Refused(verdict.CodeCanceled, "nothing was sent, since the request has become suspected")

func unsentOutcome(relayed *relayedRequest, decision scheduling.Decision) scheduling.Outcome {
	return scheduling.Outcome{ID: relayed.call.Request.ID, Server: decision.Server, Verdict: verdict.NotRun, Err: errNotSent, Unsent: true}
}

// brokenAnswerError marks the error of an answer that broke off or never came, although the request
// was sent.
type brokenAnswerError struct{ err error }

func (e *brokenAnswerError) Error() string { return e.err.Error() }

func (e *brokenAnswerError) Unwrap() error { return e.err }

// startRun tells the crash watch that an attempt begins. It returns nil if there is no watch.
func (r *Relay) startRun(server engine.Server, request *request.Request) *crashwatch.Run {
	if r.options.Crashes == nil {
		return nil
	}
	return r.options.Crashes.Start(server, request)
}

// answerBegun tells the crash watch and the guard that an event or a whole answer has arrived.
func (relayed *relayedRequest) answerBegun(run *crashwatch.Run) {
	if run != nil {
		run.Event()
	}
	if relayed.ticket != nil {
		relayed.ticket.AnswerBegun()
	}
}

// endRun tells the crash watch how an attempt ended.
func (r *Relay) endRun(ctx context.Context, relayed *relayedRequest, run *crashwatch.Run, err error) {
	if run == nil {
		return
	}
	var broken *brokenAnswerError
	switch {
	case err == nil:
		run.Complete()
	case ctx.Err() == nil && errors.As(err, &broken):
		relayed.awaitCause(ctx, run.Break())
	default:
		run.Leave()
	}
}

// awaitCause waits until it is known whether the server of a broken answer has ended, if the request
// may be the cause: the next attempt depends on it.
func (relayed *relayedRequest) awaitCause(ctx context.Context, known <-chan struct{}) {
	if relayed.ticket == nil || !relayed.ticket.MayBeCause() {
		return
	}
	select {
	case <-known:
	case <-ctx.Done():
	}
}
