package lease

import (
	"fmt"
	"time"

	"limpethub/internal/store"
)

// Step is the kind of operation to perform on the lease key.
type Step uint8

const (
	// Wait means that nothing is due.
	Wait Step = iota
	// Read means to read the key and then call ReadEnded, or Observed or Failed directly.
	Read
	// Write means to write Operation.Record by compare-and-swap and then call WriteEnded, or
	// Written, Conflicted, Refused or Failed directly.
	Write
)

// Operation is the next call to the key-value store.
type Operation struct {
	Step Step
	// Record is the value to write if Step is Write.
	Record Record
	// Expected is the revision that the write expects.
	Expected store.Revision
}

// Next returns the operation that is due. After Read or Write it returns Wait until the
// outcome is reported by ReadEnded, WriteEnded or one of the methods that these call.
func (m *Machine) Next(now time.Time) Operation {
	if m.callInFlight || now.Before(m.nextCallAt) {
		return Operation{}
	}
	operation := m.decide(now)
	if operation.Step != Wait {
		m.callInFlight, m.callStartedAt = true, now
	}
	if operation.Step == Write {
		m.lastWrite, m.lastWriteAt, m.writeUnclear = operation.Record, now, true
	}
	return operation
}

func (m *Machine) decide(now time.Time) Operation {
	switch {
	case !m.known || m.writeUnclear:
		return Operation{Step: Read}
	case m.holding && (m.stopping || m.shouldStepDown(now)):
		return m.release()
	case m.stopping:
		return Operation{}
	case m.holding:
		return m.write(Record{Term: m.record.Term, Holder: m.config.Instance})
	case m.mayClaim(now):
		return m.write(Record{Term: m.nextTerm(), Holder: m.config.Instance})
	default:
		return Operation{Step: Read}
	}
}

// release returns the write that releases the lease. While the candidate is busy, it returns Wait.
func (m *Machine) release() Operation {
	m.handingOver = true
	if m.busy {
		return Operation{}
	}
	m.steppedDown = !m.stopping
	return m.write(Record{Term: m.record.Term, Holder: m.config.Instance, Released: true})
}

// epochTermBits is how many bits of a term hold the store's count if the store has epochs.
const epochTermBits = 38

// nextTerm returns the term for a claim. The highest term may be known to nobody any more: a
// store that came back from an older copy has lost its last records, and a late write of a
// former holder may replace a newer record whose count happens to be the expected one. In a store
// with epochs, a term is therefore at least the epoch followed by the count that the claim
// expects. Both only grow, and of two claims that expect the same count one fails.
func (m *Machine) nextTerm() uint64 {
	next := m.record.Term + 1
	if epoch := m.revision.Epoch(); epoch > 0 {
		next = max(next, uint64(epoch)<<epochTermBits+uint64(m.revision.Count()))
	}
	return next
}

// shouldStepDown reports whether a holder should release the lease because of low reach.
func (m *Machine) shouldStepDown(now time.Time) bool {
	return !m.steppedDown && !m.lowReachSince.IsZero() && now.Sub(m.lowReachSince) >= m.config.TTL
}

func (m *Machine) mayClaim(now time.Time) bool {
	return !now.Before(m.claimableAt())
}

func (m *Machine) reachDelay() time.Duration {
	return time.Duration((1 - m.reachShare) * float64(m.config.ReachDelay))
}

func (m *Machine) write(record Record) Operation {
	m.writeCount++
	record.Epoch = m.revision.Epoch()
	record.WriteID = fmt.Sprintf("%s-%d-%d", m.config.Instance, m.random.Uint64(), m.writeCount)
	return Operation{Step: Write, Record: record, Expected: m.revision}
}

// claimableAt returns when this candidate may claim the lease if the record stays unchanged.
func (m *Machine) claimableAt() time.Time {
	wait := m.claimWait() + m.reachDelay()
	if m.record.Holder != "" && !m.record.Released || m.restored {
		wait += m.config.TTL
	}
	return m.unchangedSince.Add(wait)
}

// claimWait returns the part of the wait before a claim that doesn't depend on reach or TTL.
func (m *Machine) claimWait() time.Duration { return m.claimJitter + m.config.ClaimDelay }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
