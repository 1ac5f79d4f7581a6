// Package gossip spreads small facts that belong to the whole fleet from instance to instance:
// which parts of prompts crash servers, or which limit a server has named. Facts ride on the
// messages that instances exchange anyway, so that they need no messages of their own, and what
// an instance sends doesn't grow with the fleet.
//
// Spreader holds the facts of one instance. It has no goroutine, clock or socket. What a fact means,
// and how two facts with the same key are joined, is up to the owner of its topic.
package gossip

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Topic is what a fact is about. Instances of different versions exchange the numbers, so they may
// not change or be used again.
type Topic uint8

const (
	// TopicCrash is for server processes that ended, with the parts of the prompts on them.
	TopicCrash Topic = iota + 1
	// TopicProof is for parts of prompts that an answer has proven.
	TopicProof
	// TopicLimit is for the limits that servers name in their answers.
	TopicLimit
	// TopicRequestCrash is for server processes that ended, with the identities of the requests on them.
	TopicRequestCrash
	// TopicRequestProof is for requests that an answer has proven.
	TopicRequestProof
	// TopicRequestTrial is for requests that were tried again after a quarantine.
	TopicRequestTrial
	// TopicIdentityKey is for the key of the identities of requests.
	TopicIdentityKey
	// TopicReach is for instances that don't reach the servers by themselves.
	TopicReach
	// TopicBrittle is for servers that say how many requests they may turn away.
	TopicBrittle
	// TopicOutOfTouch is for instances whose configuration isn't proven to be the newest one.
	TopicOutOfTouch
	// TopicStillLearning stands in an answer with all facts if the instance may not have learned all of
	// them yet, since it has just started. It is about that answer only and isn't spread.
	TopicStillLearning
)

// Fact is a fact as it is sent. Instances' clocks differ, so it carries its age.
type Fact struct {
	Topic Topic `cbor:"1,keyasint"`
	// Key names what the fact is about. There is one fact for each topic and key.
	Key       uint64 `cbor:"2,keyasint"`
	Value     []byte `cbor:"3,keyasint,omitempty"`
	AgeMillis int64  `cbor:"4,keyasint,omitempty"`
}

// Timed is a fact with its time by the clock of this instance.
type Timed struct {
	Topic Topic
	Key   uint64
	Value []byte
	At    time.Time
}

const (
	// MaxValueBytes limits the value of a fact.
	MaxValueBytes = 520
	// factOverheadBytes is the most that CBOR adds to the value of a fact.
	factOverheadBytes = 28
	// maxAge limits the age in a received fact.
	maxAge = 24 * time.Hour
)

// Valid reports whether a received fact is within the limits.
func (f Fact) Valid() bool {
	return len(f.Value) <= MaxValueBytes && f.AgeMillis >= 0 && f.AgeMillis <= maxAge.Milliseconds()
}

// Timed converts a fact that was received at now.
func (f Fact) Timed(now time.Time) Timed {
	return Timed{Topic: f.Topic, Key: f.Key, Value: f.Value, At: now.Add(-time.Duration(f.AgeMillis) * time.Millisecond)}
}

// Fact converts a fact that is sent at now.
func (t Timed) Fact(now time.Time) Fact {
	return Fact{Topic: t.Topic, Key: t.Key, Value: t.Value, AgeMillis: max(0, now.Sub(t.At).Milliseconds())}
}

func (f Fact) size() int { return factOverheadBytes + len(f.Value) }

const (
	// sendsPerFact is how many messages carry a new fact. Each instance exchanges heartbeats with a
	// few others only, and the messages go to them in turn, so each of them gets the fact more than
	// once.
	sendsPerFact = 16
	// bytesPerSecond and burstBytes limit what is sent of new facts, and repeatBytesPerSecond what is
	// sent of known ones, for instances that missed them.
	bytesPerSecond       = 3000
	burstBytes           = 12 << 10
	repeatBytesPerSecond = 400
	repeatBurstBytes     = 800
	// notifyPeriod is the shortest time between two messages that are sent only to pass on facts
	// before the next heartbeat.
	notifyPeriod = 100 * time.Millisecond
	// maxFacts limits how many facts are held; the oldest is dropped first.
	maxFacts = 1024
	// lifetime is how long a fact is held, evidenceLifetime how long one about crashes, and reachLifetime
	// how long one about what an instance reaches, which is soon out of date.
	lifetime         = 30 * time.Minute
	evidenceLifetime = 24 * time.Hour
	reachLifetime    = 10 * time.Second
)

// isOver reports whether the fact is no longer held.
func (t Timed) isOver(now time.Time) bool {
	limit := evidenceLifetime
	switch t.Topic {
	case TopicLimit, TopicBrittle:
		limit = lifetime
	case TopicReach, TopicOutOfTouch:
		limit = reachLifetime
	}
	return now.Sub(t.At) > limit
}

type key struct {
	topic Topic
	key   uint64
}

type entry struct {
	fact  Timed
	sends int
	// element is the entry's place in one of the two queues.
	element *list.Element
}

// Spreader holds the facts that one instance knows, and says which of them its next message
// carries. It isn't safe for concurrent use.
type Spreader struct {
	entries map[key]*entry
	// fresh holds the facts that still have to be sent, the least often sent ones first. known holds
	// the others, which are repeated in turn.
	fresh, known *list.List
	limiter      *rate.Limiter
	repeats      *rate.Limiter
	// notifiedAt is when messages were last sent only to pass on facts; notifyDue is true while that
	// has to happen again.
	notifiedAt time.Time
	notifyDue  bool
}

// NewSpreader returns a Spreader without facts.
func NewSpreader() *Spreader {
	return &Spreader{
		entries: map[key]*entry{}, fresh: list.New(), known: list.New(),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		repeats: rate.NewLimiter(repeatBytesPerSecond, repeatBurstBytes),
	}
}

// Put adds a fact, or replaces the one with the same topic and key, and has it sent.
func (s *Spreader) Put(f Timed) {
	k := key{topic: f.Topic, key: f.Key}
	e := s.entries[k]
	if e == nil {
		if len(s.entries) >= maxFacts {
			s.dropOldest()
		}
		e = &entry{}
		s.entries[k] = e
	} else {
		s.unqueue(e)
	}
	e.fact, e.sends = f, 0
	e.element = s.fresh.PushFront(e)
	s.notifyDue = true
}

// NotifyDue reports whether to send messages now that only carry facts, because there are new ones
// and none were sent just before. The caller must send them.
func (s *Spreader) NotifyDue(now time.Time) bool {
	if !s.notifyDue || s.fresh.Len() == 0 || now.Sub(s.notifiedAt) < notifyPeriod {
		return false
	}
	s.notifyDue, s.notifiedAt = false, now
	return true
}

func (s *Spreader) unqueue(e *entry) {
	// Remove does nothing for an element of the other list.
	s.fresh.Remove(e.element)
	s.known.Remove(e.element)
}

func (s *Spreader) drop(e *entry) {
	s.unqueue(e)
	delete(s.entries, key{topic: e.fact.Topic, key: e.fact.Key})
}

func (s *Spreader) dropOldest() {
	var oldest *entry
	for _, e := range s.entries {
		if oldest == nil || e.fact.At.Before(oldest.fact.At) {
			oldest = e
		}
	}
	s.drop(oldest)
}

// Take returns the facts for a message with room for so many bytes: new ones, and one of the known
// ones.
func (s *Spreader) Take(now time.Time, roomBytes int) []Fact {
	out, room := s.takeFresh(now, roomBytes)
	return s.takeKnown(now, out, room)
}

func (s *Spreader) takeFresh(now time.Time, room int) ([]Fact, int) {
	var out []Fact
	for n := s.fresh.Len(); n > 0; n-- {
		e := s.fresh.Front().Value.(*entry)
		if e.fact.isOver(now) {
			s.drop(e)
			continue
		}
		f := e.fact.Fact(now)
		if f.size() > room || !s.limiter.AllowN(now, f.size()) {
			break
		}
		out, room = append(out, f), room-f.size()
		s.markSent(e)
	}
	return out, room
}

// markSent moves an entry behind the others, and to the known ones once it was sent often enough.
func (s *Spreader) markSent(e *entry) {
	e.sends++
	if e.sends < sendsPerFact {
		s.fresh.MoveToBack(e.element)
		return
	}
	s.fresh.Remove(e.element)
	e.element = s.known.PushBack(e)
}

func (s *Spreader) takeKnown(now time.Time, out []Fact, room int) []Fact {
	first := s.known.Front()
	if first == nil {
		return out
	}
	e := first.Value.(*entry)
	if e.fact.isOver(now) {
		s.drop(e)
		return out
	}
	f := e.fact.Fact(now)
	if f.size() > room || !s.repeats.AllowN(now, f.size()) {
		return out
	}
	s.known.MoveToBack(first)
	return append(out, f)
}

// All returns all facts, for an instance that has just started.
func (s *Spreader) All(now time.Time) []Fact {
	out := make([]Fact, 0, len(s.entries))
	for _, e := range s.entries {
		if !e.fact.isOver(now) {
			out = append(out, e.fact.Fact(now))
		}
	}
	return out
}

// Len returns how many facts are held.
func (s *Spreader) Len() int { return len(s.entries) }
