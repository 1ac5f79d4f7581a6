package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/instancelist"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
)

// network carries messages between clusters in one process.
type network struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	isCut     map[string]bool
	bytes     int
	// digestsAt is when digests were sent to each address.
	digestsAt map[string][]time.Time
}

type endpoint struct {
	net      *network
	name     string
	address  string
	handlers map[peers.Kind]peers.Handler
}

func newNetwork() *network {
	return &network{endpoints: map[string]*endpoint{}, isCut: map[string]bool{}, digestsAt: map[string][]time.Time{}}
}

func (n *network) endpoint(id membership.Identity) *endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &endpoint{net: n, name: id.Name, address: id.PeerAddress, handlers: map[peers.Kind]peers.Handler{}}
	n.endpoints[e.address] = e
	return e
}

// setCut disconnects or reconnects an address in both directions.
func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut[address] = cut
}

func (e *endpoint) Handle(kind peers.Kind, handler peers.Handler) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.handlers[kind] = handler
}

func (e *endpoint) Datagram(address string, kind peers.Kind, payload []byte) {
	e.net.mu.Lock()
	to := e.net.endpoints[address]
	lost := e.net.isCut[address] || e.net.isCut[e.address]
	e.net.bytes += len(payload)
	if kind == peers.KindDigest {
		e.net.digestsAt[address] = append(e.net.digestsAt[address], time.Now())
	}
	var handler peers.Handler
	if to != nil && !lost {
		handler = to.handlers[kind]
	}
	e.net.mu.Unlock()
	if handler != nil {
		time.AfterFunc(time.Millisecond, func() { handler.HandleDatagram(e.name, payload) })
	}
}

func (e *endpoint) Call(context.Context, string, peers.Kind, []byte) ([]byte, error) {
	return nil, errors.New("no calls in this network")
}

// fakeLister returns an instance list that tests can change.
type fakeLister struct {
	mu        sync.Mutex
	instances []instancelist.Instance
	err       error
}

func (l *fakeLister) List(context.Context) ([]instancelist.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances, l.err
}

func (l *fakeLister) set(instances []instancelist.Instance, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances, l.err = instances, err
}

func identity(i int) membership.Identity {
	return membership.Identity{
		Name:          fmt.Sprintf("entry-%d", i),
		CallerAddress: fmt.Sprintf("10.0.0.%d:8080", i),
		PeerAddress:   fmt.Sprintf("10.0.0.%d:7443", i),
		FailureDomain: fmt.Sprintf("zone-%d", i%3),
	}
}

func instances(n int) []instancelist.Instance {
	var out []instancelist.Instance
	for i := range n {
		id := identity(i)
		out = append(out, instancelist.Instance{
			Name: id.Name, CallerAddress: id.CallerAddress,
			PeerAddress: id.PeerAddress, FailureDomain: id.FailureDomain,
		})
	}
	return append(out, instancelist.Instance{Name: "server-1", ServerAddress: "10.0.1.1:9000"})
}

type fleet struct {
	net      *network
	lister   *fakeLister
	clusters []*Cluster
}

// runFleet runs n clusters in virtual time until the returned function is called or the
// test ends.
func runFleet(t *testing.T, n int, wg *sync.WaitGroup) (*fleet, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{net: newNetwork(), lister: &fakeLister{}}
	f.lister.set(instances(n), nil)
	for i := range n {
		c := New(Options{
			Self:      identity(i),
			Transport: f.net.endpoint(identity(i)),
			Lister:    f.lister,
			Seed:      uint64(i),
		})
		f.clusters = append(f.clusters, c)
	}
	for _, c := range f.clusters {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	return f, cancel
}

// withFleet runs a test in virtual time with a fleet that stops when the test ends.
func withFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		f, cancel := runFleet(t, n, &wg)
		defer wg.Wait()
		defer cancel()
		test(t, f)
	})
}

// states counts the clusters by the state in which they see the named instance.
func (f *fleet) states(name string) map[membership.State]int {
	out := map[membership.State]int{}
	for _, c := range f.clusters {
		m, _ := c.Member(name)
		out[m.State]++
	}
	return out
}

func TestFleetSeesDeathWithinThreeSecondsAndReturn(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		if got := f.states("entry-4"); got[membership.Alive] != 9 {
			t.Fatalf("states of entry-4 3 s after the start: %v, want 9 alive", got)
		}
		f.net.setCut("10.0.0.4:7443", true)
		time.Sleep(3 * time.Second)
		if got := f.states("entry-4"); got[membership.Dead] != 8 {
			t.Fatalf("states of entry-4 3 s after its network was cut: %v, want 8 dead", got)
		}
		f.net.setCut("10.0.0.4:7443", false)
		time.Sleep(10 * time.Second)
		for i := range 9 {
			if got := f.states(identity(i).Name); got[membership.Alive] != 9 {
				t.Fatalf("states of entry-%d 10 s after the network was restored: %v, want 9 alive", i, got)
			}
		}
	})
}

func TestLeaveAndIncompleteList(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		if err := f.clusters[2].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.lister.set(instances(5), nil) // The list misses four healthy instances.
		time.Sleep(3 * time.Second)
		if got := f.states("entry-2"); got[membership.Leaving] != 9 {
			t.Errorf("states of the leaving instance: %v, want 9 leaving", got)
		}
		f.lister.set(nil, errors.New("list is unavailable"))
		time.Sleep(time.Minute)
		if got := f.states("entry-7"); got[membership.Alive] != 9 {
			t.Errorf("states of an instance missing from the list: %v, want 9 alive", got)
		}
	})
}

// TestControlTrafficStaysWithinByteBudget guards against digests that exceed the byte budget
// or delay heartbeats: it broadcasts far more than the budget allows while heartbeats
// continue.
func TestControlTrafficStaysWithinByteBudget(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		before := f.clusters[0].Stats()
		const seconds = 30
		for range seconds * 10 {
			f.clusters[0].Broadcast(peers.KindDigest, make([]byte, 1000), &Rotation{})
			time.Sleep(100 * time.Millisecond)
		}
		after := f.clusters[0].Stats()
		digests := after.DigestBytes - before.DigestBytes
		total := digests + after.MembershipBytes - before.MembershipBytes
		if total > DefaultBytesPerSecond*(seconds+1) {
			t.Errorf("sent %d bytes in %d s, want at most %d a second", total, seconds, DefaultBytesPerSecond)
		}
		if digests < total/2 || after.DigestsSkipped == 0 {
			t.Errorf("want at least half of the bytes for digests and some digests skipped: %+v", after)
		}
		if got := f.states("entry-0"); got[membership.Alive] != 9 {
			t.Errorf("states of entry-0 with an exhausted budget: %v, want 9 alive", got)
		}
	})
}

// TestBroadcastsBeyondTheByteBudgetReachAllPeersInTurn guards against peers that are left out for long, since each broadcast reaches
// some that are drawn anew.
func TestBroadcastsBeyondTheByteBudgetReachAllPeersInTurn(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		const digestBytes, seconds, membershipBytesPerSecond = 4000, 60, 6000
		// All peers get one in this time, with a fifth to spare.
		const bound = 8 * (digestBytes + datagramOverheadBytes) * time.Second / (DefaultBytesPerSecond - membershipBytesPerSecond) * 6 / 5
		time.Sleep(5 * time.Second)
		start, rotation := time.Now(), &Rotation{}
		for range seconds * 4 {
			f.clusters[0].Broadcast(peers.KindDigest, make([]byte, digestBytes), rotation)
			time.Sleep(250 * time.Millisecond)
		}
		for i := range 8 {
			address, last := identity(i+1).PeerAddress, start.Add(time.Second)
			for _, at := range append(f.net.digestsAt[address], time.Now()) {
				if pause := at.Sub(last); pause > bound {
					t.Errorf("%s got no digest for %v, want one each %v", address, pause, bound)
				}
				last = at
			}
		}
	})
}

func TestSendReportsWhetherPeerIsLive(t *testing.T) {
	net := newNetwork()
	c := New(Options{Self: identity(0), Transport: net.endpoint(identity(0)), Lister: &fakeLister{}})
	if c.Send("entry-1", peers.KindDigest, nil) || c.Send("entry-0", peers.KindDigest, nil) {
		t.Error("Send to an unknown peer (entry-1) or to itself (entry-0) reported success, want none for both")
	}
	c.machine.Receive(time.Now(), membership.Message{
		Type: membership.TypeRecords, From: "entry-1",
		Records: []membership.Record{{Name: "entry-1", Incarnation: 1, PeerAddress: "10.0.0.1:7443"}},
	})
	if !c.Send("entry-1", peers.KindDigest, nil) {
		t.Error("Send to a live peer reported no success")
	}
}

func TestMessageUnderAnotherNameIsDropped(t *testing.T) {
	c := New(Options{Self: identity(0), Transport: newNetwork().endpoint(identity(0)), Lister: &fakeLister{}})
	message := membership.Message{
		Type: membership.TypePing, From: "entry-1",
		Records: []membership.Record{{Name: "entry-1", Incarnation: 1, PeerAddress: "10.0.0.1:7443"}},
	}
	payload, err := message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.HandleDatagram("entry-2", payload)
	if got := c.Stats().Malformed; got != 1 || len(c.Members()) != 1 {
		t.Errorf("%d messages dropped, want 1; members %+v, want 1", got, c.Members())
	}
	c.HandleDatagram("entry-1", payload)
	if len(c.Members()) != 2 {
		t.Errorf("members %+v, want 2", c.Members())
	}
}

// countingLister returns a list of a given length and counts its reads.
type countingLister struct {
	instances, reads atomic.Int64
}

func (l *countingLister) List(context.Context) ([]instancelist.Instance, error) {
	l.reads.Add(1)
	var out []instancelist.Instance
	for i := range int(l.instances.Load()) {
		id := identity(i)
		out = append(out, instancelist.Instance{Name: id.Name, PeerAddress: id.PeerAddress})
	}
	return out, nil
}

// TestListIsReadLessOftenOnceItStopsGrowing guards against too many reads of the platform's
// list by a whole fleet: an instance must read it often while it grows and seldom once it
// contains nothing new.
func TestListIsReadLessOftenOnceItStopsGrowing(t *testing.T) {
	for _, c := range []struct{ instances, minGrowingReads, minQuietReads, maxQuietReads int64 }{{8, 5, 10, 17}, {80, 1, 7, 14}} {
		synctest.Test(t, func(t *testing.T) {
			l := &countingLister{}
			l.instances.Store(c.instances)
			cluster := New(Options{Self: identity(0), Transport: newNetwork().endpoint(identity(0)), Lister: l})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = cluster.Run(ctx) }()
			for range 10 {
				time.Sleep(time.Second)
				l.instances.Add(1)
			}
			if n := l.reads.Load(); n < c.minGrowingReads {
				t.Errorf("%d instances: %d reads in 10 s while the list grew, want at least minGrowingReads of the case", c.instances, n)
			}
			time.Sleep(20 * time.Second)
			before := l.reads.Load()
			time.Sleep(100 * time.Second)
			if n := l.reads.Load() - before; n < c.minQuietReads || n > c.maxQuietReads {
				t.Errorf("%d instances: %d reads in 100 s without new instances, want minQuietReads to maxQuietReads of the case", c.instances, n)
			}
			cancel()
			<-done
		})
	}
}
