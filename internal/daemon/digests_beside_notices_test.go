package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/peers"
	"limpethub/internal/residency"
	"limpethub/internal/scheduling"
)

// busyScheduler stands for the scheduler of an instance that has requests on some servers, and records when it last heard of each peer.
type busyScheduler struct {
	scheduling.Scheduler
	load []scheduling.ServerDigest

	mu      sync.Mutex
	heardAt map[string]time.Time
}

func (s *busyScheduler) Digest() []scheduling.ServerDigest { return s.load }

func (s *busyScheduler) ObserveDigest(now time.Time, d scheduling.ServerDigest) []scheduling.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt[d.Instance] = now
	return nil
}

// silent returns how many of the peers weren't heard for longer than lifetime.
func (s *busyScheduler) silent(now time.Time, peers int, lifetime time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := 0
	for _, at := range s.heardAt {
		if now.Sub(at) <= lifetime {
			heard++
		}
	}
	return peers - heard
}

const (
	busyInstances, busyServers = 60, 60
	// serversInUse and versionsInUse are how many servers and versions the requests of one instance are on.
	serversInUse, versionsInUse = 15, 15
	// changesPerSecond is how many versions become usable or unusable in a second while a site loads and unloads adapters.
	changesPerSecond = 20
)

// busyFleet is a fleet whose instances all have requests, and whose first one holds the placement lease.
type busyFleet struct {
	instances  []*noticeInstance
	schedulers []*busyScheduler
}

func startBusyFleet(ctx context.Context, t *testing.T) *busyFleet {
	t.Helper()
	p := &loopbackPeers{byAddress: map[string]*loopbackPeer{}}
	for n := range busyInstances {
		name := fmt.Sprint("entry-", n)
		p.byAddress[name] = &loopbackPeer{peers: p, name: name, handlers: map[peers.Kind]peers.Handler{}}
	}
	f := &busyFleet{}
	for n := range busyInstances {
		name := fmt.Sprint("entry-", n)
		i := newNoticeInstance(t, p, p.byAddress[name], name, uint64(n))
		s := &busyScheduler{Scheduler: newNoticeScheduler(t, name), heardAt: map[string]time.Time{}}
		for k := range serversInUse {
			s.load = append(s.load, scheduling.ServerDigest{
				Server: fmt.Sprintf("i-%010x", (n*7+k)%busyServers), Outstanding: 2, Classes: []int{1, 1}, Tokens: 400, PendingPrefillTokens: 2000,
			})
		}
		i.replaceScheduler(s)
		i.extension.refLoads = func() map[modelref.Ref]scheduling.RefLoad {
			out := map[modelref.Ref]scheduling.RefLoad{}
			for k := range versionsInUse {
				out[modelref.Ref(fmt.Sprintf("syl410170m0/a%d@newest", n+k))] = scheduling.RefLoad{Running: 1, Waiting: 1}
			}
			return out
		}
		i.exchange.holder, i.exchange.roundsPerHolderDigest = func() string { return "entry-0" }, 1
		f.instances, f.schedulers = append(f.instances, i), append(f.schedulers, s)
	}
	for _, i := range f.instances {
		i.run(ctx)
	}
	return f
}

// change publishes changes of versions for a time, as the holder does.
func (f *busyFleet) change(d time.Duration) {
	holder := f.instances[0]
	for n := range int(d.Seconds() * changesPerSecond) {
		holder.extension.PublishChanges([]residency.ResidencyChange{{
			Server: fmt.Sprintf("i-%010x", n%busyServers), StartMillis: 1771376889046, Ref: modelref.Ref(fmt.Sprintf("syl410170m0/a%d@newest", n)), Present: n%2 == 0, Term: 3,
		}})
		holder.exchange.TriggerSend()
		time.Sleep(time.Second / changesPerSecond)
	}
}

// playBesideChanges plays a busy fleet whose versions change, and calls observe five times a second.
func playBesideChanges(t *testing.T, observe func(now time.Time, f *busyFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startBusyFleet(ctx, t)
		time.Sleep(10 * time.Second)
		go f.change(20 * time.Second)
		time.Sleep(5 * time.Second)
		for range 75 {
			observe(time.Now(), f)
			time.Sleep(200 * time.Millisecond)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestHolderKnowsTheNeedsOfAllInstancesWhileVersionsChange guards against a placement holder that gives too few orders, since notices of
// its orders leave its peers no room for their counts.
func TestHolderKnowsTheNeedsOfAllInstancesWhileVersionsChange(t *testing.T) {
	unknown, all := 0, 0
	playBesideChanges(t, func(now time.Time, f *busyFleet) {
		x := f.instances[0].extension
		x.mu.Lock()
		defer x.mu.Unlock()
		known := 0
		for _, counts := range x.counts {
			if now.Sub(counts.receivedAt) <= peerCountsLifetime {
				known++
			}
		}
		unknown, all = unknown+busyInstances-1-known, all+busyInstances-1
	})
	// A tenth of the datagrams gets lost; of six in peerCountsLifetime nearly never all.
	if share := float64(unknown) / float64(all); share > 0.01 {
		t.Errorf("the holder doesn't know the counts of %.3f of its peers, want at most 0.01", share)
	}
}

// TestLoadOfPeersIsKnownWhileVersionsChange guards against instances that all choose the same servers, since notices leave no room for
// their load.
func TestLoadOfPeersIsKnownWhileVersionsChange(t *testing.T) {
	const loadLifetime = 3 * time.Second
	unknown, all := 0, 0
	playBesideChanges(t, func(now time.Time, f *busyFleet) {
		for _, s := range f.schedulers[1:] {
			unknown, all = unknown+s.silent(now, busyInstances-1, loadLifetime), all+busyInstances-1
		}
	})
	t.Logf("the load of %.3f of the peers isn't known", float64(unknown)/float64(all))
	// The share of load in the byte budget is enough for most peers; see docs/design/notices.md.
	if share := float64(unknown) / float64(all); share > 0.5 {
		t.Errorf("instances don't know the load of %.3f of their peers, want at most 0.5", share)
	}
}
