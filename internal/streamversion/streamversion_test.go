package streamversion

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// network connects keepers. It is the Cluster and the Transport of each.
type network struct {
	nodes map[string]*node
	// datagrams counts what was sent of streams, and bytes their payloads, by sender.
	datagrams, bytes map[string]int
	// store holds the archive; nil if there is none.
	store *memoryStore
	// knowsOthers is true once instances know each other.
	knowsOthers bool
	// noRoom is true while the byte budget of all instances is used up.
	noRoom bool
}

type node struct {
	network *network
	name    string
	keeper  *Keeper
	// dead is true once the instance was killed; others still list it as alive.
	dead atomic.Bool
	// cut is true while the instance reaches no other one.
	cut atomic.Bool
	// frozen is true while the instance gets no answer of the store.
	frozen bool
}

func newNetwork(n int) *network {
	net := &network{knowsOthers: true, nodes: map[string]*node{}, datagrams: map[string]int{}, bytes: map[string]int{}}
	for i := range n {
		net.start(fmt.Sprint("i", i))
	}
	return net
}

func (net *network) start(name string) *node {
	n := &node{network: net, name: name}
	net.nodes[name] = n
	options := Options{Cluster: n, Transport: n, Logger: logging.Discard(), Now: time.Now}
	if net.store != nil {
		options.Store, options.ArchivePrefix = net.store, "archive/"
		// The clocks of instances differ by years.
		ahead := time.Duration(len(net.nodes)) * 10_000 * time.Hour
		options.Now = func() time.Time { return time.Now().Add(ahead) }
	}
	n.keeper = New(options)
	n.keeper.ObserveRoutes(routesTo(timeout, service))
	return n
}

func (net *network) observeAll(servers ...Server) {
	for _, n := range net.nodes {
		n.keeper.ObserveServers(servers)
	}
}

// pass lets time pass, in which the store goes on answering all instances but those that are frozen.
func (net *network) pass(d time.Duration) {
	const step = time.Second
	for ; d > 0; d -= step {
		time.Sleep(min(d, step))
		for _, n := range net.nodes {
			if !n.frozen {
				n.keeper.ConfirmServers(time.Now())
			}
		}
	}
}

func (n *node) Self() string { return n.name }

func (n *node) Members() []membership.Member {
	var out []membership.Member
	for name := range n.network.nodes {
		if !n.network.knowsOthers && name != n.name {
			continue
		}
		out = append(out, membership.Member{Identity: membership.Identity{Name: name, PeerAddress: name}, State: membership.Alive})
	}
	return out
}

func (n *node) reaches(name string) (*node, bool) {
	other := n.network.nodes[name]
	return other, other != nil && !other.dead.Load() && !other.cut.Load() && !n.cut.Load()
}

func (n *node) Send(name string, kind peers.Kind, payload []byte) bool {
	if n.network.noRoom {
		return false
	}
	n.SendUrgent(name, kind, payload)
	return true
}

func (n *node) SendUrgent(name string, kind peers.Kind, payload []byte) {
	n.network.datagrams[n.name]++
	n.network.bytes[n.name] += len(payload)
	if other, ok := n.reaches(name); ok && kind == peers.KindStreams {
		other.keeper.HandleDatagram(n.name, payload)
	} else if ok {
		other.keeper.archive.HandleDatagram(n.name, payload)
	}
}

func (n *node) Handle(peers.Kind, peers.Handler) {}

func (n *node) Datagram(string, peers.Kind, []byte) {}

var errSilent = errors.New("no answer")

func (n *node) Call(ctx context.Context, address string, _ peers.Kind, payload []byte) ([]byte, error) {
	other, ok := n.reaches(address)
	if !ok {
		<-ctx.Done()
		return nil, errSilent
	}
	return other.keeper.HandleCall(ctx, n.name, payload)
}

const (
	life    = 15 * time.Second
	timeout = 4 * time.Second
	service = "llm"
)

// stream is a stream as requests tell of it.
func stream(id request.ID) request.ResumedStream {
	return request.ResumedStream{ID: id, Named: true, Service: service, Life: life, Timeout: timeout, Host: "h", Path: "/s/x"}
}

// routesTo returns a route to services, by which streams find them, and one that changes nothing.
func routesTo(timeout time.Duration, services ...string) []site.Route {
	route := site.Route{Host: "h", PathPrefix: "/s/", TimeoutMillis: timeout.Milliseconds()}
	for _, service := range services {
		route.Targets = append(route.Targets, site.RouteTarget{Service: service, Weight: 1})
	}
	return []site.Route{route}
}

func (net *network) observeRoutes(routes []site.Route) {
	for _, n := range net.nodes {
		n.keeper.ObserveRoutes(routes)
	}
}

var (
	v1 = request.Origin{Service: service, SoftwareVersion: "v1"}
	v2 = request.Origin{Service: service, SoftwareVersion: "v2"}
)

// versions returns one server of the service for each version.
func versions(all ...string) []Server {
	var out []Server
	for _, version := range all {
		out = append(out, Server{Service: service, Version: version})
	}
	return out
}

func wantOrigin(t *testing.T, n *node, id request.ID, want request.Origin) {
	t.Helper()
	got, err := n.keeper.OriginOf(context.Background(), stream(id))
	if got != want || (err == nil) != isKnown(want) {
		t.Errorf("instance %s, stream %s: got %v, error %v, want %v", n.name, id, got, err, want)
	}
	if err != nil && verdict.Of(err) != verdict.NotRun {
		t.Errorf("got %v, want an error with the verdict not-run", err)
	}
}

// TestEachInstanceKnowsWhichVersionBeganAStream guards against streams that can't go on, or go on at
// another version, because the instance that began them is gone or never told the one that is asked.
func TestEachInstanceKnowsWhichVersionBeganAStream(t *testing.T) {
	for _, size := range []int{2, 8, 68, 295} {
		synctest.Test(t, func(t *testing.T) {
			net := newNetwork(size)
			net.observeAll(versions("v1", "v2")...)
			net.pass(life)
			for n := range 40 {
				id := request.ID(fmt.Sprint("stream", n))
				origin := []request.Origin{v1, v2}[n%2]
				began := net.nodes[fmt.Sprint("i", n%size)]
				began.keeper.Began(id, origin, life)
				if size > 2 {
					began.dead.Store(true)
				}
				wantOrigin(t, net.nodes[fmt.Sprint("i", (n+1)%size)], id, origin)
				began.dead.Store(false)
			}
			total := 0
			for _, bytes := range net.bytes {
				total += bytes
			}
			t.Logf("%d instances: %d bytes of payload a stream, from all together", size, total/40)
			for name, count := range net.datagrams {
				if perStream := float64(count) / float64((40+size-1)/size); perStream > holdersPerStream {
					t.Errorf("%d instances: %s sent %d datagrams, want at most %d a stream", size, name, count, holdersPerStream)
				}
			}
		})
	}
}

// TestVersionOfAStreamIsToldWithoutRoomInTheByteBudget guards against streams that nobody can go on with after the end of their
// instance, since other datagrams had taken its byte budget when they began.
func TestVersionOfAStreamIsToldWithoutRoomInTheByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.observeAll(versions("v1", "v2")...)
		net.pass(life)
		net.noRoom = true
		net.nodes["i0"].keeper.Began("stream", v1, life)
		net.nodes["i0"].dead.Store(true)
		wantOrigin(t, net.nodes["i1"], "stream", v1)
	})
}

// TestVersionIsNeverGuessed guards against a stream that goes on at a version that may not have begun it:
// its record is lost, several versions serve or have served, an instance is cut off or has just started.
func TestVersionIsNeverGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.observeAll(versions("v1", "v1", "v1")...)
		wantOrigin(t, net.nodes["i0"], "just started", request.Origin{})
		net.pass(life)
		wantOrigin(t, net.nodes["i0"], "one version all the time", v1)
		cut := net.nodes["i1"]
		cut.cut.Store(true)
		wantOrigin(t, cut, "cut off", request.Origin{})
		cut.cut.Store(false)
		// Only the holders have learned of another version.
		for name, n := range net.nodes {
			if name != "i0" {
				n.keeper.ObserveServers(versions("v1", "v2"))
			}
		}
		wantOrigin(t, net.nodes["i0"], "a version that this instance doesn't know of", request.Origin{})
		net.observeAll(versions("v2")...)
		wantOrigin(t, net.nodes["i0"], "a version that has gone", request.Origin{})
		net.pass(life + time.Second)
		wantOrigin(t, net.nodes["i0"], "the other version all the time", v2)
		net.nodes["i2"].keeper.ObserveAnnounced(versions("v3", "v2"))
		wantOrigin(t, net.nodes["i2"], "a version that has come and gone between two lists", request.Origin{})
		net.pass(life + time.Second)
		wantOrigin(t, net.nodes["i2"], "long after it", v2)
		net.observeAll(versions("v2", "")...)
		wantOrigin(t, net.nodes["i0"], "a server without a version", request.Origin{})
	})
}

// TestStartedInstanceLearnsTheOnlyVersion guards against streams that can't go on at an instance that has
// started just before, although only one version has served for long.
func TestStartedInstanceLearnsTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.observeAll(versions("v1")...)
		net.pass(life)
		started := net.start("i3")
		started.keeper.ObserveServers(versions("v1"))
		wantOrigin(t, started, "s", v1)
	})
}

// TestServiceOfAStreamIsNotGuessed guards against a stream of a route with several services that goes on
// at another one.
func TestServiceOfAStreamIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(4)
		net.observeAll(versions("v1")...)
		net.pass(life)
		if got, err := net.nodes["i0"].keeper.OriginOf(t.Context(), request.ResumedStream{ID: "s", Named: true, Life: life}); err == nil {
			t.Errorf("got %v, want that nobody knows", got)
		}
		net.nodes["i1"].keeper.Began("s", v1, life)
		if got, err := net.nodes["i0"].keeper.OriginOf(t.Context(), request.ResumedStream{ID: "s", Named: true, Life: life}); err != nil || got != v1 {
			t.Errorf("got %v, error %v, want %v", got, err, v1)
		}
	})
}

// TestStreamsAreForgotten guards against memory that grows with streams.
func TestStreamsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(2)
		k := net.nodes["i0"].keeper
		for n := range maxRecords + 100 {
			k.Began(request.ID(fmt.Sprint(n)), v1, life)
		}
		if n := len(k.records.byID); n > maxRecords || n != k.records.order.Len() {
			t.Errorf("%d streams are known, want at most %d", n, maxRecords)
		}
		time.Sleep(life + lifeMargin)
		k.Began("last", v1, life)
		if n := len(k.records.byID); n != 1 {
			t.Errorf("%d streams are known after their end, want the last one", n)
		}
	})
}

// TestMalformedWordOfAStreamIsIgnored guards against a peer's word that gives a stream a version for good
// or takes much memory.
func TestMalformedWordOfAStreamIsIgnored(t *testing.T) {
	net := newNetwork(2)
	k := net.nodes["i0"].keeper
	long := string(make([]byte, 200))
	for _, b := range []begun{
		{}, {ID: "a", Version: "v", LifeMillis: 1}, {ID: "a", Service: "s", LifeMillis: 1}, {ID: "a", Version: "v", Service: "s"},
		{ID: "a", Version: "v", Service: "s", LifeMillis: -1}, {ID: "a", Version: "v", Service: "s", LifeMillis: 1 << 60},
		{ID: request.ID(long), Version: "v", Service: "s", LifeMillis: 1}, {ID: "a", Version: long, Service: "s", LifeMillis: 1},
		{ID: "a", Refused: true, Version: "v", Service: "s", LifeMillis: 1}, {ID: "a", Refused: true},
	} {
		payload, err := cbor.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		k.HandleDatagram("i1", payload)
	}
	k.HandleDatagram("i1", []byte("no message"))
	if n := len(k.records.byID); n != 0 {
		t.Errorf("%d malformed records were taken", n)
	}
	if _, err := k.HandleCall(t.Context(), "i1", []byte{0xff}); err == nil {
		t.Error("a malformed question is answered")
	}
}

// TestStreamGoesOnAfterItsHoldersHaveEnded guards against streams that can't go on, or wait long, because the
// instances that knew them have ended and others still list them, although only one version serves.
func TestStreamGoesOnAfterItsHoldersHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.observeAll(versions("v1")...)
		net.pass(life)
		asking := net.nodes["i0"]
		for _, holder := range asking.keeper.nearest("s", holdersPerStream) {
			net.nodes[holder.Name].dead.Store(true)
		}
		start := time.Now()
		wantOrigin(t, asking, "s", v1)
		if took := time.Since(start); took > settledAfter {
			t.Errorf("known after %v, want at most %v", took, settledAfter)
		}
		// With two versions the record matters, and all are waited for.
		net.observeAll(versions("v1", "v2")...)
		wantOrigin(t, asking, "s", request.Origin{})
	})
}

// TestStreamThatWasRefusedIsntServedOnceNobodyRemembersItsVersion guards against a stream of a version that has left,
// which goes on at another one because its caller tries for longer than streams are expected to live.
func TestStreamThatWasRefusedIsntServedOnceNobodyRemembersItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.observeAll(versions("v2")...)
		for n := range 12 {
			wantOrigin(t, net.nodes[fmt.Sprint("i", n%8)], "begun at v1", request.Origin{})
			net.pass(life / 3)
		}
		wantOrigin(t, net.nodes["i0"], "another", v2)
		net.nodes["i1"].keeper.Began("begun at v1", v2, life)
		wantOrigin(t, net.nodes["i0"], "begun at v1", v2)
	})
}

// TestInstanceThatWasFrozenProvesNoVersion guards against a stream that goes on at the wrong version since an
// instance that has got no news of the servers, frozen or cut off from the store, claims to have seen all that time:
// a version came and went meanwhile, and all that knew it were killed.
func TestInstanceThatWasFrozenProvesNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(4)
		net.observeAll(versions("v1")...)
		net.pass(2 * life)
		frozen := net.nodes["i0"]
		frozen.frozen = true
		net.pass(2 * life)
		for _, name := range []string{"i1", "i2", "i3"} {
			net.start(name).keeper.ObserveServers(versions("v1"))
		}
		wantOrigin(t, net.nodes["i1"], "begun at v2", request.Origin{})
		frozen.frozen = false
		net.pass(time.Second)
		wantOrigin(t, net.nodes["i2"], "begun at v2", request.Origin{})
		wantOrigin(t, frozen, "begun at v2 too", request.Origin{})
		net.pass(life)
		wantOrigin(t, frozen, "begun since", v1)
	})
}

// TestStreamOfARouteThatHasChangedIsNotGuessed guards against a stream that goes on at the service to which its route
// leads now, though it began at another one, or that is taken to have lived for a shorter time than its route allowed
// when it began.
func TestStreamOfARouteThatHasChangedIsNotGuessed(t *testing.T) {
	other := site.Route{Host: "h", PathPrefix: "/other/", TimeoutMillis: 60000, Targets: []site.RouteTarget{{Service: "other"}}}
	for name, c := range map[string]struct {
		before []site.Route
		// refusedFor is for how long the stream is refused after the change.
		refusedFor time.Duration
	}{
		"another service":         {routesTo(timeout, "old"), life},
		"one of several services": {routesTo(timeout, "old", service), life},
		"a longer timeout":        {routesTo(timeout+5*time.Second, service), life + 10*time.Second},
		"a shorter timeout":       {routesTo(timeout/2, service), 0},
		"another path":            {append(routesTo(timeout, service), other), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			net := newNetwork(4)
			net.observeAll(versions("v1")...)
			net.observeRoutes(c.before)
			net.pass(4 * life)
			net.observeRoutes(routesTo(timeout, service))
			t.Log(name)
			net.pass(time.Second)
			if c.refusedFor > 0 {
				wantOrigin(t, net.nodes["i0"], "first", request.Origin{})
				wantOrigin(t, net.start("i4"), "asked by an instance that has started since", request.Origin{})
				delete(net.nodes, "i4")
			}
			net.pass(c.refusedFor)
			wantOrigin(t, net.nodes["i0"], "second", v1)
		})
	}
}

// TestManyChangesOfRoutesTakeLittleMemory guards against tables of routes that are kept for each of many changes, and
// against a stream that is guessed once the one under which it began was dropped.
func TestManyChangesOfRoutesTakeLittleMemory(t *testing.T) {
	var r routes
	now := time.Unix(1000, 0)
	for n := range 3 * maxTables {
		now = now.Add(time.Second)
		r.observe(now, routesTo(timeout, fmt.Sprint("s", n)))
	}
	if got := r.observed(now); len(r.tables) != maxTables || got != (maxTables-1)*time.Second {
		t.Errorf("%d tables are kept, known for %v, want %d and no longer than the oldest of them", len(r.tables), got, maxTables)
	}
	if r.observe(now.Add(historyMemory+time.Hour), routesTo(timeout, "s")); len(r.tables) != 2 {
		t.Errorf("%d tables are kept, want the present one and the one before", len(r.tables))
	}
}
