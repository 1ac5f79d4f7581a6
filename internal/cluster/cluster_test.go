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

	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/platform"
)

// network carries messages between clusters in one process.
type network struct {
	mu    sync.Mutex
	nodes map[string]*endpoint
	cut   map[string]bool
	bytes int
}

type endpoint struct {
	net      *network
	name     string
	address  string
	handlers map[peers.Kind]peers.Handler
}

func newNetwork() *network {
	return &network{nodes: map[string]*endpoint{}, cut: map[string]bool{}}
}

func (n *network) endpoint(id membership.Identity) *endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &endpoint{net: n, name: id.Name, address: id.PeerAddress, handlers: map[peers.Kind]peers.Handler{}}
	n.nodes[e.address] = e
	return e
}

// setCut cuts or mends an address in both directions.
func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (e *endpoint) Handle(kind peers.Kind, handler peers.Handler) { e.handlers[kind] = handler }

func (e *endpoint) Datagram(address string, kind peers.Kind, payload []byte) {
	e.net.mu.Lock()
	to := e.net.nodes[address]
	lost := e.net.cut[address] || e.net.cut[e.address]
	e.net.bytes += len(payload)
	e.net.mu.Unlock()
	if to == nil || lost || to.handlers[kind] == nil {
		return
	}
	time.AfterFunc(time.Millisecond, func() { to.handlers[kind].HandleDatagram(e.name, payload) })
}

func (e *endpoint) Call(context.Context, string, peers.Kind, []byte) ([]byte, error) {
	return nil, errors.New("no calls in this network")
}

// list is a platform list that tests change.
type list struct {
	mu        sync.Mutex
	instances []platform.Instance
	err       error
}

func (l *list) List(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances, l.err
}

func (l *list) set(instances []platform.Instance, err error) {
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

func instances(n int) []platform.Instance {
	var out []platform.Instance
	for i := range n {
		id := identity(i)
		out = append(out, platform.Instance{
			Name: id.Name, CallerAddress: id.CallerAddress,
			PeerAddress: id.PeerAddress, FailureDomain: id.FailureDomain,
		})
	}
	return append(out, platform.Instance{Name: "server-1", ServerAddress: "10.0.1.1:9000"})
}

type fleet struct {
	net      *network
	list     *list
	clusters []*Cluster
}

// runFleet runs n clusters in virtual time until the test's context ends.
func runFleet(t *testing.T, n int, wg *sync.WaitGroup) (*fleet, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{net: newNetwork(), list: &list{}}
	f.list.set(instances(n), nil)
	for i := range n {
		c := New(Options{
			Self:      identity(i),
			Transport: f.net.endpoint(identity(i)),
			Lister:    f.list,
			Seed:      uint64(i),
		})
		f.clusters = append(f.clusters, c)
	}
	for _, c := range f.clusters {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	return f, cancel
}

// withFleet runs a test in virtual time with a fleet that ends with it.
func withFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		f, cancel := runFleet(t, n, &wg)
		defer wg.Wait()
		defer cancel()
		test(t, f)
	})
}

func (f *fleet) states(of string) map[membership.State]int {
	out := map[membership.State]int{}
	for _, c := range f.clusters {
		m, _ := c.Member(of)
		out[m.State]++
	}
	return out
}

func TestFleetSeesDeathWithinThreeSecondsAndReturn(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		if got := f.states("entry-4"); got[membership.Alive] != 9 {
			t.Fatalf("states after the start: %v", got)
		}
		f.net.setCut("10.0.0.4:7443", true)
		time.Sleep(3 * time.Second)
		if got := f.states("entry-4"); got[membership.Dead] != 8 {
			t.Fatalf("states 3 s after the cut: %v", got)
		}
		f.net.setCut("10.0.0.4:7443", false)
		time.Sleep(10 * time.Second)
		for i := range 9 {
			if got := f.states(identity(i).Name); got[membership.Alive] != 9 {
				t.Fatalf("states of entry-%d after the return: %v", i, got)
			}
		}
	})
}

func TestLeaveAndWrongList(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		if err := f.clusters[2].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.list.set(instances(5), nil) // The list loses four healthy instances.
		time.Sleep(3 * time.Second)
		if got := f.states("entry-2"); got[membership.Leaving] != 9 {
			t.Errorf("states of the leaving instance: %v", got)
		}
		f.list.set(nil, errors.New("list is away"))
		time.Sleep(time.Minute)
		if got := f.states("entry-7"); got[membership.Alive] != 9 {
			t.Errorf("states of an instance that the list lost: %v", got)
		}
	})
}

// TestControlStaysWithinItsBudget broadcasts far more than the budget allows, with
// heartbeats going on.
func TestControlStaysWithinItsBudget(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		before := f.clusters[0].Stats()
		const seconds = 30
		for range seconds * 10 {
			f.clusters[0].Broadcast(peers.KindDigest, make([]byte, 1000))
			time.Sleep(100 * time.Millisecond)
		}
		after := f.clusters[0].Stats()
		digests := after.DigestBytes - before.DigestBytes
		total := digests + after.MembershipBytes - before.MembershipBytes
		if total > DefaultBytesPerSecond*(seconds+1) {
			t.Errorf("sent %d bytes in %d s, above %d a second", total, seconds, DefaultBytesPerSecond)
		}
		if digests < total/2 || after.DigestsSkipped == 0 {
			t.Errorf("digests were squeezed out: %+v", after)
		}
		if got := f.states("entry-0"); got[membership.Alive] != 9 {
			t.Errorf("the spent budget harmed membership: %v", got)
		}
	})
}

func TestSendGoesToOneLivePeer(t *testing.T) {
	net := newNetwork()
	c := New(Options{Self: identity(0), Transport: net.endpoint(identity(0)), Lister: &list{}})
	if c.Send("entry-1", peers.KindDigest, nil) || c.Send("entry-0", peers.KindDigest, nil) {
		t.Error("sent to an unknown peer or to itself")
	}
	c.machine.Receive(time.Now(), membership.Message{
		Type: membership.TypeRecords, From: "entry-1",
		Records: []membership.Record{{Name: "entry-1", Incarnation: 1, PeerAddress: "10.0.0.1:7443"}},
	})
	if !c.Send("entry-1", peers.KindDigest, nil) {
		t.Error("not sent to a live peer")
	}
}

func TestMessageUnderAnotherNameIsDropped(t *testing.T) {
	c := New(Options{Self: identity(0), Transport: newNetwork().endpoint(identity(0)), Lister: &list{}})
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
		t.Errorf("%d dropped, members %+v", got, c.Members())
	}
	c.HandleDatagram("entry-1", payload)
	if len(c.Members()) != 2 {
		t.Errorf("members %+v", c.Members())
	}
}

// countedList names some instances and counts its reads.
type countedList struct {
	instances, reads atomic.Int64
}

func (l *countedList) List(context.Context) ([]platform.Instance, error) {
	l.reads.Add(1)
	var out []platform.Instance
	for i := range int(l.instances.Load()) {
		id := identity(i)
		out = append(out, platform.Instance{Name: id.Name, PeerAddress: id.PeerAddress})
	}
	return out, nil
}

// TestListIsReadLessOnceItSaysNothingNew replays a start and the quiet time after it: the
// list is read often while it grows, and the whole fleet's reads stay few.
func TestListIsReadLessOnceItSaysNothingNew(t *testing.T) {
	for _, c := range []struct{ instances, growing, quietLeast, quietMost int64 }{{8, 5, 10, 17}, {80, 1, 7, 14}} {
		synctest.Test(t, func(t *testing.T) {
			l := &countedList{}
			l.instances.Store(c.instances)
			node := New(Options{Self: identity(0), Transport: newNetwork().endpoint(identity(0)), Lister: l})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = node.Run(ctx) }()
			for range 10 {
				time.Sleep(time.Second)
				l.instances.Add(1)
			}
			if n := l.reads.Load(); n < c.growing {
				t.Errorf("%d instances: %d reads in 10 s while it grew", c.instances, n)
			}
			time.Sleep(20 * time.Second)
			before := l.reads.Load()
			time.Sleep(100 * time.Second)
			if n := l.reads.Load() - before; n < c.quietLeast || n > c.quietMost {
				t.Errorf("%d instances: %d reads in 100 quiet seconds", c.instances, n)
			}
			cancel()
			<-done
		})
	}
}
