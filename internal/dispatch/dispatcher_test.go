package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

func newDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	s, err := scheduling.New(scheduling.Options{Instance: "i1", Document: &site.Document{
		Classes: []site.Class{{Name: "urgent", QueueLimit: 10}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	logger := logging.For(logging.New(io.Discard, logrus.ErrorLevel), logging.Routing, "i1")
	return New(Options{Scheduler: s, Logger: logger, Now: time.Now})
}

// TestDigestDispatchesWaitingRequest guards against a request that stays queued after a
// peer's digest shows that the server has room again. Here the only server is full with the
// peer's work until the digest comes.
func TestDigestDispatchesWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t)
		defer d.Close()
		d.SetServers([]scheduling.Server{{Name: "s1"}})
		d.ObserveReport("s1", engine.Report{Taken: time.Now(), MaxBatch: 2, Resident: []modelref.Ref{"m@1"}})
		r := request.Request{ID: "first", Model: "m@1", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
		if _, err := d.Admit(context.Background(), r); err != nil {
			t.Fatal(err)
		}
		d.ObserveDigest(scheduling.ServerDigest{Instance: "i2", Server: "s1", Outstanding: 5, Sequence: 1})
		admitted := make(chan error, 1)
		go func() {
			second := r
			second.ID = "second"
			_, err := d.Admit(context.Background(), second)
			admitted <- err
		}()
		synctest.Wait()
		if d.Waiting() != 1 {
			t.Fatalf("%d requests wait before the second digest, want 1", d.Waiting())
		}
		d.ObserveDigest(scheduling.ServerDigest{Instance: "i2", Server: "s1", Sequence: 2})
		synctest.Wait()
		if d.Waiting() != 0 {
			t.Fatal("the request still waits after the second digest, want it dispatched")
		}
		if err := <-admitted; err != nil {
			t.Fatal(err)
		}
	})
}
