// Package weightstore stands in for the platform's store of model weights: loads
// are limited in rate and in concurrency, and a load beyond a limit is refused and
// counted as a violation.
package weightstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrLimited is the refusal of a load beyond the store's limits.
var ErrLimited = errors.New("weightstore: load refused: limit exceeded")

// Options describes a store.
type Options struct {
	// LoadsPerSecond is the rate at which loads may begin.
	LoadsPerSecond float64
	// Concurrent is how many loads may be in progress at once. It is also the burst
	// that the rate allows.
	Concurrent int
	// MBPerSecond is the transfer rate of one load, in MiB per second.
	MBPerSecond float64
	// MinLoad is the least duration of a load.
	MinLoad time.Duration
}

// Stats counts what the store has seen.
type Stats struct {
	Loads             int `json:"loads"`
	RateViolations    int `json:"rate_violations"`
	OverlapViolations int `json:"overlap_violations"`
	PeakConcurrent    int `json:"peak_concurrent"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	options Options
	limiter *rate.Limiter

	mu     sync.Mutex
	active int
	slow   float64
	stats  Stats
}

// New returns a store.
func New(o Options) *Store {
	return &Store{options: o, limiter: rate.NewLimiter(rate.Limit(o.LoadsPerSecond), o.Concurrent), slow: 1}
}

// SetSlow makes loads take factor times as long.
func (s *Store) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Load blocks for as long as a load of the given size takes.
func (s *Store) Load(ctx context.Context, memoryMB int64) error {
	took, err := s.begin(memoryMB)
	if err != nil {
		return err
	}
	defer s.end()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) begin(memoryMB int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Loads++
	if s.active >= s.options.Concurrent {
		s.stats.OverlapViolations++
		return 0, ErrLimited
	}
	if !s.limiter.Allow() {
		s.stats.RateViolations++
		return 0, ErrLimited
	}
	s.active++
	s.stats.PeakConcurrent = max(s.stats.PeakConcurrent, s.active)
	transfer := time.Duration(float64(memoryMB) / s.options.MBPerSecond * float64(time.Second))
	return time.Duration(float64(max(transfer, s.options.MinLoad)) * s.slow), nil
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
