package membership

import "time"

// Confirmation is an answer of the store that no newer configuration than a known one exists.
type Confirmation struct {
	// At is when the store answered; the zero time means that there is no confirmation.
	At time.Time
	// By is the instance that got the answer.
	By string
}

// SetConfirmation sets the latest known confirmation, which messages to peers carry. It must
// hold for the revision that SetRevision has set, or for an older one.
func (m *Machine) SetConfirmation(c Confirmation) { m.confirmation = c }

// setConfiguration makes a message carry the configuration's revision and its confirmation.
func (m *Machine) setConfiguration(now time.Time, message *Message) {
	message.Revision = m.revision
	if m.confirmation.At.IsZero() {
		return
	}
	message.ConfirmedBy = m.confirmation.By
	message.ConfirmedAgeMillis = max(0, now.Sub(m.confirmation.At).Milliseconds())
}

// receiveConfirmation takes the confirmation in an answer to a heartbeat of this instance that was first sent at sentAt. The
// answer was made after that, however long it was on its way. So the confirmation was no older than its age then.
func (m *Machine) receiveConfirmation(message Message, sentAt time.Time) {
	if message.ConfirmedBy == "" {
		return
	}
	age := time.Duration(message.ConfirmedAgeMillis+1) * time.Millisecond
	m.heardConfirmation = Confirmation{At: sentAt.Add(-age), By: message.ConfirmedBy}
}

// TakeConfirmation returns the confirmation in the message that Receive has taken last, which holds for the message's Revision;
// zero if there is none. Other messages than answers to heartbeats of this instance carry one too, but don't tell how long they
// were on their way.
func (m *Machine) TakeConfirmation() Confirmation {
	out := m.heardConfirmation
	m.heardConfirmation = Confirmation{}
	return out
}
