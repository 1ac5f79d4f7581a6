package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/store"
)

// stableWindow is how long after the end of a cut an instance is bound to the rules again.
const stableWindow = 3 * time.Second

// cutSource is how one instance sees a store from which it can be cut off.
type cutSource struct {
	*fakeSource
	cut atomic.Bool
}

var errCutOff = errors.New("cut off")

func (s *cutSource) List(ctx context.Context) (Update, error) {
	if s.cut.Load() {
		time.Sleep(readTime)
		return Update{}, errCutOff
	}
	return s.fakeSource.List(ctx)
}

func (s *cutSource) Watch(ctx context.Context, after store.Revision) (Update, error) {
	if s.cut.Load() {
		time.Sleep(readTime)
		return Update{}, errCutOff
	}
	return s.fakeSource.Watch(ctx, after)
}

// cutFleet is instances before one store, which ask each other for their contact with it.
type cutFleet struct {
	store   *fakeSource
	sources []*cutSource
	sinks   []*fakeSink
}

func startCutFleet(ctx context.Context, instances int) *cutFleet {
	f := &cutFleet{store: &fakeSource{servers: []Server{server("a", 1, 1), server("b", 1, 1)}, revision: 1}}
	var all []*Watcher
	for n := range instances {
		source, sink := &cutSource{fakeSource: f.store}, &fakeSink{}
		f.sources, f.sinks = append(f.sources, source), append(f.sinks, sink)
		all = append(all, New(Options{
			Source: source, Sink: sink, Pooled: func(string) bool { return false }, Logger: logging.Discard(),
			Instances: func() int { return instances }, LeavingBound: leavingBound,
			PeerContacts: func(context.Context) (out []Contact) {
				for range 3 {
					if other := rand.N(instances); other != n && !f.sources[other].cut.Load() {
						out = append(out, all[other].Contact())
					}
				}
				return out
			},
		}))
	}
	for _, w := range all {
		go w.Run(ctx)
	}
	return f
}

// TestServerThatLeftDuringACutIsGoneAtOnceAfterIt guards against an instance that takes its own cut for an outage of the
// store, and goes on sending requests to a server whose entry was removed meanwhile.
func TestServerThatLeftDuringACutIsGoneAtOnceAfterIt(t *testing.T) {
	for _, size := range []struct{ instances, cut int }{{3, 1}, {295, 98}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			f := startCutFleet(ctx, size.instances)
			time.Sleep(6 * time.Second)
			for _, s := range f.sources[:size.cut] {
				s.cut.Store(true)
			}
			time.Sleep(5500 * time.Millisecond)
			f.store.change(func() { f.store.servers = []Server{server("a", 1, 9)} })
			f.store.change(func() { f.store.compacted = f.store.revision })
			time.Sleep(2500 * time.Millisecond)
			for _, s := range f.sources[:size.cut] {
				s.cut.Store(false)
			}
			// An instance is in touch again after stableWindow. The bound is over by then.
			time.Sleep(stableWindow)
			if longest := f.awaitServers("[a]", size.cut); longest > 0 {
				t.Errorf("%d instances, %d cut off: the server that left is known for another %v", size.instances, size.cut, longest)
			}
		})
	}
}

// awaitServers returns how long it takes until the first instances know just the given servers.
func (f *cutFleet) awaitServers(want string, instances int) time.Duration {
	began := time.Now()
	for _, sink := range f.sinks[:instances] {
		for sink.names() != want && time.Since(began) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestServersAreKeptAfterAnOutageThatAllInstancesHad guards against servers that are given up after an outage of the store in
// which their entries expired, because an instance that has returned earlier is taken for one that stayed in touch.
func TestServersAreKeptAfterAnOutageThatAllInstancesHad(t *testing.T) {
	for _, instances := range []int{1, 3, 295} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			f := startCutFleet(ctx, instances)
			time.Sleep(6 * time.Second)
			f.store.change(func() { f.store.unreachable = true })
			time.Sleep(8 * time.Second)
			f.store.change(func() { f.store.unreachable, f.store.servers, f.store.compacted = false, nil, f.store.revision })
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				for n, sink := range f.sinks {
					if got := sink.names(); got != "[a b]" {
						t.Fatalf("%d instances: instance %d knows %s within 2 s of the outage, want [a b]", instances, n, got)
					}
				}
			}
			f.store.change(func() { f.store.servers = []Server{server("a", 1, 9), server("b", 1, 9)} })
			time.Sleep(5 * time.Second)
			if longest := f.awaitServers("[a b]", instances); longest > 0 {
				t.Errorf("%d instances: servers that announced themselves again after an outage aren't known", instances)
			}
		})
	}
}

// TestContactProvesOnlyWhatItCovers: a peer that returned during the absence, or has not read the store since, says nothing of it.
func TestContactProvesOnlyWhatItCovers(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	a := absence{since: at(0), until: at(8)}
	for _, c := range []struct {
		what    string
		contact Contact
		want    bool
	}{
		{"all the while", Contact{at(-100), at(8)}, true},
		{"read a moment before the end", Contact{at(-100), at(7)}, true},
		{"began a moment after the absence", Contact{at(1), at(8)}, true},
		{"returned during the absence", Contact{at(5), at(8)}, false},
		{"not read since the outage began", Contact{at(-100), at(0.5)}, false},
		{"never", Contact{}, false},
	} {
		if got := a.coveredBy(c.contact); got != c.want {
			t.Errorf("%s: covered %v, want %v", c.what, got, c.want)
		}
	}
}
