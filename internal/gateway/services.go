package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

func (g *Gateway) handleService(w http.ResponseWriter, r *http.Request) {
	release, failure := g.acquireSlot()
	if failure != nil {
		writeError(w, failure)
		return
	}
	defer release()
	call, failure := g.serviceCall(w, r)
	if failure != nil {
		g.refuse(w, call.Request, failure)
		return
	}
	w.Header().Set(request.HeaderID, string(call.Request.ID))
	var response engine.Response
	err := g.runClaimed(r, call, func(ctx context.Context, uniqueCall engine.Call) error {
		var err error
		response, err = g.options.Forwarder.Invoke(ctx, uniqueCall)
		return err
	})
	if err != nil {
		writeError(w, asVerdictError(err))
	} else {
		writeResponse(w, response)
	}
	g.recordEnd(call.Request, err, time.Time{})
}

// serviceCall builds the call to a plain service from the caller's HTTP request.
func (g *Gateway) serviceCall(w http.ResponseWriter, r *http.Request) (engine.Call, *verdict.Error) {
	var call engine.Call
	accepted, failure := g.configuration(r.Context())
	if failure != nil {
		return call, failure
	}
	name := mux.Vars(r)["service"]
	service, ok := accepted.Document.Service(name)
	if !ok {
		return call, verdict.Refused(verdict.CodeUnknownService, "no service %q is configured", name)
	}
	body, failure := g.readBody(w, r)
	if failure != nil {
		return call, failure
	}
	pathAndQuery := strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/"+name)
	class := accepted.Document.ClassIndex(service.Class)
	req, failure := g.commonRequest(r, &accepted.Document, class, idempotentByDefault(service, r.Method, pathAndQuery))
	req.Service = name
	return engine.Call{Request: req, Method: r.Method, Path: pathAndQuery, Header: forwardedHeaders(r.Header), Body: body}, failure
}

// idempotentByDefault reports whether a call is idempotent if the caller doesn't say: by its
// method, or by a path prefix in the configuration of the service. pathAndQuery is the part
// of the URL after the name of the service.
func idempotentByDefault(service site.Service, method, pathAndQuery string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	for _, prefix := range service.IdempotentPaths {
		if strings.HasPrefix(pathAndQuery, prefix) {
			return true
		}
	}
	return false
}

// writeResponse writes the response of a plain service as the answer to the caller.
func writeResponse(w http.ResponseWriter, response engine.Response) {
	h := w.Header()
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
