package membership

import "time"

// maxSentProofAge is the age up to which a proof is sent. It is far above any bound of a revocation.
const maxSentProofAge = time.Hour

// Proof tells that no newer configuration than that with the revision existed at a time, by the boot clock of the
// instance that knows it.
type Proof struct {
	Revision uint64
	At       time.Time
}

// SetBootTime sets the time of the clock that keeps running while the machine is suspended. It must be called before each
// event if the messages are to carry proofs.
func (m *Machine) SetBootTime(now time.Time) { m.bootNow = now }

// SetProof sets the time of the latest proof, whose age answers to heartbeats carry. It must hold for the revision that
// SetRevision has set, or for an older one.
func (m *Machine) SetProof(at time.Time) { m.provenAt = at }

// setProof makes an answer to a heartbeat carry the age of the proof, never rounded down.
func (m *Machine) setProof(message *Message) {
	if message.Type != TypeAck || m.provenAt.IsZero() || m.bootNow.IsZero() {
		return
	}
	age := m.bootNow.Sub(m.provenAt)
	if age > maxSentProofAge {
		return
	}
	message.ProofAgeMillis = 1 + max(0, age.Milliseconds())
}

// receiveProof takes the proof in an answer to a heartbeat of this instance that was first sent at sentAt. The answer was
// made after that, however long it was on its way. So the proof was no older than its age then.
func (m *Machine) receiveProof(message Message, sentAt time.Time) {
	if message.ProofAgeMillis == 0 || sentAt.IsZero() {
		return
	}
	age := time.Duration(message.ProofAgeMillis) * time.Millisecond
	m.proofs = append(m.proofs, Proof{Revision: message.Revision, At: sentAt.Add(-age)})
}

// TakeProofs returns the proofs that peers sent since the last call.
func (m *Machine) TakeProofs() []Proof {
	out := m.proofs
	m.proofs = nil
	return out
}
