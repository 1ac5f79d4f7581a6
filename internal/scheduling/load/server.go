package load

import "time"

const (
	// remoteLifetime is how long a peer's digest counts.
	remoteLifetime = 3 * time.Second
	// staleAfter is the age from which a report no longer outweighs the digests.
	staleAfter = 2 * time.Second
	// maxLag bounds how old a report may claim to be; beyond it the server's clock is
	// taken to be wrong and the report to be of now.
	maxLag = 10 * time.Second
)

// Report holds the figures of a server's report that tell its load.
type Report struct {
	// Taken is when the figures were true.
	Taken time.Time
	// Total is the number of requests running and waiting.
	Total int
}

type remote struct {
	outstanding int
	tokens      int
	sequence    uint64
	seen        time.Time
}

// Server estimates the load of one server.
type Server struct {
	own       int
	ownByTime history
	// others is what the last report held beyond this instance's requests.
	others  int
	taken   time.Time
	remotes map[string]remote
	// remoteTotal caches the sum of the remotes until it must be summed again.
	remoteTotal int
	remoteFresh time.Time
}

// Own is how many requests this instance has on the server.
func (s *Server) Own() int { return s.own }

// Dispatched counts a request of this instance.
func (s *Server) Dispatched(now time.Time) {
	s.ownByTime.set(now, s.own, s.own+1)
	s.own++
}

// Finished counts the end of a request of this instance.
func (s *Server) Finished(now time.Time) {
	if s.own == 0 {
		return
	}
	s.ownByTime.set(now, s.own, s.own-1)
	s.own--
}

// ObserveReport takes a report that was read at now. An older one than the last is
// ignored.
func (s *Server) ObserveReport(now time.Time, report Report) {
	taken := report.Taken
	if taken.After(now) || now.Sub(taken) > maxLag {
		taken = now
	}
	if taken.Before(s.taken) {
		return
	}
	s.taken = taken
	s.others = max(0, report.Total-s.ownByTime.at(taken, s.own))
}

// ObserveRemote takes a peer's digest. One with an old sequence is ignored, unless
// the peer was silent for so long that it may have restarted.
func (s *Server) ObserveRemote(now time.Time, instance string, outstanding, tokens int, sequence uint64) {
	if s.remotes == nil {
		s.remotes = map[string]remote{}
	}
	last, ok := s.remotes[instance]
	if ok && sequence <= last.sequence && now.Sub(last.seen) < remoteLifetime {
		return
	}
	s.remotes[instance] = remote{outstanding: outstanding, tokens: tokens, sequence: sequence, seen: now}
	s.remoteFresh = time.Time{}
}

// ForgetRemote drops a peer's digest.
func (s *Server) ForgetRemote(instance string) {
	delete(s.remotes, instance)
	s.remoteFresh = time.Time{}
}

// Others estimates how many requests other instances have on the server.
func (s *Server) Others(now time.Time) int {
	remotes := s.sumRemotes(now)
	if len(s.remotes) > 0 && now.Sub(s.taken) > staleAfter {
		return remotes
	}
	return max(remotes, s.others)
}

// Total estimates how many requests the server has.
func (s *Server) Total(now time.Time) int { return s.own + s.Others(now) }

// sumRemotes adds up the live digests. The sum is kept until the first of them
// grows too old.
func (s *Server) sumRemotes(now time.Time) int {
	if now.Before(s.remoteFresh) {
		return s.remoteTotal
	}
	s.remoteTotal = 0
	s.remoteFresh = now.Add(remoteLifetime)
	for instance, r := range s.remotes {
		dies := r.seen.Add(remoteLifetime)
		if !now.Before(dies) {
			delete(s.remotes, instance)
			continue
		}
		s.remoteTotal += r.outstanding
		if dies.Before(s.remoteFresh) {
			s.remoteFresh = dies
		}
	}
	return s.remoteTotal
}
