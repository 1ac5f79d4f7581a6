package storecall

import (
	"errors"
	"time"
)

var errClosed = errors.New("storecall: closed")

// Health is the state of the store as seen by the last calls.
type Health struct {
	// Reachable is whether the last completed call was answered. An error such as
	// ErrConflict is an answer, ErrThrottled is not. Calls that the caller canceled,
	// watches that ended without a change and failures of calls that began before the last answer don't count.
	Reachable bool
	// LastAnswer is the time of the store's last answer; zero means that it has never
	// answered.
	LastAnswer time.Time
	// Err is the last failure, and nil while the store is reachable.
	Err error
}

// Close makes all later calls fail without reaching the store.
func (s *Store) Close() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.closed = true
}

// Health returns the state of the store as seen by the last calls of all views.
func (s *Store) Health() Health {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.shared.health
}
