package fleet

import "limpethub/internal/membership"

// variant is a deliberate defect, to show that the oracle notices it.
type variant int

const (
	intact variant = iota
	// acceptsOlder puts any configuration into force that arrives.
	acceptsOlder
	// blindWrites stores without comparing revisions.
	blindWrites
	// unclearIsRefused calls a write without an answer refused.
	unclearIsRefused
	// noRefutation hides from an instance what is claimed about it.
	noRefutation
	// revives lets peers claim that a leaving instance is alive again.
	revives
	// deafToRevisions ignores the revisions in heartbeats.
	deafToRevisions
	variants
)

var variantNames = [variants]string{
	"intact", "acceptsOlder", "blindWrites", "unclearIsRefused", "noRefutation", "revives", "deafToRevisions",
}

// tamper changes a message on its way, for defects in membership.
func (v variant) tamper(to *node, message membership.Message) membership.Message {
	switch v {
	case noRefutation:
		message.Records = dropRecords(message.Records, to.id.Name)
	case revives:
		message.Records = reviveRecords(message.Records)
	case deafToRevisions:
		message.Revision = 0
	}
	return message
}

func dropRecords(records []membership.Record, name string) []membership.Record {
	var out []membership.Record
	for _, r := range records {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

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
