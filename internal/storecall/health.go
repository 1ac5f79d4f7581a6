package storecall

import (
	"errors"
	"time"
)

var errClosed = errors.New("storecall: closed")

// Health is the state of the service as seen by the last calls.
type Health struct {
	// Reachable is whether the last completed call was answered. Calls that the caller
	// canceled and watches that ended without a change don't count.
	Reachable bool
	// LastAnswer is the time of the service's last answer; zero means that it has never
	// answered.
	LastAnswer time.Time
	// Err is the last failure, and nil while the service is reachable.
	Err error
}

// Close makes all later calls fail without reaching the service.
func (s *Store) Close() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.closed = true
}

// Health returns the state of the service as seen by the last calls of all views.
func (s *Store) Health() Health {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.shared.health
}
