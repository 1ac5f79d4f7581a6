// Package kvstore stands in for the platform's key-value service. It serves the
// subset of the etcd v3 JSON gateway that the product uses: range, txn with one
// comparison, leases and watches. Its faults can be switched while it runs.
package kvstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxHistory is how many events are kept for watches that start in the past.
const maxHistory = 4096

// Options describes a service.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are the rates above which calls are refused;
	// 0 means no bound.
	WritesPerSecond, ReadsPerSecond float64
}

// Faults are the ways in which the service can misbehave.
type Faults struct {
	// Down refuses all calls and cuts waiting watches.
	Down bool
	// Hang holds all calls until the client gives up.
	Hang bool
	// Slow delays all answers.
	Slow time.Duration
	// LoseAnswers closes the connection after a write took effect.
	LoseAnswers bool
	// LoseWrites closes the connection before a write takes effect.
	LoseWrites bool
}

// Stats counts calls.
type Stats struct {
	// Received counts all calls, also those that a fault or a rate refused.
	Received   int `json:"received"`
	Reads      int `json:"reads"`
	Writes     int `json:"writes"`
	Watches    int `json:"watches"`
	KeepAlives int `json:"keepalives"`
	// Throttled counts calls refused for their rate.
	Throttled int `json:"throttled"`
	// Refused counts calls during an outage.
	Refused int `json:"refused"`
	// LostAnswers counts writes that took effect without an answer.
	LostAnswers int `json:"lost_answers"`
}

type record struct {
	key         string
	value       []byte
	created     int64
	revision    int64
	version     int64
	lease       int64
	deletedHere bool
}

type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	writes, reads *rate.Limiter

	mu        sync.Mutex
	faults    Faults
	cut       chan struct{}
	stats     Stats
	revision  int64
	compacted int64
	data      map[string]record
	history   []record
	changed   chan struct{}
	leases    map[int64]*lease
	nextLease int64
}

// New returns an empty service.
func New(o Options) *Service {
	return &Service{
		writes:    limiter(o.WritesPerSecond),
		reads:     limiter(o.ReadsPerSecond),
		cut:       make(chan struct{}),
		revision:  1,
		data:      map[string]record{},
		changed:   make(chan struct{}),
		leases:    map[int64]*lease{},
		nextLease: 7000,
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults. Going down cuts waiting watches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Value returns a key's value without counting a call, for checks.
func (s *Service) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.data[key]
	return r.value, ok
}

// ExpireLeases ends all leases at once, as a clock jump would.
func (s *Service) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLeaseLocked(id)
	}
}

// putLocked writes a key at the present revision.
func (s *Service) putLocked(key string, value []byte, leaseID int64) {
	before, existed := s.data[key]
	r := record{key: key, value: value, created: s.revision, revision: s.revision, version: 1, lease: leaseID}
	if existed {
		r.created = before.created
		r.version = before.version + 1
		s.detachLocked(before)
	}
	if l, ok := s.leases[leaseID]; ok {
		l.keys[key] = true
	}
	s.data[key] = r
	s.logLocked(r)
}

func (s *Service) deleteLocked(key string) {
	before, existed := s.data[key]
	if !existed {
		return
	}
	s.detachLocked(before)
	delete(s.data, key)
	s.logLocked(record{key: key, revision: s.revision, deletedHere: true})
}

func (s *Service) detachLocked(r record) {
	if l, ok := s.leases[r.lease]; ok {
		delete(l.keys, r.key)
	}
}

func (s *Service) logLocked(r record) {
	s.history = append(s.history, r)
	if len(s.history) > maxHistory {
		s.compacted = s.history[maxHistory/2-1].revision
		s.history = append([]record(nil), s.history[maxHistory/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) grantLocked(ttl time.Duration) *lease {
	s.nextLease++
	l := &lease{id: s.nextLease, ttl: ttl, keys: map[string]bool{}}
	s.leases[l.id] = l
	l.expires = time.Now().Add(ttl)
	l.timer = time.AfterFunc(ttl, func() { s.expire(l) })
	return l
}

// expire ends a lease unless it was renewed meanwhile.
func (s *Service) expire(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := time.Until(l.expires); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.endLeaseLocked(l.id)
}

func (s *Service) endLeaseLocked(id int64) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	s.revision++
	for key := range l.keys {
		s.deleteLocked(key)
	}
}
