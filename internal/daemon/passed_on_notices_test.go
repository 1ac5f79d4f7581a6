package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/cluster"
	"limpethub/internal/discovery"
	"limpethub/internal/dispatch"
	"limpethub/internal/lease"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/notices"
	"limpethub/internal/peers"
	"limpethub/internal/residency"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
)

// lossyPeer loses a tenth of its datagrams.
type lossyPeer struct {
	*loopbackPeer
	mu   sync.Mutex
	rand *rand.Rand
}

func (p *lossyPeer) Datagram(address string, kind peers.Kind, payload []byte) {
	p.mu.Lock()
	lost := p.rand.IntN(10) == 0
	p.mu.Unlock()
	if !lost {
		p.loopbackPeer.Datagram(address, kind, payload)
	}
}

// noticeInstance is the part of an instance that exchanges notices. heardAt is when it last heard of something new.
type noticeInstance struct {
	cluster    *cluster.Cluster
	dispatcher *dispatch.Dispatcher
	exchange   *exchange
	extension  *residencyExtension
	mu         sync.Mutex
	heardAt    []time.Time
}

func newNoticeInstance(t *testing.T, p *loopbackPeers, peer *loopbackPeer, address string, seed uint64) *noticeInstance {
	t.Helper()
	transport := &lossyPeer{loopbackPeer: peer, rand: rand.New(rand.NewPCG(seed, 2))}
	c := cluster.New(cluster.Options{
		Self: membership.Identity{Name: peer.name, PeerAddress: address, FailureDomain: "zone"}, Transport: transport, Lister: p, Seed: seed,
	})
	dispatcher := dispatch.New(dispatch.Options{Scheduler: newNoticeScheduler(t, peer.name), Logger: logging.Discard(), Now: time.Now})
	manager, err := residency.New(residency.Options{
		Instance: peer.name, Control: noControl{}, Document: func() *site.Document { return &site.Document{} },
		Lease: lease.Config{TTL: 3 * time.Second, Margin: time.Second / 2, Jitter: time.Second / 3}, Now: time.Now, Logger: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	i := &noticeInstance{
		cluster: c, dispatcher: dispatcher,
		exchange: newExchange(peer.name, dispatcher, c, transport, logging.Discard()), extension: newResidencyExtension(),
	}
	i.extension.manager, i.extension.watcher = manager, discovery.New(discovery.Options{Logger: logging.Discard()})
	i.extension.onNotices = func() {
		i.mu.Lock()
		i.heardAt = append(i.heardAt, time.Now())
		i.mu.Unlock()
		i.exchange.TriggerPassOn()
	}
	i.exchange.extension, i.exchange.holder = i.extension, func() string { return "" }
	return i
}

func newNoticeScheduler(t *testing.T, instance string) scheduling.Scheduler {
	t.Helper()
	scheduler, err := scheduling.New(scheduling.Options{Instance: instance, Document: &site.Document{
		Classes: []site.Class{{Name: "c", TimeoutMillis: 1000, Weight: 1, QueueLimit: 10}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return scheduler
}

// replaceScheduler gives the instance a scheduler in place of the one that it was made with.
func (i *noticeInstance) replaceScheduler(s scheduling.Scheduler) {
	i.dispatcher.Close()
	i.dispatcher = dispatch.New(dispatch.Options{Scheduler: s, Logger: logging.Discard(), Now: time.Now})
	i.exchange.dispatcher = i.dispatcher
}

func (i *noticeInstance) run(ctx context.Context) {
	go func() {
		_ = i.cluster.Run(ctx)
		i.dispatcher.Close()
	}()
	go i.exchange.loop(ctx)
}

// leaveRoomForNeighborsOnly takes so much of a limit that no notice is sent to others than the neighbors.
func leaveRoomForNeighborsOnly(now time.Time, limit *notices.Limiter) {
	for limit.MorePeers(now, 1, 1) > 0 {
		limit.Charge(now, 100)
	}
}

// TestNoticesReachAllInstances guards against instances that aren't told of a version or of a server that leaves, though another one
// that has been told could pass it on.
func TestNoticesReachAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 12
		ctx, cancel := context.WithCancel(t.Context())
		p := &loopbackPeers{byAddress: map[string]*loopbackPeer{}}
		for n := range instances {
			p.byAddress[fmt.Sprint("entry-", n)] = &loopbackPeer{peers: p, name: fmt.Sprint("entry-", n), handlers: map[peers.Kind]peers.Handler{}}
		}
		var all []*noticeInstance
		for n := range instances {
			name := fmt.Sprint("entry-", n)
			all = append(all, newNoticeInstance(t, p, p.byAddress[name], name, uint64(n)))
		}
		for _, i := range all {
			i.run(ctx)
		}
		time.Sleep(time.Second)
		tell := map[string]func(first *noticeInstance){
			"version": func(first *noticeInstance) {
				first.extension.PublishChanges([]residency.ResidencyChange{{Server: "s", StartMillis: 1, Ref: "m@1", Present: true, Term: 3}})
			},
			"departure": func(first *noticeInstance) {
				first.extension.AddDepartureNotice(discovery.Departure{Server: "s", StartMillis: 1})
			},
			"removal": func(first *noticeInstance) {
				first.extension.AddDepartureNotice(discovery.Departure{Server: "s", RemovedAt: 7})
			},
		}
		for name, f := range tell {
			start := time.Now()
			leaveRoomForNeighborsOnly(start, all[0].exchange.versionNotices)
			leaveRoomForNeighborsOnly(start, all[0].exchange.departureNotices)
			f(all[0])
			all[0].exchange.TriggerSend()
			time.Sleep(notices.VersionLifetime)
			var slowest time.Duration
			for n, i := range all[1:] {
				i.mu.Lock()
				if len(i.heardAt) != 1 {
					t.Errorf("%s: instance %d has heard something new %d times in %v, want once", name, n+1, len(i.heardAt), notices.VersionLifetime)
				} else {
					slowest = max(slowest, i.heardAt[0].Sub(start))
				}
				i.heardAt = nil
				i.mu.Unlock()
			}
			t.Logf("%s: heard by all after %v", name, slowest)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestManyGoneVersionsStayWithinTheByteBudget guards against notices of versions that go away, which are sent beyond all limits.
func TestManyGoneVersionsStayWithinTheByteBudget(t *testing.T) {
	const bound = 2 * cluster.DefaultBytesPerSecond
	n := noticeBytesOfATakeover(t, versionsPerServer)
	t.Log(n)
	if n > bound {
		t.Errorf("%d bytes of notices sent in a second, want at most %d", n, bound)
	}
}

// TestManyDeparturesStayWithinTheirLimit guards against notices of servers that leave, which are sent beyond all limits.
func TestManyDeparturesStayWithinTheirLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const departures, linkBytesPerSecond = 1000, 10_000_000 / 8
		ctx, cancel := context.WithCancel(t.Context())
		p, c := startLoopbackPeers(ctx, 68)
		x := newResidencyExtension()
		manager, err := residency.New(residency.Options{
			Instance: "entry-0", Control: noControl{}, Document: func() *site.Document { return &site.Document{} },
			Lease: lease.Config{TTL: 3 * time.Second, Margin: time.Second / 2, Jitter: time.Second / 3}, Now: time.Now, Logger: logging.Discard(),
		})
		if err != nil {
			t.Fatal(err)
		}
		x.manager, x.watcher = manager, discovery.New(discovery.Options{Logger: logging.Discard()})
		e := &exchange{
			cluster: c, extension: x, holder: func() string { return "" }, logger: logging.Discard(),
			versionNotices: notices.NewVersionLimiter(), departureNotices: notices.NewDepartureLimiter(),
		}
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		p.digestBytes = 0
		p.mu.Unlock()
		for n := range departures {
			x.AddDepartureNotice(discovery.Departure{Server: fmt.Sprintf("i-%010x", n), StartMillis: 1771376889046})
			if n%100 == 99 {
				e.sendNotices(false)
				time.Sleep(100 * time.Millisecond)
				e.sendNotices(true)
			}
		}
		cancel()
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		t.Logf("%d bytes", p.digestBytes)
		if p.digestBytes > linkBytesPerSecond/8 {
			t.Errorf("%d bytes of notices of %d servers that leave sent in a second, want at most an eighth of the link's %d", p.digestBytes, departures, linkBytesPerSecond)
		}
	})
}
