package servers

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/instancelist"
	"limpethub/internal/logging"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

// fakeSite is the reporter, the platform's list and the sink of a Monitor in one fake.
type fakeSite struct {
	mu          sync.Mutex
	down        bool
	instances   []instancelist.Instance
	servers     []scheduling.Server
	reports     int
	unreachable int
}

func (s *fakeSite) Report(context.Context, engine.Server) (engine.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return engine.Report{}, errors.New("no answer")
	}
	return engine.Report{}, nil
}

func (s *fakeSite) List(context.Context) ([]instancelist.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances, nil
}

func (s *fakeSite) SetServers(servers []scheduling.Server) { s.set(func() { s.servers = servers }) }

func (s *fakeSite) ObserveReport(string, engine.Report) { s.set(func() { s.reports++ }) }

func (s *fakeSite) ObserveUnreachable(string) { s.set(func() { s.unreachable++ }) }

func (s *fakeSite) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeSite) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[0].Leaving
}

// counts returns how many reports arrived and how often the server was reported
// unreachable.
func (s *fakeSite) counts() (reports, unreachable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports, s.unreachable
}

// TestDeadAndLeavingServersAreReportedWithinThreeSeconds follows one server that is first
// healthy, then leaving, then dead, and then healthy again. If the monitor missed one of
// the changes or reported it late, requests would go on to a server that is about to stop
// or is dead.
func TestDeadAndLeavingServersAreReportedWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeSite{}
		m := New(Options{FailureDomain: "a", Reporter: fake, Lister: fake, Sink: fake, Intervals: DefaultIntervals, Logger: logging.Discard()})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		m.SetDocument(ctx, &site.Document{Servers: []site.Server{{Name: "s", Address: "x:1", FailureDomain: "a"}}})
		go m.Run(ctx)
		time.Sleep(time.Second)
		if reports, _ := fake.counts(); reports == 0 || fake.leaving() || m.ReachableShare() != 1 {
			t.Fatalf("healthy server: got %d reports, leaving %v, reach %v, want at least 1, false, 1", reports, fake.leaving(), m.ReachableShare())
		}
		fake.set(func() { fake.instances = []instancelist.Instance{{Name: "s", Leaving: true}} })
		time.Sleep(3 * time.Second)
		if !fake.leaving() || len(m.Leaving()) != 1 {
			t.Fatal("leaving server: after 3 s, the sink or Monitor.Leaving does not have it as leaving, want both")
		}
		fake.set(func() { fake.down, fake.instances = true, nil })
		time.Sleep(3 * time.Second)
		if _, unreachable := fake.counts(); unreachable != 1 || fake.leaving() || m.ReachableShare() != 0 {
			t.Fatalf("dead server: got unreachable %d times, leaving %v, reach %v, want 1, false, 0", unreachable, fake.leaving(), m.ReachableShare())
		}
		fake.set(func() { fake.down = false })
		time.Sleep(time.Second)
		if m.ReachableShare() != 1 {
			t.Fatal("server that answers again: after 1 s, got a reach below 1, want 1")
		}
	})
}
