package load

import "time"

const (
	// remoteLifetime is how long a peer's digest counts.
	remoteLifetime = 3 * time.Second
	// maxLag bounds how old a report may claim to be; beyond it the server's clock is
	// taken to be wrong and the report to be of now.
	maxLag = 10 * time.Second
	// unknownWeight is the weight of a new report in the mean of unknown requests.
	unknownWeight = 0.5
)

// Report holds the figures of a server's report that tell its load.
type Report struct {
	// Taken is when the figures were true.
	Taken time.Time
	// Total is the number of requests running and waiting.
	Total int
}

type remote struct {
	counts   counts
	sequence uint64
	seen     time.Time
}

// Server estimates the load of one server: this instance's requests, those of the
// peers' digests, and those that only the server's reports show.
type Server struct {
	own     counts
	remotes map[string]remote
	// others is the sum of the remotes; it is summed again from freshUntil on.
	others     counts
	freshUntil time.Time
	// known is the history of own and others together.
	known history
	// unknown is how many requests the reports showed beyond the known ones.
	unknown float64
	taken   time.Time
}

// Own is how many requests this instance has on the server.
func (s *Server) Own() int { return s.own.total }

// OwnUpTo is how many requests of a class and the more urgent ones this instance has
// on the server.
func (s *Server) OwnUpTo(class int) int { return s.own.upTo(class) }

// OwnByClass lists how many requests this instance has on the server, per class.
func (s *Server) OwnByClass() []int { return append([]int(nil), s.own.byClass...) }

// Dispatched counts a request of this instance.
func (s *Server) Dispatched(now time.Time, class int) { s.change(now, func() { s.own.add(class, 1) }) }

// Finished counts the end of a request of this instance.
func (s *Server) Finished(now time.Time, class int) { s.change(now, func() { s.own.add(class, -1) }) }

// change notes in the history what f does to the known requests.
func (s *Server) change(now time.Time, f func()) {
	before := s.own.total + s.others.total
	f()
	s.known.set(now, before, s.own.total+s.others.total)
}

// ObserveReport takes a report that was read at now. One older than the last is
// ignored. What it shows is compared with what was known at the time it tells of, so
// that its lag does no harm.
func (s *Server) ObserveReport(now time.Time, report Report) {
	taken := report.Taken
	if taken.After(now) || now.Sub(taken) > maxLag {
		taken = now
	}
	if taken.Before(s.taken) {
		return
	}
	s.taken = taken
	s.refresh(now)
	then := s.known.at(taken, s.own.total+s.others.total)
	s.unknown += unknownWeight * (float64(max(0, report.Total-then)) - s.unknown)
}

// ObserveRemote takes a peer's digest. One with an old sequence is ignored, unless
// the peer was silent for so long that it may have restarted.
func (s *Server) ObserveRemote(now time.Time, instance string, byClass []int, sequence uint64) {
	if s.remotes == nil {
		s.remotes = map[string]remote{}
	}
	last, ok := s.remotes[instance]
	if ok && sequence <= last.sequence && now.Sub(last.seen) < remoteLifetime {
		return
	}
	s.remotes[instance] = remote{counts: countsOf(byClass), sequence: sequence, seen: now}
	s.sum(now)
}

// ForgetRemote drops a peer's digest. What the peer left running shows in reports.
func (s *Server) ForgetRemote(instance string) {
	delete(s.remotes, instance)
	s.freshUntil = time.Time{}
}

// Total estimates how many requests the server has.
func (s *Server) Total(now time.Time) int {
	s.refresh(now)
	return s.own.total + s.others.total + int(s.unknown)
}

// UpTo estimates how many requests of a class and the more urgent ones the server
// has. Unknown requests count for every class.
func (s *Server) UpTo(now time.Time, class int) int {
	s.refresh(now)
	return s.own.upTo(class) + s.others.upTo(class) + int(s.unknown)
}

// refresh sums the digests again once the first of them has grown too old.
func (s *Server) refresh(now time.Time) {
	if len(s.remotes) > 0 && !now.Before(s.freshUntil) || s.freshUntil.IsZero() {
		s.sum(now)
	}
}

func (s *Server) sum(now time.Time) {
	s.change(now, func() {
		s.others.clear()
		s.freshUntil = now.Add(remoteLifetime)
		for instance, r := range s.remotes {
			dies := r.seen.Add(remoteLifetime)
			if !now.Before(dies) {
				delete(s.remotes, instance)
				continue
			}
			s.others.addAll(r.counts)
			if dies.Before(s.freshUntil) {
				s.freshUntil = dies
			}
		}
	})
}
