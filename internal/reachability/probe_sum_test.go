package reachability

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/logging"
)

// cutFleet are instances that share servers, whose answers to them get lost during a cut while what they send arrives.
type cutFleet struct {
	servers  []engine.Server
	monitors []*Monitor

	mu    sync.Mutex
	isCut bool
	// arrivals holds when each server was asked.
	arrivals map[string][]time.Time
}

// ProbeAnew implements Prober.
func (f *cutFleet) ProbeAnew(ctx context.Context, server engine.Server) error {
	f.mu.Lock()
	f.arrivals[server.Name] = append(f.arrivals[server.Name], time.Now())
	isCut := f.isCut
	f.mu.Unlock()
	if !isCut {
		return nil
	}
	<-ctx.Done()
	return errors.New("no answer")
}

func (f *cutFleet) setCut(isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
}

// startCutFleet runs instances that have calls under way, until stop is called.
func startCutFleet(instances, servers int) (f *cutFleet, stop func()) {
	f = &cutFleet{arrivals: map[string][]time.Time{}}
	for n := range servers {
		f.servers = append(f.servers, engine.Server{Name: fmt.Sprint("s", n)})
	}
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprint("i", n))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range names {
		m := New(Options{
			Prober: f, Servers: func() []engine.Server { return append([]engine.Server(nil), f.servers...) },
			Self: name, Instances: func() []string { return names },
			PeersReaching: func() int { return 0 }, Logger: logging.Discard(), Now: time.Now,
		})
		f.monitors = append(f.monitors, m)
		m.CallBegan()
		for _, s := range f.servers {
			m.Heard(s)
		}
		running.Go(func() { m.Run(ctx) })
	}
	return f, func() {
		cancel()
		running.Wait()
	}
}

// mostWithin returns the most probes that one server got within the window, from the given time on.
func (f *cutFleet) mostWithin(window time.Duration, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, arrivals := range f.arrivals {
		first := 0
		for n, at := range arrivals {
			for at.Sub(arrivals[first]) >= window || arrivals[first].Before(from) && first < n {
				first++
			}
			if !at.Before(from) {
				most = max(most, n-first+1)
			}
		}
	}
	return most
}

// states counts the instances that are in a state.
func (f *cutFleet) states(state State) (n int) {
	for _, m := range f.monitors {
		if m.State() == state {
			n++
		}
	}
	return n
}

// A server that takes 1.5 requests a second gets at most 14 within 4 s, as the rule has it: one and a half times as many, and 5.
const (
	limitWindow  = 4 * time.Second
	limitAllowed = 14
)

// TestInstancesThatHearNothingStayWithinTheLimitThatAServerNames guards against instances whose probes together pass a limit that none of
// them can hear of, and against instances that don't know a cut, or its end, as they wait to ask. With many instances the begin of a
// cut isn't judged: each has to ask a few servers to know it.
func TestInstancesThatHearNothingStayWithinTheLimitThatAServerNames(t *testing.T) {
	for _, c := range []struct {
		instances, servers int
		from, back         time.Duration
	}{
		{instances: 4, servers: 7, back: 3 * time.Second},
		{instances: 20, servers: 7, from: 4 * time.Second, back: 4 * time.Second},
		{instances: 86, servers: 63, from: 4 * time.Second, back: 3 * time.Second},
		{instances: 295, servers: 36, from: 4 * time.Second, back: 10 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d instances, %d servers", c.instances, c.servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := startCutFleet(c.instances, c.servers)
				defer stop()
				f.setCut(true)
				began := time.Now()
				time.Sleep(3 * time.Second)
				if n := f.states(CutOff); n < c.instances {
					t.Errorf("%d instances know after 3 s that they are cut off, want all", n)
				}
				time.Sleep(15 * time.Second)
				most := f.mostWithin(limitWindow, began.Add(c.from))
				t.Logf("at most %d probes at one server within %v, %d in the begin", most, limitWindow, f.mostWithin(limitWindow, began))
				if most > limitAllowed {
					t.Errorf("a server got %d probes within %v, want at most %d", most, limitWindow, limitAllowed)
				}
				f.setCut(false)
				time.Sleep(c.back)
				if n := f.states(Direct); n < c.instances {
					t.Errorf("%d instances are back %v after the end of the cut, want all", n, c.back)
				}
			})
		})
	}
}
