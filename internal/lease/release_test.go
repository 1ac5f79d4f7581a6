package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newHolder returns a holder of a lease of 3 s, the key and the time.
func newHolder(t *testing.T, change func(*Config)) (*Machine, *fakeKey, time.Time) {
	t.Helper()
	config := Config{Instance: "a", TTL: 3 * time.Second, Margin: 500 * time.Millisecond}
	change(&config)
	m, key, now := New(config, rand.New(rand.NewPCG(1, 1))), &fakeKey{}, time.Unix(1000, 0)
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(tick) {
		key.serve(now, m)
	}
	if !m.Holds(now) {
		t.Fatal("the only candidate doesn't hold the lease after 2 s")
	}
	return m, key, now
}

// TestHolderOfUnclearReleaseMayNotAct guards against a holder that goes on giving orders while the answer to its
// release is lost: others may claim the lease at once.
func TestHolderOfUnclearReleaseMayNotAct(t *testing.T) {
	m, key, now := newHolder(t, unchangedConfig)
	m.Release()
	if m.Holds(now) {
		t.Error("a candidate that is to release the lease may act")
	}
	key.loseAnswers = true
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(tick) {
		key.serve(now, m)
		if m.Holds(now) || m.Lapsed(now) {
			t.Fatal("a candidate with an unclear release may act")
		}
	}
	if !key.record.Released || !m.Released() {
		t.Errorf("the record is released: %v, the candidate knows so: %v; want both", key.record.Released, m.Released())
	}
}

// TestHolderThatStepsDownMayNotActWhileItsReleaseIsUnclear guards against the same after low reach. The release has no
// effect here, so the holder goes on once a renewal proves that it can't have one any more.
func TestHolderThatStepsDownMayNotActWhileItsReleaseIsUnclear(t *testing.T) {
	m, key, now := newHolder(t, func(c *Config) { c.StepDownReach = 0.5 })
	m.SetReach(now, 0)
	released := false
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(tick) {
		operation := m.Next(now)
		switch {
		case operation.Step == Write && operation.Record.Released:
			released = true
			m.Failed(now)
		case operation.Step == Write && released:
			if m.Holds(now) {
				t.Fatal("a candidate with an unclear release may act")
			}
			key.revision++
			m.Written(now, key.revision)
			if !m.Holds(now) {
				t.Fatal("a candidate that has renewed the lease after an unclear release may not act")
			}
			return
		case operation.Step == Write:
			key.revision++
			m.Written(now, key.revision)
		case operation.Step == Read:
			m.Observed(now, m.Record(), key.revision)
		}
	}
	t.Error("the candidate didn't renew the lease after its unclear release")
}

// TestReleaseWaitsUntilNothingIsInProgress guards against a successor that gives orders before those of a holder that
// released the lease have arrived.
func TestReleaseWaitsUntilNothingIsInProgress(t *testing.T) {
	m, key, now := newHolder(t, unchangedConfig)
	m.SetBusy(true)
	m.Release()
	for range 10 {
		now = now.Add(tick)
		key.serve(now, m)
	}
	if key.record.Released || m.Holds(now) {
		t.Errorf("while an order is in progress: released %v, may act %v, want neither", key.record.Released, m.Holds(now))
	}
	m.SetBusy(false)
	key.serve(now.Add(tick), m)
	if !key.record.Released {
		t.Error("the lease isn't released though nothing is in progress")
	}
}
