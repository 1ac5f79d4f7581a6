package discovery

import (
	"fmt"
	"slices"
	"time"
)

// MaxContacts is how many contacts an instance remembers and tells others, the latest ones.
const MaxContacts = 16

// Contact is a span of time in which the store is known to have been in service: some instance has read it
// without a longer gap. Both times are the same if it was read just once.
type Contact struct {
	Since, Until time.Time
}

// describe returns the contact as ages, for a log line.
func (c Contact) describe(now time.Time) string {
	return fmt.Sprintf("%v to %v ago", now.Sub(c.Since).Round(time.Millisecond), now.Sub(c.Until).Round(time.Millisecond))
}

// contacts is the set of times in which the store is known to have been in service, by this instance's own reads
// and by what others told: contacts that don't overlap, in ascending order.
type contacts []Contact

// add adds a contact, joins it with those that it overlaps, and forgets the oldest of more than MaxContacts.
func (cs *contacts) add(added Contact) {
	var before, after []Contact
	for _, c := range *cs {
		switch {
		case c.Until.Before(added.Since):
			before = append(before, c)
		case c.Since.After(added.Until):
			after = append(after, c)
		default:
			added.Since = earlier(added.Since, c.Since)
			added.Until = later(added.Until, c.Until)
		}
	}
	joined := slices.Concat(before, []Contact{added}, after)
	*cs = joined[max(0, len(joined)-MaxContacts):]
}

// gapsWithin returns how much of the time from since to until no contact covers, all gaps together.
func (cs contacts) gapsWithin(since, until time.Time) time.Duration {
	var gaps time.Duration
	from := since
	for _, c := range cs {
		if !c.Until.After(from) {
			continue
		}
		if !c.Since.Before(until) {
			break
		}
		gaps += max(c.Since.Sub(from), 0)
		from = c.Until
	}
	return gaps + max(until.Sub(from), 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
