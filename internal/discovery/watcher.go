package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/pause"
	"limpethub/internal/scheduling"
	"limpethub/internal/store"
)

const (
	// firstPause and longestPause bound the wait between two tries after a failure.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// outageAfter is how long the service must have been out of reach for servers that
	// are missing afterwards to get a moment.
	outageAfter = 1500 * time.Millisecond
	// tickPeriod is how often the registry forgets what has run out.
	tickPeriod = 100 * time.Millisecond
	// batchPause is how long changes are gathered: each watch that ends costs a call of
	// the service, and most changes are of no use here. It is below the time that a
	// leaving server still takes requests, and instances tell each other of such servers.
	batchPause = time.Second
	// batchPausePerInstance keeps the watches of all instances under some 25 a second, and
	// longestBatchPause is the most that an instance learns later of a new server.
	batchPausePerInstance = 40 * time.Millisecond
	longestBatchPause     = 3 * time.Second
)

// Update is what happened to announcements.
type Update struct {
	Announced []Server
	// Unusable lists servers whose announcement can't be understood, and Removed those
	// whose announcement is gone.
	Unusable, Removed []string
	// Revision is where the next watch goes on.
	Revision store.Revision
}

// Source reads announcements.
type Source interface {
	// List reads all announcements.
	List(ctx context.Context) (Update, error)
	// Watch waits for changes after a revision. A history that is gone is
	// store.ErrCompacted.
	Watch(ctx context.Context, after store.Revision) (Update, error)
}

// Sink takes what is learned about servers.
type Sink interface {
	SetServers(servers []scheduling.Server)
	ObserveResident(server string, refs []modelref.Ref)
}

// Options are the parts that a Watcher works with.
type Options struct {
	FailureDomain string
	Source        Source
	Sink          Sink
	// Pooled reports whether a service's servers are model engines.
	Pooled func(service string) bool
	// Instances counts the instances that watch; nil means one. Plans reports whether this
	// one decides on placement, for which it must know servers early; nil means never.
	Instances func() int
	Plans     func() bool
	// OnLeaving is called, without blocking, for each server that is newly known to
	// leave; nil means nobody.
	OnLeaving func(server Known)
	Logger    *logrus.Entry
}

// Watcher keeps a Registry up to date. It is safe for concurrent use.
type Watcher struct {
	options Options

	mu       sync.Mutex
	registry *Registry
	leaving  map[string]bool
	// reached is when the service last answered.
	reached time.Time
	away    bool
}

// New makes a Watcher. It does nothing until Run.
func New(options Options) *Watcher {
	return &Watcher{options: options, registry: NewRegistry(), leaving: map[string]bool{}}
}

// Run reads announcements until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.tickLoop(ctx) })
	defer loops.Wait()
	wait := firstPause
	var revision store.Revision
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx)
		}
		switch {
		case err == nil:
			wait, listed = firstPause, true
			pause.For(ctx, w.batchPause())
			continue
		case errors.Is(err, store.ErrCompacted):
			w.options.Logger.WithField("revision", revision).Info("History of announcements is gone, listing again")
			listed = false
		}
		w.failed(ctx, err)
		pause.For(ctx, wait)
		wait = min(2*wait, longestPause)
	}
}

func (w *Watcher) batchPause() time.Duration {
	if w.options.Instances == nil || (w.options.Plans != nil && w.options.Plans()) {
		return batchPause
	}
	return pause.Shared(batchPause, batchPausePerInstance, w.options.Instances(), longestBatchPause)
}

func (w *Watcher) list(ctx context.Context) (store.Revision, error) {
	update, err := w.options.Source.List(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	w.change(func(r *Registry) {
		r.Listed(now, update.Announced, w.backAfterOutage(now))
		for _, id := range update.Unusable {
			r.Unusable(id)
		}
		r.Confirmed(now)
	})
	return update.Revision, nil
}

func (w *Watcher) watch(ctx context.Context, after store.Revision) (store.Revision, error) {
	update, err := w.options.Source.Watch(ctx, after)
	if err != nil {
		return after, err
	}
	now := time.Now()
	w.change(func(r *Registry) {
		w.backAfterOutage(now)
		for _, id := range update.Removed {
			r.Removed(id)
		}
		for _, id := range update.Unusable {
			r.Unusable(id)
		}
		for _, s := range update.Announced {
			r.Announced(now, s)
		}
		r.Confirmed(now)
	})
	return max(update.Revision, after), nil
}

// backAfterOutage notes an answer of the service, and reports whether it was out of
// reach for a while before. The lock is held.
func (w *Watcher) backAfterOutage(now time.Time) bool {
	outage := w.away && now.Sub(w.reached) > outageAfter
	if w.away {
		w.options.Logger.WithField("away_ms", now.Sub(w.reached).Milliseconds()).Info("Announcements can be read again")
	}
	w.reached, w.away = now, false
	return outage
}

func (w *Watcher) failed(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away || ctx.Err() != nil {
		return
	}
	w.away = true
	w.options.Logger.WithError(err).Warn("Announcements can't be read, the last ones stay")
}

func (w *Watcher) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.change(func(r *Registry) { r.Tick(now) })
		}
	}
}

// Moved takes news that a version came to a server or left it.
func (w *Watcher) Moved(server string, born int64, ref modelref.Ref, present bool) {
	now := time.Now()
	w.change(func(r *Registry) { r.Moved(now, server, born, ref, present) })
}

// Leaving takes word from a peer that a server leaves.
func (w *Watcher) Leaving(server string, born int64) {
	w.change(func(r *Registry) { r.Leaving(server, born) })
}

// change changes the registry and tells the sink if anything came of it.
func (w *Watcher) change(f func(r *Registry)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.registry)
	if !w.registry.TakeChanged() {
		return
	}
	known := w.registry.Servers()
	w.note(known)
	w.publish(known)
}

// Refresh tells the sink of all servers again, as after a new configuration.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish(w.registry.Servers())
}

// publish tells the sink. The lock is held, so that the newest state comes last.
func (w *Watcher) publish(known []Known) {
	servers := make([]scheduling.Server, 0, len(known))
	for _, s := range known {
		servers = append(servers, w.describe(s))
	}
	w.options.Sink.SetServers(servers)
	for _, s := range known {
		w.options.Sink.ObserveResident(s.ID, s.Resident)
	}
}

func (w *Watcher) describe(s Known) scheduling.Server {
	out := scheduling.Server{
		Name:          s.ID,
		FailureDomain: s.FailureDomain,
		Near:          s.FailureDomain == w.options.FailureDomain,
		Leaving:       s.Leaving,
		Slots:         s.Slots,
	}
	if w.options.Pooled(s.Service) {
		out.Pool = s.Service
	} else {
		out.Services = []string{s.Service}
	}
	return out
}

// note logs servers that came, leave or are gone. The lock is held.
func (w *Watcher) note(known []Known) {
	present := make(map[string]bool, len(known))
	for _, s := range known {
		present[s.ID] = true
		before, had := w.leaving[s.ID]
		w.leaving[s.ID] = s.Leaving
		log := w.options.Logger.WithFields(logrus.Fields{"server": s.ID, "address": s.Address, "service": s.Service, "born": s.Born})
		if !had {
			log.Info("Server announced itself")
		}
		if s.Leaving && !before {
			log.WithField("gone_in_ms", s.GoneIn.Milliseconds()).Info("Server is leaving")
			if w.options.OnLeaving != nil {
				w.options.OnLeaving(s)
			}
		}
	}
	for id := range w.leaving {
		if !present[id] {
			delete(w.leaving, id)
			w.options.Logger.WithField("server", id).Info("Server is gone")
		}
	}
}

// Server implements the forwarder's directory.
func (w *Watcher) Server(name string) (engine.Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.registry.Server(name)
	return engine.Server{Name: s.ID, Address: s.Address}, ok
}

// Servers lists the known servers.
func (w *Watcher) Servers() []Known {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registry.Servers()
}
