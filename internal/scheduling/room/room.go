// Package room decides how many requests one instance may have on a server that must not turn away any, because
// it falls over if it does. Its slots are dealt out to the instances, so that what all of them send together fits.
package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rejectedPause is how long an instance keeps to fewer requests than it had when the server turned one away.
	rejectedPause = time.Second
	// lingerTime is how long a request still counts whose answer broke off: the server may not have noticed.
	lingerTime = 200 * time.Millisecond
)

// owners returns the instances in the order in which they get the slots of a server that don't go round.
func owners(server string, instances []string) []string {
	rank := func(instance string) uint64 { return xxhash.Sum64String(server + "\x00" + instance) }
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return sorted
}

// Owners returns the instances that have slots of a server.
func Owners(server string, slots int, instances []string) []string {
	sorted := owners(server, instances)
	return sorted[:min(len(sorted), max(0, slots))]
}

// Owned returns how many slots of a server an instance has. All instances that know the same ones agree, and the sum
// over them is the number of slots.
//
// The load is an overloaded service whose servers fall over if they turn requests away: instances that each leave
// room for what they know of the others send too much together.
func Owned(server string, slots int, instances []string, self string) int {
	if len(instances) == 0 {
		return slots
	}
	position := slices.Index(owners(server, instances), self)
	if position < 0 {
		return 0
	}
	owned := slots / len(instances)
	if position < slots%len(instances) {
		owned++
	}
	return owned
}

// Room is what one instance may have on one server. It isn't safe for concurrent use.
type Room struct {
	owned int
	// cap limits the requests until capUntil, after the server turned one away.
	cap      int
	capUntil time.Time
	// lingering are the times until which ended requests still count.
	lingering []time.Time
}

// SetOwned sets how many of the server's slots the instance has.
func (r *Room) SetOwned(owned int) { r.owned = owned }

// Owned returns how many of the server's slots the instance has.
func (r *Room) Owned() int { return r.owned }

// Full reports whether the server must get no further request now. outstanding is how many requests of the
// instance it has.
func (r *Room) Full(now time.Time, outstanding int) bool {
	r.lingering = slices.DeleteFunc(r.lingering, func(until time.Time) bool { return !now.Before(until) })
	limit := r.owned
	if now.Before(r.capUntil) {
		limit = min(limit, r.cap)
	}
	return outstanding+len(r.lingering) >= limit
}

// Rejected records that the server turned a request away while it had so many others of the instance.
func (r *Room) Rejected(now time.Time, others int) {
	if now.Before(r.capUntil) {
		others = min(others, r.cap)
	}
	r.cap, r.capUntil = others, now.Add(rejectedPause)
}

// BrokenOff records that an answer broke off.
func (r *Room) BrokenOff(now time.Time) { r.lingering = append(r.lingering, now.Add(lingerTime)) }
