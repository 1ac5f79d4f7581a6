// Command limpethubd runs one entry instance with the settings of a file. Operators use
// limpethubctl to control it.
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
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "limpethubd:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var settingsPath string
	cmd := &cobra.Command{
		Use:           "limpethubd --settings FILE",
		Short:         "Serve callers, operators and peers as one entry instance",
		Long:          "Serve callers, operators and peers as one entry instance.\nSIGTERM or SIGINT starts a drain: the instance tells callers to use other instances, finishes the requests in progress within the drain timeout of its settings, and stops. During a drain that a signal started, SIGINT stops the process without waiting for requests, and SIGTERM has no effect.\nSIGHUP reads the settings file again. Only the log level changes; other settings take effect after a restart.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return serve(settingsPath) },
	}
	cmd.Flags().StringVar(&settingsPath, "settings", "", "settings file of this process (required)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs the daemon until a drain has ended.
func serve(settingsPath string) error {
	loaded, err := settings.Load(settingsPath)
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
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go reload(reloadSignals, settingsPath, d)
	stopSignals := make(chan os.Signal, 2)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stopSignals:
	case <-d.Drained():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go cancelOnInterrupt(stopSignals, cancel)
	return d.Drain(ctx)
}

// cancelOnInterrupt cancels a drain at the next SIGINT, so that an operator at a terminal
// can stop the process at once. SIGTERM has no effect, because platforms send it again
// during a drain.
func cancelOnInterrupt(signals <-chan os.Signal, cancel func()) {
	for s := range signals {
		if s == syscall.SIGINT {
			cancel()
			return
		}
	}
}

const (
	// memoryLimitShare is the garbage collector's memory limit as a share of the settings'
	// memory_mb. When the memory in use comes near the limit, collections run more often. The
	// limit is soft and covers only memory that the Go runtime manages, so it is set below
	// memory_mb to keep the whole process below it.
	memoryLimitShare = 0.6
	// heapGrowthPercent is how much the heap may grow between two collections. The live heap is a small part of the
	// memory that an instance has, and collections take processor time.
	heapGrowthPercent = 200
	mib               = 1 << 20
)

// limitMemory sets the limits of the garbage collector so that the process should stay below
// memoryMB, in MiB; 0 means no limit.
func limitMemory(memoryMB int64) {
	if memoryMB <= 0 {
		return
	}
	debug.SetGCPercent(heapGrowthPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * mib))
}

// reload reads the settings again at each SIGHUP.
func reload(signals <-chan os.Signal, settingsPath string, d *daemon.Daemon) {
	for range signals {
		loaded, err := settings.Load(settingsPath)
		// Reload logs err and keeps the current settings.
		d.Reload(loaded, err)
	}
}
