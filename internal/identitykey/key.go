// Package identitykey lets all instances of a fleet use the same key for the identities of requests,
// without a place where it is kept: each instance makes a key when it starts, and the oldest one of all
// that meet stays in use. Callers learn none of them.
package identitykey

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"time"

	"limpethub/internal/gossip"
)

const (
	timeBytes   = 8
	secretBytes = 24
	// factKey is the key of the only fact of its topic.
	factKey = 1
	// refreshPeriod is how often the fact is told anew, since old facts are dropped.
	refreshPeriod = 6 * time.Hour
	// correctPeriod is the least time between two times at which a peer with a newer key is corrected.
	correctPeriod = time.Second
)

// key is a secret with the time at which it was made, which stands first, so that keys are ordered by
// their age.
type key []byte

func newKey(now time.Time) key {
	k := binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	k = append(k, make([]byte, secretBytes)...)
	// Read never returns an error.
	_, _ = rand.Read(k[timeBytes:])
	return k
}

// state is the key in use, and when it was last told. It decides which of two keys stays.
type state struct {
	key    key
	toldAt time.Time
}

func (s *state) fact() gossip.Timed {
	return gossip.Timed{Topic: gossip.TopicIdentityKey, Key: factKey, Value: s.key, At: s.toldAt}
}

// join joins the key of a peer. adopted is true if it replaces the own one, and tell if the key in use
// has to be told.
func (s *state) join(now time.Time, f gossip.Timed) (adopted, tell bool) {
	if len(f.Value) != timeBytes+secretBytes {
		return false, false
	}
	switch order := bytes.Compare(f.Value, s.key); {
	case order < 0:
		s.key, s.toldAt = bytes.Clone(f.Value), f.At
		return true, true
	case order > 0:
		tell = now.Sub(s.toldAt) >= correctPeriod
	default:
		tell = f.At.Sub(s.toldAt) >= refreshPeriod/2
	}
	if tell {
		s.toldAt = now
	}
	return false, tell
}

// refresh reports whether the key has to be told again, and records that it is.
func (s *state) refresh(now time.Time) bool {
	if now.Sub(s.toldAt) < refreshPeriod {
		return false
	}
	s.toldAt = now
	return true
}
