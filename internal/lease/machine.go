package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"limpethub/internal/store"
)

// Config sets the times of a lease.
type Config struct {
	// Instance is this candidate's name.
	Instance string
	// TTL is how long a lease lasts without renewal.
	TTL time.Duration
	// Margin is how long before the end a holder stops to act, for clocks that stand
	// still while a machine is suspended.
	Margin time.Duration
	// Jitter is the most that a candidate waits, at random, before it claims.
	Jitter time.Duration
	// ClaimDelay is what a candidate waits besides, always: one that can hardly carry the
	// holder's work leaves the lease to others.
	ClaimDelay time.Duration
	// TrustUnchanged lets the time before a gap in the readings count where the record is
	// the same after it. Each renewal changes the record's revision, so that it wasn't
	// renewed in between.
	TrustUnchanged bool
	// ReadPeriod is the mean time between two looks of a candidate; 0 means a third of
	// TTL.
	ReadPeriod time.Duration
	// ReachDelay is how much longer a candidate waits that reaches no server; one that
	// reaches all waits no longer. Zero turns it off.
	ReachDelay time.Duration
	// StepDownReach makes a holder release the lease once it has reached less than
	// this share of the servers for a whole TTL, so that one that reaches more can take
	// it. If none does, it claims again and keeps it. Zero turns it off.
	StepDownReach float64
}

// Step says what to do with the lease key.
type Step uint8

// Steps.
const (
	// Wait means that nothing is due.
	Wait Step = iota
	// Read means to read the key and call Observed or Failed.
	Read
	// Write means to write Todo.Record by compare-and-swap and call Written or Failed.
	Write
)

// Todo is the next call to the key-value service.
type Todo struct {
	Step Step
	// Record is what to write, for Write.
	Record Record
	// Expected is the revision that the write expects.
	Expected store.Revision
}

// renewalsPerTTL is how often a holder renews within one TTL.
const renewalsPerTTL = 3

// silentPerTTL divides the TTL into the time after which a candidate that heard from
// the holder looks for itself.
const silentPerTTL = 4

// Machine is one candidate's view of one lease. It isn't safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand
	writes uint64

	// record and revision are what the key last showed.
	record   Record
	revision store.Revision
	// known is false until the key was read once.
	known bool

	// busy is true while a call is on its way; began is when it left.
	busy  bool
	began time.Time
	// sent is the record of the last write; unclear is true until its outcome is known.
	sent      Record
	sentAt    time.Time
	unclear   bool
	nextCall  time.Time
	lastHeard time.Time

	// since is when the record was first seen in its present form, without a gap in the
	// readings unless the config trusts an unchanged record; claimDelay is this candidate's
	// random wait after it lapsed.
	since      time.Time
	claimDelay time.Duration

	holding bool
	until   time.Time
	// vacant is how long before the last claim the record was last renewed, at least.
	vacant time.Duration

	reach    float64
	lowSince time.Time
	// steppedDown is true after a release for low reach, until the reach is better.
	steppedDown bool
	resign      bool
}

// New makes a candidate. The source is used for jitter and write ids.
func New(config Config, random *rand.Rand) *Machine {
	return &Machine{config: config, random: random, reach: 1}
}

// Holds reports whether the lease is held and safely within its time.
func (m *Machine) Holds(now time.Time) bool {
	return m.holding && now.Before(m.until.Add(-m.config.Margin))
}

// Lapsed reports whether the lease ran out without any sign of a successor.
func (m *Machine) Lapsed(now time.Time) bool { return m.holding && !m.Holds(now) }

// Term returns the term that this candidate last held.
func (m *Machine) Term() uint64 { return m.record.Term }

// Record returns what the key last showed.
func (m *Machine) Record() Record { return m.record }

// SetReach tells which share of the servers, 0 to 1, this candidate reaches.
func (m *Machine) SetReach(now time.Time, share float64) {
	m.reach = share
	if share >= m.config.StepDownReach {
		m.lowSince, m.steppedDown = time.Time{}, false
		return
	}
	if m.lowSince.IsZero() {
		m.lowSince = now
	}
}

// Superseded tells that a term was seen elsewhere, as in the ledger or on a server,
// that ends this candidate's own. Its next claim goes above that term.
func (m *Machine) Superseded(term uint64) {
	m.holding = false
	m.record.Term = max(m.record.Term, term)
}

// Heard takes the key's state as the holder told it to this candidate. It saves looks at
// the key, and a claim that rests on it still goes by compare-and-swap.
func (m *Machine) Heard(now time.Time, record Record, revision store.Revision) {
	if m.holding || m.busy || m.unclear || m.resign || (m.known && revision < m.revision) {
		return
	}
	if !m.known || revision != m.revision {
		m.adopt(record, revision)
		m.since = now
		m.claimDelay = time.Duration(m.random.Int64N(int64(m.config.Jitter) + 1))
	}
	m.lastHeard = now
	// A holder that falls silent may have renewed since it last told: only a look soon
	// after shows from when on its last renewal counts.
	m.nextCall = earlier(m.claimable(), now.Add(m.config.TTL/silentPerTTL))
}

// claimable is when this candidate may claim if the record stays as it is.
func (m *Machine) claimable() time.Time {
	wait := m.ownDelay() + m.reachDelay()
	if m.record.Holder != "" && !m.record.Released {
		wait += m.config.TTL
	}
	return m.since.Add(wait)
}

// ownDelay is how long this candidate leaves a free lease to others.
func (m *Machine) ownDelay() time.Duration { return m.claimDelay + m.config.ClaimDelay }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Vacant returns for how long, at least, nobody had renewed the lease when this candidate
// last claimed it.
func (m *Machine) Vacant() time.Duration { return m.vacant }

// Revision returns the revision of the key that Record tells of.
func (m *Machine) Revision() store.Revision { return m.revision }

// Hurry makes the next look due at once, as when the holder seems to be gone.
func (m *Machine) Hurry(now time.Time) {
	if !m.holding && m.nextCall.After(now) {
		m.nextCall = now
	}
}

// Resign gives the lease up for good, as on a planned stop.
func (m *Machine) Resign() { m.resign = true }

// Resigned reports whether the lease was given up and the key shows it.
func (m *Machine) Resigned() bool { return m.resign && !m.holding && !m.unclear }

// Next returns what is due. After Read or Write it returns Wait until the outcome
// was told by Observed, Written, Conflicted or Failed.
func (m *Machine) Next(now time.Time) Todo {
	if m.busy || now.Before(m.nextCall) {
		return Todo{}
	}
	todo := m.decide(now)
	if todo.Step != Wait {
		m.busy, m.began = true, now
	}
	if todo.Step == Write {
		m.sent, m.sentAt, m.unclear = todo.Record, now, true
	}
	return todo
}

func (m *Machine) decide(now time.Time) Todo {
	switch {
	case !m.known || m.unclear:
		return Todo{Step: Read}
	case m.holding && (m.resign || m.useless(now)):
		m.steppedDown = !m.resign
		return m.write(Record{Term: m.record.Term, Holder: m.config.Instance, Released: true})
	case m.resign:
		return Todo{}
	case m.holding:
		return m.write(Record{Term: m.record.Term, Holder: m.config.Instance})
	case m.mayClaim(now):
		return m.write(Record{Term: m.record.Term + 1, Holder: m.config.Instance})
	default:
		return Todo{Step: Read}
	}
}

// useless reports whether a holder should let go for low reach.
func (m *Machine) useless(now time.Time) bool {
	return !m.steppedDown && !m.lowSince.IsZero() && now.Sub(m.lowSince) >= m.config.TTL
}

func (m *Machine) mayClaim(now time.Time) bool {
	return !now.Before(m.claimable())
}

func (m *Machine) reachDelay() time.Duration {
	return time.Duration((1 - m.reach) * float64(m.config.ReachDelay))
}

func (m *Machine) write(record Record) Todo {
	m.writes++
	record.WriteID = fmt.Sprintf("%s-%d-%d", m.config.Instance, m.random.Uint64(), m.writes)
	return Todo{Step: Write, Record: record, Expected: m.revision}
}

// ReadEnded takes how the last read ended, as the store told it. The error says that the
// key holds something else than a record.
func (m *Machine) ReadEnded(now time.Time, entry store.Entry, err error) error {
	switch {
	case errors.Is(err, store.ErrNotFound):
		m.Observed(now, Record{}, 0)
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

// WriteEnded takes how the last write ended, as the store told it.
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

// Observed takes the key's state as a read found it; revision 0 means absent.
func (m *Machine) Observed(now time.Time, record Record, revision store.Revision) {
	m.busy = false
	gap := now.Sub(m.lastHeard) > m.config.TTL && !m.config.TrustUnchanged
	changed := !m.known || revision != m.revision
	m.settle(record)
	if changed {
		m.adopt(record, revision)
	}
	if changed || gap {
		m.since = now
		m.claimDelay = time.Duration(m.random.Int64N(int64(m.config.Jitter) + 1))
	}
	m.lastHeard = now
	m.schedule(now)
}

// settle judges an unclear write by what the key shows.
func (m *Machine) settle(record Record) {
	if m.unclear && record.WriteID == m.sent.WriteID {
		m.took(record)
	}
	m.unclear = false
}

// took notes that the last write is in force. Its time counts from its start.
func (m *Machine) took(record Record) {
	m.holding = !record.Released
	m.until = m.sentAt.Add(m.config.TTL)
}

// adopt takes the key's present state; a foreign write ends a holding.
func (m *Machine) adopt(record Record, revision store.Revision) {
	if record.WriteID != m.sent.WriteID {
		m.holding = false
	}
	// An absent key keeps the highest term seen, so that terms never fall.
	record.Term = max(record.Term, m.record.Term)
	m.known, m.record, m.revision = true, record, revision
}

// Written tells that the last write took effect with the given revision.
func (m *Machine) Written(now time.Time, revision store.Revision) {
	m.busy, m.unclear = false, false
	if m.sent.Term != m.record.Term {
		m.vacant = now.Sub(m.since)
	}
	m.took(m.sent)
	m.adopt(m.sent, revision)
	m.since, m.lastHeard = now, now
	m.schedule(now)
}

// Conflicted tells that the last write had no effect, since the revision differed.
// An earlier copy of the same write can't be behind that: ids differ per write.
func (m *Machine) Conflicted(now time.Time) {
	m.busy, m.unclear, m.known = false, false, false
	m.lastHeard = now
	m.nextCall = now
}

// Refused tells that the last call certainly had no effect, as when throttled.
func (m *Machine) Refused(now time.Time) {
	m.busy, m.unclear = false, false
	m.backOff(now)
}

// Failed tells that the last call's outcome is unknown.
func (m *Machine) Failed(now time.Time) {
	m.busy = false
	m.backOff(now)
}

func (m *Machine) backOff(now time.Time) {
	period := m.config.TTL / renewalsPerTTL
	m.nextCall = now.Add(period/2 + time.Duration(m.random.Int64N(int64(period)/2+1)))
}

func (m *Machine) schedule(now time.Time) {
	period := m.config.TTL / renewalsPerTTL
	if m.holding {
		m.nextCall = m.sentAt.Add(period)
		return
	}
	if m.config.ReadPeriod > 0 {
		period = m.config.ReadPeriod
	}
	m.nextCall = now.Add(period/2 + time.Duration(m.random.Int64N(int64(period)+1)))
	if due := m.claimable(); m.known && !m.resign && due.After(now) {
		m.nextCall = earlier(m.nextCall, due)
	}
	if m.mayClaimSoon(now) {
		m.nextCall = now.Add(m.ownDelay()/2 + 1)
	}
}

// mayClaimSoon reports whether the key is free but for this candidate's own wait.
func (m *Machine) mayClaimSoon(now time.Time) bool {
	return m.known && (m.record.Holder == "" || m.record.Released) && !m.resign
}
