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

// world is a fake of all that the monitor talks to.
type world struct {
	mu          sync.Mutex
	down        bool
	listed      []platform.Instance
	servers     []scheduling.Server
	reports     int
	unreachable int
}

func (w *world) Report(context.Context, engine.Server) (engine.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return engine.Report{}, errors.New("no answer")
	}
	return engine.Report{}, nil
}

func (w *world) List(context.Context) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed, nil
}

func (w *world) SetServers(servers []scheduling.Server) { w.set(func() { w.servers = servers }) }

func (w *world) ObserveReport(string, engine.Report) { w.set(func() { w.reports++ }) }

func (w *world) ObserveUnreachable(string) { w.set(func() { w.unreachable++ }) }

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) leaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[0].Leaving
}

// counts is how many reports came, and how often the server was told unreachable.
func (w *world) counts() (reports, unreachable int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports, w.unreachable
}

func TestDeadAndLeavingServersAreToldWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		m := New(Options{FailureDomain: "a", Reporter: w, Lister: w, Sink: w, Intervals: DefaultIntervals, Logger: logging.Discard()})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		m.SetDocument(ctx, &site.Document{Servers: []site.Server{{Name: "s", Address: "x:1", FailureDomain: "a"}}})
		go m.Run(ctx)
		time.Sleep(time.Second)
		if reports, _ := w.counts(); reports == 0 || w.leaving() || m.Reach() != 1 {
			t.Fatalf("at first: %d reports, leaving %v, reach %v", reports, w.leaving(), m.Reach())
		}
		w.set(func() { w.listed = []platform.Instance{{Name: "s", Leaving: true}} })
		time.Sleep(3 * time.Second)
		if !w.leaving() || len(m.Leaving()) != 1 {
			t.Fatal("a leaving server isn't told")
		}
		w.set(func() { w.down, w.listed = true, nil })
		time.Sleep(3 * time.Second)
		if _, told := w.counts(); told != 1 || w.leaving() || m.Reach() != 0 {
			t.Fatalf("dead: told %d times, leaving %v, reach %v", told, w.leaving(), m.Reach())
		}
		w.set(func() { w.down = false })
		time.Sleep(time.Second)
		if m.Reach() != 1 {
			t.Fatal("a server that came back isn't seen")
		}
	})
}
