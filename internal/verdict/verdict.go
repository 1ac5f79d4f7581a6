// Package verdict classifies failed requests, for callers and for retries, by whether a
// backend server may have executed them.
//
// NotRun needs proof that no server executed the request, and Ran needs proof that one did.
// Without either, the verdict is MayHaveRun, the zero value.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether a backend server may have executed a request.
type Verdict uint8

const (
	// MayHaveRun means that execution can be neither proved nor ruled out.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server executed the request or ever will.
	NotRun
	// Ran means that a backend server is known to have executed the request.
	Ran
)

// Header is the HTTP header that carries the verdict to callers.
const Header = "Limpethub-Verdict"

var wireNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the wire form of the verdict.
func (v Verdict) String() string {
	if int(v) < len(wireNames) {
		return wireNames[v]
	}
	return wireNames[MayHaveRun]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Text that is not the wire form of a
// verdict is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range wireNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Combine returns the verdict on a request that was attempted more than once: Ran if any
// attempt ran, NotRun only if every attempt was NotRun, and otherwise MayHaveRun.
func Combine(a, b Verdict) Verdict {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	}
	return MayHaveRun
}

// Code names the cause of a failed request. Codes are stable and documented for callers.
type Code string

// Codes of failures. The verdict tells whether the request may have run; a code has no fixed
// verdict.
const (
	CodeBadRequest Code = "bad_request"
	// CodeUnknownModel, CodeUnknownService and CodeUnknownClass mean that the configuration
	// has no such model, service or class.
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeUnknownClass   Code = "unknown_class"
	// CodeTooLarge means that the request is larger than the limit.
	CodeTooLarge Code = "request_too_large"
	// CodeDeadlineCannotBeMet means that the request can't be answered by its deadline.
	CodeDeadlineCannotBeMet Code = "deadline_cannot_be_met"
	// CodeDeadlineExpired means that the deadline passed before the answer was complete.
	CodeDeadlineExpired Code = "deadline_expired"
	// CodeQueueFull means that this instance holds as many requests as it may: in total, of a
	// class, or in its record of non-idempotent requests.
	CodeQueueFull Code = "queue_full"
	// CodeCallersMemory means that what callers have sent takes as much memory as it may.
	CodeCallersMemory Code = "callers_memory"
	// CodeNoServer means that no server can take the request.
	CodeNoServer Code = "no_server"
	// CodeServersPaused means that every server that could run the request has asked this
	// instance to send nothing for a while.
	CodeServersPaused Code = "servers_paused"
	// CodeServersLimited means that every server that could run the request has named a limit, and
	// gets as many requests as that allows.
	CodeServersLimited Code = "servers_limited"
	CodeStopping       Code = "instance_stopping"
	// CodePromptQuarantined means that a part of the prompt crashes servers, so that no server
	// gets the request for a while.
	CodePromptQuarantined Code = "prompt_quarantined"
	// CodeVersionUnavailable means that a stream can't go on: no server can take it that has the software
	// version which began it, or that version isn't known. The caller may begin anew.
	CodeVersionUnavailable Code = "version_unavailable"
	// CodeRequestQuarantined means that the request crashes servers each time that it comes, so that no
	// server gets it for a while.
	CodeRequestQuarantined Code = "request_quarantined"
	// CodeCutOff means that this instance reaches no server, and none that does has taken the request.
	CodeCutOff Code = "cut_off"
	// CodePeerBusy means that an instance that was to help another one has no room for its request.
	CodePeerBusy Code = "peer_busy"
	// CodeNoConnection means that no connection to the server is open, and none could be opened.
	CodeNoConnection Code = "no_connection"
	// CodeServerRefused means that a server states that it didn't run the request.
	CodeServerRefused Code = "server_refused"
	// CodeRunUnknown means that a server doesn't know the run that was to be resumed.
	CodeRunUnknown Code = "run_unknown"
	// CodeServerFailed means that a server could not be reached, gave no usable answer or
	// answered with a failure.
	CodeServerFailed Code = "server_failed"
	// CodeServerSilent means that a server sent nothing for too long.
	CodeServerSilent Code = "server_silent"
	// CodeStreamCut means that a stream broke off or left out events.
	CodeStreamCut Code = "stream_cut"
	// CodeWrongAnswer means that a server sent an answer or an event that belongs to another
	// request, or that doesn't say to which request it belongs.
	CodeWrongAnswer Code = "wrong_answer"
	// CodeDuplicate means that the request ID was used before, by an attempt that is in
	// progress, has ended or may have run.
	CodeDuplicate Code = "duplicate_request"
	// CodeUnauthorized means that the caller presented no key, or one that the configuration in force
	// doesn't have.
	CodeUnauthorized Code = "unauthorized"
	// CodeStaleConfiguration means that this instance can't prove that its configuration is the newest, so that a
	// key may have been revoked, or that it knows of a newer one, which may judge the request otherwise.
	CodeStaleConfiguration Code = "stale_configuration"
	// CodeOverQuota means that the workspace has used up its limit.
	CodeOverQuota Code = "over_quota"
	// CodeCanceled means that the caller canceled the request or disconnected.
	CodeCanceled Code = "canceled"
	// CodeInternal means that the failure has no known cause.
	CodeInternal Code = "internal_error"
)

// Error is the failure of a request, with its verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code names the cause.
	Code Code
	// Message describes the failure. It may join several statements with semicolons.
	Message string
	// RetryAfter is the delay after which sending again may succeed; zero means unknown.
	RetryAfter time.Duration
	// Err is the underlying error, if any.
	Err error
}

// With returns a copy of the error with another verdict.
func (e *Error) With(v Verdict) *Error {
	copied := *e
	copied.Verdict = v
	return &copied
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries, or MayHaveRun if it is nil or carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// Refused returns an error with the verdict NotRun, for a request that no server has executed
// or will execute, because it was refused, canceled or not sent.
func Refused(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Stopping returns the error of a request that is refused because this instance is
// stopping.
func Stopping(retryAfter time.Duration) *Error {
	e := Refused(CodeStopping, "the instance stops; another one takes the request")
	e.RetryAfter = retryAfter
	return e
}

// Unclear returns an error with the verdict MayHaveRun, for a failure that doesn't show whether
// a server executed the request. The cause is the underlying error and may be nil.
func Unclear(code Code, cause error, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Code: code, Message: fmt.Sprintf(format, args...), Err: cause}
}
