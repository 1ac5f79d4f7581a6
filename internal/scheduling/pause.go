package scheduling

import (
	"time"

	"limpethub/internal/request"
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

// pauseRemaining returns how long no server of the target takes requests because all that could
// have asked for a pause; 0 if one of them takes requests or only backs off, or if there is none.
//
// The load is an overloaded service whose servers all refuse with a time to come back: requests
// that would wait longer than they can are refused at once, and told when the first server
// takes requests again.
func (c *core) pauseRemaining(now time.Time, t *target) time.Duration {
	remaining := time.Duration(0)
	for _, tc := range t.copies {
		s := tc.server
		if !s.listed || s.leaving(now) {
			continue
		}
		if !s.paused(now) {
			return 0
		}
		if wait := s.PausedUntil.Sub(now); remaining == 0 || wait < remaining {
			remaining = wait
		}
	}
	return remaining
}

// recheckPaused makes expire check all waiting requests whose servers all pause.
func (c *core) recheckPaused(now time.Time) {
	if c.queue.Len() == 0 {
		return
	}
	for _, t := range c.targets {
		if t.lane.Len() > 0 && c.pauseRemaining(now, t) > 0 {
			c.queue.CheckLane(t.lane, now)
		}
	}
}

// refusePaused refuses a request that can't be served before its servers' pauses are over.
func (c *core) refusePaused(a *attempt, pause time.Duration) Decision {
	return refuse(a, verdict.CodeServersPaused, c.retryAfter(pause), "every server that could run the request has asked for a pause")
}

// RetryAfter implements Scheduler.
func (c *core) RetryAfter(now time.Time, r request.Request) time.Duration {
	return c.retryAfter(c.pauseRemaining(now, c.target(keyOf(&r))))
}
