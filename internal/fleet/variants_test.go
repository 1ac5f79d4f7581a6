package fleet

import "limpethub/internal/membership"

// defect is a deliberate defect, injected to show that the oracle detects it.
type defect int

const (
	intact defect = iota
	// acceptsOlder puts each configuration into force that arrives, even if it is older.
	acceptsOlder
	// blindWrites makes the store write without comparing revisions.
	blindWrites
	// unclearIsRefused reports a write whose answer was lost as refused.
	unclearIsRefused
	// noRefutation removes from the messages to an instance the records about itself, so
	// that it can't refute them.
	noRefutation
	// revives makes messages claim that a leaving instance is alive again.
	revives
	// deafToRevisions removes the configuration revision from all messages.
	deafToRevisions
	defectCount
)

var defectNames = [defectCount]string{
	"intact", "acceptsOlder", "blindWrites", "unclearIsRefused", "noRefutation", "revives", "deafToRevisions",
}

// tamper changes a message in transit to inject defects of membership.
func (d defect) tamper(to *instance, message membership.Message) membership.Message {
	switch d {
	case noRefutation:
		message.Records = dropRecords(message.Records, to.id.Name)
	case revives:
		message.Records = reviveRecords(message.Records)
	case deafToRevisions:
		message.Revision = 0
	}
	return message
}

// dropRecords removes the records about the named member.
func dropRecords(records []membership.Record, name string) []membership.Record {
	var out []membership.Record
	for _, r := range records {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

// reviveRecords clears the leaving mark of records with an odd incarnation and increments their
// incarnation.
func reviveRecords(records []membership.Record) []membership.Record {
	var out []membership.Record
	for _, r := range records {
		if r.Leaving && r.Incarnation%2 == 1 {
			r.Leaving = false
			r.Incarnation++
		}
		out = append(out, r)
	}
	return out
}
