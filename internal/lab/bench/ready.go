package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
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
		for !ready(ctx, address) {
			if err := pause(ctx, readyPoll); err != nil {
				return fmt.Errorf("%w: %s", errNotReady, address)
			}
		}
	}
	return pause(ctx, settleTime)
}

func ready(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
