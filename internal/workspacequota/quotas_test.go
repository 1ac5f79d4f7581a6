package workspacequota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/peers"
	"limpethub/internal/site"
)

// network connects the Quotas of some instances.
type network struct {
	mu       sync.Mutex
	handlers map[string]peers.Handler
	sent     atomic.Int64
}

// endpoint is the transport of one instance.
type endpoint struct {
	peers.Transport
	network *network
	name    string
}

func (e *endpoint) Handle(_ peers.Kind, handler peers.Handler) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.name] = handler
}

func (e *endpoint) SendUrgent(name string, _ peers.Kind, payload []byte) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.sent.Add(1)
	go e.network.handlers[name].HandleDatagram(e.name, payload)
}

func startQuotas(t *testing.T, count int) ([]*Quotas, *network) {
	t.Helper()
	net := &network{handlers: map[string]peers.Handler{}}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	var all []*Quotas
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for i, name := range names {
		e := &endpoint{network: net, name: name}
		others := append(append([]string(nil), names[:i]...), names[i+1:]...)
		q := New(Options{
			Self: name, Process: 1, Rules: DefaultRules(), Sender: e, Transport: e, Now: time.Now, Seed: uint64(i), Logger: logging.Discard(),
			Members: func() Members { return Members{Candidates: names, Peers: others, Covered: count, Known: count} },
		})
		loops.Go(func() { q.Run(ctx) })
		all = append(all, q)
	}
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	return all, net
}

// TestNothingIsSentWithoutLimits guards against messages and refusals where no workspace has a limit, and against
// messages after the last limit is removed.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	all, net := startQuotas(t, 3)
	unlimited := &site.Document{Workspaces: []site.Workspace{{Name: "a"}}}
	for _, q := range all {
		q.SetDocument(unlimited)
		if !q.Admit("a", 1_000_000).Admitted || !q.Admit("", 1).Admitted {
			t.Error("a request without a limit was refused")
		}
		q.MembersChanged()
	}
	time.Sleep(4 * tickPeriod)
	if n := net.sent.Load(); n != 0 {
		t.Errorf("%d messages were sent without a limit, want none", n)
	}
	limited := &site.Document{Workspaces: []site.Workspace{{Name: "a", Limit: site.WorkspaceLimit{PerSecond: 10, Burst: 10}}}}
	for _, q := range all {
		q.SetDocument(limited)
	}
	time.Sleep(2 * spreadPeriod)
	for _, q := range all {
		q.SetDocument(unlimited)
	}
	time.Sleep(tickPeriod)
	before := net.sent.Load()
	time.Sleep(2 * spreadPeriod)
	if n := net.sent.Load(); before == 0 || n != before {
		t.Errorf("%d messages were sent with a limit and %d after it, want some and none", before, n-before)
	}
}

// TestInstancesShareALimit guards against instances that don't tell each other what they use, also while callers,
// configurations and members change at the same time.
func TestInstancesShareALimit(t *testing.T) {
	all, _ := startQuotas(t, 3)
	document := &site.Document{Workspaces: []site.Workspace{{Name: "a", Limit: site.WorkspaceLimit{PerSecond: 100, Burst: 100}}}}
	for _, q := range all {
		q.SetDocument(document)
	}
	time.Sleep(2 * spreadPeriod)
	var admitted, refused atomic.Int64
	var callers sync.WaitGroup
	for _, q := range all {
		callers.Go(func() {
			for range 500 {
				if v := q.Admit("a", 1); v.Admitted {
					admitted.Add(1)
				} else if refused.Add(1); v.RetryAfter <= 0 {
					t.Error("a refusal says nothing about when to try again")
				}
				q.SetDocument(document)
				q.MembersChanged()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	limit := NewLimit(document.Workspaces[0].Limit, DefaultRules())
	// The callers ask for three times as much as this within a second or more.
	most := limit.Capacity + limit.Debt + 8*limit.PerSecond
	if n := float64(admitted.Load()); n < limit.PerSecond || n > most || refused.Load() == 0 {
		t.Errorf("%.0f requests were admitted and %d refused, want %.0f to %.0f admitted", n, refused.Load(), limit.PerSecond, most)
	}
	for _, s := range all[0].Status() {
		if s.Workspace != "a" || s.Limiter == "" || s.StateAgeMillis < 0 {
			t.Errorf("got status %+v, want that of workspace a with a limiter and a state", s)
		}
	}
}

// TestReturnedCostIsUsedAgain guards against a returned request that lowers the counters, which other instances
// take for an old message, or that isn't returned.
func TestReturnedCostIsUsedAgain(t *testing.T) {
	now, random := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	s := NewShare(now, Limit{PerSecond: 100, Capacity: 100, Debt: 50}, 1)
	s.Observe(now, State{Balance: 100, Admit: 1, Covered: 1})
	for range 3 {
		if v := s.Admit(now, 60, random); !v.Admitted {
			t.Fatalf("got %+v, want it admitted", v)
		}
		s.Return(now, 60)
	}
	if s.used != 60 || s.Unreported() != 60 {
		t.Errorf("got %d used, want 60 for three requests of which each was returned", s.used)
	}
}

// BenchmarkTraffic measures what quotas cost an instance: 16 workspaces with limits, 330 requests a second at 60
// instances and in proportion at other sizes. An operation is 10 s of all instances; of the processor time, the
// simulated network takes a part.
func BenchmarkTraffic(b *testing.B) {
	for _, n := range []int{6, 60, 295} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			requests := 5.5 * float64(n)
			f := traffic{perSecond: 1.8 * requests * 9200, mean: 9200}
			var bytes, most, seconds float64
			start := time.Now()
			for range b.N {
				s := newSim(n, f, 1)
				for i := range 15 {
					s.spaces = append(s.spaces, fmt.Sprint("w", i))
				}
				s.limit.PerSecond, s.limit.Burst = f.perSecond/16, f.perSecond/16
				for i := range n {
					s.nodes[i].SetDocument(s.time(), s.document())
				}
				s.run(10 * time.Second)
				bytes += float64(s.bytes)
				most = max(most, float64(slices.Max(s.bytesOf))/10)
				seconds += 10 * float64(n)
			}
			b.ReportMetric(bytes/seconds, "bytes/s/instance")
			b.ReportMetric(most, "most-bytes/s")
			b.ReportMetric(100*time.Since(start).Seconds()/seconds, "%core/instance")
		})
	}
}

// BenchmarkAdmit measures a decision of an instance that isn't the limiter.
func BenchmarkAdmit(b *testing.B) {
	s := newSim(60, traffic{640_000, 9200}, 1)
	s.run(time.Second)
	i := (s.limiter() + 1) % 60
	for b.Loop() {
		s.nodes[i].Admit(s.time(), simName, 1)
		s.nodes[i].Take()
	}
}
