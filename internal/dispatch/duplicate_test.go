package dispatch

import (
	"context"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
)

// TestDuplicateDoesNotTakeTheDecisionOfTheRequestThatWaits guards against a request that waits until its deadline since another one with
// its ID came meanwhile: that one is refused, and the decision about the first finds nobody.
func TestDuplicateDoesNotTakeTheDecisionOfTheRequestThatWaits(t *testing.T) {
	d := newDispatcher(t)
	defer d.Close()
	d.SetServers([]scheduling.Server{{Name: "s1"}})
	r := request.Request{ID: "r", Model: "m@1", Deadline: time.Now().Add(3 * time.Second), Arrived: time.Now()}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	first := make(chan error, 1)
	go func() {
		_, err := d.Admit(ctx, r)
		first <- err
	}()
	for d.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := d.Admit(ctx, r); err == nil {
		t.Fatal("the duplicate was dispatched")
	}
	d.ObserveReport("s1", engine.Report{Sequence: 1, Taken: time.Now(), MaxBatch: 4, StepMillis: 10, Resident: []modelref.Ref{"m@1"}})
	select {
	case err := <-first:
		if err != nil {
			t.Errorf("the first request ended with %v, want a dispatch", err)
		}
	case <-time.After(time.Second):
		t.Error("the first request still waits though a server can take it")
	}
}
