package gateway

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"limpethub/internal/verdict"
)

// ErrorBody is the JSON body of every failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed and whether the request may have run.
type ErrorDetail struct {
	// Code is stable and documented.
	Code verdict.Code `json:"code"`
	// Message is one sentence for people.
	Message string `json:"message"`
	// Verdict is not-run, may-have-run or ran.
	Verdict verdict.Verdict `json:"verdict"`
	// RetryAfterMillis is when asking again may help, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

var statusByCode = map[verdict.Code]int{
	verdict.CodeBadRequest:          http.StatusBadRequest,
	verdict.CodeUnknownModel:        http.StatusNotFound,
	verdict.CodeUnknownService:      http.StatusNotFound,
	verdict.CodeUnknownClass:        http.StatusBadRequest,
	verdict.CodeTooLarge:            http.StatusRequestEntityTooLarge,
	verdict.CodeDeadlineCannotBeMet: http.StatusServiceUnavailable,
	verdict.CodeDeadlineExpired:     http.StatusGatewayTimeout,
	verdict.CodeQueueFull:           http.StatusTooManyRequests,
	verdict.CodeNoServer:            http.StatusServiceUnavailable,
	verdict.CodeStopping:            http.StatusServiceUnavailable,
	verdict.CodeDuplicate:           http.StatusConflict,
	verdict.CodeCanceled:            statusClientClosedRequest,
	verdict.CodeInternal:            http.StatusInternalServerError,
}

// statusClientClosedRequest is the customary status for a caller that went away.
const statusClientClosedRequest = 499

// asVerdictError gives err the typed form; an untyped one is an internal error.
func asVerdictError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.Unclear(verdict.CodeInternal, err, "the request failed inside the instance")
}

// detail builds the caller's view of a failure.
func detail(e *verdict.Error) ErrorDetail {
	return ErrorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict, RetryAfterMillis: e.RetryAfter.Milliseconds()}
}

// writeError answers a request of which nothing has been sent yet.
func writeError(w http.ResponseWriter, e *verdict.Error) {
	status, ok := statusByCode[e.Code]
	if !ok {
		status = http.StatusBadGateway
	}
	h := w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(e.RetryAfter), 10))
	}
	writeJSON(w, status, ErrorBody{Error: detail(e)})
}

func ceilSeconds(d time.Duration) int64 { return int64(math.Ceil(d.Seconds())) }

// writeJSON sends a JSON answer. An error while writing means that the caller has
// gone; nobody is left to tell.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
