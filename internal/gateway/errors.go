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

// ErrorBody is the JSON body of every failed request. It is part of the callers' interface
// and may not change; the same holds for the statuses in statusByCode.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why a request failed and whether it may have run.
type ErrorDetail struct {
	// Code names the cause. Callers may match it.
	Code verdict.Code `json:"code"`
	// Message describes the failure in one sentence, for people.
	Message string `json:"message"`
	// Verdict is not-run, may-have-run or ran.
	Verdict verdict.Verdict `json:"verdict"`
	// RetryAfterMillis is the delay after which sending again may succeed, in
	// milliseconds; 0 means unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// statusByCode maps codes to HTTP statuses. All other codes, which are failures of backend
// servers, give 502.
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

// statusClientClosedRequest is the status customarily logged for a caller that disconnected
// before the answer. net/http has no name for it.
const statusClientClosedRequest = 499

// asVerdictError returns the *verdict.Error in the chain of err. Any other error becomes an
// internal error whose verdict is may-have-run.
func asVerdictError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.Unclear(verdict.CodeInternal, err, "the request failed inside the instance")
}

// errorDetail returns what the caller is told about a failure.
func errorDetail(e *verdict.Error) ErrorDetail {
	return ErrorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict, RetryAfterMillis: e.RetryAfter.Milliseconds()}
}

// writeError answers a failed request. The header of the answer must not have been sent.
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
	writeJSON(w, status, ErrorBody{Error: errorDetail(e)})
}

func ceilSeconds(d time.Duration) int64 { return int64(math.Ceil(d.Seconds())) }

// writeJSON sends a JSON answer. It ignores write errors: they mean that the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
