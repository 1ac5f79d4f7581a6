// Command limpethubctl is the operators' command-line tool. See docs/CLI.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"limpethub/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.ProcessEnvironment())
	stop()
	os.Exit(int(code))
}
