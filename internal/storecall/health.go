package storecall

import (
	"errors"
	"time"
)

var errClosed = errors.New("storecall: closed")

// Health is what the last calls tell of the service.
type Health struct {
	// Reachable is whether the last call that ended was answered.
	Reachable bool
	// LastAnswer is when the service last answered; zero means never.
	LastAnswer time.Time
	// Err is the last failure, while the service is not reachable.
	Err error
}

// Close makes all later calls fail before they reach the service.
func (s *Store) Close() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.closed = true
}

// Health returns what the last calls tell of the service.
func (s *Store) Health() Health {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.health
}
