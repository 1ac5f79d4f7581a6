package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
	"limpethub/internal/pause"
	"limpethub/internal/site"
)

// applyAttempts is the maximum number of times that a change is sent while its outcome is
// unclear. All attempts carry the same change id, so the change is applied at most once.
const applyAttempts = 3

// revisionUnset is the default of --revision. It stands for the revision in force when the
// command starts.
const revisionUnset = -1

func (t *tool) configApplyCommand() *cobra.Command {
	var revision int64
	c := &cobra.Command{
		Use:   "apply " + filesUsage,
		Short: "Apply files as the site's configuration",
		Long: `Check the files, show what they change, and put them in force if the configuration in
force still has the revision that the files were edited from. If it has another
revision, usually because another change was accepted first, nothing is changed: the
exit code is 4, and the message names the revision in force. The default of --revision
is the revision in force when the command starts.

A change whose answer was lost is sent again with the same change id, so that it takes
effect at most once. Exit code 6 means that it may or may not have taken effect.`,
		Example: `  limpethubctl config apply base.json site.json
  limpethubctl config apply edited.json --revision 41`,
		Args: cobra.RangeArgs(minFiles, maxFiles),
		RunE: func(c *cobra.Command, files []string) error {
			return t.apply(c.Context(), files, revision)
		},
	}
	c.Flags().Int64Var(&revision, "revision", revisionUnset, "revision that the files were edited from; 0 for a site's first configuration")
	// DefValue is only what help shows as the default. Help leaves out a default of 0, while
	// it would show revisionUnset, which is not a revision.
	c.Flags().Lookup("revision").DefValue = "0"
	return c
}

func (t *tool) apply(ctx context.Context, files []string, revision int64) error {
	if revision < revisionUnset {
		return &usageError{err: errors.New("--revision must be 0 or above")}
	}
	p, err := t.plan(ctx, files)
	if err != nil {
		return err
	}
	baseRevision := p.current.Revision
	// A revision above the one in force is a conflict too, although no other change was
	// accepted first.
	if revision != revisionUnset && uint64(revision) != baseRevision {
		return &operatorapi.ConflictError{BaseRevision: uint64(revision), CurrentRevision: baseRevision}
	}
	if t.output == outputTable {
		if err := p.show(t.env.Stdout); err != nil {
			return err
		}
	}
	if len(p.changes) == 0 {
		return t.printApplied(p, p.current, "nothing to change")
	}
	accepted, err := t.send(ctx, p.client, operatorapi.ApplyRequest{
		BaseRevision: baseRevision,
		ChangeID:     t.env.NewChangeID(),
		Document:     p.document,
	})
	if err != nil {
		return err
	}
	return t.printApplied(p, accepted, "applied")
}

// applyResult is the JSON output of config apply.
type applyResult struct {
	// Revision is the revision now in force.
	Revision uint64 `json:"revision"`
	// ChangeID is the id of the change that made Revision. If there was nothing to change,
	// that is an earlier change.
	ChangeID string        `json:"change_id"`
	Changes  []site.Change `json:"changes"`
}

func (t *tool) printApplied(p changePlan, inForce site.Accepted, outcome string) error {
	result := applyResult{Revision: inForce.Revision, ChangeID: inForce.ChangeID, Changes: p.result().Changes}
	return t.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: revision %d is in force\n", outcome, inForce.Revision)
		return err
	})
}

// send sends a change until its outcome is clear, at most applyAttempts times. If the outcome
// is still unclear after that, the error is an *operatorapi.UnclearError.
func (t *tool) send(ctx context.Context, client *operatorapi.Client, change operatorapi.ApplyRequest) (site.Accepted, error) {
	for attempt := 1; ; attempt++ {
		accepted, err := client.Apply(ctx, change)
		if !outcomeUnclear(err, attempt) {
			return accepted, err
		}
		if attempt == applyAttempts || !pause.For(ctx, t.env.RetryPause) {
			return accepted, &operatorapi.UnclearError{Reason: fmt.Sprintf(
				"change %s may or may not have taken effect: %v; compare your files with the configuration in force (config diff) before you apply them again", change.ChangeID, err)}
		}
	}
}

// outcomeUnclear reports whether it is unclear if the change took effect. err is the result of
// the attempt with the given number, counted from 1.
func outcomeUnclear(err error, attempt int) bool {
	if err == nil {
		return false
	}
	if attempt > 1 {
		// An earlier attempt may have been applied, whatever error this attempt returned.
		// Even a conflict doesn't rule that out, because another change may have been
		// accepted after ours.
		return true
	}
	var (
		unreachable *operatorapi.UnreachableError
		unclearErr  *operatorapi.UnclearError
	)
	if errors.As(err, &unreachable) {
		return unreachable.Sent
	}
	return errors.As(err, &unclearErr)
}
