package dispatch

import (
	"errors"
	"testing"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// TestStoppingInstanceRefusesWaitingRequests guards against requests that get no answer in a
// planned stop because they wait until the process ends.
func TestStoppingInstanceRefusesWaitingRequests(t *testing.T) {
	scheduler, err := scheduling.New(scheduling.Options{Instance: "i", Document: &site.Document{
		Classes: []site.Class{{Name: "c", TimeoutMillis: 1000, Weight: 1, QueueLimit: 10}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	d := New(Options{Scheduler: scheduler, Logger: logging.Discard(), Now: time.Now})
	defer d.Close()
	results := make(chan error, 2)
	admit := func(id request.ID) {
		now := time.Now()
		_, err := d.Admit(t.Context(), request.Request{ID: id, Model: "m@1", Arrived: now, Deadline: now.Add(time.Minute)})
		results <- err
	}
	go admit("waits")
	for d.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	d.RefuseWaiting()
	go admit("late")
	for range 2 {
		var refusal *verdict.Error
		if err := <-results; !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.Code != verdict.CodeStopping || refusal.RetryAfter <= 0 {
			t.Errorf("got %v, want a not-run refusal with code instance_stopping and a retry delay", err)
		}
	}
	if d.Waiting() != 0 {
		t.Errorf("%d requests still wait, want 0", d.Waiting())
	}
}
