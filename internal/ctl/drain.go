package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// drainResult is the JSON output of drain once the instance has accepted it.
type drainResult struct {
	Instance string `json:"instance"`
	// Draining is always true: a drain that fails has no result.
	Draining bool `json:"draining"`
}

func (t *tool) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "Start the graceful stop of an entry instance",
		Long: `Start the graceful stop of an entry instance: callers are no longer directed to it, it
finishes the requests in progress, releases its leases, and exits. The command returns
as soon as the instance has accepted the drain. Follow its progress with limpethubctl
status.`,
		Example:           "  limpethubctl drain entry-a1",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: t.completeInstances,
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			if err := client.Drain(c.Context(), args[0]); err != nil {
				return err
			}
			return t.print(drainResult{Instance: args[0], Draining: true}, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s is draining\n", args[0])
				return err
			})
		},
	}
}
