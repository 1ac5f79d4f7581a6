package lease

import (
	"errors"
	"time"

	"limpethub/internal/store"
)

// ReadEnded takes the result of the last read from the store. It returns an error if the
// key's value isn't a valid record.
func (m *Machine) ReadEnded(now time.Time, entry store.Entry, err error) error {
	switch {
	case errors.Is(err, store.ErrNotFound):
		m.Observed(now, Record{}, store.AbsentRevision(err))
		return nil
	case err != nil:
		m.Failed(now)
		return nil
	}
	record, err := Decode(entry.Value)
	if err != nil {
		m.Failed(now)
		return err
	}
	m.Observed(now, record, entry.Revision)
	return nil
}

// WriteEnded takes the result of the last write from the store.
func (m *Machine) WriteEnded(now time.Time, revision store.Revision, err error) {
	switch {
	case err == nil:
		m.Written(now, revision)
	case errors.Is(err, store.ErrConflict):
		m.Conflicted(now)
	case errors.Is(err, store.ErrThrottled):
		m.Refused(now)
	default:
		m.Failed(now)
	}
}

// Observed takes the key's state from a read; a revision with count 0 means that the key is
// absent.
func (m *Machine) Observed(now time.Time, record Record, revision store.Revision) {
	m.callInFlight = false
	missedUpdates := now.Sub(m.lastUpdateAt) > m.config.TTL && !m.config.TrustUnchanged
	changed := !m.known || revision != m.revision
	m.resolveUnclearWrite(record)
	if changed {
		m.adopt(record, revision)
	}
	if changed || missedUpdates {
		m.unchangedSince = now
		m.claimJitter = time.Duration(m.random.Int64N(int64(m.config.Jitter) + 1))
	}
	m.lastUpdateAt = now
	m.schedule(now)
}

// resolveUnclearWrite determines from the key's record whether an unclear write took effect.
func (m *Machine) resolveUnclearWrite(record Record) {
	if m.writeUnclear && record.WriteID == m.lastWrite.WriteID {
		m.confirmWrite(record)
	}
	m.writeUnclear = false
}

// confirmWrite records that the last write took effect. The TTL counts from its start. An earlier
// release can't take effect any more, because it expected the revision that this write replaced.
func (m *Machine) confirmWrite(record Record) {
	m.holding, m.handingOver = !record.Released, false
	m.expiresAt = m.lastWriteAt.Add(m.config.TTL)
}

// adopt takes the key's current state. A write by another instance ends the holding. So does a
// return of the store from an older copy: the record may then be an earlier one of this
// instance's, or may have replaced another instance's by mistake.
func (m *Machine) adopt(record Record, revision store.Revision) {
	lost := revision < m.revision || m.revision != 0 && revision.Epoch() != m.revision.Epoch()
	if record.WriteID != m.lastWrite.WriteID || lost || record.Released {
		m.holding, m.handingOver = false, false
	}
	m.restored = lost || record.writtenBefore(revision)
	// An absent key keeps the highest known term, so that terms never decrease.
	record.Term = max(record.Term, m.record.Term)
	m.known, m.record, m.revision = true, record, revision
}

// Written reports that the last write took effect and which revision it produced.
func (m *Machine) Written(now time.Time, revision store.Revision) {
	m.callInFlight, m.writeUnclear = false, false
	m.confirmWrite(m.lastWrite)
	m.adopt(m.lastWrite, revision)
	m.unchangedSince, m.lastUpdateAt = now, now
	m.schedule(now)
}

// Conflicted reports that the last write had no effect because the revision differed. Another
// candidate may hold the lease. The cause may also be an earlier write of this candidate that took
// effect late, even a release, or a copy of the last one that arrived twice. Neither proves that
// the lease is held, so the holding ends.
func (m *Machine) Conflicted(now time.Time) {
	m.callInFlight, m.writeUnclear, m.known = false, false, false
	m.holding = false
	m.lastUpdateAt = now
	m.nextCallAt = now
}

// Refused reports that the last write certainly had no effect, for example when throttled.
func (m *Machine) Refused(now time.Time) {
	m.callInFlight, m.writeUnclear = false, false
	m.backOff(now)
}

// Failed reports that the last call failed. The outcome of a write is then unknown.
func (m *Machine) Failed(now time.Time) {
	m.callInFlight = false
	m.backOff(now)
}

func (m *Machine) backOff(now time.Time) {
	period := m.config.TTL / callsPerTTL
	m.nextCallAt = now.Add(period/2 + time.Duration(m.random.Int64N(int64(period)/2+1)))
}

func (m *Machine) schedule(now time.Time) {
	period := m.config.TTL / callsPerTTL
	if m.holding {
		m.nextCallAt = m.lastWriteAt.Add(period)
		return
	}
	if m.config.ReadPeriod > 0 {
		period = m.config.ReadPeriod
	}
	m.nextCallAt = now.Add(period/2 + time.Duration(m.random.Int64N(int64(period)+1)))
	if claimAt := m.claimableAt(); m.known && !m.stopping && claimAt.After(now) {
		m.nextCallAt = earlier(m.nextCallAt, claimAt)
	}
	if m.isVacant(now) {
		// The key is read again halfway through claimWait, to learn of another candidate's claim.
		// The half is rounded up, so that claimWait is over at the second call. With a reach
		// delay, more reads follow until the lease may be claimed.
		m.nextCallAt = now.Add(m.claimWait()/2 + 1)
	}
}

// isVacant reports whether the lease is known to be without a holder, so that this candidate
// may claim it after its own delay. It is false for a candidate that has released the lease.
func (m *Machine) isVacant(now time.Time) bool {
	return m.known && (m.record.Holder == "" || m.record.Released) && !m.stopping && !m.restored
}
