package load

import "time"

const (
	// digestLifetime is how long a peer's digest stays valid.
	digestLifetime = 3 * time.Second
	// maxLag bounds the age of a report. If a report seems older, or later than now, the
	// server's clock is assumed to be wrong and the report is taken as current. A report older
	// than the history, but within maxLag, is compared with the oldest recorded count.
	maxLag = 10 * time.Second
	// unknownWeight is the weight of a new report in the moving average of unknown requests.
	unknownWeight = 0.5
)

// Report holds the load figures of a server's report.
type Report struct {
	// Taken is when the server measured the figures.
	Taken time.Time
	// Total is the number of running and waiting requests.
	Total int
}

// peerDigest is the last digest of a peer for this server.
type peerDigest struct {
	counts     counts
	sequence   uint64
	receivedAt time.Time
}

// Server estimates the load of one server as the sum of this instance's requests, those in
// the peers' digests, and those that only the server's reports show.
type Server struct {
	own     counts
	digests map[string]peerDigest
	// digestSum is the sum of digests. It must be computed again at sumValidUntil, when the
	// first digest expires; the zero time means at once.
	digestSum     counts
	sumValidUntil time.Time
	// knownHistory is the history of the sum of own and digestSum.
	knownHistory history
	// unknown is a moving average of how many requests the reports showed beyond the known
	// ones.
	unknown   float64
	lastTaken time.Time
}

// Own returns how many requests this instance has on the server.
func (s *Server) Own() int { return s.own.total }

// OwnUpTo returns how many requests of a class and all more urgent ones this instance has
// on the server.
func (s *Server) OwnUpTo(class int) int { return s.own.upTo(class) }

// OwnByClass returns how many requests this instance has on the server, per class.
func (s *Server) OwnByClass() []int { return append([]int(nil), s.own.byClass...) }

// Dispatched counts a request that this instance sent to the server.
func (s *Server) Dispatched(now time.Time, class int) { s.update(now, func() { s.own.add(class, 1) }) }

// Finished counts the end of a request that this instance sent to the server.
func (s *Server) Finished(now time.Time, class int) { s.update(now, func() { s.own.add(class, -1) }) }

// update applies a change to the known requests and records it in the history.
func (s *Server) update(now time.Time, apply func()) {
	before := s.own.total + s.digestSum.total
	apply()
	s.knownHistory.set(now, before, s.own.total+s.digestSum.total)
}

// ObserveReport takes a report that was read at now. A report older than the last one is
// ignored. The report is compared with the requests that were known when it was taken,
// not with those known now, so that its lag doesn't distort the estimate.
func (s *Server) ObserveReport(now time.Time, report Report) {
	taken := report.Taken
	if taken.After(now) || now.Sub(taken) > maxLag {
		taken = now
	}
	if taken.Before(s.lastTaken) {
		return
	}
	s.lastTaken = taken
	s.refresh(now)
	knownThen := s.knownHistory.at(taken, s.own.total+s.digestSum.total)
	s.unknown += unknownWeight * (float64(max(0, report.Total-knownThen)) - s.unknown)
}

// ObserveDigest takes a peer's digest. A digest with an old sequence is ignored, unless the
// last one has expired: the peer may have restarted and begun its sequence again.
func (s *Server) ObserveDigest(now time.Time, instance string, byClass []int, sequence uint64) {
	if s.digests == nil {
		s.digests = map[string]peerDigest{}
	}
	last, ok := s.digests[instance]
	if ok && sequence <= last.sequence && now.Sub(last.receivedAt) < digestLifetime {
		return
	}
	s.digests[instance] = peerDigest{counts: countsOf(byClass), sequence: sequence, receivedAt: now}
	s.sumDigests(now)
}

// ForgetPeer drops a peer's digest. Requests that the peer left running are learned from
// the server's reports.
func (s *Server) ForgetPeer(instance string) {
	delete(s.digests, instance)
	s.sumValidUntil = time.Time{}
}

// Total estimates how many requests the server has from all instances.
func (s *Server) Total(now time.Time) int {
	s.refresh(now)
	return s.own.total + s.digestSum.total + int(s.unknown)
}

// TotalUpTo estimates the number of requests of the given class and of all more urgent
// classes that the server has from all instances. Unknown requests count for every class,
// because their class isn't known.
func (s *Server) TotalUpTo(now time.Time, class int) int {
	s.refresh(now)
	return s.own.upTo(class) + s.digestSum.upTo(class) + int(s.unknown)
}

// refresh computes the sum of the digests again if the first of them has expired, or after
// ForgetPeer, which sets sumValidUntil to zero.
func (s *Server) refresh(now time.Time) {
	if len(s.digests) > 0 && !now.Before(s.sumValidUntil) || s.sumValidUntil.IsZero() {
		s.sumDigests(now)
	}
}

func (s *Server) sumDigests(now time.Time) {
	s.update(now, func() {
		s.digestSum.clear()
		s.sumValidUntil = now.Add(digestLifetime)
		for instance, digest := range s.digests {
			expiresAt := digest.receivedAt.Add(digestLifetime)
			if !now.Before(expiresAt) {
				delete(s.digests, instance)
				continue
			}
			s.digestSum.addAll(digest.counts)
			if expiresAt.Before(s.sumValidUntil) {
				s.sumValidUntil = expiresAt
			}
		}
	})
}
