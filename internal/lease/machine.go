package lease

import (
	"math/rand/v2"
	"time"

	"limpethub/internal/store"
)

// Config holds the timings of a lease.
type Config struct {
	// Instance is the name of this candidate.
	Instance string
	// TTL is how long a lease lasts without renewal.
	TTL time.Duration
	// Margin is how long before the lease expires the holder stops acting. It allows for
	// clocks that stop while a machine is suspended.
	Margin time.Duration
	// Jitter is the longest random delay before a candidate claims the lease.
	Jitter time.Duration
	// ClaimDelay is a fixed delay in addition to Jitter. A candidate with too little capacity
	// for the holder's work sets it to leave the lease to others.
	ClaimDelay time.Duration
	// TrustUnchanged shortens the wait of a candidate that learned nothing of the key for longer
	// than TTL, by a read, a report or a write. Such a candidate normally starts the wait for a
	// claim anew with its next read. With TrustUnchanged it doesn't if the revision is still
	// the same. This is sound because each renewal changes the revision.
	TrustUnchanged bool
	// ReadPeriod is the mean time between two reads of a candidate; 0 means a third of
	// TTL.
	ReadPeriod time.Duration
	// ReachDelay is the additional delay of a candidate that reaches no server. It shrinks
	// in proportion to the share of servers reached. 0 turns it off.
	ReachDelay time.Duration
	// StepDownReach is the share of servers, 0 to 1, that a holder must reach. A holder that
	// stays below it for a whole TTL releases the lease so that a candidate that reaches
	// more can claim it. If there is none, the former holder claims the lease again and
	// keeps it. 0 turns it off.
	StepDownReach float64
}

// callsPerTTL is how often a holder renews within one TTL. TTL divided by it is also the mean
// wait of a candidate between two reads, unless Config.ReadPeriod is set, and the longest wait
// after a failed call.
const callsPerTTL = 3

// readAfterReportDivisor sets how soon a candidate reads the key after the holder's last
// report: after TTL divided by this number. After this read its usual period applies.
const readAfterReportDivisor = 4

// Machine is one candidate's view of one lease. It isn't safe for concurrent use.
type Machine struct {
	config     Config
	random     *rand.Rand
	writeCount uint64

	// record and revision are the last known value of the key.
	record   Record
	revision store.Revision
	// known is false until the key has been read once, and after a conflict.
	known bool
	// restored is true if the record may be older than another one that was written: the store
	// came back from an older copy.
	restored bool

	// callInFlight is true from the start of a call until its outcome is reported.
	callInFlight  bool
	callStartedAt time.Time
	// lastWrite is the last record sent, and lastWriteAt when it was sent.
	lastWrite   Record
	lastWriteAt time.Time
	// writeUnclear is true from the start of a write until its outcome is known.
	writeUnclear bool
	// nextCallAt is when the next call to the store is due.
	nextCallAt time.Time
	// lastUpdateAt is when this candidate last learned the state of the key: by a read, a report
	// of the holder, or a write that succeeded or conflicted. A failed call doesn't count.
	lastUpdateAt time.Time

	// unchangedSince is the time from which the current record is known to be unchanged. It is
	// set anew by a read after more than TTL without an update (see lastUpdateAt), unless
	// Config.TrustUnchanged is set. claimJitter is this candidate's random delay before it
	// claims the lease.
	unchangedSince time.Time
	claimJitter    time.Duration

	holding   bool
	expiresAt time.Time

	reachShare    float64
	lowReachSince time.Time
	// steppedDown is true after a release because of low reach, until the reach recovers.
	steppedDown bool
	// stopping is true once Release was called.
	stopping bool
	// handingOver is true from the decision to release the lease until it is certain that no
	// release has taken effect or still can: others may claim the lease as soon as one has.
	handingOver bool
	// busy is true while something done under the lease may still take effect.
	busy bool
}

// New makes a candidate. random is used for jitter and write ids.
func New(config Config, random *rand.Rand) *Machine {
	return &Machine{config: config, random: random, reachShare: 1}
}

// Holds reports whether this candidate may act on the lease: it holds the lease, is not within
// Margin of its expiry, and hasn't begun to release it.
func (m *Machine) Holds(now time.Time) bool {
	return m.holding && !m.releasing() && now.Before(m.expiresAt.Add(-m.config.Margin))
}

// Lapsed reports whether this candidate held the lease last as far as it knows, but may no
// longer act on it because the lease has expired or is within Margin of its expiry. A lease
// that is being released isn't lapsed.
func (m *Machine) Lapsed(now time.Time) bool {
	return m.holding && !m.releasing() && !m.Holds(now)
}

// releasing reports whether this candidate gives the lease up, or may have done so.
func (m *Machine) releasing() bool { return m.stopping || m.handingOver }

// SetBusy tells whether something that was done under the lease, such as an order, may still
// take effect. A release waits for it to end.
func (m *Machine) SetBusy(busy bool) { m.busy = busy }

// Term returns the highest term known to this candidate: its own while it holds the lease.
func (m *Machine) Term() uint64 { return m.record.Term }

// Record returns the last known record.
func (m *Machine) Record() Record { return m.record }

// ExpiresAt returns when the lease that this candidate held last runs out: TTL after the start of the write
// that renewed it last. It is zero for a candidate that never held the lease.
func (m *Machine) ExpiresAt() time.Time { return m.expiresAt }

// UnchangedSince returns from when on the current record is known to be unchanged.
func (m *Machine) UnchangedSince() time.Time { return m.unchangedSince }

// SetReach sets the share of the servers, 0 to 1, that this candidate reaches.
func (m *Machine) SetReach(now time.Time, share float64) {
	m.reachShare = share
	if share >= m.config.StepDownReach {
		m.lowReachSince, m.steppedDown = time.Time{}, false
		return
	}
	if m.lowReachSince.IsZero() {
		m.lowReachSince = now
	}
}

// Supersede ends this candidate's holding because a higher term was found elsewhere, such
// as in the ledger or on a server. The candidate's next claim uses a term above it.
func (m *Machine) Supersede(term uint64) {
	m.holding = false
	m.record.Term = max(m.record.Term, term)
}

// HolderReported takes the key's state from a report that the holder sent to this candidate, as
// Observed takes it from a read. Reports save reads of the key. A claim based on a report is
// still made by compare-and-swap.
func (m *Machine) HolderReported(now time.Time, record Record, revision store.Revision) {
	if m.holding || m.callInFlight || m.writeUnclear || m.stopping || (m.known && revision < m.revision) {
		return
	}
	if !m.known || revision != m.revision {
		m.adopt(record, revision)
		m.unchangedSince = now
		m.claimJitter = time.Duration(m.random.Int64N(int64(m.config.Jitter) + 1))
	}
	m.lastUpdateAt = now
	// The holder may have renewed after its last report and then failed. An early read finds
	// that renewal, so that the TTL is counted from it and the first claim doesn't conflict.
	m.nextCallAt = earlier(m.claimableAt(), now.Add(m.config.TTL/readAfterReportDivisor))
}

// Revision returns the key's revision that belongs to Record.
func (m *Machine) Revision() store.Revision { return m.revision }

// ReadNow makes the next call to the store due at once, for example when the holder seems to
// have failed. The call is a claim if the lease may be claimed, otherwise a read.
func (m *Machine) ReadNow(now time.Time) {
	if !m.holding && m.nextCallAt.After(now) {
		m.nextCallAt = now
	}
}

// Release releases the lease permanently, as on a planned stop. Holds is false from now on.
func (m *Machine) Release() { m.stopping = true }

// Released reports whether Release was called and the lease is known to be released.
func (m *Machine) Released() bool { return m.stopping && !m.holding && !m.writeUnclear }
