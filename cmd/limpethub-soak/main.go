// Command limpethub-soak runs real daemons, injects faults and checks the system's promises. It
// is a test tool and not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"limpethub/internal/soak"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := soak.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "limpethub-soak:", err)
		os.Exit(1)
	}
}
