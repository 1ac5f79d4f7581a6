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

// withCutFleet runs a test in virtual time with instances that have read the store for some seconds.
func withCutFleet(t *testing.T, instances int, test func(t *testing.T, f *cutFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := startCutFleet(ctx, instances)
		time.Sleep(6 * time.Second)
		test(t, f)
	})
}

// setReconnects lets the first instances have new connections after a cut, so that the first attempt after it is answered.
func (f *cutFleet) setReconnects(instances int) {
	for _, s := range f.sources[:instances] {
		s.reconnects = true
	}
}

// wantServerGone checks, a time after the end of a cut, that the first instances don't know the server any more that has left.
func (f *cutFleet) wantServerGone(t *testing.T, after time.Duration, instances int) {
	t.Helper()
	time.Sleep(after)
	if longest := f.awaitServers("[a]", instances); longest > 0 {
		t.Errorf("%d instances, %d cut off: the server that left is known for another %v", len(f.sources), instances, longest)
	}
}

// rollAllBut restarts all instances but the first ones, within a time. Each is away for a part of a second.
func (f *cutFleet) rollAllBut(instances int, within time.Duration) {
	rest := len(f.sources) - instances
	var restarts sync.WaitGroup
	for n := range rest {
		restarts.Go(func() {
			time.Sleep(within * time.Duration(n) / time.Duration(rest))
			f.restart(instances+n, 400*time.Millisecond)
		})
	}
	restarts.Wait()
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

// wantServersKept checks during the two seconds after an outage in which the entries of the servers expired that the first
// instances keep them, and that they know them once they have announced themselves again.
func (f *cutFleet) wantServersKept(t *testing.T, instances int) {
	t.Helper()
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		for n, sink := range f.sinks[:instances] {
			if got := sink.names(); got != "[a b]" {
				t.Fatalf("instance %d of %d knows %s within 2 s of the outage, want [a b]", n, len(f.sinks), got)
			}
		}
	}
	f.store.change(func() { f.store.servers = []Server{server("a", 1, 9), server("b", 1, 9)} })
	time.Sleep(5 * time.Second)
	if longest := f.awaitServers("[a b]", instances); longest > 0 {
		t.Errorf("%d instances: servers that announced themselves again after an outage aren't known", len(f.sinks))
	}
}

// loseEntries ends an outage of the store in which the entries of all servers expired.
func (f *cutFleet) loseEntries() {
	f.store.change(func() { f.store.unreachable, f.store.servers, f.store.compacted = false, nil, f.store.revision })
}
