// Command limpethubd is the daemon of one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"limpethub/internal/daemon"
	"limpethub/internal/logging"
	"limpethub/internal/settings"

	_ "limpethub/internal/plugins"
	_ "limpethub/platform"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "limpethubd:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "limpethubd --settings FILE",
		Short:         "Serve callers, operators and peers as one entry instance",
		Long:          "Serve callers, operators and peers as one entry instance.\nSIGTERM and SIGINT start a planned stop, which finishes every request in progress; another SIGINT ends the process at once, another SIGTERM changes nothing.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return serve(path) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of this process (required)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs the daemon until a planned stop is done.
func serve(path string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	limitMemory(loaded.MemoryMB)
	logs := logging.NewAsync(os.Stdout)
	defer logs.Close()
	d, err := daemon.New(loaded, logs)
	if err != nil {
		return err
	}
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go reload(reloads, path, d)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-d.Drained():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go endOnInterrupt(signals, cancel)
	return d.Drain(ctx)
}

// endOnInterrupt ends a planned stop at the next SIGINT, as an operator at a terminal
// wants. Another SIGTERM changes nothing: platforms send it again.
func endOnInterrupt(signals <-chan os.Signal, end func()) {
	for s := range signals {
		if s == syscall.SIGINT {
			end()
			return
		}
	}
}

// Shares of the process's memory bound: from where the garbage collector works harder,
// and how much the heap may grow between two collections.
const (
	softMemoryShare = 0.6
	heapGrowth      = 100
	mib             = 1 << 20
)

// limitMemory keeps the process below its bound.
func limitMemory(megabytes int64) {
	if megabytes <= 0 {
		return
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(softMemoryShare * float64(megabytes) * mib))
}

// reload reads the settings again at each SIGHUP.
func reload(signals <-chan os.Signal, path string, d *daemon.Daemon) {
	for range signals {
		loaded, err := settings.Load(path)
		d.Reload(loaded, err)
	}
}
