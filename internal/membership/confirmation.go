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

// Confirmation returns the confirmation that a message carries, which holds for its Revision. now is
// when the message arrived. Instances' clocks differ, so messages carry an age, and the time that
// a message was on its way is missing from it.
func (m Message) Confirmation(now time.Time) Confirmation {
	if m.ConfirmedBy == "" {
		return Confirmation{}
	}
	return Confirmation{At: now.Add(-time.Duration(m.ConfirmedAgeMillis) * time.Millisecond), By: m.ConfirmedBy}
}
