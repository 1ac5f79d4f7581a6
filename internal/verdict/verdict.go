// Package verdict says, for every request that failed, whether it may have run.
//
// The rule is one-sided: NotRun is claimed only with proof. Everything else is
// MayHaveRun, which is why that is the zero value.
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

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the wire form of the verdict.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return names[MayHaveRun]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown word is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Combine gives the verdict on a request that was attempted more than once: NotRun
// only if every attempt was NotRun, and Ran as soon as one attempt ran.
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

// Codes of failures that callers see.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnknownModel    Code = "unknown_model"
	CodeUnknownService  Code = "unknown_service"
	CodeUnknownClass    Code = "unknown_class"
	CodeTooLarge        Code = "request_too_large"
	CodeCannotMeet      Code = "deadline_cannot_be_met"
	CodeDeadlineExpired Code = "deadline_expired"
	CodeQueueFull       Code = "queue_full"
	CodeNoServer        Code = "no_server"
	CodeStopping        Code = "instance_stopping"
	CodeServerRefused   Code = "server_refused"
	CodeRunUnknown      Code = "run_unknown"
	CodeServerFailed    Code = "server_failed"
	CodeServerSilent    Code = "server_silent"
	CodeStreamCut       Code = "stream_cut"
	CodeWrongAnswer     Code = "wrong_answer"
	CodeDuplicate       Code = "duplicate_request"
	CodeCanceled        Code = "canceled"
	CodeInternal        Code = "internal_error"
)

// Error is a failed request with its verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code names the cause.
	Code Code
	// Message is one sentence for people.
	Message string
	// RetryAfter is when asking again may help; zero means unknown.
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

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries. An error without one is MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// Refused builds a NotRun error for a request that never left this instance.
func Refused(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Stopping makes the error of a request that a stopping instance doesn't take.
func Stopping(retryAfter time.Duration) *Error {
	e := Refused(CodeStopping, "the instance stops; another one takes the request")
	e.RetryAfter = retryAfter
	return e
}

// Unclear builds a MayHaveRun error.
func Unclear(code Code, cause error, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Code: code, Message: fmt.Sprintf(format, args...), Err: cause}
}
