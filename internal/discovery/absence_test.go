package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
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
	// reconnects makes calls that are under way at the end of a cut succeed soon after it, as connections are tried again.
	reconnects bool
}

var errCutOff = errors.New("cut off")

// reconnectTime is how long after the end of a cut a call that is under way is answered, if calls reconnect.
const reconnectTime = 250 * time.Millisecond

// reach waits like a call to the store during a cut, and returns an error if it gets no answer.
func (s *cutSource) reach() error {
	if !s.cut.Load() {
		return nil
	}
	if !s.reconnects {
		time.Sleep(readTime)
		return errCutOff
	}
	for began := time.Now(); time.Since(began) < readTime; time.Sleep(10 * time.Millisecond) {
		if !s.cut.Load() {
			time.Sleep(reconnectTime)
			return nil
		}
	}
	return errCutOff
}

func (s *cutSource) List(ctx context.Context) (Update, error) {
	if err := s.reach(); err != nil {
		return Update{}, err
	}
	return s.fakeSource.List(ctx)
}

func (s *cutSource) Watch(ctx context.Context, after store.Revision) (Update, error) {
	if err := s.reach(); err != nil {
		return Update{}, err
	}
	return s.fakeSource.Watch(ctx, after)
}

// cutFleet is instances before one store, which ask each other when it was in service.
type cutFleet struct {
	ctx     context.Context
	store   *fakeSource
	sources []*cutSource
	sinks   []*fakeSink
	// mu guards watchers, which holds nil for an instance that is stopped, and stops, which end them.
	mu       sync.Mutex
	watchers []*Watcher
	stops    []context.CancelFunc
}

func startCutFleet(ctx context.Context, instances int) *cutFleet {
	f := &cutFleet{
		ctx: ctx, store: &fakeSource{servers: []Server{server("a", 1, 1), server("b", 1, 1)}, revision: 1},
		watchers: make([]*Watcher, instances), stops: make([]context.CancelFunc, instances),
	}
	for range instances {
		f.sources, f.sinks = append(f.sources, &cutSource{fakeSource: f.store}), append(f.sinks, &fakeSink{})
	}
	for n := range instances {
		f.start(n)
	}
	return f
}

// start starts the process of an instance, which knows nothing.
func (f *cutFleet) start(n int) {
	f.sinks[n] = &fakeSink{}
	w := New(Options{
		Source: f.sources[n], Sink: f.sinks[n], Pooled: func(string) bool { return false }, Logger: logging.Discard(),
		Instances: func() int { return len(f.sources) }, LeavingBound: leavingBound,
		PeerContacts: func(context.Context) []Contact { return f.ask(n) },
	})
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.watchers[n], f.stops[n] = w, stop
	f.mu.Unlock()
	go w.Run(ctx)
}

// restart stops the process of an instance, and starts another one after a while.
func (f *cutFleet) restart(n int, away time.Duration) {
	f.mu.Lock()
	f.stops[n]()
	f.watchers[n] = nil
	f.mu.Unlock()
	time.Sleep(away)
	f.start(n)
}

// ask returns what three others tell, drawn at random, of those that run and aren't cut off.
func (f *cutFleet) ask(n int) (out []Contact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range min(3, len(f.watchers)) {
		other := rand.N(len(f.watchers))
		if other != n && f.watchers[other] != nil && !f.sources[n].cut.Load() && !f.sources[other].cut.Load() {
			out = append(out, f.watchers[other].Contacts()...)
		}
	}
	return out
}

// cut cuts the first instances off, or ends that.
func (f *cutFleet) cut(instances int, cut bool) {
	for _, s := range f.sources[:instances] {
		s.cut.Store(cut)
	}
}

// leaveAndForget lets the server b leave, and the store forget its history.
func (f *cutFleet) leaveAndForget() {
	f.store.change(func() { f.store.servers = []Server{server("a", 1, 9)} })
	f.store.change(func() { f.store.compacted = f.store.revision })
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
			f.cut(size.cut, true)
			time.Sleep(5500 * time.Millisecond)
			f.leaveAndForget()
			time.Sleep(2500 * time.Millisecond)
			f.cut(size.cut, false)
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
	a := absence{since: at(0), until: at(8)}
	for _, c := range []struct {
		what string
		told []Contact
		want bool
	}{
		{"all the while", []Contact{{at(-100), at(8)}}, true},
		{"read a moment before the end", []Contact{{at(-100), at(7)}}, true},
		{"began a moment after the absence", []Contact{{at(1), at(8)}}, true},
		{"returned during the absence", []Contact{{at(5), at(8)}}, false},
		{"not read since the outage began", []Contact{{at(-100), at(0.5)}}, false},
		{"never", nil, false},
		{"one after the other", []Contact{{at(3.5), at(8)}, {at(-100), at(4)}}, true},
		{"one after the other, with a short gap", []Contact{{at(4), at(8)}, {at(-100), at(3)}}, true},
		{"one after the other, with a long gap", []Contact{{at(5), at(8)}, {at(-100), at(3)}}, false},
		{"a moment of service within a long gap", []Contact{{at(-100), at(3)}, {at(4.2), at(4.3)}, {at(5.5), at(8)}}, false},
		{"a gap at each end", []Contact{{at(1), at(7)}}, false},
	} {
		var known contacts
		for _, told := range c.told {
			known.add(told)
		}
		if got := a.coveredBy(known); got != c.want {
			t.Errorf("%s: covered %v, want %v", c.what, got, c.want)
		}
	}
	if (absence{until: at(8)}).coveredBy(contacts{{at(-100), at(8)}}) {
		t.Error("the time before an instance's start counts as an absence that is covered")
	}
}

// at returns a time in seconds after a common one.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}
