package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/verdict"
)

// run is the state of one run of a request: its execution on one server.
type run struct {
	server engine.Server
	call   engine.Call
	sink   Sink
	start  time.Time
	// delivered is how many events the sink received, and so the next expected offset.
	delivered  int
	firstToken time.Duration
}

// streamOnce makes one attempt, which is one run on the server. If the stream breaks, it
// resumes the same run on a new connection.
func (f *Forwarder) streamOnce(ctx context.Context, server engine.Server, call engine.Call, sink Sink) attemptResult {
	r := &run{server: server, call: call, sink: sink, start: f.now()}
	err := f.generateAndResume(ctx, r)
	if err != nil && verdict.Of(err) != verdict.NotRun {
		f.cancelRun(r)
	}
	return attemptResult{err: err, firstToken: r.firstToken, tokens: r.delivered, retryable: r.delivered == 0}
}

func (f *Forwarder) generateAndResume(ctx context.Context, r *run) error {
	stream, err := f.plane.Generate(ctx, r.server, r.call)
	if err == nil {
		err = f.copyEvents(stream, r)
	}
	for tries := 0; tries < maxResumes && r.resumable(ctx, err); tries++ {
		f.logger.WithFields(logrus.Fields{"request": r.call.Request.ID, "server": r.server.Name, "offset": r.delivered, "error": err.Error()}).Info("resume")
		stream, resumeErr := f.plane.Resume(ctx, r.server, r.call.Request.ID, r.delivered-1)
		if resumeErr != nil {
			err = f.afterFailedResume(ctx, r, err, resumeErr)
			continue
		}
		err = f.copyEvents(stream, r)
	}
	return r.finalError(err)
}

// afterFailedResume returns the error to continue with after a failed resume. It returns
// resumeErr if that is final or says that the run took place. Otherwise resumeErr proves
// nothing about the run: afterFailedResume waits for resumeDelay and returns streamErr, so that
// resumable allows another resume. A refusal to resume is final: with it, a server states that
// it never received the request, so that there is no run to resume.
func (f *Forwarder) afterFailedResume(ctx context.Context, r *run, streamErr, resumeErr error) error {
	if verdict.Of(resumeErr) == verdict.Ran || isFinal(resumeErr) {
		return resumeErr
	}
	select {
	case <-ctx.Done():
	case <-time.After(resumeDelay):
	}
	return streamErr
}

// resumable reports whether a broken stream may continue on a new connection. A failure of
// the server ends the run without a resume if the request is idempotent and no event was
// delivered, because another server can run it.
func (r *run) resumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || isSinkError(err) {
		return false
	}
	if verdict.Of(err) == verdict.NotRun || isFinal(err) {
		return false
	}
	return !hasCode(err, verdict.CodeServerFailed) || r.delivered > 0 || !r.call.Request.Idempotent
}

func hasCode(err error, code verdict.Code) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code == code
}

// isFinal reports whether err is a failure that a new connection to the same run can't fix.
func isFinal(err error) bool {
	return hasCode(err, verdict.CodeWrongAnswer) || hasCode(err, verdict.CodeServerRefused) || hasCode(err, verdict.CodeRunUnknown)
}

// finalError returns the error of a run that isn't resumed. If events were delivered, the
// verdict is Ran and the code is CodeStreamCut, or CodeCanceled if the run was canceled.
func (r *run) finalError(err error) error {
	if err == nil || r.delivered == 0 {
		return err
	}
	var e *verdict.Error
	if errors.As(err, &e) && e.Code == verdict.CodeCanceled {
		return e.With(verdict.Ran)
	}
	return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeStreamCut, Message: "the answer broke off and could not be resumed", Err: err}
}

// copyEvents delivers events in order until the end of the stream. A resumed stream may
// repeat events that were delivered; they are skipped. A gap is an error.
func (f *Forwarder) copyEvents(stream engine.Stream, r *run) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if event.End {
			return nil
		}
		if event.Offset < r.delivered {
			continue
		}
		if event.Offset > r.delivered {
			return verdict.Unclear(verdict.CodeStreamCut, nil, "the server skipped from event %d to %d", r.delivered, event.Offset)
		}
		if err := f.deliver(event, r); err != nil {
			return err
		}
	}
}

// deliver passes one event to the sink and reports progress to the dispatcher, with the count 1
// for every event.
func (f *Forwarder) deliver(event engine.Event, r *run) error {
	if r.delivered == 0 {
		r.firstToken = f.now().Sub(r.start)
	}
	if err := r.sink.Event(event); err != nil {
		return &sinkError{err: err}
	}
	r.delivered++
	f.dispatcher.Progress(callerRequestID(r.call.Request.ID), 1)
	return nil
}

// sinkError marks a failure on the caller's side.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "forward: caller gone: " + e.err.Error() }

// Unwrap returns a verdict error with the code canceled, because a caller that can't receive
// the answer ends the request. The verdict is Ran, because the server had begun to answer.
func (e *sinkError) Unwrap() error {
	return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeCanceled, Message: "the caller went away or read too slowly", Err: e.err}
}

func isSinkError(err error) bool {
	var e *sinkError
	return errors.As(err, &e)
}

// cancelRun tells the server to stop a run whose answer is no longer needed. It uses its own
// context, because the request's context may have ended.
func (f *Forwarder) cancelRun(r *run) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := f.plane.Cancel(ctx, r.server, r.call.Request.ID); err != nil {
			f.logger.WithFields(logrus.Fields{"request": r.call.Request.ID, "server": r.server.Name, "error": err.Error()}).Warn("canceling the run on the server failed")
		}
	}()
}
