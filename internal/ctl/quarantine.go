package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
)

func (t *tool) quarantineCommand() *cobra.Command {
	return commandGroup("quarantine", "List and release parts of prompts, and requests, that crash servers",
		`List and release parts of prompts, and requests, that crash servers. Instances refuse requests
with such a part, and such requests when they come again, since servers have ended with them
again and again and no answer has come.`,
		t.quarantineListCommand(), t.quarantineReleaseCommand())
}

func (t *tool) quarantineListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the parts of prompts and the requests in quarantine",
		Long:    "List the parts of prompts and the requests in quarantine, as the instance knows them. Both are named by their hash, as in logs.",
		Example: "  limpethubctl quarantine list",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			quarantine, err := client.Quarantine(c.Context())
			if err != nil {
				return err
			}
			all := append(quarantine.Parts, quarantine.Requests...)
			return t.print(all, func(w io.Writer) error { return quarantineTable(all).write(w) })
		},
	}
}

func quarantineTable(all []operatorapi.Quarantined) *table {
	out := newTable("KIND", "HASH", "CRASHES", "FIRST", "LAST", "TRIED AGAIN")
	for _, p := range all {
		until := "now, by one instance"
		if !p.Until.IsZero() {
			until = p.Until.Format(time.RFC3339)
		}
		kind, hash := "part", p.Part
		if p.Request != "" {
			kind, hash = "request", p.Request
		}
		out.add(kind, hash, p.Crashes, p.First.Format(time.RFC3339), p.Last.Format(time.RFC3339), until)
	}
	return out
}

// releaseResult is the JSON output of quarantine release.
type releaseResult struct {
	// Hash is that of a part or a request. Scripts know the field by the name that it had when only parts
	// could be released.
	Hash string `json:"part"`
	// Released is always true: a release that fails has no result.
	Released bool `json:"released"`
}

func (t *tool) quarantineReleaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "release HASH",
		Short: "Let requests with a part of prompts, or a request, through again",
		Long: `Let requests with a part of prompts, or a request, through again, on all instances, as after a
repair of the engine. If servers still end with it, it comes back into quarantine after five more
crashes.`,
		Example: "  limpethubctl quarantine release 0bc7184168bceac8",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			if err := client.Release(c.Context(), args[0]); err != nil {
				return err
			}
			return t.print(releaseResult{Hash: args[0], Released: true}, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s is released\n", args[0])
				return err
			})
		},
	}
}
