package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/pause"
	"limpethub/internal/scheduling"
	"limpethub/internal/store"
	"limpethub/internal/verdict"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a retry after a failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// minOutage is how long calls of the store must have failed, counted from the last success,
	// for servers that are missing afterwards to get a grace period.
	minOutage = 1500 * time.Millisecond
	// tickPeriod is how often the registry removes what has expired.
	tickPeriod = 100 * time.Millisecond
	// batchPause is how long changes are collected before the next watch. Each watch that
	// ends costs a call of the store, and most changes are irrelevant here. One second is shorter
	// than the time for which a leaving server still accepts requests. Instances also tell each
	// other of leaving servers, so most learn of them earlier.
	batchPause = time.Second
	// batchPausePerInstance keeps the watches of all instances together below about 25 per
	// second, for up to 75 instances. With more instances, the pause stays at maxBatchPause,
	// which limits how much later an instance learns of a new server.
	batchPausePerInstance = 40 * time.Millisecond
	maxBatchPause         = 3 * time.Second
	// readTime is what a read may take, from the end of the pause until its servers count: the store's answer, an
	// attempt that the store cuts and its repetition, and waits for the processor.
	readTime = time.Second
	// minBatchPause is the shortest pause, also if Options.LeavingBound is too short for it.
	minBatchPause = 250 * time.Millisecond
)

// MinLeavingBound is the shortest Options.LeavingBound that an instance can keep.
const MinLeavingBound = minBatchPause + readTime

// Update is a set of changes to announcements.
type Update struct {
	// Announced lists announcements, the oldest first. There may be several of a server.
	Announced []Server
	// Withdrawn lists those that are followed by a removal. The server may have got requests of other instances
	// in between.
	Withdrawn []Server
	// Unusable lists servers whose announcement can't be used.
	Unusable []UnusableEntry
	// Removed lists servers whose announcement is gone.
	Removed []Removal
	// Revision is the revision to watch from next.
	Revision store.Revision
}

// Removal says that the announcement of a server was removed.
type Removal struct {
	// ID identifies the server, and Revision is the store's revision of the removal.
	ID       string
	Revision store.Revision
}

// UnusableEntry says why the announcement of a server can't be used.
type UnusableEntry struct {
	ID  string
	Err error
}

// Departure says that a server takes no new requests.
type Departure struct {
	// Server identifies the server, and StartMillis its process.
	Server      string
	StartMillis int64
	// RemovedAt is the store's revision at which its announcement was removed; 0 if the server has said that
	// it is leaving.
	RemovedAt store.Revision
}

// Source reads announcements.
type Source interface {
	// List reads all announcements.
	List(ctx context.Context) (Update, error)
	// Watch waits for changes after a revision. It returns store.ErrCompacted if the changes
	// since that revision are no longer available.
	Watch(ctx context.Context, after store.Revision) (Update, error)
}

// Sink receives the known servers and what is resident on them.
type Sink interface {
	SetServers(servers []scheduling.Server)
	ObserveResident(server string, refs []modelref.Ref)
	// ObservePaused is called when a server wants no requests until the given time.
	ObservePaused(server string, until time.Time)
}

// Options configures a Watcher.
type Options struct {
	// FailureDomain is that of this instance.
	FailureDomain string
	Source        Source
	Sink          Sink
	// Pooled reports whether the servers of a service form a pool for models of the
	// configuration. Other servers run a plain service.
	Pooled func(service string) bool
	// Instances returns the number of instances that watch; nil means one.
	Instances func() int
	// LeavingBound is how long after the store has acknowledged that a server leaves a request may still reach
	// it; 0 if nobody says.
	LeavingBound time.Duration
	// DecidesPlacement reports whether this instance decides on placement, for which it must
	// learn of servers early; nil means never.
	DecidesPlacement func() bool
	// OnServers is called with all known servers when something of them has changed. It must not call the
	// Watcher; nil means no call.
	OnServers func([]KnownServer)
	// OnAnnounced is called with the announcements of an update, also with those of servers that are gone again or
	// have announced something else since. It must not call the Watcher; nil means no call.
	OnAnnounced func([]Server)
	// OnRead is called before each call of the store; what it returns is called once the servers are those that
	// the call has read. Neither may call the Watcher. nil means no call.
	OnRead func() (succeeded func())
	// OnDeparture is called for each server of which a watch or the server itself tells this instance that it is
	// leaving or gone, but not if a peer has told it before. It must neither block nor call the Watcher; nil means
	// no call.
	OnDeparture func(Departure)
	Logger      *logrus.Entry
}

// Watcher keeps a Registry up to date and passes its servers to a Sink. It is safe for
// concurrent use.
type Watcher struct {
	options Options
	metrics *metrics
	// readAt is when the last successful call of the store began; nil before the first one. What
	// the store had acknowledged by then is known here.
	readAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	registry *Registry
	// lastLogged holds, for each known server, what the last update has logged of it.
	lastLogged map[string]loggedServer
	// lastAnswerAt is when a call of the store last succeeded. failing is true from a failed
	// call, also one that fails with store.ErrCompacted, until the next success.
	lastAnswerAt time.Time
	failing      bool
	// unusable holds the servers whose unusable announcement has been logged.
	unusable map[string]bool
	// restored is true after the store came back from an older copy, until the
	// next listing.
	restored bool
}

// loggedServer is what was logged of a server.
type loggedServer struct {
	startMillis int64
	leaving     bool
}

// New makes a Watcher, which does nothing until Run is called.
func New(options Options) *Watcher {
	if options.OnDeparture == nil {
		options.OnDeparture = func(Departure) {}
	}
	if options.OnRead == nil {
		options.OnRead = func() func() { return func() {} }
	}
	return &Watcher{options: options, registry: NewRegistry(), lastLogged: map[string]loggedServer{}, unusable: map[string]bool{}, metrics: newMetrics()}
}

// Run reads announcements until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.tickLoop(ctx) })
	defer loops.Wait()
	retryDelay := minRetryDelay
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
		case err == nil && !listed:
			retryDelay, listed = minRetryDelay, true
			// Instances that start or recover together mustn't go on reading together: a change right after
			// their read would stay unknown to all of them.
			pause.For(ctx, rand.N(w.batchPause()))
			continue
		case err == nil:
			retryDelay = minRetryDelay
			pause.For(ctx, w.batchPause())
			continue
		case errors.Is(err, store.ErrCompacted):
			w.options.Logger.WithField("revision", revision).Info("History of announcements is gone, listing again")
			listed = false
			w.setRestored(errors.Is(err, store.ErrRestored))
		}
		w.recordFailure(ctx, err)
		pause.For(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

func (w *Watcher) setRestored(restored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restored = restored
}

// batchPause returns the pause before the next watch.
func (w *Watcher) batchPause() time.Duration {
	longest := w.longestBatchPause()
	if w.options.Instances == nil || (w.options.DecidesPlacement != nil && w.options.DecidesPlacement()) {
		return min(batchPause, longest)
	}
	return min(pause.SharedInterval(batchPause, batchPausePerInstance, w.options.Instances(), maxBatchPause), longest)
}

// longestBatchPause returns the longest pause after which a read is still in time for LeavingBound.
func (w *Watcher) longestBatchPause() time.Duration {
	if w.options.LeavingBound == 0 {
		return maxBatchPause
	}
	return min(max(w.options.LeavingBound-readTime, minBatchPause), maxBatchPause)
}

func (w *Watcher) list(ctx context.Context) (store.Revision, error) {
	succeeded := w.options.OnRead()
	began := time.Now()
	update, err := w.options.Source.List(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	w.update(cause{origin: originList, revision: update.Revision}, func(r *Registry) {
		// In an older copy, servers that announced themselves lately are missing until they do
		// so again, as after an outage.
		mayBeMissing := w.recordAnswer(now) || w.restored
		w.restored = false
		r.Listed(now, update.Announced, mayBeMissing)
		w.markUnusable(now, update)
		r.Confirmed(now)
	})
	w.recordRead(began)
	succeeded()
	return update.Revision, nil
}

func (w *Watcher) watch(ctx context.Context, after store.Revision) (store.Revision, error) {
	succeeded := w.options.OnRead()
	began := time.Now()
	update, err := w.options.Source.Watch(ctx, after)
	if err != nil {
		return after, err
	}
	now := time.Now()
	w.update(cause{origin: originWatch, revision: update.Revision}, func(r *Registry) {
		w.recordAnswer(now)
		for _, removal := range update.Removed {
			known, _ := r.Server(removal.ID)
			if r.Removed(now, removal.ID, removal.Revision) {
				w.options.OnDeparture(Departure{Server: removal.ID, StartMillis: known.StartMillis, RemovedAt: removal.Revision})
			}
		}
		w.markUnusable(now, update)
		for _, s := range update.Announced {
			r.Announced(now, s)
		}
		r.Confirmed(now)
	})
	w.recordRead(began)
	if w.options.OnAnnounced != nil {
		w.options.OnAnnounced(slices.Concat(update.Announced, update.Withdrawn))
	}
	succeeded()
	return max(update.Revision, after), nil
}

// maxLoggedUnusable limits how many servers are remembered whose announcements can't be used.
const maxLoggedUnusable = 1000

// markUnusable removes the servers whose announcements can't be used, and logs each once until it announces
// itself properly or is removed. The caller holds the lock.
func (w *Watcher) markUnusable(now time.Time, update Update) {
	for _, s := range update.Announced {
		delete(w.unusable, s.ID)
	}
	for _, removal := range update.Removed {
		delete(w.unusable, removal.ID)
	}
	for _, entry := range update.Unusable {
		w.registry.Unusable(now, entry.ID)
		if w.unusable[entry.ID] || len(w.unusable) >= maxLoggedUnusable {
			continue
		}
		w.unusable[entry.ID] = true
		w.options.Logger.WithError(entry.Err).WithField("server", entry.ID).Warn("Ignored the announcement of a server: it can't be used")
	}
}

// recordAnswer records a successful call of the store, and reports whether calls had been failing
// and none had succeeded for longer than minOutage. It logs the end of a failure, with the time
// since the last success before it. The caller holds the lock.
func (w *Watcher) recordAnswer(now time.Time) bool {
	outage := w.failing && now.Sub(w.lastAnswerAt) > minOutage
	if w.failing {
		// away_ms is the time since the last successful call.
		w.options.Logger.WithField("away_ms", now.Sub(w.lastAnswerAt).Milliseconds()).Info("Announcements can be read again")
	}
	w.lastAnswerAt, w.failing = now, false
	return outage
}

func (w *Watcher) recordFailure(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing || ctx.Err() != nil {
		return
	}
	w.failing = true
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
			w.update(cause{origin: originExpiry}, func(r *Registry) { r.Tick(now) })
		}
	}
}

// ResidencyChanged records a peer's message that a version has become usable on a server or
// has ceased to be.
func (w *Watcher) ResidencyChanged(server string, startMillis int64, ref modelref.Ref, present bool) {
	now := time.Now()
	w.update(cause{origin: originPeer}, func(r *Registry) { r.ResidencyChanged(now, server, startMillis, ref, present) })
}

// Departed records a peer's message that a server is leaving or gone.
func (w *Watcher) Departed(d Departure) {
	now := time.Now()
	w.update(cause{origin: originPeer, revision: d.RemovedAt}, func(r *Registry) {
		if d.RemovedAt != 0 {
			r.RemovedElsewhere(now, d.Server, d.RemovedAt)
			return
		}
		r.Leaving(d.Server, d.StartMillis)
	})
}

// ServerLeaving implements engine.AnswerObserver. It records what a server said in an answer,
// often before its announcement says so.
func (w *Watcher) ServerLeaving(server engine.Server) {
	w.update(cause{origin: originServer}, func(r *Registry) { r.Leaving(server.Name, server.StartMillis) })
}

// ServerPaused implements engine.AnswerObserver.
func (w *Watcher) ServerPaused(server engine.Server, wait time.Duration) {
	now := time.Now()
	until := now.Add(wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	known, _ := w.registry.Server(server.Name)
	if !w.registry.Paused(server.Name, server.StartMillis, until) {
		return
	}
	if !known.Paused(now) {
		w.options.Logger.WithFields(logrus.Fields{
			"server": server.Name, "address": server.Address, "service": known.Service, "wait_ms": wait.Milliseconds(),
		}).Info("Server asks for a pause")
	}
	w.options.Sink.ObservePaused(server.Name, until)
}

// origin says where a change of the servers was learned.
type origin string

const (
	originList  origin = "list"
	originWatch origin = "watch"
	originPeer  origin = "peer"
	// originServer is an answer of the server itself.
	originServer origin = "server"
	// originExpiry is the end of the time for which a missing server is kept.
	originExpiry origin = "expiry"
)

// cause is why the registry is updated.
type cause struct {
	origin origin
	// revision is the store's revision that was read; 0 if the store wasn't.
	revision store.Revision
}

// isFirstHand reports whether peers may not know of the change yet. What a listing shows is older.
func (c cause) isFirstHand() bool { return c.origin == originWatch || c.origin == originServer }

// update applies f to the registry and publishes the servers if anything changed.
func (w *Watcher) update(because cause, f func(r *Registry)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.registry)
	if !w.registry.TakeChanged() {
		return
	}
	known := w.registry.Servers()
	w.recordChanges(known, because)
	w.publish(known)
}

// Refresh publishes all servers again, as after a change of the configuration.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish(w.registry.Servers())
}

// publish passes the servers to the sink. The caller holds the lock, so that the sink gets
// the latest state last.
func (w *Watcher) publish(known []KnownServer) {
	servers := make([]scheduling.Server, 0, len(known))
	for _, s := range known {
		servers = append(servers, w.schedulingServer(s))
	}
	w.options.Sink.SetServers(servers)
	if w.options.OnServers != nil {
		w.options.OnServers(known)
	}
	for _, s := range known {
		w.options.Sink.ObserveResident(s.ID, s.Resident)
	}
}

func (w *Watcher) schedulingServer(s KnownServer) scheduling.Server {
	out := scheduling.Server{
		Name:          s.ID,
		StartMillis:   s.StartMillis,
		FailureDomain: s.FailureDomain,

		SoftwareVersion: s.SoftwareVersion,
		Near:            s.FailureDomain == w.options.FailureDomain,
		Leaving:         s.Leaving,
		Slots:           s.Slots,
		PausedUntil:     s.PausedUntil,
	}
	if w.options.Pooled(s.Service) {
		out.Pool = s.Service
	} else {
		out.Services = []string{s.Service}
	}
	return out
}

// recordChanges logs servers that are new, leaving or gone, and calls OnDeparture for those
// that are newly found to be leaving. The caller holds the lock.
func (w *Watcher) recordChanges(known []KnownServer, because cause) {
	// view_ms is the age of this instance's view before the change: the store has acknowledged what
	// it read no longer ago than that.
	learned := logrus.Fields{"origin": because.origin, "revision": because.revision.Count(), "view_ms": w.ViewAge().Milliseconds()}
	present := make(map[string]bool, len(known))
	for _, s := range known {
		present[s.ID] = true
		last, wasKnown := w.lastLogged[s.ID]
		w.lastLogged[s.ID] = loggedServer{startMillis: s.StartMillis, leaving: s.Leaving}
		// born is when the server's process started, in milliseconds since the epoch.
		log := w.options.Logger.WithFields(logrus.Fields{"server": s.ID, "address": s.Address, "service": s.Service, "born": s.StartMillis, "software_version": s.SoftwareVersion})
		if !wasKnown || last.startMillis != s.StartMillis {
			log.Info("Server announced itself")
		}
		if s.Leaving && !last.leaving {
			// gone_in_ms is how long the server will still run; 0 if it doesn't say.
			log.WithFields(learned).WithField("gone_in_ms", s.StopsIn.Milliseconds()).Info("Server is leaving")
			w.metrics.left.WithLabelValues(string(because.origin)).Inc()
			if because.isFirstHand() {
				w.options.OnDeparture(Departure{Server: s.ID, StartMillis: s.StartMillis})
			}
		}
	}
	for id, last := range w.lastLogged {
		if present[id] {
			continue
		}
		delete(w.lastLogged, id)
		w.options.Logger.WithFields(learned).WithField("server", id).Info("Server is gone")
		if !last.leaving {
			w.metrics.left.WithLabelValues(string(because.origin)).Inc()
		}
	}
}

// Server returns the name and address of a known server. It implements forward.Directory.
func (w *Watcher) Server(name string) (engine.Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.registry.Server(name)
	return engine.Server{Name: s.ID, Address: s.Address, StartMillis: s.StartMillis, SoftwareVersion: s.SoftwareVersion}, ok
}

// MaySend returns an error if a process of a server takes no new requests any more.
func (w *Watcher) MaySend(server engine.Server) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.registry.Server(server.Name)
	switch {
	case !ok || known.StartMillis != server.StartMillis:
		return verdict.Refused(verdict.CodeNoServer, "server %s is gone", server.Name)
	case known.Leaving:
		return verdict.Refused(verdict.CodeNoServer, "server %s is leaving", server.Name)
	}
	return nil
}

// Paused reports whether a process of a server wants nothing from this instance now.
func (w *Watcher) Paused(server engine.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.registry.Server(server.Name)
	return ok && known.StartMillis == server.StartMillis && known.Paused(time.Now())
}

// Servers returns the known servers, sorted by id.
func (w *Watcher) Servers() []KnownServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registry.Servers()
}
