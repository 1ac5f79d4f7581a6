package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/meteredlock"
	"limpethub/internal/modelref"
	"limpethub/internal/verdict"
)

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
	// PeerContacts asks some other instances when the store was in service, and returns what they have answered
	// within a part of a second, in times of this instance. nil means that there are none.
	PeerContacts func(ctx context.Context) []Contact
	Logger       *logrus.Entry
}

// Watcher keeps a Registry up to date and passes its servers to a Sink. It is safe for
// concurrent use.
type Watcher struct {
	options Options
	metrics *metrics
	// readAt is when the last successful call of the store began; nil before the first one. What
	// the store had acknowledged by then is known here.
	readAt atomic.Pointer[time.Time]

	mu       meteredlock.Mutex
	registry *Registry
	// lastLogged holds, for each known server, what the last update has logged of it.
	lastLogged map[string]loggedServer
	// lastAnswerAt is when the store last answered a call, also if with store.ErrCompacted. failing is true from a
	// call without an answer until the next answer. lastPause is the pause that was chosen before the last read.
	lastAnswerAt time.Time
	lastPause    time.Duration
	failing      bool
	// contacts are the times in which the store is known to have been in service.
	contacts contacts
	// ended is the absence after which nothing has been listed yet; nil if there is none.
	ended *absence
	// failed counts the failed calls since the last answer. lastFailureAt is when the last one ended.
	failed        int
	lastFailureAt time.Time
	// absences are those about which peers are to be asked.
	absences chan absence
	// unusable holds the servers whose unusable announcement has been logged.
	unusable map[string]bool
	// restored is true after the store came back from an older copy, until the
	// next listing.
	restored bool
}

// New makes a Watcher, which does nothing until Run is called.
func New(options Options) *Watcher {
	if options.OnDeparture == nil {
		options.OnDeparture = func(Departure) {}
	}
	if options.OnRead == nil {
		options.OnRead = func() func() { return func() {} }
	}
	w := &Watcher{
		options: options, registry: NewRegistry(), lastLogged: map[string]loggedServer{}, unusable: map[string]bool{},
		absences: make(chan absence, 1), metrics: newMetrics(),
	}
	w.mu.Measure("servers")
	return w
}

// ResidencyChange says that a version has become usable on a server's process, or has ceased to be.
type ResidencyChange struct {
	Server      string
	StartMillis int64
	Ref         modelref.Ref
	Present     bool
}

// ResidencyChanged records the changes of one message of a peer. They are published together.
func (w *Watcher) ResidencyChanged(changes []ResidencyChange) {
	if len(changes) == 0 {
		return
	}
	now := time.Now()
	w.update(cause{origin: originPeer}, func(r *Registry) {
		for _, c := range changes {
			r.ResidencyChanged(now, c.Server, c.StartMillis, c.Ref, c.Present)
		}
	})
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
