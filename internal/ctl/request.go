package ctl

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"limpethub/internal/explain"
)

// explainRequestCommand tells one request's story. It asks no instance: logs are all that
// is left of a request.
func (t *tool) explainRequestCommand() *cobra.Command {
	var files []string
	c := &cobra.Command{
		Use:   "request ID",
		Short: "Tell one request's story from the logs of the instances",
		Long: `Tell one request's story from the logs of the instances: each decision about it in
order of time, what was said of the servers and models that it met, and its cause in one
sentence. Give the logs of all instances: a repeated request has passed several.`,
		Example: "  limpethubctl explain request 9c41d07be2a35f68 --logs a.log,b.log,c.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var logs []explain.Open
			for _, file := range files {
				logs = append(logs, func() (io.ReadCloser, error) { return os.Open(file) })
			}
			story, err := explain.Tell(args[0], logs)
			if err != nil {
				return err
			}
			return t.print(story, func(w io.Writer) error { return story.Write(w) })
		},
	}
	c.Flags().StringSliceVar(&files, "logs", nil, "log files of the instances (required)")
	if err := c.MarkFlagRequired("logs"); err != nil {
		panic("ctl: flag logs: " + err.Error())
	}
	return c
}
