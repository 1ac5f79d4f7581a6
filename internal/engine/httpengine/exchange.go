package httpengine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/httpanswer"
	"limpethub/internal/verdict"
)

// Headers of the engine protocol (docs/ENGINES.md). Servers of other versions read and
// write them, so they may not change.
const (
	// HeaderRequestID carries the request's id. The server repeats it in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderModel carries the version to run, as name@version. It takes precedence over
	// the model in the body.
	HeaderModel = "X-Model"
	// HeaderPriority carries the priority; 0 is the most urgent.
	HeaderPriority = "X-Priority"
	// HeaderDeadline carries the time left until the deadline, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is in an answer when the server states that it didn't run the request;
	// its value is an engine.RefusalReason.
	HeaderNotRun = "X-Not-Run"
	// HeaderLastEventID carries the id of the last event that the client received.
	HeaderLastEventID = "Last-Event-ID"
)

// oneShotBody hides the type of its reader, so that net/http can neither rewind the body nor
// treat an empty one as no body, which would make a GET request replayable. net/http then never
// resends the request on its own.
type oneShotBody struct{ reader io.Reader }

func (b *oneShotBody) Read(p []byte) (int, error) { return b.reader.Read(p) }
func (b *oneShotBody) Close() error               { return nil }

// newRequest builds a request that net/http doesn't consider replayable, whatever its
// method: it always has a body, and no GetBody.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, verdict.Refused(verdict.CodeBadRequest, "the request can't be formed: %v", err)
	}
	r.Body = &oneShotBody{reader: bytes.NewReader(body)}
	r.ContentLength = int64(len(body))
	r.GetBody = nil
	return r, nil
}

// forwardedHeaders copies the caller's headers without the ones in droppedHeaders.
func forwardedHeaders(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		to = http.Header{}
	}
	for _, name := range droppedHeaders {
		to.Del(name)
	}
	return to
}

// droppedHeaders are the caller's headers that aren't forwarded to servers: headers that make
// net/http resend a request (Idempotency-Key), headers of a single connection or message, and
// Last-Event-ID, which only Resume sends. newCallRequest replaces the request's id and priority,
// but a caller's X-Model or X-Deadline-Ms is forwarded if the call has no model or deadline.
var droppedHeaders = []string{
	"Idempotency-Key", "X-Idempotency-Key", "Connection", "Keep-Alive", "Proxy-Connection",
	"Transfer-Encoding", "Te", "Trailer", "Upgrade", "Expect", "Content-Length", "Host",
	HeaderLastEventID,
}

// exchange sends a request once and returns the head of the answer. Its errors carry a
// verdict.
func exchange(rt http.RoundTripper, r *http.Request) (*http.Response, error) {
	tracker := &sendTracker{}
	answer, err := rt.RoundTrip(r.WithContext(tracker.trace(r.Context())))
	if err != nil {
		return nil, transportError(r.Context(), tracker.sealIfNotRun(), err)
	}
	if err := httpanswer.CheckStatus(answer.StatusCode); err != nil {
		_ = answer.Body.Close()
		return nil, transportError(r.Context(), false, err)
	}
	if conn := tracker.connection(); conn != nil && httpanswer.IsUnframed(answer) {
		answer.Body = &unframedBody{ReadCloser: answer.Body, conn: conn}
	}
	if reason := answer.Header.Get(HeaderNotRun); reason != "" && answer.StatusCode >= http.StatusBadRequest {
		return nil, refusalError(r, answer, reason)
	}
	return answer, nil
}

// transportError returns the error of a failed round trip with its verdict and code.
func transportError(ctx context.Context, notRun bool, cause error) *verdict.Error {
	e := verdict.Unclear(verdict.CodeServerFailed, cause, "the server's connection failed before its answer")
	if notRun {
		// verdict.Unclear sets MayHaveRun, but a request that wasn't handed over didn't run.
		e = verdict.Unclear(verdict.CodeServerFailed, cause, "the request was not handed to the server")
		e.Verdict = verdict.NotRun
	}
	switch reason := context.Cause(ctx); {
	case errors.Is(reason, errSilent):
		e.Code = verdict.CodeServerSilent
	case errors.Is(reason, context.DeadlineExceeded):
		e.Code = verdict.CodeDeadlineExpired
	case reason != nil:
		e.Code = verdict.CodeCanceled
	}
	return e
}

// refusalError returns the error for an answer with HeaderNotRun. An answer that doesn't
// repeat the request's id proves nothing, because it may belong to another request.
func refusalError(r *http.Request, answer *http.Response, reason string) error {
	if answer.Header.Get(HeaderRequestID) != r.Header.Get(HeaderRequestID) {
		_ = answer.Body.Close()
		return verdict.Unclear(verdict.CodeWrongAnswer, nil, "the server refused a request without naming it")
	}
	discard(answer)
	cause := &engine.RefusalError{Reason: engine.RefusalReason(reason)}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		cause.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.CodeServerRefused,
		Message:    "the server refused the request before running it",
		RetryAfter: cause.RetryAfter,
		Err:        cause,
	}
}

// maxDiscardBytes limits how much of an unread answer is read so that its connection can be
// reused. It also limits the small JSON answers: the state of a request and the refusal of an
// order.
const maxDiscardBytes = 16 << 10

// discard reads the rest of an answer, so that its connection can be reused, and closes it.
func discard(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxDiscardBytes)
	_ = answer.Body.Close()
}
