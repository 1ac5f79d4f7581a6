// Command limpethubctl is the command-line tool with which operators check and change a site's
// configuration, read the site's state and drain instances. docs/CLI.md describes it.
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
