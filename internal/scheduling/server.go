package scheduling

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/scheduling/limit"
	"limpethub/internal/scheduling/load"
	"limpethub/internal/scheduling/predict"
	"limpethub/internal/scheduling/quota"
	"limpethub/internal/scheduling/room"
)

const (
	// leavingHold is how long a server counts as leaving after it refused a request because it
	// is leaving, even if reports and lists don't show it yet. It exceeds the lag of both.
	leavingHold = 15 * time.Second
	// firstBackoff is how long a server gets no requests after a failure. It doubles with
	// each further failure in a row.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff is the longest back-off.
	maxBackoff = 3 * time.Second
	// notResidentBackoff is how long a server gets no requests for a model that it refused
	// because it doesn't hold it. The list of what it holds is usually updated sooner.
	notResidentBackoff = time.Second
)

// server is a backend server with everything that was learned of it.
type server struct {
	Server
	// listed is false after the server has left the list, while its last requests still run.
	listed      bool
	unreachable bool
	// reportLeaving is true if the last report said that the server is leaving.
	reportLeaving bool
	// leavingUntil is when a refusal because the server is leaving stops counting.
	leavingUntil time.Time
	// backoffUntil is when the server may get requests again after failures.
	backoffUntil time.Time
	// failures is the number of failures in a row, up to 8. The bound keeps the shift in
	// backOff small; maxBackoff is reached before it.
	failures int

	reportSequence uint64
	reportTaken    time.Time
	resident       []modelref.Ref
	copies         []*targetCopy
	// knownCopies holds a copy for each target that the server has ever had, so that what
	// was learned of it isn't lost when the target is unloaded and loaded again.
	knownCopies map[targetKey]*targetCopy
	prediction  predict.Server
	load        load.Server
	limit       *limit.Limit
	// pendingPrefillTokens is the number of prompt tokens that the server has yet to prefill for
	// this instance's requests. pendingPrefillByPeer holds the same for each peer.
	pendingPrefillTokens int
	pendingPrefillByPeer map[string]peerPendingPrefill
	longPrompt           longPrompt
	// quota is this instance's part of the limit that the server has named; nil if it has named none.
	quota *quota.Quota
	// saysBrittle is true while the server's answers say that it falls over if it must turn requests away. room is
	// this instance's part of it while a server of its service is brittle, else nil.
	saysBrittle bool
	room        *room.Room
	// pace is how fast the server is compared with the others of its service.
	pace serverPace
	// suspects is how many of this instance's requests on the server may crash it.
	suspects int
	// meanDuration is the mean duration of this instance's requests on the server. It includes
	// the wait in the server, so that predictions made from it also allow for more urgent
	// requests that arrive later and go first. It is divided by the server's factor; see expectedDuration.
	meanDuration time.Duration
}

func newServer() *server {
	return &server{knownCopies: map[targetKey]*targetCopy{}, limit: limit.New(), pace: serverPace{factor: 1}}
}

// usable reports whether the server may get new requests at now.
func (s *server) usable(now time.Time) bool {
	return s.listed && !s.unreachable && !s.leaving(now) && !now.Before(s.backoffUntil) && !s.paused(now)
}

func (s *server) leaving(now time.Time) bool {
	return s.Leaving || s.reportLeaving || now.Before(s.leavingUntil)
}

// backOff keeps requests away from the server after a failure.
func (s *server) backOff(now time.Time) {
	s.failures = min(s.failures+1, 8)
	s.backoffUntil = now.Add(min(maxBackoff, firstBackoff<<(s.failures-1)))
}

func (c *core) SetServers(now time.Time, servers []Server) []Decision {
	for _, s := range c.servers {
		s.listed = false
	}
	for _, info := range servers {
		c.setServer(info)
	}
	for _, s := range c.servers {
		if !s.listed {
			c.unlist(now, s)
		}
	}
	c.updateRooms()
	return c.advance(now)
}

func (c *core) setServer(info Server) {
	s := c.servers[info.Name]
	if s == nil {
		s = newServer()
		c.servers[info.Name] = s
	}
	if s.StartMillis != info.StartMillis {
		s.quota = nil
		s.pace = serverPace{factor: 1}
	}
	same := slices.Equal(s.Services, info.Services) && s.Pool == info.Pool
	s.Server = info
	s.listed = true
	s.limit.ObserveBatch(info.Slots)
	if !same {
		c.index(s)
	}
}

// unlist removes a server that has left the list from the index of targets.
func (c *core) unlist(now time.Time, s *server) {
	c.unindex(s)
	s.resident = nil
	s.Services = nil
	c.dropUnusedServer(now, s)
}

// dropUnusedServer drops an unlisted server once none of this instance's requests are on it. It
// is kept until leavingUntil, since it may appear in the list again.
func (c *core) dropUnusedServer(now time.Time, s *server) {
	if s.listed || s.load.Own() > 0 || now.Before(s.leavingUntil) {
		return
	}
	delete(c.servers, s.Name)
	delete(c.digestsLeft, s)
}

// ObserveReport implements Scheduler. A report older than the last one only shows that the
// server answers; its contents are ignored.
func (c *core) ObserveReport(now time.Time, name string, report engine.Report) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed {
		return nil
	}
	s.unreachable = false
	if report.Taken.Before(s.reportTaken) || (report.Taken.Equal(s.reportTaken) && report.Sequence < s.reportSequence) {
		return c.advance(now)
	}
	s.reportTaken = report.Taken
	s.reportSequence = report.Sequence
	s.reportLeaving = report.Leaving
	s.limit.ObserveBatch(report.MaxBatch)
	s.load.ObserveReport(now, load.Report{Taken: report.Taken, Total: report.Running + report.Waiting})
	s.prediction.ObserveStep(now, time.Duration(report.StepMillis*float64(time.Millisecond)))
	if !slices.Equal(s.resident, report.Resident) {
		s.resident = slices.Clone(report.Resident)
		c.index(s)
	}
	return c.expireAndDispatch(now, s)
}

// ObserveLoad implements Scheduler. The load is current at now, unlike that of a report.
func (c *core) ObserveLoad(now time.Time, name string, reported engine.StatedLoad) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed {
		return nil
	}
	s.limit.ObserveBatch(reported.Slots)
	c.observeMomentary(now, s, reported)
	c.updateRoom(s)
	s.load.ObserveReport(now, load.Report{Taken: now, Total: reported.Running + reported.Waiting})
	return c.expireAndDispatch(now, s)
}

// ObserveResident implements Scheduler. A list that is equal to the last one has no effect.
func (c *core) ObserveResident(now time.Time, name string, refs []modelref.Ref) []Decision {
	s := c.servers[name]
	if s == nil || !s.listed || slices.Equal(s.resident, refs) {
		return nil
	}
	s.resident = slices.Clone(refs)
	c.index(s)
	return c.expireAndDispatch(now, s)
}

// ObserveUnreachable implements Scheduler. The server is usable again after its next
// report, or after ObserveReachable.
func (c *core) ObserveUnreachable(now time.Time, name string) []Decision {
	if s := c.servers[name]; s != nil {
		s.unreachable = true
	}
	return c.expire(now, nil)
}

// ObserveReachable implements Scheduler.
func (c *core) ObserveReachable(now time.Time, name string) []Decision {
	s := c.servers[name]
	if s == nil || !s.unreachable {
		return nil
	}
	s.unreachable = false
	return c.expireAndDispatch(now, s)
}

// index rebuilds the server's copies from the models it holds and the services it offers. A
// server of a pool also takes requests to the pool that name no model. An adapter counts only
// while its base model is resident too.
func (c *core) index(s *server) {
	c.unindex(s)
	for _, service := range s.Services {
		c.addCopy(s, targetKey{service: service})
	}
	if s.Pool != "" {
		c.addCopy(s, targetKey{service: s.Pool})
	}
	for _, ref := range s.resident {
		base, isAdapter := c.bases[ref]
		if isAdapter && !slices.Contains(s.resident, base) {
			continue
		}
		c.addCopy(s, targetKey{model: ref, service: s.Pool})
	}
}

func (c *core) unindex(s *server) {
	for _, tc := range s.copies {
		tc.target.removeCopy(tc)
	}
	s.copies = s.copies[:0]
}
