package scheduling

import (
	"slices"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/routing"
	"limpethub/internal/verdict"
)

const (
	// maxResumedShare is how full a server may be when it gets a request that goes on with a stream, as a
	// share of its batch, or of what the instance lets it have if that is more.
	maxResumedShare = 1.25
	// versionCheckPeriod is how often it is checked whether a waiting request still has a server of the
	// version that it needs.
	versionCheckPeriod = 200 * time.Millisecond
)

// hasVersion reports whether the server has the software version that a request needs, if it needs one.
func (s *server) hasVersion(r *request.Request) bool {
	return r.SoftwareVersion == "" || r.SoftwareVersion == s.SoftwareVersion
}

// decideResumed decides about a request that goes on with a stream, which only a server with the
// software version that began it can.
//
// The load is a release under way, or servers that were lost: new streams take the room of the few
// servers that are left of a version. A stream that goes on had its place before, so the limits that make
// new ones wait don't apply to it, up to maxResumedShare. It doesn't wait for room either: its caller can
// begin anew. It waits for a copy of its model like a new one, if all servers have the version: else the next
// copy may be at another version.
func (c *core) decideResumed(now time.Time, t *target, a *attempt) []Decision {
	in := c.routingInput(now, t, &a.request, a.avoid)
	if chosen, candidate := c.choose(now, t, &in); chosen != nil {
		return []Decision{c.dispatch(now, a, chosen, &candidate)}
	}
	if chosen, candidate := c.leastLoadedCopy(now, t, &in); chosen != nil {
		return []Decision{c.dispatch(now, a, chosen, &candidate)}
	}
	if c.backsOff(now, t, &a.request) || c.lacksCopies(now, t) && c.onlyVersionServes(now, &a.request) {
		return c.enqueue(now, t, a)
	}
	return []Decision{c.refuseVersion(a)}
}

func (c *core) refuseVersion(a *attempt) Decision {
	return refuse(a, verdict.CodeVersionUnavailable, c.retryAfter(0),
		"no server with the software version that began the stream, "+a.request.SoftwareVersion+", can go on with it")
}

// leastLoadedCopy returns the usable copy with the fewest requests among those that a request which goes
// on with a stream may use; nil if all are full.
func (c *core) leastLoadedCopy(now time.Time, t *target, in *routingInput) (*targetCopy, routing.Candidate) {
	var best *targetCopy
	var candidate routing.Candidate
	for _, tc := range t.copies {
		if !c.mayUse(now, tc, in) {
			continue
		}
		if found := c.candidate(now, tc, in); best == nil || found.Total < candidate.Total {
			best, candidate = tc, found
		}
	}
	return best, candidate
}

// mayUse reports whether a request may go to a copy now: it is usable, has room and the software version
// that the request needs.
func (c *core) mayUse(now time.Time, tc *targetCopy, in *routingInput) bool {
	s := tc.server
	if !tc.usable(now, in.avoid) || !s.hasVersion(in.request) {
		return false
	}
	if in.request.SoftwareVersion == "" {
		return !c.full(now, s, in.class, s.limitFor(in.request)) && (!c.waitsBehind(tc.target, in.request) || c.hasTurn(now, s, in.request))
	}
	room := max(s.limit.Batch(), s.limit.Value())
	return !s.atLimit(now) && float64(s.load.Total(now)) < maxResumedShare*float64(room)
}

// backsOff reports whether a copy with the version that a request needs gets nothing only because it has
// failed just before.
func (c *core) backsOff(now time.Time, t *target, r *request.Request) bool {
	for _, tc := range t.copies {
		s := tc.server
		isThere := s.listed && !s.unreachable && !s.leaving(now) && !s.paused(now) && !s.atLimit(now) && s.hasVersion(r)
		if isThere && (now.Before(s.backoffUntil) || now.Before(tc.backoffUntil)) {
			return true
		}
	}
	return false
}

// lacksCopies reports whether no server that isn't leaving holds what the target asks for.
func (c *core) lacksCopies(now time.Time, t *target) bool {
	return !slices.ContainsFunc(t.copies, func(tc *targetCopy) bool { return tc.server.listed && !tc.server.leaving(now) })
}

// onlyVersionServes reports whether all servers of a request's service have the version that it needs, and one
// of them stays.
func (c *core) onlyVersionServes(now time.Time, r *request.Request) bool {
	stays := false
	for _, s := range c.servers {
		if !s.listed || !s.serves(r.Service) {
			continue
		}
		if !s.hasVersion(r) {
			return false
		}
		stays = stays || !s.leaving(now)
	}
	return stays
}

// serves reports whether the server belongs to a service.
func (s *server) serves(service string) bool {
	return s.Pool == service || slices.Contains(s.Services, service)
}

// versionIsGone reports whether a waiting request has nothing to wait for any more: no server that isn't leaving
// has a copy and the software version that it needs, nor can get a copy.
func (c *core) versionIsGone(now time.Time, t *target, r *request.Request) bool {
	if r.SoftwareVersion == "" || c.lacksCopies(now, t) && c.onlyVersionServes(now, r) {
		return false
	}
	return !slices.ContainsFunc(t.copies, func(tc *targetCopy) bool {
		return tc.server.listed && !tc.server.leaving(now) && tc.server.hasVersion(r)
	})
}
