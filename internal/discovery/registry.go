// Package discovery keeps track of backend servers that aren't configured but announce
// themselves in the platform's key-value service. Registry decides which of them may
// get work; Watcher reads the announcements and feeds it.
package discovery

import (
	"slices"
	"sort"
	"time"

	"limpethub/internal/modelref"
)

const (
	// outageGrace is how long a server that an outage of the service made disappear may
	// take to announce itself again.
	outageGrace = 2500 * time.Millisecond
	// overrideLifetime is how long news of single versions go before what a server
	// announces, which may be older. After that the next announcement counts, but not the
	// lack of one: the service may be away.
	overrideLifetime = 4 * time.Second
)

// Server is what a backend server announces of itself.
type Server struct {
	// ID is unique to a server. It may stay the same when the server restarts.
	ID string
	// Service is what the server runs, and Address its host:port.
	Service, Address string
	FailureDomain    string
	// Slots is how many requests the server runs at once.
	Slots int
	// Leaving is true once the server wants no new work, and GoneIn how long it stays
	// then; 0 means that it doesn't say.
	Leaving bool
	GoneIn  time.Duration
	// Born is when the server started, in milliseconds since the epoch; 0 if it doesn't
	// say. Announcements of one start are numbered by Beat.
	Born, Beat int64
	// Resident lists the models and adapters that the server can run now.
	Resident []modelref.Ref
	// InMemory and OnDisk list models whose weights the server has at hand.
	InMemory, OnDisk []modelref.Ref
}

// Known is a server as the registry sees it.
type Known struct {
	Server
	// Seen is when the last announcement came.
	Seen time.Time
}

// override is news about one version on one server.
type override struct {
	present bool
	until   time.Time
}

type entry struct {
	known Known
	// missingSince is when the server was first missing after an outage; zero means that
	// it is there.
	missingSince time.Time
	overrides    map[modelref.Ref]override
}

// Registry is the set of servers that are believed to exist. It has no goroutine, clock
// or socket, and isn't safe for concurrent use.
type Registry struct {
	servers map[string]*entry
	changed bool
}

// NewRegistry makes an empty registry.
func NewRegistry() *Registry { return &Registry{servers: map[string]*entry{}} }

// TakeChanged reports whether anything changed since the last call.
func (r *Registry) TakeChanged() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Listed takes a whole listing. After an outage of the service, servers that are
// missing are kept for a moment, since their announcements may have lapsed with it.
func (r *Registry) Listed(now time.Time, servers []Server, afterOutage bool) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		r.Announced(now, s)
	}
	for id, e := range r.servers {
		if listed[id] {
			continue
		}
		if !afterOutage {
			r.Removed(id)
			continue
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
}

// Announced takes one announcement. One that is older than the last is ignored.
func (r *Registry) Announced(now time.Time, s Server) {
	e := r.servers[s.ID]
	if e == nil {
		e = &entry{overrides: map[modelref.Ref]override{}}
		r.servers[s.ID] = e
	} else if older(s, e.known.Server) {
		return
	}
	if s.Born != e.known.Born {
		clear(e.overrides)
	}
	e.expireOverrides(now)
	e.missingSince = time.Time{}
	e.known = Known{Server: s, Seen: now}
	r.changed = true
}

func older(s, last Server) bool {
	if s.Born != 0 && last.Born != 0 && s.Born != last.Born {
		return s.Born < last.Born
	}
	return s.Born == last.Born && s.Beat < last.Beat
}

// Unusable takes an announcement that can't be understood: its server gets no work
// until a better one comes.
func (r *Registry) Unusable(id string) { r.Removed(id) }

// Removed takes the end of an announcement: the server is leaving or gone.
func (r *Registry) Removed(id string) {
	if _, ok := r.servers[id]; ok {
		delete(r.servers, id)
		r.changed = true
	}
}

// Moved takes news that a version came to a server or left it.
func (r *Registry) Moved(now time.Time, id string, born int64, ref modelref.Ref, present bool) {
	e := r.servers[id]
	if e == nil || e.known.Born != born {
		return
	}
	old, had := e.overrides[ref]
	e.overrides[ref] = override{present: present, until: now.Add(overrideLifetime)}
	if !had || old.present != present {
		r.changed = true
	}
}

// Leaving takes word from elsewhere that a server leaves.
func (r *Registry) Leaving(id string, born int64) {
	e := r.servers[id]
	if e == nil || e.known.Born != born || e.known.Leaving {
		return
	}
	e.known.Leaving = true
	r.changed = true
}

// Tick forgets servers that stayed missing.
func (r *Registry) Tick(now time.Time) {
	for id, e := range r.servers {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > outageGrace {
			r.Removed(id)
		}
	}
}

// Confirmed takes an answer of the service, by which the announcements known here are
// the newest ones: news that ran out no longer goes before them. Without an answer it
// stays, since nothing newer is known.
func (r *Registry) Confirmed(now time.Time) {
	for _, e := range r.servers {
		if e.expireOverrides(now) {
			r.changed = true
		}
	}
}

// expireOverrides drops the news that an announcement is surely newer than, and reports
// whether there was any.
func (e *entry) expireOverrides(now time.Time) (dropped bool) {
	for ref, o := range e.overrides {
		if now.After(o.until) {
			delete(e.overrides, ref)
			dropped = true
		}
	}
	return dropped
}

// Servers lists the known servers by id.
func (r *Registry) Servers() []Known {
	out := make([]Known, 0, len(r.servers))
	for _, e := range r.servers {
		known := e.known
		known.Resident = e.resident()
		out = append(out, known)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Server returns one server.
func (r *Registry) Server(id string) (Known, bool) {
	e := r.servers[id]
	if e == nil {
		return Known{}, false
	}
	return e.known, true
}

// resident is what the server announced, corrected by newer news.
func (e *entry) resident() []modelref.Ref {
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
