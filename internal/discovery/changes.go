package discovery

import (
	"github.com/sirupsen/logrus"

	"limpethub/internal/scheduling"
	"limpethub/internal/store"
)

// loggedServer is what was logged of a server.
type loggedServer struct {
	startMillis int64
	leaving     bool
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
	// originAbsence is a peer's word that the store was in service while this instance didn't reach it.
	originAbsence origin = "absence"
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
