package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
	"limpethub/internal/site"
	"limpethub/internal/sitecheck"
	"limpethub/internal/strictjson"
)

const (
	filesUsage = "BASE [OVERLAY]"
	minFiles   = 1
	maxFiles   = 2
)

func (t *tool) configCommand() *cobra.Command {
	return commandGroup("config", "Check, show and change the site's configuration",
		`Check, show and change the site's configuration: a base file, and an overlay for
the site that is merged into it. docs/CONFIGURATION.md describes both.`,
		t.configCheckCommand(), t.configShowCommand(), t.configDiffCommand(), t.configApplyCommand())
}

// loadDocument reads and checks the files on the command line: a base file and an optional
// overlay.
func loadDocument(files []string) (site.Document, error) {
	return sitecheck.Load(files[0], overlayOf(files))
}

// overlayOf returns the overlay of the files on the command line; empty if there is none.
func overlayOf(files []string) string {
	if len(files) < maxFiles {
		return ""
	}
	return files[1]
}

// checkOptions are the flags of config check.
type checkOptions struct {
	strict  bool
	inForce bool
	against string
}

func (t *tool) configCheckCommand() *cobra.Command {
	var options checkOptions
	c := &cobra.Command{
		Use:   "check " + filesUsage,
		Short: "Check configuration files without an instance",
		Long: `Check configuration files and list every problem, each with its file, line, field and
correction. Errors are what an instance refuses; exit code 3 means that there are some.
Warnings are what is probably a mistake: entries without effect, names that nothing has, and
limits that contradict each other. With warnings alone the exit code is 0, or 3 with --strict.

No instance is called, unless --in-force asks for the differences from the configuration in
force. --against lists those from another file.`,
		Example: `  limpethubctl config check examples/rigline/base.json examples/rigline/pnw.json
  limpethubctl config check edited.json --strict --in-force`,
		Args: cobra.RangeArgs(minFiles, maxFiles),
		RunE: func(c *cobra.Command, files []string) error {
			return t.checkFiles(c.Context(), files, options)
		},
	}
	c.Flags().BoolVar(&options.strict, "strict", false, "fail with exit code 3 if there are warnings")
	c.Flags().BoolVar(&options.inForce, "in-force", false, "list the differences from the configuration in force")
	c.Flags().StringVar(&options.against, "against", "", "list the differences from another file")
	c.MarkFlagsMutuallyExclusive("in-force", "against")
	return c
}

func (t *tool) checkFiles(ctx context.Context, files []string, options checkOptions) error {
	doc, err := loadDocument(files)
	if err != nil {
		return t.reportInvalid(err)
	}
	result := checkResult{Valid: true, Warnings: site.LoadAdvice(files[0], overlayOf(files))}
	if result.Differences, err = t.differences(ctx, &doc, options); err != nil {
		return err
	}
	if err := t.print(result, func(w io.Writer) error { return result.show(w, &doc) }); err != nil {
		return err
	}
	if options.strict && len(result.Warnings) > 0 {
		return &warningsError{count: len(result.Warnings)}
	}
	return nil
}

// differences compares a document with what the options name; nil if they name nothing.
func (t *tool) differences(ctx context.Context, doc *site.Document, options checkOptions) (*diffResult, error) {
	var before site.Accepted
	switch {
	case options.against != "":
		var err error
		if before.Document, err = sitecheck.Load(options.against, ""); err != nil {
			return nil, t.reportInvalid(err)
		}
	case options.inForce:
		client, err := t.client()
		if err != nil {
			return nil, err
		}
		if before, err = currentConfiguration(ctx, client); err != nil {
			return nil, err
		}
	default:
		return nil, nil
	}
	changes, err := site.Diff(&before.Document, doc)
	return &diffResult{Revision: before.Revision, Changes: append([]site.Change{}, changes...)}, err
}

// warningsError means that files have warnings, which --strict doesn't allow.
type warningsError struct{ count int }

func (e *warningsError) Error() string {
	return fmt.Sprintf("warnings found: %d, and --strict allows none", e.count)
}

// checkResult is the JSON output of config check. The other commands that check files (config
// diff, config apply and settings check) print it only if the files are not valid.
type checkResult struct {
	Valid    bool                `json:"valid"`
	Problems strictjson.Problems `json:"problems,omitempty"`
	// Warnings and Differences are only those of config check.
	Warnings    strictjson.Problems `json:"warnings,omitempty"`
	Differences *diffResult         `json:"differences,omitempty"`
}

func (r *checkResult) show(w io.Writer, doc *site.Document) error {
	var lines []string
	for _, warning := range r.Warnings {
		lines = append(lines, "warning: "+warning.String())
	}
	if r.Differences != nil {
		for _, change := range r.Differences.Changes {
			lines = append(lines, change.String())
		}
		lines = append(lines, fmt.Sprintf("%d changes", len(r.Differences.Changes)))
	}
	valid := "valid"
	if len(r.Warnings) > 0 {
		valid = fmt.Sprintf("valid, with %d warnings", len(r.Warnings))
	}
	lines = append(lines, fmt.Sprintf("%s is %s: %s", doc.Site, valid, summary(doc)))
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

// reportInvalid returns err. With --output json it first prints the problems as JSON.
func (t *tool) reportInvalid(err error) error {
	var problems strictjson.Problems
	if t.output != outputJSON || !errors.As(err, &problems) {
		return err
	}
	if printErr := t.printJSON(checkResult{Problems: problems}); printErr != nil {
		return printErr
	}
	return err
}

// summary counts the elements of a configuration. Its services are those that the document
// defines, not the backend servers of kind service.
func summary(doc *site.Document) string {
	return fmt.Sprintf("%d models, %d adapters, %d servers, %d services, %d classes",
		len(doc.Models), len(doc.Adapters), len(doc.Servers), len(doc.Services), len(doc.Classes))
}

func (t *tool) configShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the configuration in force",
		Long: `Show the configuration in force, with its overlay merged in, as a file that config
apply accepts. The comment on the first line names the revision to give to config
apply --revision. With --output json, the revision is a field of the output.`,
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
		return fmt.Errorf("encode the configuration as JSON: %w", err)
	}
	_, err = fmt.Fprintf(w, "// Revision %d of %s.\n%s\n", accepted.Revision, accepted.Document.Site, data)
	return err
}

// diffResult is the JSON output of config diff.
type diffResult struct {
	// Revision is the revision that the files are compared with; 0 means that the site has
	// no configuration yet.
	Revision uint64        `json:"revision"`
	Changes  []site.Change `json:"changes"`
}

func (t *tool) configDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff " + filesUsage,
		Short: "Compare files with the configuration in force",
		Long: `Check files, and list what applying them would change, one line for each change: "+"
marks what is added, "-" what is removed, and "~" what is changed.`,
		Example: "  limpethubctl config diff base.json site.json",
		Args:    cobra.RangeArgs(minFiles, maxFiles),
		RunE: func(c *cobra.Command, files []string) error {
			plan, err := t.plan(c.Context(), files)
			if err != nil {
				return err
			}
			return t.print(plan.result(), plan.show)
		},
	}
}

// changePlan is a checked configuration that is not applied yet, with its differences from the
// configuration in force.
type changePlan struct {
	client   *operatorapi.Client
	document site.Document
	current  site.Accepted
	changes  []site.Change
}

// plan checks the files and compares them with the configuration in force. With --output json
// it prints the problems of files that are not valid.
func (t *tool) plan(ctx context.Context, files []string) (changePlan, error) {
	var p changePlan
	var err error
	if p.document, err = loadDocument(files); err != nil {
		return p, t.reportInvalid(err)
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

// currentConfiguration returns the configuration in force. A site that has none yet gives
// revision 0 and an empty document.
func currentConfiguration(ctx context.Context, client *operatorapi.Client) (site.Accepted, error) {
	accepted, err := client.Configuration(ctx)
	var notFound *operatorapi.NotFoundError
	if errors.As(err, &notFound) {
		return site.Accepted{}, nil
	}
	return accepted, err
}

// result copies the changes into a list that is never nil, so that JSON shows no changes as [].
func (p changePlan) result() diffResult {
	return diffResult{Revision: p.current.Revision, Changes: append([]site.Change{}, p.changes...)}
}

func (p changePlan) show(w io.Writer) error {
	for _, change := range p.changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d changes from revision %d\n", len(p.changes), p.current.Revision)
	return err
}

func (t *tool) settingsCommand() *cobra.Command {
	return commandGroup("settings", "Check settings files of limpethubd", "Check settings files of limpethubd, not of limpethubctl. No instance is called.", t.settingsCheckCommand())
}
