package httpengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// runAnswer is the body of GET /v1/requests/{id}.
type runAnswer struct {
	State engine.RunState `json:"state"`
}

// Generate implements engine.DataPlane.
func (e *Engine) Generate(ctx context.Context, server engine.Server, call engine.Call) (engine.Stream, error) {
	ctx, guard := newWatchdog(ctx, e.SilentAfter)
	r, err := e.callRequest(ctx, server, call)
	if err != nil {
		guard.stop()
		return nil, err
	}
	r.Header.Set("Accept", "text/event-stream")
	return openStream(ctx, guard, e.work, r, call.Request.ID, 0, checkHead)
}

// Resume implements engine.DataPlane.
func (e *Engine) Resume(ctx context.Context, server engine.Server, id request.ID, after int) (engine.Stream, error) {
	ctx, guard := newWatchdog(ctx, e.SilentAfter)
	r, err := newRequest(ctx, http.MethodGet, e.requestURL(server, id)+"/stream", nil)
	if err != nil {
		guard.stop()
		return nil, err
	}
	if after >= 0 {
		r.Header.Set(HeaderLastEventID, string(id)+"/"+strconv.Itoa(after))
	}
	s, err := openStream(ctx, guard, e.fresh, r, id, after+1, checkResumedHead)
	if err != nil {
		return nil, unclear(err)
	}
	return s, nil
}

// headCheck judges the head of an answer to the request with the id.
type headCheck func(answer *http.Response, id request.ID) error

// openStream sends a request whose answer is a stream that starts at offset next.
func openStream(ctx context.Context, guard *watchdog, rt http.RoundTripper, r *http.Request, id request.ID, next int, check headCheck) (engine.Stream, error) {
	answer, err := exchange(rt, r)
	if err != nil {
		guard.stop()
		return nil, err
	}
	guard.alive()
	if err := check(answer, id); err != nil {
		_ = answer.Body.Close()
		guard.stop()
		return nil, err
	}
	return newStream(ctx, guard, answer, id, next), nil
}

// checkHead refuses an answer that is a failure or somebody else's.
func checkHead(answer *http.Response, id request.ID) error {
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != string(id) {
		return verdict.Unclear(verdict.CodeWrongAnswer, nil, "the server answered another request")
	}
	if answer.StatusCode != http.StatusOK {
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered with status %d", answer.StatusCode)
	}
	return nil
}

// checkResumedHead is checkHead for a question about a run. A server that doesn't
// know the run may have known it before a restart, so this proves nothing.
func checkResumedHead(answer *http.Response, id request.ID) error {
	if answer.StatusCode == http.StatusNotFound {
		return verdict.Unclear(verdict.CodeRunUnknown, nil, "the server doesn't know the run")
	}
	return checkHead(answer, id)
}

// unclear turns the verdict of a question about an earlier request into that of
// the request: a question that wasn't asked proves nothing about the request.
func unclear(err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		copied := *e
		copied.Verdict = verdict.MayHaveRun
		return &copied
	}
	return err
}

// State implements engine.DataPlane.
func (e *Engine) State(ctx context.Context, server engine.Server, id request.ID) (engine.RunState, error) {
	r, err := newRequest(ctx, http.MethodGet, e.requestURL(server, id), nil)
	if err != nil {
		return "", unclear(err)
	}
	answer, err := exchange(e.fresh, r)
	if err != nil {
		return "", unclear(err)
	}
	defer discard(answer)
	if err := checkHead(answer, id); err != nil {
		return "", err
	}
	var run runAnswer
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxDiscardBytes)).Decode(&run); err != nil {
		return "", verdict.Unclear(verdict.CodeServerFailed, err, "the server's account of the request can't be read")
	}
	return run.State, nil
}

// Cancel implements engine.DataPlane.
func (e *Engine) Cancel(ctx context.Context, server engine.Server, id request.ID) error {
	r, err := newRequest(ctx, http.MethodDelete, e.requestURL(server, id), nil)
	if err != nil {
		return unclear(err)
	}
	answer, err := exchange(e.fresh, r)
	if err != nil {
		return unclear(err)
	}
	discard(answer)
	if answer.StatusCode >= http.StatusMultipleChoices {
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered the cancel with status %d", answer.StatusCode)
	}
	return nil
}

// Invoke implements engine.DataPlane.
func (e *Engine) Invoke(ctx context.Context, server engine.Server, call engine.Call) (engine.Response, error) {
	r, err := e.callRequest(ctx, server, call)
	if err != nil {
		return engine.Response{}, err
	}
	answer, err := exchange(e.work, r)
	if err != nil {
		return engine.Response{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != string(call.Request.ID) {
		return engine.Response{}, verdict.Unclear(verdict.CodeWrongAnswer, nil, "the server answered another request")
	}
	body, err := readAll(answer.Body, e.MaxBodyBytes)
	if err != nil {
		return engine.Response{}, bodyCut(ctx, err)
	}
	return engine.Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

// bodyCut is the failure of an answer whose head came and whose body didn't.
func bodyCut(ctx context.Context, cause error) error {
	code := verdict.CodeStreamCut
	if reason := context.Cause(ctx); errors.Is(reason, context.DeadlineExceeded) {
		code = verdict.CodeDeadlineExpired
	} else if reason != nil {
		code = verdict.CodeCanceled
	}
	return verdict.Unclear(code, cause, "the server's answer ended before it was whole")
}

func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("httpengine: answer is larger than %d bytes", limit)
	}
	return data, nil
}

// callRequest builds the HTTP request of a call.
func (e *Engine) callRequest(ctx context.Context, server engine.Server, call engine.Call) (*http.Request, error) {
	r, err := newRequest(ctx, call.Method, e.scheme+"://"+server.Address+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	r.Header = passedHeaders(call.Header)
	r.Header.Set(HeaderRequestID, string(call.Request.ID))
	if call.Request.Model != "" {
		r.Header.Set(HeaderModel, string(call.Request.Model))
	}
	r.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if !call.Request.Deadline.IsZero() {
		left := max(0, time.Until(call.Request.Deadline).Milliseconds())
		r.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return r, nil
}

func (e *Engine) requestURL(server engine.Server, id request.ID) string {
	return e.scheme + "://" + server.Address + "/v1/requests/" + url.PathEscape(string(id))
}
