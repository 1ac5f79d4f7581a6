package streamversion

import (
	"slices"
	"time"

	"limpethub/internal/request"
)

// historyMemory is how long a version that no server has any more is remembered. Streams of routes with a
// timeout of more than about half of it aren't known by the versions that have served.
const historyMemory = 30 * time.Minute

// maxUnconfirmed is how long servers may go without a confirmation that they are all. In a fleet of 75 instances or
// more, up to 9 s pass between two answers of the store if one of them is late: 3 s from the call to the answer,
// 3 s of pause, and 3 s to the next answer.
const maxUnconfirmed = 10 * time.Second

// history holds which versions the servers of each service have had. It isn't safe for concurrent use.
type history struct {
	// since is since when the servers have been known without a gap; zero before they are. confirmed is the last
	// time as of which they were known to be all.
	since, confirmed time.Time

	services map[string]map[string]*served
}

// served says when servers had a version.
type served struct {
	// now is true while a server has it; until is when the last one was known otherwise.
	now   bool
	until time.Time
}

func newHistory() *history { return &history{services: map[string]map[string]*served{}} }

// confirm takes that the servers that were observed last were all that there were at a time. If the one before is
// long past, other versions may have come and gone in between.
func (h *history) confirm(asOf time.Time) {
	if h.since.IsZero() || !asOf.After(h.confirmed) {
		return
	}
	if asOf.Sub(h.confirmed) > maxUnconfirmed {
		h.since = asOf
	}
	h.confirmed = asOf
}

// Server is what matters of a server here: its service, and the version of its software, empty if it
// doesn't say.
type Server struct{ Service, Version string }

// observe takes all servers that are known at a time.
func (h *history) observe(now time.Time, servers []Server) {
	if len(servers) == 0 && h.since.IsZero() {
		return
	}
	if h.since.IsZero() {
		h.since, h.confirmed = now, now
	}
	for _, versions := range h.services {
		for version, s := range versions {
			if s.now {
				s.now, s.until = false, now
			}
			if now.Sub(s.until) > historyMemory {
				delete(versions, version)
			}
		}
	}
	for _, server := range servers {
		h.versions(server.Service)[server.Version] = &served{now: true}
	}
}

// observeAnnounced takes servers that were there at some time since the last call of observe.
func (h *history) observeAnnounced(now time.Time, servers []Server) {
	for _, server := range servers {
		versions := h.versions(server.Service)
		if s := versions[server.Version]; s == nil || !s.now {
			versions[server.Version] = &served{until: now}
		}
	}
}

// versions returns the versions of a service, to be changed.
func (h *history) versions(service string) map[string]*served {
	if h.services[service] == nil {
		h.services[service] = map[string]*served{}
	}
	return h.services[service]
}

// View is what one instance knows of a stream.
type View struct {
	// Record is what began the stream, if the instance knows; the zero value otherwise.
	Record request.Origin
	// Refused is true if the stream was refused before because nobody knew what began it.
	Refused bool
	// Versions are the versions that the servers of its service have had in the time that the stream can
	// have lived, as far as the instance knows. An empty one stands for servers that don't say.
	Versions []string
	// Rerouted is true if the stream can have begun at another service, or lived for longer, as the route was
	// another one then.
	Rerouted bool
	// Observed is for how long the instance has known the servers and routes without a gap; 0 if its knowledge
	// is old.
	Observed time.Duration
}

// view returns what is known of the versions of a service in a time.
func (h *history) view(now time.Time, service string, life time.Duration) View {
	var v View
	if !h.since.IsZero() && now.Sub(h.confirmed) <= maxUnconfirmed {
		v.Observed = now.Sub(h.since)
	}
	for version, s := range h.services[service] {
		if s.now || now.Sub(s.until) <= life {
			v.Versions = append(v.Versions, version)
		}
	}
	return v
}

// conclude returns what began a stream; the zero value if it isn't known. own is what this instance knows, and
// others what those know that were asked.
//
// Without a record the version is known only if all agree that just one has served, one of them has seen
// all that time, and at least one other instance was asked: this one may be the last to learn of a new
// version. It isn't known if the stream was refused before: its caller has tried since, for longer than a
// stream is expected to live if need be. Nor is it if its route has changed.
func conclude(own View, others []View, stream *request.ResumedStream) request.Origin {
	all := append([]View{own}, others...)
	var recorded request.Origin
	for _, v := range all {
		if isKnown(v.Record) && isKnown(recorded) && v.Record != recorded {
			return request.Origin{}
		}
		if isKnown(v.Record) {
			recorded = v.Record
		}
	}
	if isKnown(recorded) || len(others) == 0 || stream.Service == "" || stream.Life > historyMemory {
		return recorded
	}
	if wasRefused(own, others) || wasRerouted(own, others) {
		return request.Origin{}
	}
	if version := onlyVersion(all, stream.Life); version != "" {
		return request.Origin{Service: stream.Service, SoftwareVersion: version}
	}
	return request.Origin{}
}

// wasRefused reports whether a view says that the stream was refused before.
func wasRefused(own View, others []View) bool {
	return own.Refused || slices.ContainsFunc(others, func(v View) bool { return v.Refused })
}

// wasRerouted reports whether a view says that the stream can have begun under another route.
func wasRerouted(own View, others []View) bool {
	return own.Rerouted || slices.ContainsFunc(others, func(v View) bool { return v.Rerouted })
}

func isKnown(o request.Origin) bool { return o.SoftwareVersion != "" }

// onlyVersion returns the only version that has served in a time, by all views; empty if there were
// several, or if none of them covers that time.
func onlyVersion(views []View, life time.Duration) string {
	only, sawAll := "", false
	for _, v := range views {
		for _, version := range v.Versions {
			if version == "" || only != "" && version != only {
				return ""
			}
			only = version
		}
		sawAll = sawAll || v.Observed >= life
	}
	if !sawAll {
		return ""
	}
	return only
}
