package bench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"limpethub/internal/lab/standin"
	"limpethub/internal/pause"
)

// Times of the wait for instances to be ready.
const (
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	// settleTime lets instances read each server's first reports and their peers'.
	settleTime = 1500 * time.Millisecond
)

var errNotReady = errors.New("bench: an instance isn't ready")

// AwaitReady waits until all instances are ready and have read the servers' reports.
func AwaitReady(ctx context.Context, s *Site) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range s.CallerAddresses() {
		for !standin.Answers(ctx, "http://"+address+"/readyz") {
			if !pause.For(ctx, readyPoll) {
				return fmt.Errorf("%w: %s", errNotReady, address)
			}
		}
	}
	pause.For(ctx, settleTime)
	return ctx.Err()
}
