// Package ctl is limpethubctl, the operators' command-line tool. docs/CLI.md
// describes it for people.
package ctl

import (
	"errors"

	"limpethub/internal/operatorapi"
	"limpethub/internal/strictjson"
)

// ExitCode is the exit status of the tool.
type ExitCode int

// Exit codes. They are stable and documented in docs/CLI.md.
const (
	// ExitOK means done.
	ExitOK ExitCode = 0
	// ExitFailure means a failure that has no code of its own.
	ExitFailure ExitCode = 1
	// ExitUsage means that the command line or the tool's own settings are wrong.
	ExitUsage ExitCode = 2
	// ExitInvalid means that a configuration or a settings file failed its checks.
	ExitInvalid ExitCode = 3
	// ExitConflict means that another change was accepted first.
	ExitConflict ExitCode = 4
	// ExitUnreachable means that no instance answered, or that it can't serve the call
	// now. Nothing was changed.
	ExitUnreachable ExitCode = 5
	// ExitUnclear means that a change may or may not have taken effect.
	ExitUnclear ExitCode = 6
	// ExitUnauthorized means that no operator's key was shown, or not a valid one.
	ExitUnauthorized ExitCode = 7
	// ExitNotFound means that nothing has the name that was given.
	ExitNotFound ExitCode = 8
)

// usageError means that the command line or the tool's own settings are wrong.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// exitCodeOf maps an error to its exit code.
func exitCodeOf(err error) ExitCode {
	var (
		usage       *usageError
		problems    strictjson.Problems
		invalid     *operatorapi.InvalidError
		conflict    *operatorapi.ConflictError
		unreachable *operatorapi.UnreachableError
		unavailable *operatorapi.UnavailableError
		unclear     *operatorapi.UnclearError
		notFound    *operatorapi.NotFoundError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems), errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unclear):
		return ExitUnclear
	case errors.As(err, &unreachable), errors.As(err, &unavailable):
		return ExitUnreachable
	case errors.Is(err, operatorapi.ErrUnauthorized):
		return ExitUnauthorized
	case errors.As(err, &notFound):
		return ExitNotFound
	default:
		return ExitFailure
	}
}
