package dispatch

import (
	"context"
	"testing"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
)

// panickingScheduler panics when a request arrives.
type panickingScheduler struct{ scheduling.Scheduler }

func (panickingScheduler) Arrive(time.Time, request.Request) []scheduling.Decision { panic("test") }

// TestRequestAfterAPanicIsNotHeldForever guards against a lock that stays held after a panic, so that all later requests get neither an
// answer nor a refusal, not even at their deadlines.
func TestRequestAfterAPanicIsNotHeldForever(t *testing.T) {
	d := New(Options{Scheduler: panickingScheduler{newDispatcher(t).scheduler}, Logger: logging.Discard(), Now: time.Now})
	ended := make(chan struct{}, 2)
	for range 2 {
		go func() {
			defer func() {
				_ = recover()
				ended <- struct{}{}
			}()
			_, _ = d.Admit(context.Background(), request.Request{ID: "r", Model: "m@1", Deadline: time.Now().Add(time.Second)})
		}()
	}
	for range 2 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a request waits for a lock that nobody releases")
		}
	}
}

// TestRequestWhosePanicIsRecoveredDoesNotCountAsWaiting guards against a request that is gone and waits forever by the counts that a
// drain and the metrics read.
func TestRequestWhosePanicIsRecoveredDoesNotCountAsWaiting(t *testing.T) {
	d := New(Options{Scheduler: panickingScheduler{newDispatcher(t).scheduler}, Logger: logging.Discard(), Now: time.Now})
	func() {
		defer func() { _ = recover() }()
		_, _ = d.Admit(context.Background(), request.Request{ID: "r", Model: "m@1", Deadline: time.Now().Add(time.Second)})
	}()
	if n := d.Waiting(); n != 0 {
		t.Errorf("%d requests wait after the panic, want 0", n)
	}
}
