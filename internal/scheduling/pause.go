package scheduling

import (
	"time"

	"limpethub/internal/verdict"
)

// paused reports whether the server has asked for a pause that isn't over. A pause isn't a
// failure: it neither lengthens the back-off nor makes the server count as unreachable.
func (s *server) paused(now time.Time) bool { return now.Before(s.PausedUntil) }

// ObservePaused implements Scheduler. A later pause never shortens an earlier one.
func (c *core) ObservePaused(now time.Time, name string, until time.Time) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed || !until.After(s.PausedUntil) {
		return nil
	}
	s.PausedUntil = until
	return c.advance(now)
}

// waits reports whether no server of the target takes a request now.
func (c *core) waits(now time.Time, t *target) bool {
	wait, _ := c.waitForServers(now, t, 0)
	return wait > 0
}

// recheckPaused makes expire check all waiting requests whose servers take none.
func (c *core) recheckPaused(now time.Time) {
	if c.queue.Len() == 0 {
		return
	}
	for _, t := range c.targets {
		if t.lane.Len() > 0 && c.waits(now, t) {
			c.queue.CheckLane(t.lane, now)
		}
	}
}

// refusePaused refuses a request that can't be served before its servers' pauses are over.
func (c *core) refusePaused(a *attempt, pause time.Duration) Decision {
	return refuse(a, verdict.CodeServersPaused, c.retryAfter(pause), "every server that could run the request has asked for a pause")
}
