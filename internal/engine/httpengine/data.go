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

// runStateAnswer is the body of the answer to GET /v1/requests/{id}.
type runStateAnswer struct {
	State engine.RunState `json:"state"`
}

func (e *Engine) Generate(ctx context.Context, server engine.Server, call engine.Call) (engine.Stream, error) {
	ctx, watchdog := newWatchdog(ctx, e.SilentAfter)
	r, err := e.newCallRequest(ctx, server, call)
	if err != nil {
		watchdog.stop()
		return nil, err
	}
	r.Header.Set("Accept", "text/event-stream")
	return openStream(ctx, watchdog, e.dataPool, r, call.Request.ID, 0, checkHead)
}

func (e *Engine) Resume(ctx context.Context, server engine.Server, id request.ID, lastOffset int) (engine.Stream, error) {
	ctx, watchdog := newWatchdog(ctx, e.SilentAfter)
	r, err := newRequest(ctx, http.MethodGet, e.requestURL(server, id)+"/stream", nil)
	if err != nil {
		watchdog.stop()
		return nil, err
	}
	if lastOffset >= 0 {
		r.Header.Set(HeaderLastEventID, string(id)+"/"+strconv.Itoa(lastOffset))
	}
	s, err := openStream(ctx, watchdog, e.unpooled, r, id, lastOffset+1, checkResumedHead)
	if err != nil {
		return nil, asMayHaveRun(err)
	}
	return s, nil
}

// headCheck checks the status and headers of an answer to the request with the id.
type headCheck func(answer *http.Response, id request.ID) error

// openStream sends a request whose answer is a stream that starts at offset nextOffset.
func openStream(ctx context.Context, watchdog *watchdog, rt http.RoundTripper, r *http.Request, id request.ID, nextOffset int, check headCheck) (engine.Stream, error) {
	answer, err := exchange(rt, r)
	if err != nil {
		watchdog.stop()
		return nil, err
	}
	watchdog.reset()
	if err := check(answer, id); err != nil {
		_ = answer.Body.Close()
		watchdog.stop()
		return nil, err
	}
	return newStream(ctx, watchdog, answer, id, nextOffset), nil
}

// checkHead returns an error if the answer belongs to another request or is a failure. A
// server may omit the request's id from its answer; only a refusal must carry it (see
// refusalError).
func checkHead(answer *http.Response, id request.ID) error {
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != string(id) {
		return verdict.Unclear(verdict.CodeWrongAnswer, nil, "the server answered another request")
	}
	if answer.StatusCode != http.StatusOK {
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered with status %d", answer.StatusCode)
	}
	return nil
}

// checkResumedHead is checkHead for a request that resumes a run. A server that has no record
// of the run answers with status 404. This doesn't prove that the run never happened: the
// server may have lost its record in a restart.
func checkResumedHead(answer *http.Response, id request.ID) error {
	if answer.StatusCode == http.StatusNotFound {
		return verdict.Unclear(verdict.CodeRunUnknown, nil, "the server doesn't know the run")
	}
	return checkHead(answer, id)
}

// asMayHaveRun sets the verdict of an error to MayHaveRun. It is for errors of a query about
// an earlier request. If the query wasn't sent, its own verdict is NotRun, but the earlier
// request may still have run.
func asMayHaveRun(err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		copied := *e
		copied.Verdict = verdict.MayHaveRun
		return &copied
	}
	return err
}

// State implements engine.DataPlane. A server that has no record of the request answers with
// status 200 and the state engine.RunUnknown, so a 404 is an ordinary failure here.
func (e *Engine) State(ctx context.Context, server engine.Server, id request.ID) (engine.RunState, error) {
	r, err := newRequest(ctx, http.MethodGet, e.requestURL(server, id), nil)
	if err != nil {
		return "", asMayHaveRun(err)
	}
	answer, err := exchange(e.unpooled, r)
	if err != nil {
		return "", asMayHaveRun(err)
	}
	defer discard(answer)
	if err := checkHead(answer, id); err != nil {
		return "", err
	}
	var run runStateAnswer
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxDiscardBytes)).Decode(&run); err != nil {
		return "", verdict.Unclear(verdict.CodeServerFailed, err, "the server's account of the request can't be read")
	}
	return run.State, nil
}

func (e *Engine) Cancel(ctx context.Context, server engine.Server, id request.ID) error {
	r, err := newRequest(ctx, http.MethodDelete, e.requestURL(server, id), nil)
	if err != nil {
		return asMayHaveRun(err)
	}
	answer, err := exchange(e.unpooled, r)
	if err != nil {
		return asMayHaveRun(err)
	}
	discard(answer)
	if answer.StatusCode >= http.StatusMultipleChoices {
		return verdict.Unclear(verdict.CodeServerFailed, nil, "the server answered the cancel with status %d", answer.StatusCode)
	}
	return nil
}

func (e *Engine) Invoke(ctx context.Context, server engine.Server, call engine.Call) (engine.Response, error) {
	r, err := e.newCallRequest(ctx, server, call)
	if err != nil {
		return engine.Response{}, err
	}
	answer, err := exchange(e.dataPool, r)
	if err != nil {
		return engine.Response{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	// As in checkHead, the server may omit the id.
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != string(call.Request.ID) {
		return engine.Response{}, verdict.Unclear(verdict.CodeWrongAnswer, nil, "the server answered another request")
	}
	body, err := readAll(answer.Body, e.MaxBodyBytes)
	if err != nil {
		return engine.Response{}, bodyError(ctx, err)
	}
	return engine.Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

// bodyError is the error of an answer whose head arrived but whose body is truncated, or larger
// than MaxBodyBytes.
func bodyError(ctx context.Context, cause error) error {
	code := verdict.CodeStreamCut
	if reason := context.Cause(ctx); errors.Is(reason, context.DeadlineExceeded) {
		code = verdict.CodeDeadlineExpired
	} else if reason != nil {
		code = verdict.CodeCanceled
	}
	return verdict.Unclear(code, cause, "the server's answer ended before it was whole")
}

// readAll reads a body of at most limit bytes.
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

// newCallRequest builds the HTTP request of a call. The deadline is sent as the time left,
// so that it doesn't depend on the server's clock.
func (e *Engine) newCallRequest(ctx context.Context, server engine.Server, call engine.Call) (*http.Request, error) {
	r, err := newRequest(ctx, call.Method, e.scheme+"://"+server.Address+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	r.Header = forwardedHeaders(call.Header)
	r.Header.Set(HeaderRequestID, string(call.Request.ID))
	if call.Request.Model != "" {
		r.Header.Set(HeaderModel, string(call.Request.Model))
	}
	r.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if !call.Request.Deadline.IsZero() {
		remainingMillis := max(0, time.Until(call.Request.Deadline).Milliseconds())
		r.Header.Set(HeaderDeadline, strconv.FormatInt(remainingMillis, 10))
	}
	return r, nil
}

func (e *Engine) requestURL(server engine.Server, id request.ID) string {
	return e.scheme + "://" + server.Address + "/v1/requests/" + url.PathEscape(string(id))
}
