// Package membership decides which instances are alive, from heartbeats between a
// few peers each and from the platform's lagging list. It has no goroutine, socket,
// clock or global random source: times, messages and a seed come in, and messages
// to send come out. See docs/design/membership.md.
package membership

// State is what this instance believes about a member.
type State uint8

// States of a member.
const (
	// Alive members answer heartbeats.
	Alive State = iota + 1
	// Suspect members missed heartbeats and may still refute it.
	Suspect
	// Leaving members serve what they have and want no new callers.
	Leaving
	// Dead members didn't refute a suspicion, or were never heard of.
	Dead
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Identity is what an instance tells others about itself.
type Identity struct {
	// Name is unique at the site.
	Name string `json:"name"`
	// CallerAddress is host:port of the callers' listener.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is host:port of the peers' listener.
	PeerAddress string `json:"peer_address"`
	// FailureDomain is where the instance runs.
	FailureDomain string `json:"failure_domain"`
}

// Member is one instance as this instance sees it.
type Member struct {
	Identity
	// State is the member's state.
	State State `json:"state"`
	// Incarnation grows when a member restarts or refutes a suspicion.
	Incarnation uint64 `json:"incarnation"`
}

// Reachable reports whether messages to the member may arrive.
func (m Member) Reachable() bool { return m.State != Dead }

// member is the machine's record of one other instance.
type member struct {
	Identity
	incarnation uint64
	status      Status
	leaving     bool
	// listed and listedLeaving are what the platform's list last said.
	listed        bool
	listedLeaving bool
	// deadline is when a suspicion becomes a death.
	deadline int64
	// changedAt is when the status last changed.
	changedAt int64
	// diedAt is when the member became dead.
	diedAt int64
	// ringHashes is the member's position on each ring.
	ringHashes [rings]uint64
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
