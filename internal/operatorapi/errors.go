package operatorapi

import (
	"errors"
	"fmt"

	"limpethub/internal/strictjson"
)

// Code names the cause of a failed call in the JSON error body.
type Code string

// Codes of failed calls. Clients of other versions match them, so the values may not change.
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

// ErrUnauthorized means that the call had no valid credentials of an operator. Its text says
// "key" for both kinds of credentials, certificates and tokens.
var ErrUnauthorized = errors.New("operatorapi: no operator's key was shown, or it isn't valid")

// ConflictError means that a change was edited from a revision that is no longer in force,
// because another change was accepted in the meantime. The change had no effect.
type ConflictError struct {
	// BaseRevision is the revision that the change was edited from.
	BaseRevision    uint64
	CurrentRevision uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force, but the change was edited from revision %d", e.CurrentRevision, e.BaseRevision)
}

// NotFoundError means that nothing of the given kind has the given name.
type NotFoundError struct {
	// Kind is the kind of object, such as "model".
	Kind string
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// InvalidError means that a configuration failed validation.
type InvalidError struct {
	Problems strictjson.Problems
}

func (e *InvalidError) Error() string {
	return "the configuration is not valid:\n" + e.Problems.Error()
}

// UnavailableError means that the call can't be served now, for example because the
// key-value store is unreachable, and that it had no effect.
type UnavailableError struct {
	Reason string
}

func (e *UnavailableError) Error() string { return e.Reason }

// UnclearError means that a change may or may not have taken effect. It is safe to send it
// again with the same change ID; the answer then tells the outcome.
type UnclearError struct {
	Reason string
}

func (e *UnclearError) Error() string { return e.Reason }

// errorBody is the JSON body of a failed call. Clients of other versions read it.
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

// newErrorBody converts an error to its JSON form. An error of an unknown type becomes
// CodeInternal.
func newErrorBody(err error) errorBody {
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

// toError converts the JSON form back to the exported error of its code. Codes without one,
// such as CodeBadRequest, give a plain error.
func (b errorBody) toError() error {
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

// badRequestError means that the instance couldn't parse a call.
type badRequestError struct{ reason string }

func (e *badRequestError) Error() string { return e.reason }
