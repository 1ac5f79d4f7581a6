package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
	"limpethub/internal/site"
	"limpethub/internal/sitecheck"
	"limpethub/internal/strictjson"
)

const (
	filesArguments = "BASE [OVERLAY]"
	leastFiles     = 1
	mostFiles      = 2
)

func (t *tool) configCommand() *cobra.Command {
	return group("config", "Check, show and change the site's configuration",
		`Check, show and change the site's configuration: a base file, and an overlay for
the site that is merged into it. docs/CONFIGURATION.md describes both.`,
		t.configCheckCommand(), t.configShowCommand(), t.configDiffCommand(), t.configApplyCommand())
}

// load reads and checks the files on the command line.
func load(files []string) (site.Document, error) {
	overlay := ""
	if len(files) == mostFiles {
		overlay = files[1]
	}
	return sitecheck.Load(files[0], overlay)
}

func (t *tool) configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check " + filesArguments,
		Short: "Check configuration files without an instance",
		Long: `Check configuration files and list everything that is wrong, each with its file,
line, field and mend. No instance is asked. Exit code 3 means that something is wrong.`,
		Example: "  limpethubctl config check examples/rigline/base.json examples/rigline/pnw.json",
		Args:    cobra.RangeArgs(leastFiles, mostFiles),
		RunE: func(_ *cobra.Command, files []string) error {
			doc, err := load(files)
			if err != nil {
				return t.invalid(err)
			}
			return t.print(checkResult{Valid: true}, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s is valid: %s\n", doc.Site, summary(&doc))
				return err
			})
		},
	}
}

// checkResult is the JSON form of a check.
type checkResult struct {
	Valid    bool                `json:"valid"`
	Problems strictjson.Problems `json:"problems,omitempty"`
}

// invalid prints problems as JSON if that is asked for, and passes them on.
func (t *tool) invalid(err error) error {
	var problems strictjson.Problems
	if t.output != outputJSON || !errors.As(err, &problems) {
		return err
	}
	if printErr := t.printJSON(checkResult{Problems: problems}); printErr != nil {
		return printErr
	}
	return err
}

func summary(doc *site.Document) string {
	return fmt.Sprintf("%d models, %d adapters, %d servers, %d services, %d classes",
		len(doc.Models), len(doc.Adapters), len(doc.Servers), len(doc.Services), len(doc.Classes))
}

func (t *tool) configShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the configuration in force",
		Long: `Show the configuration in force, merged, as a file that config apply takes. The
comment at its head names the revision to give to config apply --revision. With
--output json the answer holds the revision as a field.`,
		Example: "  limpethubctl config show > edited.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			accepted, err := client.Configuration(c.Context())
			if err != nil {
				return err
			}
			return t.print(accepted, func(w io.Writer) error { return showDocument(w, accepted) })
		},
	}
}

func showDocument(w io.Writer, accepted site.Accepted) error {
	data, err := json.MarshalIndent(accepted.Document, "", "  ")
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	_, err = fmt.Fprintf(w, "// Revision %d of %s.\n%s\n", accepted.Revision, accepted.Document.Site, data)
	return err
}

// diffResult is the JSON form of a comparison.
type diffResult struct {
	// Revision is the configuration compared with; 0 means that there is none.
	Revision uint64        `json:"revision"`
	Changes  []site.Change `json:"changes"`
}

func (t *tool) configDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff " + filesArguments,
		Short: "Compare files with the configuration in force",
		Long: `Check files, and list by entry and field what applying them would change: "+" for
what is added, "-" for what is removed, "~" for what is changed.`,
		Example: "  limpethubctl config diff base.json site.json",
		Args:    cobra.RangeArgs(leastFiles, mostFiles),
		RunE: func(c *cobra.Command, files []string) error {
			plan, err := t.plan(c.Context(), files)
			if err != nil {
				return err
			}
			return t.print(plan.result(), plan.show)
		},
	}
}

// changePlan is a checked change with what it would change.
type changePlan struct {
	client   *operatorapi.Client
	document site.Document
	current  site.Accepted
	changes  []site.Change
}

// plan checks the files and compares them with the configuration in force.
func (t *tool) plan(ctx context.Context, files []string) (changePlan, error) {
	var p changePlan
	var err error
	if p.document, err = load(files); err != nil {
		return p, t.invalid(err)
	}
	if p.client, err = t.client(); err != nil {
		return p, err
	}
	if p.current, err = currentConfiguration(ctx, p.client); err != nil {
		return p, err
	}
	p.changes, err = site.Diff(&p.current.Document, &p.document)
	return p, err
}

// currentConfiguration returns the configuration in force. A site without one yet has
// revision 0 and an empty document.
func currentConfiguration(ctx context.Context, client *operatorapi.Client) (site.Accepted, error) {
	accepted, err := client.Configuration(ctx)
	var notFound *operatorapi.NotFoundError
	if errors.As(err, &notFound) {
		return site.Accepted{}, nil
	}
	return accepted, err
}

func (p changePlan) result() diffResult {
	return diffResult{Revision: p.current.Revision, Changes: append([]site.Change{}, p.changes...)}
}

func (p changePlan) show(w io.Writer) error {
	for _, change := range p.changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d changes to revision %d\n", len(p.changes), p.current.Revision)
	return err
}

func (t *tool) settingsCommand() *cobra.Command {
	return group("settings", "Check settings files of daemons", "Check settings files of daemons. No instance is asked.", t.settingsCheckCommand())
}
