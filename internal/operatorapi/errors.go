package operatorapi

import (
	"errors"
	"fmt"

	"limpethub/internal/strictjson"
)

// Code names the cause of a failed call.
type Code string

// Codes of failed calls.
const (
	CodeBadRequest   Code = "bad_request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not_found"
	CodeConflict     Code = "conflict"
	CodeInvalid      Code = "invalid_configuration"
	CodeUnavailable  Code = "unavailable"
	CodeUnclear      Code = "unclear"
	CodeInternal     Code = "internal_error"
)

// ErrUnauthorized means that the call showed no operator's key.
var ErrUnauthorized = errors.New("operatorapi: no operator's key was shown, or it isn't valid")

// ConflictError means that another change was accepted since the one that this
// change was edited from.
type ConflictError struct {
	// BaseRevision is what the change was edited from.
	BaseRevision uint64
	// CurrentRevision is the one in force.
	CurrentRevision uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force, but the change was edited from revision %d", e.CurrentRevision, e.BaseRevision)
}

// NotFoundError means that nothing has the name.
type NotFoundError struct {
	// Kind is what was looked for, as in "model".
	Kind string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// InvalidError means that a configuration failed its checks.
type InvalidError struct {
	Problems strictjson.Problems
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "the configuration is not valid:\n" + e.Problems.Error()
}

// UnavailableError means that the call can't be served now, as in an outage of the
// key-value service, and that it had no effect.
type UnavailableError struct {
	Reason string
}

// Error implements error.
func (e *UnavailableError) Error() string { return e.Reason }

// UnclearError means that a change may or may not have taken effect. Sending it again
// with the same change id settles it.
type UnclearError struct {
	Reason string
}

// Error implements error.
func (e *UnclearError) Error() string { return e.Reason }

// errorBody is the JSON form of a failed call.
type errorBody struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// BaseRevision and CurrentRevision are set for CodeConflict.
	BaseRevision    uint64 `json:"base_revision,omitempty"`
	CurrentRevision uint64 `json:"current_revision,omitempty"`
	// Kind and Name are set for CodeNotFound.
	Kind string `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Problems is set for CodeInvalid.
	Problems strictjson.Problems `json:"problems,omitempty"`
}

// bodyOf turns an error into its JSON form.
func bodyOf(err error) errorBody {
	body := errorBody{Code: CodeInternal, Message: err.Error()}
	var (
		conflict    *ConflictError
		notFound    *NotFoundError
		invalid     *InvalidError
		unavailable *UnavailableError
		unclear     *UnclearError
		badRequest  *badRequestError
	)
	switch {
	case errors.As(err, &conflict):
		body.Code = CodeConflict
		body.BaseRevision, body.CurrentRevision = conflict.BaseRevision, conflict.CurrentRevision
	case errors.As(err, &notFound):
		body.Code = CodeNotFound
		body.Kind, body.Name = notFound.Kind, notFound.Name
	case errors.As(err, &invalid):
		body.Code = CodeInvalid
		body.Problems = invalid.Problems
	case errors.As(err, &unavailable):
		body.Code = CodeUnavailable
	case errors.As(err, &unclear):
		body.Code = CodeUnclear
	case errors.As(err, &badRequest):
		body.Code = CodeBadRequest
	case errors.Is(err, ErrUnauthorized):
		body.Code = CodeUnauthorized
	}
	return body
}

// err turns the JSON form back into an error.
func (b errorBody) err() error {
	switch b.Code {
	case CodeConflict:
		return &ConflictError{BaseRevision: b.BaseRevision, CurrentRevision: b.CurrentRevision}
	case CodeNotFound:
		return &NotFoundError{Kind: b.Kind, Name: b.Name}
	case CodeInvalid:
		return &InvalidError{Problems: b.Problems}
	case CodeUnavailable:
		return &UnavailableError{Reason: b.Message}
	case CodeUnclear:
		return &UnclearError{Reason: b.Message}
	case CodeUnauthorized:
		return ErrUnauthorized
	default:
		return fmt.Errorf("operatorapi: %s: %s", b.Code, b.Message)
	}
}

// badRequestError means that a call could not be understood.
type badRequestError struct{ reason string }

func (e *badRequestError) Error() string { return e.reason }
