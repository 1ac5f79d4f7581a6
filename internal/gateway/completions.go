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

// answer is an answer on its way to the caller, streamed or whole.
type answer interface {
	Event(event engine.Event) error
	// Finish ends a whole answer.
	Finish()
	// Fail ends an answer that broke off.
	Fail(e *verdict.Error)
	// FirstEvent is when the first event was delivered; zero if none was.
	FirstEvent() time.Time
}

func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	leave, failure := g.enter()
	if failure != nil {
		writeError(w, failure)
		return
	}
	defer leave()
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

// completionCall builds the call from the caller's HTTP request.
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
	call = engine.Call{Request: req, Method: http.MethodPost, Path: r.URL.Path, Header: passedHeaders(r.Header), Body: raw}
	return body, call, failure
}

func notReady() *verdict.Error {
	refusal := verdict.Refused(verdict.CodeStopping, "the instance has no configuration yet; use another one")
	refusal.RetryAfter = time.Second
	return refusal
}

// serve runs the request, ends the answer and notes how it went.
func (g *Gateway) serve(r *http.Request, call engine.Call, out answer) {
	err := g.once(r, call, func(ctx context.Context, unique engine.Call) error {
		return g.options.Forwarder.Stream(ctx, unique, out)
	})
	if err == nil {
		out.Finish()
	} else {
		out.Fail(asVerdictError(err))
	}
	g.observe(call.Request, err, out.FirstEvent())
}

// once runs a call under a claim if it must not run twice. Inside the instance the
// request gets an id of its own, since callers may use one id for several requests.
func (g *Gateway) once(r *http.Request, call engine.Call, run func(context.Context, engine.Call) error) error {
	unique := call
	unique.Request.ID = request.ID(fmt.Sprintf("%s~%s-%d", call.Request.ID, g.options.Instance, g.sequence.Add(1)))
	if call.Request.Idempotent {
		return run(r.Context(), unique)
	}
	claim, err := g.options.Repeats.Begin(r.Context(), call.Request, r.Header.Get(request.HeaderFirstInstance))
	if err != nil {
		return err
	}
	err = run(r.Context(), unique)
	if err == nil {
		claim.End(verdict.Ran)
	} else {
		claim.End(verdict.Of(err))
	}
	return err
}

func (g *Gateway) refuse(w http.ResponseWriter, req request.Request, failure *verdict.Error) {
	writeError(w, failure)
	g.observe(req, failure, time.Time{})
}

// observe counts and logs the end of a request.
func (g *Gateway) observe(req request.Request, err error, firstEvent time.Time) {
	now := g.options.Now()
	end := RequestEnd{Class: g.className(req.Class), Verdict: verdict.Ran}
	if !req.Arrived.IsZero() {
		end.Duration = now.Sub(req.Arrived)
		end.InTime = err == nil && !now.After(req.Deadline)
	}
	if !firstEvent.IsZero() {
		end.FirstToken = firstEvent.Sub(req.Arrived)
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

// passedHeaders keeps the headers that may go to a backend server. Idempotency-Key
// stays out: net/http would take it as leave to send the request again by itself.
func passedHeaders(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "Traceparent"} {
		if values := in.Values(name); len(values) > 0 {
			out[name] = append([]string(nil), values...)
		}
	}
	return out
}
