package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/quota"
	"limpethub/internal/verdict"
)

// ObserveLimit implements Scheduler.
func (c *core) ObserveLimit(now time.Time, name string, limit *quota.Limit) []Decision {
	s := c.servers[name]
	switch {
	case s == nil || !s.listed:
		return nil
	case limit == nil:
		s.quota = nil
	case s.quota == nil || s.quota.Limit().Process != limit.Process || s.quota.Limit().PerSecond != limit.PerSecond:
		s.quota = quota.New(now, *limit, c.instance, c.instances)
	default:
		return nil
	}
	return c.advance(now)
}

// ObserveCall implements Scheduler.
func (c *core) ObserveCall(now time.Time, name string) {
	if s := c.servers[name]; s != nil && s.quota != nil {
		s.quota.Take(now)
	}
}

// SetInstances implements Scheduler.
func (c *core) SetInstances(now time.Time, names []string) {
	c.instances = names
	for _, s := range c.servers {
		if s.quota != nil {
			s.quota.SetInstances(now, names)
		}
	}
	c.updateRooms()
}

// atLimit reports whether the limit that the server has named, or its room while it is brittle, keeps a further
// request of this instance away now.
func (s *server) atLimit(now time.Time) bool {
	return s.quota != nil && s.quota.Available(now) == 0 || s.room != nil && s.room.Full(now, s.load.Own())
}

// limitRemaining returns about how long it takes until the server's limit lets the request through
// that comes after the given number of others.
func (s *server) limitRemaining(now time.Time, ahead int) time.Duration {
	if s.quota == nil {
		return 0
	}
	return s.quota.WaitFor(now, ahead+1)
}

// refuseLimited refuses a request that its servers' limits don't let through in time.
func (c *core) refuseLimited(a *attempt, wait time.Duration) Decision {
	return refuse(a, verdict.CodeServersLimited, c.retryAfter(wait), "every server that could run the request gets as many as it takes")
}

// waitForServers returns how long no server of the target takes a further request of this instance,
// behind the given number of waiting ones, since all of them have asked for a pause or named a limit;
// 0 if one of them takes requests or only backs off, or if there is none. limited is true if a limit
// is what a server waits for that could take the request first.
//
// The load is an overloaded service whose servers refuse with a time to come back, or say how little
// they take: requests that would wait longer than they can are refused at once, and told when the
// first server takes requests again.
func (c *core) waitForServers(now time.Time, t *target, ahead int) (wait time.Duration, limited bool) {
	found := false
	for _, tc := range t.copies {
		s := tc.server
		if !s.listed || s.leaving(now) {
			continue
		}
		pause, limit := max(0, s.PausedUntil.Sub(now)), s.limitRemaining(now, ahead)
		remaining := max(pause, limit)
		if remaining == 0 {
			return 0, false
		}
		if !found || remaining < wait {
			found, wait, limited = true, remaining, limit > pause
		}
	}
	return wait, limited
}

// refuseForNow refuses a request whose servers take none in time.
func (c *core) refuseForNow(a *attempt, wait time.Duration, limited bool) Decision {
	if limited {
		return c.refuseLimited(a, wait)
	}
	return c.refusePaused(a, wait)
}

// RetryAfter implements Scheduler.
func (c *core) RetryAfter(now time.Time, r request.Request) time.Duration {
	t := c.target(keyOf(&r))
	wait, _ := c.waitForServers(now, t, t.lane.Len())
	return c.retryAfter(wait)
}
