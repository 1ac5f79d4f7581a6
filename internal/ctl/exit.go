// Package ctl implements limpethubctl, the command-line tool with which operators check and
// change a site's configuration, read the site's state and drain instances. It calls the
// operators' listener of an entry instance through package operatorapi. docs/CLI.md is its
// user documentation.
package ctl

import (
	"errors"

	"limpethub/internal/operatorapi"
	"limpethub/internal/strictjson"
)

// ExitCode is the exit status of the tool.
type ExitCode int

// Exit codes. Scripts depend on them and docs/CLI.md lists them, so a code must not change
// its number or meaning.
const (
	// ExitOK means success.
	ExitOK ExitCode = 0
	// ExitFailure means a failure that has no code of its own.
	ExitFailure ExitCode = 1
	// ExitUsage means that the command line or the tool's own settings are wrong.
	ExitUsage ExitCode = 2
	// ExitInvalid means that a site's configuration or a settings file of limpethubd is not
	// valid, or that config check --strict has warnings.
	ExitInvalid ExitCode = 3
	// ExitConflict means that a change was not made from the revision in force, usually
	// because another change was accepted first. Nothing was changed.
	ExitConflict ExitCode = 4
	// ExitUnreachable means that the instance did not answer, or that it can't serve the
	// call now. The configuration is unchanged; a drain whose answer was lost may have
	// started.
	ExitUnreachable ExitCode = 5
	// ExitUnclear means that a change of configuration may or may not have taken effect.
	ExitUnclear ExitCode = 6
	// ExitUnauthorized means that the call carried no valid operator credentials.
	ExitUnauthorized ExitCode = 7
	// ExitNotFound means that no model, adapter or instance has the given name, or that
	// the site has no configuration yet.
	ExitNotFound ExitCode = 8
)

// usageError means that the command line or the tool's own settings are wrong.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func exitCodeOf(err error) ExitCode {
	var (
		usage       *usageError
		problems    strictjson.Problems
		invalid     *operatorapi.InvalidError
		warnings    *warningsError
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
	case errors.As(err, &problems), errors.As(err, &invalid), errors.As(err, &warnings):
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
