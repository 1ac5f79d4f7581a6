package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/cluster"
	"limpethub/internal/modelref"
	"limpethub/internal/peers"
	"limpethub/internal/peers/digest"
	"limpethub/internal/residency"
	"limpethub/internal/scheduling"
)

// busyScheduler stands for the scheduler of an instance that has requests on some servers.
type busyScheduler struct {
	scheduling.Scheduler
	load []scheduling.ServerDigest
}

func (s *busyScheduler) Digest() []scheduling.ServerDigest { return s.load }

// loadRecorder takes the digests for an exchange. It keeps when each peer last told its load, and passes on the others.
type loadRecorder struct {
	*exchange
	mu      sync.Mutex
	heardAt map[string]time.Time
}

func (r *loadRecorder) HandleDatagram(from string, payload []byte) {
	if d, err := digest.Decode(payload); err != nil || len(d.Loads) == 0 {
		r.exchange.HandleDatagram(from, payload)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardAt[from] = time.Now()
}

// silent returns how many of the peers weren't heard for longer than lifetime.
func (r *loadRecorder) silent(now time.Time, lifetime time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := 0
	for _, at := range r.heardAt {
		if now.Sub(at) <= lifetime {
			heard++
		}
	}
	return busyInstances - 1 - heard
}

const (
	busyInstances, busyServers = 30, 60
	// serversInUse and versionsInUse are how many servers and versions the requests of one instance are on.
	serversInUse, versionsInUse = 15, 15
	// changesPerSecond is how many versions become usable or unusable in a second while a site loads and unloads adapters.
	changesPerSecond = 20
)

// busyFleet is a fleet whose instances all have requests, and whose first one holds the placement lease.
type busyFleet struct {
	instances []*noticeInstance
	recorders []*loadRecorder
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
		s := &busyScheduler{Scheduler: newNoticeScheduler(t, name)}
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
		recorder := &loadRecorder{exchange: i.exchange, heardAt: map[string]time.Time{}}
		p.byAddress[name].Handle(peers.KindDigest, recorder)
		f.instances, f.recorders = append(f.instances, i), append(f.recorders, recorder)
	}
	for _, i := range f.instances {
		i.run(ctx)
		// Rounds of a fleet aren't all at the same moment.
		time.Sleep(exchangePeriod / busyInstances)
	}
	return f
}

// sendQuotas sends the states of workspaces' quotas to peers until ctx ends, as each instance does regardless of the byte budget.
func (f *busyFleet) sendQuotas(ctx context.Context) {
	const bytesPerSecond, datagramBytes = 10_000, 1000
	for n := 0; ctx.Err() == nil; n++ {
		for k, i := range f.instances {
			to := fmt.Sprint("entry-", (k+1+n%(busyInstances-1))%busyInstances)
			i.cluster.SendUrgent(to, peers.KindQuota, make([]byte, datagramBytes-cluster.DatagramBytes(nil)))
		}
		time.Sleep(time.Second * datagramBytes / bytesPerSecond)
	}
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

// playBesideChanges plays a busy fleet whose versions change, with limits of workspaces or without, and calls observe five times a second.
func playBesideChanges(t *testing.T, withQuotas bool, observe func(now time.Time, f *busyFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startBusyFleet(ctx, t)
		time.Sleep(2 * time.Second)
		go f.change(8 * time.Second)
		if withQuotas {
			go f.sendQuotas(ctx)
		}
		time.Sleep(4 * time.Second)
		for range 20 {
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
	playBesideChanges(t, true, func(now time.Time, f *busyFleet) {
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
	playBesideChanges(t, false, func(now time.Time, f *busyFleet) {
		for _, r := range f.recorders[1:] {
			unknown, all = unknown+r.silent(now, loadLifetime), all+busyInstances-1
		}
	})
	t.Logf("the load of %.3f of the peers isn't known", float64(unknown)/float64(all))
	// The share of load in the byte budget, 8,100 bytes a second, is enough for all of them; a tenth of the datagrams gets lost.
	if share := float64(unknown) / float64(all); share > 0.25 {
		t.Errorf("instances don't know the load of %.3f of their peers, want at most 0.25", share)
	}
}
