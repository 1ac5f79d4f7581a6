package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// answer writes the answer of a completion to the caller: as a stream of events, or as one
// JSON body.
type answer interface {
	// Event takes the next event of the run. An error means that the event is invalid or
	// that the caller doesn't receive it.
	Event(event engine.Event) error
	// Finish completes the answer of a run that succeeded.
	Finish()
	// Fail ends the answer of a failed run with the failure e.
	Fail(e *verdict.Error)
	// FirstEvent returns the time of the first event. Without events, it is the time of
	// Finish for a streamed answer that was finished, and zero for all others.
	FirstEvent() time.Time
}

func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	release, failure := g.acquireSlot()
	if failure != nil {
		writeError(w, failure)
		return
	}
	defer release()
	body, call, failure := g.completionCall(w, r)
	if failure != nil {
		g.refuse(w, call.Request, failure)
		return
	}
	w.Header().Set(request.HeaderID, string(call.Request.ID))
	var out answer = newWholeAnswer(w, call.Path, body.Model, call.Request.ID)
	if body.Stream {
		out = newStreamAnswer(w, call.Request.ID, g.options.Limits)
	}
	g.serve(r, call, out)
}

// completionCall builds the call to a server from the caller's HTTP request.
func (g *Gateway) completionCall(w http.ResponseWriter, r *http.Request) (completionBody, engine.Call, *verdict.Error) {
	var call engine.Call
	accepted, failure := g.configuration(r.Context())
	if failure != nil {
		return completionBody{}, call, failure
	}
	raw, failure := g.readBody(w, r)
	if failure != nil {
		return completionBody{}, call, failure
	}
	body, failure := parseCompletion(raw)
	if failure != nil {
		return body, call, failure
	}
	req, failure := g.modelRequest(r, &accepted.Document, body)
	call = engine.Call{Request: req, Method: http.MethodPost, Path: r.URL.Path, Header: forwardedHeaders(r.Header), Body: raw}
	return body, call, failure
}

// notReady returns the refusal of an instance without a configuration. Its code is the one
// of an instance that is stopping; only the message tells the two apart.
func notReady() *verdict.Error {
	refusal := verdict.Refused(verdict.CodeStopping, "the instance has no configuration yet; use another one")
	refusal.RetryAfter = time.Second
	return refusal
}

// serve runs the request, ends the answer and records the outcome.
func (g *Gateway) serve(r *http.Request, call engine.Call, out answer) {
	err := g.runClaimed(r, call, func(ctx context.Context, uniqueCall engine.Call) error {
		return g.options.Forwarder.Stream(ctx, uniqueCall, out)
	})
	if err == nil {
		out.Finish()
	} else {
		out.Fail(asVerdictError(err))
	}
	g.recordEnd(call.Request, err, out.FirstEvent())
}

// runClaimed calls run. For a non-idempotent request it first begins a claim, and ends it with
// the verdict of the run. It gives the call a request ID that is unique in the instance, since
// callers may use one ID for several requests. Package forward and package dispatch log the
// unique ID; the claim and recordEnd use the caller's ID.
func (g *Gateway) runClaimed(r *http.Request, call engine.Call, run func(context.Context, engine.Call) error) error {
	uniqueCall := call
	uniqueCall.Request.ID = request.ID(fmt.Sprintf("%s~%s-%d", call.Request.ID, g.options.Instance, g.sequence.Add(1)))
	if call.Request.Idempotent {
		return run(r.Context(), uniqueCall)
	}
	claim, err := g.options.Repeats.Begin(r.Context(), call.Request, r.Header.Get(request.HeaderFirstInstance))
	if err != nil {
		return err
	}
	err = run(r.Context(), uniqueCall)
	if err == nil {
		claim.End(verdict.Ran)
	} else {
		claim.End(verdict.Of(err))
	}
	return err
}

// refuse answers a request that was not run and records the outcome.
func (g *Gateway) refuse(w http.ResponseWriter, req request.Request, failure *verdict.Error) {
	writeError(w, failure)
	g.recordEnd(req, failure, time.Time{})
}

// recordEnd logs a failure, under the caller's request ID, and passes the outcome of a
// request to the observer. Package explain doesn't take this log line for the end of the
// request: it looks for the line "Ended", which package platform logs.
func (g *Gateway) recordEnd(req request.Request, err error, firstEvent time.Time) {
	now := g.options.Now()
	end := RequestOutcome{Class: g.className(req.Class), Verdict: verdict.Ran}
	if !req.Arrived.IsZero() {
		end.Duration = now.Sub(req.Arrived)
		end.InTime = err == nil && !now.After(req.Deadline)
	}
	if !firstEvent.IsZero() {
		end.FirstEvent = firstEvent.Sub(req.Arrived)
	}
	if err != nil {
		failure := asVerdictError(err)
		end.Code, end.Verdict = failure.Code, failure.Verdict
		g.options.Logger.WithFields(failureFields(req, failure)).Info("request failed")
	}
	if g.options.Observer != nil {
		g.options.Observer.ObserveRequest(end)
	}
}

func failureFields(req request.Request, failure *verdict.Error) map[string]any {
	return map[string]any{
		"request": req.ID, "model": req.Model, "service": req.Service, "class": req.Class,
		"code": failure.Code, "verdict": failure.Verdict.String(), "error": failure.Error(),
	}
}

func (g *Gateway) className(class int) string {
	accepted, ok := g.options.Configuration.Current()
	if !ok || class < 0 || class >= len(accepted.Document.Classes) {
		return ""
	}
	return accepted.Document.Classes[class].Name
}

// forwardedHeaders returns the headers that are forwarded to a backend server.
// Idempotency-Key is left out: net/http retries a request with this header on its own.
func forwardedHeaders(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "Traceparent"} {
		if values := in.Values(name); len(values) > 0 {
			out[name] = append([]string(nil), values...)
		}
	}
	return out
}
