package main

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// TestOnlySIGINTCancelsDrain guards against a repeated SIGTERM that cuts off the requests in
// progress: platforms send SIGTERM again during a drain.
func TestOnlySIGINTCancelsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 2)
		cancelled := false
		go cancelOnInterrupt(signals, func() { cancelled = true })
		signals <- syscall.SIGTERM
		synctest.Wait()
		if cancelled {
			t.Error("a second SIGTERM cancelled the drain, want no effect")
		}
		signals <- syscall.SIGINT
		synctest.Wait()
		if !cancelled {
			t.Error("SIGINT did not cancel the drain, want it cancelled")
		}
	})
}
