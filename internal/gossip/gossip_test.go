package gossip

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fact(key uint64, bytes int) Timed {
	return Timed{Topic: TopicCrash, Key: key, Value: make([]byte, bytes), At: start}
}

// TestFactIsSentOftenEnoughAndThenRepeatedSeldom guards against facts that don't reach all, and
// against old ones that fill the messages.
func TestFactIsSentOftenEnoughAndThenRepeatedSeldom(t *testing.T) {
	s := NewSpreader()
	s.Put(fact(1, 40))
	sent, bytes := 0, 0
	now := start
	for range sendsPerFact {
		now = now.Add(50 * time.Millisecond)
		sent += len(s.Take(now, 500))
	}
	if sent < sendsPerFact || sent > sendsPerFact+1 {
		t.Errorf("a new fact was sent %d times in %d messages, want each time, and at most one repeat", sent, sendsPerFact)
	}
	repeats := 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, f := range s.Take(now, 500) {
			repeats++
			bytes += f.size()
		}
	}
	if repeats == 0 || bytes > repeatBurstBytes+10*repeatBytesPerSecond {
		t.Errorf("a known fact was repeated %d times with %d bytes in 10s, want some and at most %d bytes", repeats, bytes, repeatBurstBytes+10*repeatBytesPerSecond)
	}
	if s.Put(fact(1, 41)); len(s.Take(now, 500)) == 0 {
		t.Error("a fact that changed isn't sent again")
	}
}

// TestBytesAreBoundedHoweverManyFacts guards against heartbeats that grow when many servers end at
// once, and against memory that does.
func TestBytesAreBoundedHoweverManyFacts(t *testing.T) {
	s := NewSpreader()
	for n := range 5 * maxFacts {
		s.Put(fact(uint64(n), MaxValueBytes))
	}
	if s.Len() > maxFacts {
		t.Errorf("%d facts are held, want at most %d", s.Len(), maxFacts)
	}
	bytes, now := 0, start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		inMessage := 0
		for _, f := range s.Take(now, 600) {
			inMessage += f.size()
		}
		if inMessage > 600 {
			t.Fatalf("%d bytes of facts in a message with room for 600", inMessage)
		}
		bytes += inMessage
	}
	if most := burstBytes + repeatBurstBytes + 10*(bytesPerSecond+repeatBytesPerSecond); bytes > most {
		t.Errorf("%d bytes of facts in 10s, want at most %d", bytes, most)
	}
}

// TestAgeDoesntDependOnClocks guards against times that are read by another instance's clock.
func TestAgeDoesntDependOnClocks(t *testing.T) {
	sent := fact(1, 0).Fact(start.Add(3 * time.Second))
	received := sent.Timed(start.Add(time.Hour))
	if want := start.Add(time.Hour - 3*time.Second); !received.At.Equal(want) {
		t.Errorf("got time %v, want %v", received.At, want)
	}
	for _, f := range []Fact{{AgeMillis: -1}, {AgeMillis: maxAge.Milliseconds() + 1}, {Value: make([]byte, MaxValueBytes+1)}} {
		if f.Valid() {
			t.Errorf("%+v counts as valid", f)
		}
	}
}

// TestOldFactsAreDropped guards against facts that are sent for good.
func TestOldFactsAreDropped(t *testing.T) {
	for topic, held := range map[Topic]time.Duration{TopicLimit: lifetime, TopicCrash: evidenceLifetime, TopicRequestCrash: evidenceLifetime} {
		s := NewSpreader()
		f := fact(1, 8)
		f.Topic = topic
		s.Put(f)
		if all := s.All(start.Add(held)); len(all) != 1 {
			t.Errorf("topic %d: told %v within its lifetime, want the fact", topic, all)
		}
		late := start.Add(held + time.Second)
		if sent, all := s.Take(late, 500), s.All(late); len(sent)+len(all) > 0 || s.Len() > 0 {
			t.Errorf("topic %d: sent %v and told %v after their lifetime, want none", topic, sent, all)
		}
	}
}
