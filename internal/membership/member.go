// Package membership decides which instances are alive, from heartbeats that each
// instance exchanges with a few peers and from the platform's instance list, which may be
// out of date. It is a state machine without goroutine, socket, clock or global random
// source: it takes times, messages and a seed, and returns the messages to send. Package
// cluster runs it. See docs/design/membership.md.
package membership

// State is this instance's view of a member. It combines Status, the liveness that records
// carry, with whether the member is leaving: a dead member is Dead, any other that is leaving
// is Leaving, even if it is suspect.
type State uint8

const (
	// Alive members answer heartbeats.
	Alive State = iota + 1
	// Suspect members missed heartbeats and may still refute the suspicion.
	Suspect
	// Leaving members finish the requests they have and accept no new callers.
	Leaving
	// Dead members didn't refute a suspicion in time, or were never heard from.
	Dead
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Identity describes an instance to other instances.
type Identity struct {
	// Name is unique at the site.
	Name string `json:"name"`
	// CallerAddress is host:port of the listener for callers.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is host:port of the listener for peers.
	PeerAddress string `json:"peer_address"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `json:"failure_domain"`
}

// Member is one instance as this instance sees it.
type Member struct {
	Identity
	State State `json:"state"`
	// Incarnation increases when a member restarts, starts to leave or refutes a claim about
	// itself.
	Incarnation uint64 `json:"incarnation"`
	// Listed reports whether the last platform list that was read contains the member, other than as one that
	// may have ended long ago.
	Listed bool `json:"-"`
}

// Reachable reports whether messages are sent to the member, that is, whether it isn't dead.
func (m Member) Reachable() bool { return m.State != Dead }

// member is the machine's entry for one instance.
type member struct {
	Identity
	// incarnation is 0 until a record of the member has arrived.
	incarnation uint64
	status      Status
	leaving     bool
	// listed reports whether the last platform list that was read contains the member.
	// listedLeaving is Listed.Leaving of the last list that contained it; it stays set after
	// the member has disappeared from the list.
	listed        bool
	listedLeaving bool
	// unconfirmed is Listed.Unconfirmed of the last list that contained it.
	unconfirmed bool
	// suspicionEndNanos is the Unix time at which a suspect becomes dead.
	suspicionEndNanos int64
	// changedAtNanos is the Unix time of the last change of status.
	changedAtNanos int64
	// diedAtNanos is the Unix time at which the member became dead.
	diedAtNanos int64
	// ringHashes is the member's position on each ring.
	ringHashes [ringCount]uint64
}

func (m *member) state() State {
	switch {
	case m.status == StatusDead:
		return Dead
	case m.leaving || m.listedLeaving:
		return Leaving
	case m.status == StatusSuspect:
		return Suspect
	}
	return Alive
}

func (m *member) record(full bool) Record {
	r := Record{
		Name:        m.Name,
		Incarnation: m.incarnation,
		Status:      m.status,
		Leaving:     m.leaving,
	}
	if full {
		r.CallerAddress = m.CallerAddress
		r.PeerAddress = m.PeerAddress
		r.FailureDomain = m.FailureDomain
	}
	return r
}
