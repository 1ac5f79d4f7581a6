package scheduling

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/scheduling/limit"
	"limpethub/internal/scheduling/load"
	"limpethub/internal/scheduling/predict"
)

const (
	// leavingHold is how long a server that refused work as leaving is taken at its
	// word against older reports and lists. It exceeds the lag of both.
	leavingHold = 15 * time.Second
	// firstBackoff is how long a server gets nothing after a request that couldn't be
	// sent; it doubles with each further one.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff bounds the doubling.
	maxBackoff = 3 * time.Second
	// notResidentBackoff is how long a server gets no requests for what it said that it
	// doesn't hold. News of what it holds usually come sooner.
	notResidentBackoff = time.Second
)

// server is a backend server with all that was learned of it.
type server struct {
	Server
	// listed is false once the server is gone from the list, while its last requests
	// still run.
	listed      bool
	unreachable bool
	// reportLeaving is what the last report said.
	reportLeaving bool
	// refusedUntil is until when a refusal as leaving counts.
	refusedUntil time.Time
	// backoff is until when nothing is sent after failures.
	backoff  time.Time
	failures int

	sequence uint64
	taken    time.Time
	resident []modelref.Ref
	replicas []*replica
	// seen holds a replica for each target that the server ever had.
	seen    map[targetKey]*replica
	learned predict.Server
	load    load.Server
	limit   *limit.Limit
	// unread is how many prompt tokens this instance has sent that the server hasn't
	// begun to answer, and unreadElsewhere the same of each peer.
	unread          int
	unreadElsewhere map[string]peerUnread
	// stay is the mean duration of this instance's requests on the server. It holds
	// their wait too, which makes up for the more urgent ones that will overtake.
	stay time.Duration
}

func newServer() *server {
	return &server{seen: map[targetKey]*replica{}, limit: limit.New()}
}

// usable reports whether the server may get new work at now.
func (s *server) usable(now time.Time) bool {
	return s.listed && !s.unreachable && !s.leaving(now) && !now.Before(s.backoff)
}

func (s *server) leaving(now time.Time) bool {
	return s.Leaving || s.reportLeaving || now.Before(s.refusedUntil)
}

func (s *server) failed(now time.Time) {
	s.failures = min(s.failures+1, 8)
	s.backoff = now.Add(min(maxBackoff, firstBackoff<<(s.failures-1)))
}

// SetServers implements Scheduler.
func (c *core) SetServers(now time.Time, servers []Server) []Decision {
	for _, s := range c.servers {
		s.listed = false
	}
	for _, described := range servers {
		c.setServer(described)
	}
	for _, s := range c.servers {
		if !s.listed {
			c.unlist(now, s)
		}
	}
	return c.advance(now)
}

func (c *core) setServer(described Server) {
	s := c.servers[described.Name]
	if s == nil {
		s = newServer()
		c.servers[described.Name] = s
	}
	same := slices.Equal(s.Services, described.Services) && s.Pool == described.Pool
	s.Server = described
	s.listed = true
	s.limit.ObserveBatch(described.Slots)
	if !same {
		c.index(s)
	}
}

// unlist takes a server that left the list out of the index.
func (c *core) unlist(now time.Time, s *server) {
	c.unindex(s)
	s.resident = nil
	s.Services = nil
	c.forgetServer(now, s)
}

// forgetServer forgets an unlisted server once nothing of this instance runs on it.
// A refusal as leaving is remembered longer, since a list may waver.
func (c *core) forgetServer(now time.Time, s *server) {
	if s.listed || s.load.Own() > 0 || now.Before(s.refusedUntil) {
		return
	}
	delete(c.servers, s.Name)
	delete(c.busy, s)
}

// ObserveReport implements Scheduler. A report older than the last one is ignored.
func (c *core) ObserveReport(now time.Time, name string, report engine.Report) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed {
		return nil
	}
	s.unreachable = false
	if report.Taken.Before(s.taken) || (report.Taken.Equal(s.taken) && report.Sequence < s.sequence) {
		return c.advance(now)
	}
	s.taken = report.Taken
	s.sequence = report.Sequence
	s.reportLeaving = report.Leaving
	s.limit.ObserveBatch(report.MaxBatch)
	s.load.ObserveReport(now, load.Report{Taken: report.Taken, Total: report.Running + report.Waiting})
	s.learned.ObserveStep(now, time.Duration(report.StepMillis*float64(time.Millisecond)))
	if !slices.Equal(s.resident, report.Resident) {
		s.resident = slices.Clone(report.Resident)
		c.index(s)
	}
	return c.drainAfterExpiry(now, s)
}

// ObserveLoad implements Scheduler.
func (c *core) ObserveLoad(now time.Time, name string, told engine.Load) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed {
		return nil
	}
	s.limit.ObserveBatch(told.Slots)
	s.load.ObserveReport(now, load.Report{Taken: now, Total: told.Running + told.Waiting})
	return c.drainAfterExpiry(now, s)
}

// ObserveResident implements Scheduler.
func (c *core) ObserveResident(now time.Time, name string, refs []modelref.Ref) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed || slices.Equal(s.resident, refs) {
		return nil
	}
	s.resident = slices.Clone(refs)
	c.index(s)
	return c.drainAfterExpiry(now, s)
}

// ObserveUnreachable implements Scheduler.
func (c *core) ObserveUnreachable(now time.Time, name string) []Decision {
	if s := c.servers[name]; s != nil {
		s.unreachable = true
	}
	return c.expire(now, nil)
}

// index rebuilds the server's replicas from what it holds and offers.
func (c *core) index(s *server) {
	c.unindex(s)
	for _, service := range s.Services {
		c.addReplica(s, targetKey{service: service})
	}
	if s.Pool != "" {
		c.addReplica(s, targetKey{service: s.Pool})
	}
	for _, ref := range s.resident {
		base, isAdapter := c.bases[ref]
		if isAdapter && !slices.Contains(s.resident, base) {
			continue
		}
		c.addReplica(s, targetKey{model: ref, service: s.Pool})
	}
}

func (c *core) unindex(s *server) {
	for _, r := range s.replicas {
		r.target.removeReplica(r)
	}
	s.replicas = s.replicas[:0]
}
