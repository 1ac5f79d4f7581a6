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

// applyAttempts is how often a change is sent while its outcome is unclear. It keeps
// its change id, so that it is applied once at the most.
const applyAttempts = 3

// revisionFetched is the default of --revision.
const revisionFetched = -1

func (t *tool) configApplyCommand() *cobra.Command {
	var revision int64
	c := &cobra.Command{
		Use:   "apply " + filesArguments,
		Short: "Put files in force as the site's configuration",
		Long: `Check files, show what they change, and put them in force if the configuration in
force still has the revision that they were edited from. If another operator's change
came first, nothing is changed: exit code 4, and the message names the revision that
is in force. Without --revision it is the one in force when the command starts.

A change whose answer was lost is sent again under the same id, so that it takes
effect once. Exit code 6 means that its outcome is still not known.`,
		Example: `  limpethubctl config apply base.json site.json
  limpethubctl config apply edited.json --revision 41`,
		Args: cobra.RangeArgs(leastFiles, mostFiles),
		RunE: func(c *cobra.Command, files []string) error {
			return t.apply(c.Context(), files, revision)
		},
	}
	c.Flags().Int64Var(&revision, "revision", revisionFetched, "revision that the files were edited from; 0 for a site's first configuration")
	// The default is a mark, not a revision. Help shows no default that is zero.
	c.Flags().Lookup("revision").DefValue = "0"
	return c
}

func (t *tool) apply(ctx context.Context, files []string, revision int64) error {
	if revision < revisionFetched {
		return &usageError{err: errors.New("--revision must not be negative")}
	}
	p, err := t.plan(ctx, files)
	if err != nil {
		return err
	}
	base := p.current.Revision
	if revision != revisionFetched && uint64(revision) != base {
		return &operatorapi.ConflictError{BaseRevision: uint64(revision), CurrentRevision: base}
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
		BaseRevision: base,
		ChangeID:     t.env.NewChangeID(),
		Document:     p.document,
	})
	if err != nil {
		return err
	}
	return t.printApplied(p, accepted, "applied")
}

// applyResult is the JSON form of an applied change.
type applyResult struct {
	// Revision is the configuration now in force.
	Revision uint64        `json:"revision"`
	ChangeID string        `json:"change_id"`
	Changes  []site.Change `json:"changes"`
}

func (t *tool) printApplied(p changePlan, accepted site.Accepted, what string) error {
	result := applyResult{Revision: accepted.Revision, ChangeID: accepted.ChangeID, Changes: p.result().Changes}
	return t.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: revision %d is in force\n", what, accepted.Revision)
		return err
	})
}

// send sends a change until its outcome is known, a few times at the most.
func (t *tool) send(ctx context.Context, client *operatorapi.Client, change operatorapi.ApplyRequest) (site.Accepted, error) {
	for attempt := 1; ; attempt++ {
		accepted, err := client.Apply(ctx, change)
		if !unclear(err, attempt) {
			return accepted, err
		}
		if attempt == applyAttempts || !pause.For(ctx, t.env.RetryPause) {
			return accepted, &operatorapi.UnclearError{Reason: fmt.Sprintf(
				"change %s may or may not have taken effect: %v; see what is in force by config show, then apply again", change.ChangeID, err)}
		}
	}
}

// unclear reports whether a change may have taken effect in spite of the error.
func unclear(err error, attempt int) bool {
	if err == nil {
		return false
	}
	if attempt > 1 {
		// Only a success settles what an earlier attempt left open: even a conflict may
		// be with a change that came after this one had taken effect.
		return true
	}
	var (
		unreachable *operatorapi.UnreachableError
		unknown     *operatorapi.UnclearError
	)
	if errors.As(err, &unreachable) {
		return unreachable.Sent
	}
	return errors.As(err, &unknown)
}
