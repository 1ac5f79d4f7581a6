package scheduling

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/request"
)

const (
	// demandWindow is for how long a request counts as demand of its class, from one to two windows.
	// One instance of many sees few requests of a class.
	demandWindow = 10 * time.Second
	// waitedLifetime is for how long a class counts as waiting after one of its requests had to wait.
	// The callers of streams wait at least as long for a first event, on this or another instance.
	waitedLifetime = 2 * time.Second
	// turnLength is how long an instance's turn at a server lasts. Waiting requests are checked as
	// often if there is no event.
	turnLength = tickPeriod
	// lessUrgentTurns is how many times fewer turns a class has while a more urgent one waits.
	lessUrgentTurns = 4
	// ownTurns is how many of the instance's own prompts that a server has read there are for each
	// after which the instance goes on with the server at once.
	ownTurns = 2
)

// urgency is what an instance knows of the demand for a service by class. It is used in deployments
// with workspaces only.
type urgency struct {
	windowStart time.Time
	// current and previous are the shortest backlogs that the requests of each class allow, of those
	// that came in the current and the previous window; 0 if none came.
	current, previous []time.Duration
	// waitedAt is when a request of each class last had to wait.
	waitedAt []time.Time
}

// observe records that a request of a class goes to no server with a longer backlog.
func (u *urgency) observe(now time.Time, class int, limit time.Duration) {
	u.rotate(now)
	if known := u.current[class]; known == 0 || limit < known {
		u.current[class] = limit
	}
}

// allowedBacklog returns the shortest backlog that requests of more urgent classes allow; 0 if none
// came lately.
func (u *urgency) allowedBacklog(now time.Time, class int) time.Duration {
	u.rotate(now)
	shortest := time.Duration(0)
	for c := range class {
		for _, limit := range []time.Duration{u.current[c], u.previous[c]} {
			if limit > 0 && (shortest == 0 || limit < shortest) {
				shortest = limit
			}
		}
	}
	return shortest
}

// moreUrgentWaits reports whether a request of a more urgent class had to wait lately.
func (u *urgency) moreUrgentWaits(now time.Time, class int) bool {
	for _, at := range u.waitedAt[:class] {
		if now.Sub(at) < waitedLifetime {
			return true
		}
	}
	return false
}

// rotate starts a new window if the current one is over.
func (u *urgency) rotate(now time.Time) {
	elapsed := now.Sub(u.windowStart)
	if elapsed < demandWindow {
		return
	}
	u.windowStart = now
	u.current, u.previous = u.previous, u.current
	clear(u.current)
	if elapsed >= 2*demandWindow {
		clear(u.previous)
	}
}

// urgencyOf returns the urgency of a request's service; nil if the request is no stream whose prompt
// is known, or in a deployment without workspaces.
func (c *core) urgencyOf(r *request.Request) *urgency {
	if !c.document.RequireKeys || r.FirstEventBy.IsZero() || len(r.Prefix) == 0 {
		return nil
	}
	u := c.urgencies[r.Service]
	if u == nil {
		classes := len(c.document.Classes)
		u = &urgency{
			current: make([]time.Duration, classes), previous: make([]time.Duration, classes), waitedAt: make([]time.Time, classes),
		}
		c.urgencies[r.Service] = u
	}
	return u
}

// observeDemand records the backlog that a new request allows.
func (c *core) observeDemand(now time.Time, r *request.Request) {
	if u := c.urgencyOf(r); u != nil {
		u.observe(now, r.Class, backlogLimit(r))
	}
}

// observeWaiting records that a request has to wait.
func (c *core) observeWaiting(now time.Time, r *request.Request) {
	if u := c.urgencyOf(r); u != nil {
		u.waitedAt[r.Class] = now
	}
}

// urgentBacklog returns the maximum backlog that a server may have, including the prompt of the request, so that more
// urgent requests can still use the server; 0 means no limit. Without it, long prompts of less urgent classes fill every
// server beyond the backlog that urgent requests tolerate.
func (c *core) urgentBacklog(now time.Time, r *request.Request) time.Duration {
	u := c.urgencyOf(r)
	if u == nil {
		return 0
	}
	return u.allowedBacklog(now, r.Class)
}

// hasTurn reports whether a waiting request may go to the server now. When urgentBacklog limits the choice, instances
// take pseudo-random turns at a server, so that they don't all send a long prompt when it becomes free. Turns become more
// frequent the longer the server is free, and rarer for a class while a more urgent one waits.
func (c *core) hasTurn(now time.Time, s *server, r *request.Request) bool {
	if c.urgentBacklog(now, r) == 0 || len(c.peers) == 0 {
		return true
	}
	turns := uint64(1 + len(c.peers))
	switch {
	case c.urgencyOf(r).moreUrgentWaits(now, r.Class):
		turns *= lessUrgentTurns
	case s.longPrompt.own:
		turns = ownTurns
	}
	turns >>= min(63, uint64(max(0, now.Sub(s.longPrompt.at)/turnLength)))
	return turns <= 1 || turnOf(c.instance, s.Name, now)%turns == 0
}

// waitsBehind reports whether requests wait for the target that go before a new one. They may have had
// no turn, and the new one must not overtake them then.
func (c *core) waitsBehind(t *target, r *request.Request) bool {
	for class := range r.Class + 1 {
		if t.lane.Waiting(class) > 0 {
			return true
		}
	}
	return false
}

// turnOf returns a number that is evenly distributed over instances, servers and turns.
func turnOf(instance, server string, now time.Time) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(now.UnixNano() / int64(turnLength)))
	// A Digest returns no errors.
	_, _ = digest.WriteString(instance)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(server)
	return digest.Sum64()
}

// longPrompt is the last that an instance has learned of long prompts on a server: that it has got
// or read one. own is true if it has read one of this instance.
type longPrompt struct {
	at  time.Time
	own bool
}

// observe records a change of how many tokens of an instance's prompts a server has yet to read.
func (p *longPrompt) observe(now time.Time, before, after int, own bool) {
	if max(before, after) >= urgentPrefillTokens && before != after {
		*p = longPrompt{at: now, own: own && after < before}
	}
}
