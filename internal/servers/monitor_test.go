package servers

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/logging"
	"limpethub/internal/platform"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

// fakeSite is the reporter, the platform's list and the sink of a Monitor in one fake.
type fakeSite struct {
	mu          sync.Mutex
	down        bool
	instances   []platform.Instance
	servers     []scheduling.Server
	reports     int
	unreachable int
}

func (w *fakeSite) Report(context.Context, engine.Server) (engine.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return engine.Report{}, errors.New("no answer")
	}
	return engine.Report{}, nil
}

func (w *fakeSite) List(context.Context) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances, nil
}

func (w *fakeSite) SetServers(servers []scheduling.Server) { w.set(func() { w.servers = servers }) }

func (w *fakeSite) ObserveReport(string, engine.Report) { w.set(func() { w.reports++ }) }

func (w *fakeSite) ObserveUnreachable(string) { w.set(func() { w.unreachable++ }) }

func (w *fakeSite) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *fakeSite) leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[0].Leaving
}

// counts returns how many reports arrived and how often the server was reported
// unreachable.
func (w *fakeSite) counts() (reports, unreachable int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports, w.unreachable
}

// TestDeadAndLeavingServersAreReportedWithinThreeSeconds follows one server that is
// first well, then leaving, then dead, and then back. Requests would go on to a server
// that is about to stop or is dead if the monitor missed one of the changes or was late.
func TestDeadAndLeavingServersAreReportedWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeSite{}
		m := New(Options{FailureDomain: "a", Reporter: w, Lister: w, Sink: w, Intervals: DefaultIntervals, Logger: logging.Discard()})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		m.SetDocument(ctx, &site.Document{Servers: []site.Server{{Name: "s", Address: "x:1", FailureDomain: "a"}}})
		go m.Run(ctx)
		time.Sleep(time.Second)
		if reports, _ := w.counts(); reports == 0 || w.leaving() || m.Reach() != 1 {
			t.Fatalf("healthy server: got %d reports, leaving %v, reach %v, want at least 1, false, 1", reports, w.leaving(), m.Reach())
		}
		w.set(func() { w.instances = []platform.Instance{{Name: "s", Leaving: true}} })
		time.Sleep(3 * time.Second)
		if !w.leaving() || len(m.Leaving()) != 1 {
			t.Fatal("a leaving server is not reported as leaving within 3 s")
		}
		w.set(func() { w.down, w.instances = true, nil })
		time.Sleep(3 * time.Second)
		if _, unreachable := w.counts(); unreachable != 1 || w.leaving() || m.Reach() != 0 {
			t.Fatalf("dead server: got unreachable %d times, leaving %v, reach %v, want 1, false, 0", unreachable, w.leaving(), m.Reach())
		}
		w.set(func() { w.down = false })
		time.Sleep(time.Second)
		if m.Reach() != 1 {
			t.Fatal("a server that answers again is still counted as unreachable after 1 s")
		}
	})
}
