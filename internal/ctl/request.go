package ctl

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"limpethub/internal/explain"
)

// explainRequestCommand explains one request from log files. It calls no instance, because
// instances keep nothing about a finished request except their logs.
func (t *tool) explainRequestCommand() *cobra.Command {
	var files []string
	c := &cobra.Command{
		Use:   "request ID",
		Short: "Explain one request from the logs of the instances",
		Long: `Explain one request from the logs of the instances: each decision about it in order of
time, the log lines about the servers and models that it used, and the cause of its
outcome in one sentence. Give the logs of all instances: a request that the caller
repeated may have reached several of them.`,
		Example: "  limpethubctl explain request 9c41d07be2a35f68 --logs a.log,b.log,c.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			// Each log is read twice, so it is passed as a function that opens it.
			var logs []explain.OpenLog
			for _, file := range files {
				logs = append(logs, func() (io.ReadCloser, error) { return os.Open(file) })
			}
			explanation, err := explain.ReadHistory(args[0], logs)
			if err != nil {
				return err
			}
			return t.print(explanation, func(w io.Writer) error { return explanation.Write(w) })
		},
	}
	c.Flags().StringSliceVar(&files, "logs", nil, "log files of the instances, separated by commas (required)")
	if err := c.MarkFlagRequired("logs"); err != nil {
		panic("ctl: mark flag logs as required: " + err.Error())
	}
	return c
}
