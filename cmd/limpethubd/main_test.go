package main

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// TestOnlyAnInterruptEndsAPlannedStop replays a platform that sends SIGTERM again (soak,
// seed 40): requests in progress go on.
func TestOnlyAnInterruptEndsAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 2)
		ended := false
		go endOnInterrupt(signals, func() { ended = true })
		signals <- syscall.SIGTERM
		synctest.Wait()
		if ended {
			t.Error("another SIGTERM ended the stop")
		}
		signals <- syscall.SIGINT
		synctest.Wait()
		if !ended {
			t.Error("SIGINT didn't end the stop")
		}
	})
}
