package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/logging"
	"limpethub/internal/pause"
	"limpethub/internal/scheduling"
	"limpethub/internal/store"
)

// busyFleet is many instances with little processor time each, which follow many servers.
const (
	fleetInstances = 86
	fleetServers   = 145
	// leavingBound is how long after the store has acknowledged that a server leaves a request may still
	// reach it.
	leavingBound = 3 * time.Second
	// announcePeriod is how often each server announces itself.
	announcePeriod = 1200 * time.Millisecond
	// fleetWatchWait is how long the store lets a watch wait for a change.
	fleetWatchWait = 1500 * time.Millisecond
	// maxProcessorWait is how long an instance may wait for the processor before it handles what it has
	// received.
	maxProcessorWait = 150 * time.Millisecond
)

// logEntry is one change in announcementLog: an announcement, or a removal if server is nil.
type logEntry struct {
	id     string
	server *Server
}

// announcementLog is a store of announcements with its whole history.
type announcementLog struct {
	mu      sync.Mutex
	entries []logEntry
	changed chan struct{}
}

func newAnnouncementLog() *announcementLog { return &announcementLog{changed: make(chan struct{})} }

func (l *announcementLog) write(e logEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the changes after a revision as an update, and a channel that the next change closes.
func (l *announcementLog) after(revision store.Revision) (Update, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := Update{Revision: store.Revision(len(l.entries))}
	last := map[string]int{}
	for i := int(revision); i < len(l.entries); i++ {
		last[l.entries[i].id] = i
	}
	for id, i := range last {
		writtenAt := store.Revision(i + 1)
		if l.entries[i].server == nil {
			update.Removed = append(update.Removed, Removal{ID: id, Revision: writtenAt})
			continue
		}
		announced := *l.entries[i].server
		announced.Revision = writtenAt
		update.Announced = append(update.Announced, announced)
	}
	return update, l.changed
}

// slowSource is how one instance sees the log: it handles each answer only when it gets the processor.
type slowSource struct {
	log    *announcementLog
	random *rand.Rand
}

func (s *slowSource) waitForProcessor(ctx context.Context) {
	pause.For(ctx, time.Duration(s.random.Int64N(int64(maxProcessorWait))))
}

func (s *slowSource) List(ctx context.Context) (Update, error) {
	update, _ := s.log.after(0)
	s.waitForProcessor(ctx)
	return update, nil
}

func (s *slowSource) Watch(ctx context.Context, after store.Revision) (Update, error) {
	update, changed := s.log.after(after)
	if update.Revision == after {
		select {
		case <-ctx.Done():
			return Update{}, ctx.Err()
		case <-changed:
		case <-time.After(fleetWatchWait):
		}
		update, _ = s.log.after(after)
	}
	s.waitForProcessor(ctx)
	return update, nil
}

// fleet is instances that watch one log and tell each other what they learn.
type fleet struct {
	log       *announcementLog
	instances []*Watcher
	sinks     []*fakeSink
	// noticeLoss is the share of the notices that get lost. random decides which; mu guards it.
	noticeLoss float64
	mu         sync.Mutex
	random     *rand.Rand
	// senders counts, for each server, the instances that have told the others of it.
	senders map[string]int
}

func startFleet(ctx context.Context, seed uint64, noticeLoss float64) *fleet {
	f := &fleet{log: newAnnouncementLog(), noticeLoss: noticeLoss, senders: map[string]int{}, random: rand.New(rand.NewPCG(seed, 0))}
	for n := range fleetServers {
		delay := time.Duration(f.random.Int64N(int64(announcePeriod)))
		go func() {
			pause.For(ctx, delay)
			f.announce(ctx, fmt.Sprint("s", n))
		}()
	}
	for n := range fleetInstances {
		sink := &fakeSink{}
		w := New(Options{
			Source: &slowSource{log: f.log, random: rand.New(rand.NewPCG(seed, uint64(n)+1))}, Sink: sink,
			Pooled: func(string) bool { return false }, Instances: func() int { return fleetInstances }, LeavingBound: leavingBound,
			OnDeparture: func(d Departure) { f.tellPeers(n, d) }, Logger: logging.Discard(),
		})
		f.instances, f.sinks = append(f.instances, w), append(f.sinks, sink)
	}
	for _, w := range f.instances {
		go w.Run(ctx)
	}
	return f
}

// announce announces a server until ctx ends.
func (f *fleet) announce(ctx context.Context, id string) {
	for sequence := int64(1); ctx.Err() == nil && !f.hasLeft(id); sequence++ {
		s := server(id, 0, sequence)
		f.log.write(logEntry{id: id, server: &s})
		pause.For(ctx, announcePeriod)
	}
}

// hasLeft reports whether the last change of a server says that it leaves.
func (f *fleet) hasLeft(id string) bool {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	for _, e := range slices.Backward(f.log.entries) {
		if e.id == id {
			return e.server == nil || e.server.Leaving
		}
	}
	return false
}

// tellPeers carries the notice of one instance to the others.
func (f *fleet) tellPeers(from int, d Departure) {
	f.mu.Lock()
	f.senders[d.Server]++
	f.mu.Unlock()
	for to, w := range f.instances {
		f.mu.Lock()
		lost, delay := f.random.Float64() < f.noticeLoss, time.Duration(f.random.Int64N(int64(maxProcessorWait)))
		f.mu.Unlock()
		if to != from && !lost {
			time.AfterFunc(delay, func() { w.Departed(d) })
		}
	}
}

// choosing returns how many instances would still choose a server.
func (f *fleet) choosing(id string) (count int) {
	for _, sink := range f.sinks {
		sink.mu.Lock()
		if slices.ContainsFunc(sink.servers, func(s scheduling.Server) bool { return !s.Leaving && s.Name == id }) {
			count++
		}
		sink.mu.Unlock()
	}
	return count
}

// TestNoInstanceChoosesAServerLongAfterItLeft guards against requests that reach a server longer after the store has
// acknowledged its leaving than servers bear. Many instances with little processor time each learn of a burst of
// leavings late.
func TestNoInstanceChoosesAServerLongAfterItLeft(t *testing.T) {
	draining := func(id string) logEntry {
		s := server(id, 0, 1000)
		s.Leaving = true
		return logEntry{id: id, server: &s}
	}
	withdrawn := func(id string) logEntry { return logEntry{id: id} }
	for name, leave := range map[string]func(id string) logEntry{"announced": draining, "withdrawn without notice": withdrawn} {
		for _, noticeLoss := range []float64{0.02, 1} {
			t.Run(fmt.Sprintf("%s, %.0f %% of notices lost", name, 100*noticeLoss), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLeavings(t, leave, noticeLoss) })
			})
		}
	}
}

// testLeavings lets servers leave in a burst that lasts as long as the bound, so that some leave right after the
// instances have read.
func testLeavings(t *testing.T, leave func(id string) logEntry, noticeLoss float64) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	f := startFleet(ctx, 1, noticeLoss)
	time.Sleep(10 * time.Second)
	var checks sync.WaitGroup
	for n := range 40 {
		id := fmt.Sprint("s", n)
		f.log.write(leave(id))
		checks.Go(func() {
			time.Sleep(leavingBound)
			if n := f.choosing(id); n != 0 {
				t.Errorf("%v after the store has acknowledged that %s leaves, %d of %d instances still choose it", leavingBound, id, n, fleetInstances)
			}
		})
		time.Sleep(leavingBound / 40)
	}
	checks.Wait()
}

// TestFewInstancesTellOfAServerThatLeft guards against notices whose number grows with the square of the instances,
// because each instance tells all others what one of them has told it.
func TestFewInstancesTellOfAServerThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := startFleet(ctx, 1, 0)
		time.Sleep(10 * time.Second)
		s := server("s1", 0, 1000)
		s.Leaving = true
		f.log.write(logEntry{id: s.ID, server: &s})
		time.Sleep(leavingBound)
		f.mu.Lock()
		defer f.mu.Unlock()
		// Those tell that read before the first notice arrives.
		const most = 2 * fleetInstances * int(maxProcessorWait) / int(leavingBound-readTime)
		if n := f.senders[s.ID]; n == 0 || n > most {
			t.Errorf("%d of %d instances told the others, want 1 to %d", n, fleetInstances, most)
		}
	})
}
