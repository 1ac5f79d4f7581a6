package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
)

func (t *tool) explainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain MODEL",
		Short: "Show where a model is, why, and what would happen to a request for it now",
		Long: `Show where the copies of a model or adapter are, why each is there, and what the
answering instance would do with a request for it now. MODEL is "name" or
"name@version".`,
		Example:           "  limpethubctl explain appraisal@2",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: t.completeModels,
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			explanation, err := client.Explain(c.Context(), args[0])
			if err != nil {
				return err
			}
			return t.print(explanation, func(w io.Writer) error { return showExplanation(w, explanation) })
		},
	}
	// cobra takes "request" for the subcommand, so a model of this name can be explained only
	// as "request@VERSION".
	c.AddCommand(t.explainRequestCommand())
	return c
}

func showExplanation(w io.Writer, e operatorapi.Explanation) error {
	m := e.Status
	fmt.Fprintf(w, "%s resolves to %s: %d MiB, class %s, %.1f requests/s\n", e.Asked, m.Ref, m.MemoryMB, m.Class, m.RequestsPerSecond)
	if m.Base != "" {
		fmt.Fprintf(w, "It is an adapter for %s.\n", m.Base)
	}
	// Floor is the minimum number of copies; "floor" is its name in the JSON output. The
	// reasons printed below it are those of all placement decisions, not only of the minimum.
	fmt.Fprintf(w, "Minimum copies, kept regardless of demand: %d\n", e.Floor)
	for _, reason := range e.Placement {
		fmt.Fprintf(w, "  %s\n", reason)
	}
	fmt.Fprintln(w)
	if err := copyTable(m.Copies).write(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nA request sent now: %s\n\n", describePreview(e.Request))
	return showCandidates(w, e.Request.Candidates)
}

func copyTable(copies []operatorapi.Copy) *table {
	out := newTable("COPY ON", "FAILURE DOMAIN", "STATE", "REASON")
	for _, c := range copies {
		out.add(c.Server, c.FailureDomain, c.State, c.Reason)
	}
	return out
}

// describePreview describes what the answering instance would do with a request now.
func describePreview(o operatorapi.RequestPreview) string {
	text := o.Action
	if o.Server != "" {
		text += " to " + o.Server
	}
	if o.Code != "" {
		text += " with " + string(o.Code)
	}
	return text + ": " + o.Reason
}

// maxExcluded is how many excluded servers showCandidates lists.
const maxExcluded = 10

// showCandidates lists the servers that could get the request, and the first maxExcluded of
// those that are excluded.
func showCandidates(w io.Writer, candidates []operatorapi.Candidate) error {
	out := newTable("CANDIDATE", "FAILURE DOMAIN", "OUTSTANDING", "PREDICTED", "EXCLUDED")
	excluded := 0
	for _, c := range candidates {
		if c.Excluded != "" {
			excluded++
		}
		if excluded <= maxExcluded || c.Excluded == "" {
			out.add(c.Server, c.FailureDomain, c.Outstanding, formatMillis(c.PredictedMillis), c.Excluded)
		}
	}
	if err := out.write(w); err != nil {
		return err
	}
	if excluded > maxExcluded {
		fmt.Fprintf(w, "and %d more excluded servers\n", excluded-maxExcluded)
	}
	return nil
}

// formatMillis formats a duration in milliseconds. 0 means unknown and gives "".
func formatMillis(millis int64) string {
	if millis == 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", millis)
}

func (t *tool) locateCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "locate MODEL",
		Short:             "List the instances that callers of a model should use",
		Long:              "List the entry instances that callers of a model or adapter should use, best first. The list is the one that a caller in the answering instance's failure domain gets.",
		Example:           "  limpethubctl locate appraisal",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: t.completeModels,
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			location, err := client.Locate(c.Context(), args[0])
			if err != nil {
				return err
			}
			return t.print(location, func(w io.Writer) error { return showLocation(w, location) })
		},
	}
}

func showLocation(w io.Writer, l operatorapi.Location) error {
	out := newTable("INSTANCE", "ADDRESS", "FAILURE DOMAIN")
	for _, e := range l.Entries {
		out.add(e.Instance, e.Address, e.FailureDomain)
	}
	if err := out.write(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "callers of %s may cache this list for %d ms\n", l.Model, l.TTLMillis)
	return err
}
