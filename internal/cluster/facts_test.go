package cluster

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/gossip"
	"limpethub/internal/peers"
)

// factLog is the handler of a topic that records the keys it has seen.
type factLog struct {
	mu   sync.Mutex
	keys map[uint64]bool
}

func (l *factLog) handle(_ time.Time, f gossip.Timed) (gossip.Timed, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := !l.keys[f.Key]
	l.keys[f.Key] = true
	return f, isNew
}

func (l *factLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys)
}

func (l *factLog) has(key uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

// TestPublishedFactReachesAllMembers guards against facts that only the heartbeat peers of an
// instance learn.
func TestPublishedFactReachesAllMembers(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		var logs []*factLog
		for _, c := range f.clusters {
			log := &factLog{keys: map[uint64]bool{}}
			c.OnFact(gossip.TopicCrash, log.handle)
			logs = append(logs, log)
		}
		time.Sleep(3 * time.Second)
		f.clusters[4].Publish(gossip.Timed{Topic: gossip.TopicCrash, Key: 7, At: time.Now()})
		time.Sleep(500 * time.Millisecond)
		for i, log := range logs {
			if i != 4 && !log.has(7) {
				t.Errorf("instance %d doesn't know the fact 500ms after it was published", i)
			}
		}
	})
}

// callTransport passes calls on to the instances at their addresses. A call to an address without one isn't answered.
type callTransport struct {
	*endpoint
	fleet *factsFleet
}

func (c callTransport) Call(ctx context.Context, address string, _ peers.Kind, payload []byte) ([]byte, error) {
	if answerer := c.fleet.answererAt(address); answerer != nil && ctx.Err() == nil {
		return answerer.HandleCall(ctx, c.name, payload)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// factsFleet starts instances one by one in virtual time, whose calls reach those that have started before.
type factsFleet struct {
	net    *network
	lister *fakeLister
	run    func(*Cluster)
	seed   uint64

	mu        sync.Mutex
	answerers map[string]peers.Handler
}

func (f *factsFleet) answererAt(address string) peers.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answerers[address]
}

// setAnswerer sets what answers calls to an instance; nil means that nothing does.
func (f *factsFleet) setAnswerer(i int, answerer peers.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answerers[identity(i).PeerAddress] = answerer
}

func withFactsFleet(t *testing.T, test func(ctx context.Context, f *factsFleet)) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		defer wg.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &factsFleet{net: newNetwork(), lister: &fakeLister{}, answerers: map[string]peers.Handler{}}
		f.run = func(c *Cluster) { wg.Go(func() { _ = c.Run(ctx) }) }
		test(ctx, f)
	})
}

// start starts an instance, and returns it with a log of the facts that it learns.
func (f *factsFleet) start(i int) (*Cluster, *factLog) {
	c := New(Options{
		Self: identity(i), Transport: callTransport{endpoint: f.net.endpoint(identity(i)), fleet: f},
		Lister: f.lister, ListPeriod: 200 * time.Millisecond, Seed: f.seed,
	})
	log := &factLog{keys: map[uint64]bool{}}
	c.OnFact(gossip.TopicCrash, log.handle)
	f.run(c)
	f.setAnswerer(i, c.FactsHandler())
	return c, log
}

// startOld starts an instance that has learned facts long ago, so many that repeating them takes minutes.
func (f *factsFleet) startOld(ctx context.Context, i int) *Cluster {
	c, _ := f.start(i)
	_ = c.FetchFacts(ctx)
	c.CompleteFacts(ctx)
	for key := range uint64(oldFacts) {
		c.Publish(gossip.Timed{Topic: gossip.TopicCrash, Key: key, At: time.Now()})
	}
	time.Sleep(5 * time.Minute)
	return c
}

const oldFacts = 900

// TestNewInstanceFetchesFacts guards against an instance that accepts requests before it knows what
// the others know, and against one that waits for others although it is the first.
func TestNewInstanceFetchesFacts(t *testing.T) {
	withFactsFleet(t, func(ctx context.Context, f *factsFleet) {
		f.lister.set(instances(1), nil)
		first, _ := f.start(0)
		start := time.Now()
		if err := first.FetchFacts(ctx); !errors.Is(err, errNoPeer) || time.Since(start) > 2*aloneAfter {
			t.Errorf("the first instance: got %v after %v, want %v after %v", err, time.Since(start), errNoPeer, aloneAfter)
		}
		first.Publish(gossip.Timed{Topic: gossip.TopicCrash, Key: 7, At: time.Now()})
		time.Sleep(time.Minute)

		f.lister.set(instances(2), nil)
		joining, log := f.start(1)
		if err := joining.FetchFacts(ctx); err != nil || !log.has(7) {
			t.Errorf("an instance that joins: got %v and facts %v, want fact 7", err, log.keys)
		}
	})
}

// TestInstanceThatFoundNobodyFetchesFactsLater guards against an instance that finds its peers only after it serves, and knows
// for minutes of crashes without the proofs that clear parts of prompts of them: it would refuse sound requests.
func TestInstanceThatFoundNobodyFetchesFactsLater(t *testing.T) {
	withFactsFleet(t, func(ctx context.Context, f *factsFleet) {
		f.lister.set(instances(1), nil)
		f.startOld(ctx, 0)

		f.lister.set(nil, errors.New("the list can't be read"))
		joining, log := f.start(1)
		if err := joining.FetchFacts(ctx); !errors.Is(err, errNoPeer) {
			t.Fatalf("an instance that finds nobody: got %v, want %v", err, errNoPeer)
		}
		go joining.CompleteFacts(ctx)
		f.lister.set(instances(2), nil)
		time.Sleep(time.Second)
		if got := log.count(); got != oldFacts {
			t.Errorf("1 s after it found its peer, the instance knows %d facts, want %d", got, oldFacts)
		}
	})
}

// TestNewInstanceDoesNotRestOnAPeerThatIsNewToo guards against an instance that asks another one which has just started, takes its
// answer for all that the fleet knows, and never asks the one that has lived on.
func TestNewInstanceDoesNotRestOnAPeerThatIsNewToo(t *testing.T) {
	withFactsFleet(t, func(ctx context.Context, f *factsFleet) {
		f.lister.set(instances(1), nil)
		old := f.startOld(ctx, 0)

		f.lister.set(instances(4), nil)
		f.net.setCut(identity(0).PeerAddress, true)
		f.setAnswerer(0, nil)
		var logs []*factLog
		for i := 1; i < 4; i++ {
			c, log := f.start(i)
			logs = append(logs, log)
			if err := c.FetchFacts(ctx); err != nil && i > 1 {
				t.Errorf("instance %d: got %v, want the answer of another new one", i, err)
			}
			go c.CompleteFacts(ctx)
		}
		f.net.setCut(identity(0).PeerAddress, false)
		f.setAnswerer(0, old.FactsHandler())
		time.Sleep(2 * time.Second)
		for i, log := range logs {
			if got := log.count(); got != oldFacts {
				t.Errorf("instance %d knows %d facts 2 s after one that knows all is reached, want %d", i+1, got, oldFacts)
			}
		}
	})
}

// TestSilentPeerDoesNotKeepFactsFromANewInstance guards against a call to a peer that doesn't answer which takes all the time that a
// new instance has to learn what the others know.
func TestSilentPeerDoesNotKeepFactsFromANewInstance(t *testing.T) {
	for seed := range uint64(8) {
		withFactsFleet(t, func(ctx context.Context, f *factsFleet) {
			f.seed = seed
			f.lister.set(instances(1), nil)
			f.startOld(ctx, 0)
			f.lister.set(instances(2), nil)
			f.start(1)
			f.setAnswerer(1, nil)
			time.Sleep(time.Second)
			f.lister.set(instances(3), nil)
			joining, log := f.start(2)
			if err := joining.FetchFacts(ctx); err != nil || log.count() != oldFacts {
				t.Errorf("seed %d: got %v and %d facts, want none and %d", seed, err, log.count(), oldFacts)
			}
		})
	}
}
