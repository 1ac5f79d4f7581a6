// Package discovery keeps track of the backend servers that announce themselves in the
// platform's key-value store instead of being configured. Registry decides which of them may
// get work; Watcher reads the announcements and passes them to the Registry.
package discovery

import (
	"slices"
	"sort"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/store"
)

const (
	// outageGracePeriod is how long a server that is missing after an outage of the store may
	// take to announce itself again, counted from the store's first answer. The platform's servers are back
	// within about two seconds.
	outageGracePeriod = 2200 * time.Millisecond
	// overrideLifetime is how long a peer's message about a single version takes precedence
	// over the server's announcements, which may be older. After that, the override ends with
	// the server's next announcement or with the next answer of the store. It doesn't end
	// while the store gives no answer, because nothing newer than the override is known then.
	overrideLifetime = 4 * time.Second
	// removedMemory is how long a removed server is remembered. It covers the time for which the
	// store may still give out an announcement that it had removed, as after it came back from an
	// older copy.
	removedMemory = time.Minute
)

// Server is what a backend server announces about itself.
type Server struct {
	// ID identifies the server. It may stay the same when the server restarts.
	ID string
	// Service is the name of what the server runs: a pool for models or a plain service. Address
	// is its host:port.
	Service, Address string
	FailureDomain    string
	// SoftwareVersion is the version of the server's software, which isn't that of its models. Versions
	// have no order. It is empty if the server doesn't say.
	SoftwareVersion string
	// Slots is how many requests the server runs at the same time.
	Slots int
	// Leaving is true once the server wants no new work. StopsIn is how long it will still
	// run, from its announcement on; 0 if it doesn't say.
	Leaving bool
	StopsIn time.Duration
	// StartMillis is when the server's process started, in milliseconds since the epoch; 0 if it
	// doesn't say. Sequence numbers the announcements of one process in ascending order.
	StartMillis, Sequence int64
	// Revision is the store's revision of the announcement.
	Revision store.Revision
	// Resident lists the models and adapters that the server can run now.
	Resident []modelref.Ref
	// InMemory and OnDisk list the models whose weights the server has in memory or on disk.
	InMemory, OnDisk []modelref.Ref
}

// KnownServer is a server as the registry knows it.
type KnownServer struct {
	Server
	// LastAnnouncedAt is when its last announcement was received.
	LastAnnouncedAt time.Time
	// PausedUntil is when the server accepts requests of this instance again, after it has
	// asked for a pause; zero if it hasn't.
	PausedUntil time.Time
}

// Paused reports whether the server wants nothing from this instance at now.
func (s *KnownServer) Paused(now time.Time) bool { return now.Before(s.PausedUntil) }

// residencyOverride corrects a server's announcement for one version.
type residencyOverride struct {
	present bool
	until   time.Time
}

type registryEntry struct {
	known KnownServer
	// missingSince is when the server was first found missing after an outage; zero if it
	// isn't missing.
	missingSince time.Time
	overrides    map[modelref.Ref]residencyOverride
}

// Registry is the set of servers that are presumed to exist. It has no goroutine, clock or
// socket, and isn't safe for concurrent use.
type Registry struct {
	servers map[string]*registryEntry
	// removed holds the last announcement of each server that was removed, for removedMemory.
	removed map[string]removedServer
	changed bool
}

// removedServer is what is remembered of a server that was removed. last is its zero value if the server
// wasn't known.
type removedServer struct {
	last Server
	at   time.Time
	// revision is the store's revision of the removal; 0 if it isn't known.
	revision store.Revision
}

func NewRegistry() *Registry {
	return &Registry{servers: map[string]*registryEntry{}, removed: map[string]removedServer{}}
}

// TakeChanged reports whether anything has changed since its last call.
func (r *Registry) TakeChanged() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Listed replaces the known servers by a complete listing. After an outage of the store,
// missing servers are kept for outageGracePeriod, because their announcements may have expired
// during the outage.
func (r *Registry) Listed(now time.Time, servers []Server, afterOutage bool) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		r.Announced(now, s)
	}
	for id, entry := range r.servers {
		if listed[id] {
			continue
		}
		if !afterOutage {
			r.Removed(now, id, 0)
			continue
		}
		if entry.missingSince.IsZero() {
			entry.missingSince = now
		}
	}
}

// Missing returns how many servers were first found missing at the given time, by Listed.
func (r *Registry) Missing(since time.Time) int {
	n := 0
	for _, entry := range r.servers {
		if entry.missingSince.Equal(since) {
			n++
		}
	}
	return n
}

// MissingUntil returns when the first of the missing servers is given up, and whether any is missing.
func (r *Registry) MissingUntil() (giveUpAt time.Time, missing bool) {
	for _, entry := range r.servers {
		if entry.missingSince.IsZero() {
			continue
		}
		at := entry.missingSince.Add(outageGracePeriod)
		if !missing || at.Before(giveUpAt) {
			giveUpAt, missing = at, true
		}
	}
	return giveUpAt, missing
}

// DropMissing removes the servers that were first found missing at the given time and haven't announced
// themselves since. There was no outage of the store in which their announcements could have expired.
func (r *Registry) DropMissing(now, since time.Time) {
	for id, entry := range r.servers {
		if entry.missingSince.Equal(since) {
			r.Removed(now, id, 0)
		}
	}
}

// Announced applies one announcement. It ignores one that is older than the last, also if the
// server was removed since.
func (r *Registry) Announced(now time.Time, s Server) {
	entry := r.servers[s.ID]
	if entry == nil {
		entry = &registryEntry{overrides: map[modelref.Ref]residencyOverride{}}
		if gone, ok := r.removed[s.ID]; ok {
			if gone.isAfter(s) || s.StartMillis != 0 && isOlder(s, gone.last) {
				return
			}
			entry.known.Server = gone.last
			delete(r.removed, s.ID)
		}
		r.servers[s.ID] = entry
	} else if isOlder(s, entry.known.Server) {
		entry.missingSince = time.Time{}
		return
	}
	if s.StartMillis != entry.known.StartMillis {
		clear(entry.overrides)
	}
	entry.expireOverrides(now)
	entry.missingSince = time.Time{}
	pausedUntil := time.Time{}
	if s.StartMillis == entry.known.StartMillis {
		// A process that is leaving never takes new work again, whatever an announcement says
		// that it wrote before.
		s.Leaving = s.Leaving || entry.known.Leaving
		pausedUntil = entry.known.PausedUntil
	}
	entry.known = KnownServer{Server: s, LastAnnouncedAt: now, PausedUntil: pausedUntil}
	r.changed = true
}

// isOlder reports whether the announcement s is older than last. If only one of them tells when
// the server's process started, s counts as newer, because their order isn't known.
func isOlder(s, last Server) bool {
	if s.StartMillis != 0 && last.StartMillis != 0 && s.StartMillis != last.StartMillis {
		return s.StartMillis < last.StartMillis
	}
	return s.StartMillis == last.StartMillis && s.Sequence < last.Sequence
}

// isAfter reports whether an announcement was written before the removal, as far as both revisions are known. A store
// that came back from an older copy gives old announcements new revisions: there, process and sequence tell, and a later process
// counts from the beginning again.
func (gone removedServer) isAfter(s Server) bool {
	if gone.revision == 0 || s.Revision == 0 {
		return false
	}
	if s.Revision.Epoch() <= gone.revision.Epoch() {
		return s.Revision < gone.revision
	}
	if s.StartMillis > gone.last.StartMillis {
		return false
	}
	return s.Sequence <= gone.last.Sequence
}

// Unusable removes a server because its announcement can't be parsed. The server gets no work until
// a valid one is received.
func (r *Registry) Unusable(now time.Time, id string) { r.Removed(now, id, 0) }

// Removed records that a server's announcement was removed: the server is leaving or gone. revision is that of the
// removal, 0 if it isn't known. It reports whether the server was known.
func (r *Registry) Removed(now time.Time, id string, revision store.Revision) bool {
	entry, ok := r.servers[id]
	if !ok {
		return false
	}
	r.removed[id] = removedServer{last: entry.known.Server, at: now, revision: revision}
	delete(r.servers, id)
	r.changed = true
	return true
}

// RemovedElsewhere records a peer's message that a server's announcement was removed at a revision. A server that
// has announced itself later stays.
func (r *Registry) RemovedElsewhere(now time.Time, id string, revision store.Revision) {
	entry, ok := r.servers[id]
	switch {
	case ok && entry.known.Revision < revision:
		r.Removed(now, id, revision)
	case !ok && r.removed[id].revision < revision:
		r.removed[id] = removedServer{last: r.removed[id].last, at: now, revision: revision}
	}
}

// ResidencyChanged records a peer's message that a version has become usable on a server or
// has ceased to be. startMillis identifies the server's process: a message about another one
// than the known server's is ignored.
func (r *Registry) ResidencyChanged(now time.Time, id string, startMillis int64, ref modelref.Ref, present bool) {
	entry := r.servers[id]
	if entry == nil || entry.known.StartMillis != startMillis {
		return
	}
	if entry.holds(ref) != present {
		r.changed = true
	}
	entry.overrides[ref] = residencyOverride{present: present, until: now.Add(overrideLifetime)}
}

// holds reports whether the server holds a version now, as currentResident says.
func (e *registryEntry) holds(ref modelref.Ref) bool {
	if o, ok := e.overrides[ref]; ok {
		return o.present
	}
	return slices.Contains(e.known.Resident, ref)
}

// Leaving marks a server as leaving, as the server said in an answer or a peer in a message.
// What is about another process than the known server's is ignored.
func (r *Registry) Leaving(id string, startMillis int64) {
	entry := r.servers[id]
	if entry == nil || entry.known.StartMillis != startMillis || entry.known.Leaving {
		return
	}
	entry.known.Leaving = true
	r.changed = true
}

// Paused records that a server wants nothing from this instance until the given time. It reports
// whether the server is known and its pause became longer. A pause isn't a change of the known
// servers: Watcher passes it to the Sink by itself.
func (r *Registry) Paused(id string, startMillis int64, until time.Time) bool {
	entry := r.servers[id]
	if entry == nil || entry.known.StartMillis != startMillis || !until.After(entry.known.PausedUntil) {
		return false
	}
	entry.known.PausedUntil = until
	return true
}

// Tick removes servers that have been missing for longer than outageGracePeriod, and forgets
// removed ones after removedMemory.
func (r *Registry) Tick(now time.Time) {
	for id, gone := range r.removed {
		if now.Sub(gone.at) > removedMemory {
			delete(r.removed, id)
		}
	}
	for id, entry := range r.servers {
		if !entry.missingSince.IsZero() && now.Sub(entry.missingSince) > outageGracePeriod {
			r.Removed(now, id, 0)
		}
	}
}

// Confirmed records an answer of the store, which shows that the announcements known here are
// the latest ones. It drops the overrides whose lifetime is over; see overrideLifetime.
func (r *Registry) Confirmed(now time.Time) {
	for _, entry := range r.servers {
		if entry.expireOverrides(now) {
			r.changed = true
		}
	}
}

// expireOverrides drops the overrides whose lifetime is over, because the server's last
// announcement then takes precedence. It reports whether it dropped any.
func (e *registryEntry) expireOverrides(now time.Time) (dropped bool) {
	for ref, o := range e.overrides {
		if now.After(o.until) {
			delete(e.overrides, ref)
			dropped = true
		}
	}
	return dropped
}

// Servers returns the known servers, sorted by id.
func (r *Registry) Servers() []KnownServer {
	out := make([]KnownServer, 0, len(r.servers))
	for _, entry := range r.servers {
		known := entry.known
		known.Resident = entry.currentResident()
		out = append(out, known)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Server returns one server. Unlike in Servers, its field Resident is as announced, without the
// overrides. Its field Leaving may come from a peer's message.
func (r *Registry) Server(id string) (KnownServer, bool) {
	entry := r.servers[id]
	if entry == nil {
		return KnownServer{}, false
	}
	return entry.known, true
}

// currentResident returns the versions that the server announced, corrected by the overrides.
func (e *registryEntry) currentResident() []modelref.Ref {
	if len(e.overrides) == 0 {
		return e.known.Resident
	}
	out := make([]modelref.Ref, 0, len(e.known.Resident)+len(e.overrides))
	for _, ref := range e.known.Resident {
		if o, ok := e.overrides[ref]; !ok || o.present {
			out = append(out, ref)
		}
	}
	for ref, o := range e.overrides {
		if o.present && !slices.Contains(out, ref) {
			out = append(out, ref)
		}
	}
	slices.Sort(out)
	return out
}
