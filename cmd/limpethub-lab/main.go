// Command limpethub-lab runs the demo and the experiments. It is not shipped.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"limpethub/internal/lab/bench"
	"limpethub/internal/lab/demo"
	"limpethub/internal/lab/entry"
	"limpethub/internal/lab/experiments"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "limpethub-lab:", err)
		os.Exit(1)
	}
}

// run executes the command line, with a folder for key files that is removed after.
func run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "limpethub-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	return command(directory).ExecuteContext(ctx)
}

func command(directory string) *cobra.Command {
	var logFile, logLevel string
	root := &cobra.Command{
		Use:           "limpethub-lab",
		Short:         "Stand-ins, demo and experiments for limpethub",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&logFile, "log-file", "", "file for the instances' log lines; none if empty")
	root.PersistentFlags().StringVar(&logLevel, "log-level", "info", "least level logged")
	newFactory := func() (bench.Factory, error) {
		logs, err := openLogs(logFile)
		if err != nil {
			return nil, err
		}
		host, err := entry.NewInProcess(entry.Options{Directory: directory, LogLevel: logLevel}, logs)
		if err != nil {
			return nil, err
		}
		return host.Start, nil
	}
	root.AddCommand(
		demo.Command(newFactory),
		experiments.CompareCommand(newFactory),
		experiments.MovesCommand(newFactory),
		experiments.OutageCommand(newFactory),
	)
	return root
}

// openLogs opens the file for log lines. Without one they are written all the same,
// to nowhere, so that their cost is in the figures.
func openLogs(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
