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
	"limpethub/internal/verdict"
)

// Headers of the engine protocol. See docs/ENGINES.md.
const (
	// HeaderRequestID carries the request's id, and comes back with the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderModel carries the version to run, as name@version; it goes before the body's.
	HeaderModel = "X-Model"
	// HeaderPriority carries the priority, 0 the most urgent.
	HeaderPriority = "X-Priority"
	// HeaderDeadline carries the milliseconds left until the deadline.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is a server's statement that it didn't run the request; its value
	// is an engine.RefusalReason.
	HeaderNotRun = "X-Not-Run"
	// HeaderLastEventID carries the id of the last event received.
	HeaderLastEventID = "Last-Event-ID"
)

// oneShotBody hides the type of its reader, so that net/http can neither rewind
// nor leave out the body, and thus never sends the request again by itself.
type oneShotBody struct{ reader io.Reader }

func (b *oneShotBody) Read(p []byte) (int, error) { return b.reader.Read(p) }
func (b *oneShotBody) Close() error               { return nil }

// newRequest builds a request that net/http doesn't consider replayable, whatever
// its method: it always has a body, without GetBody.
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

// passedHeaders copies the caller's headers that may reach a server. Headers that
// make net/http repeat a request, or that belong to one connection, don't.
func passedHeaders(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		to = http.Header{}
	}
	for _, name := range unpassedHeaders {
		to.Del(name)
	}
	return to
}

var unpassedHeaders = []string{
	"Idempotency-Key", "X-Idempotency-Key", "Connection", "Keep-Alive", "Proxy-Connection",
	"Transfer-Encoding", "Te", "Trailer", "Upgrade", "Expect", "Content-Length", "Host",
	HeaderLastEventID,
}

// exchange sends a request once and returns the head of the answer. Its errors
// carry a verdict.
func exchange(rt http.RoundTripper, r *http.Request) (*http.Response, error) {
	a := &attempt{}
	answer, err := rt.RoundTrip(r.WithContext(a.trace(r.Context())))
	if err != nil {
		return nil, failure(r.Context(), a.notRun(), err)
	}
	if reason := answer.Header.Get(HeaderNotRun); reason != "" && answer.StatusCode >= http.StatusBadRequest {
		return nil, refusal(r, answer, reason)
	}
	return answer, nil
}

// failure gives an error of the transport its verdict.
func failure(ctx context.Context, notRun bool, cause error) *verdict.Error {
	e := verdict.Unclear(verdict.CodeServerFailed, cause, "the server's connection failed before its answer")
	if notRun {
		e = verdict.Unclear(verdict.CodeServerFailed, cause, "the request was not handed to the server")
		e.Verdict = verdict.NotRun
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		e.Code = verdict.CodeServerSilent
	case errors.Is(cause, context.DeadlineExceeded):
		e.Code = verdict.CodeDeadlineExpired
	case cause != nil:
		e.Code = verdict.CodeCanceled
	}
	return e
}

// refusal turns a server's statement that it didn't run a request into an error.
// A statement that doesn't name the request proves nothing.
func refusal(r *http.Request, answer *http.Response, reason string) error {
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

// maxDiscardBytes bounds what is read of an unwanted answer to reuse its connection.
const maxDiscardBytes = 16 << 10

func discard(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxDiscardBytes)
	_ = answer.Body.Close()
}
