// Command limpethub-soak injects faults into real daemons and checks promises meanwhile.
// It is not shipped.
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
