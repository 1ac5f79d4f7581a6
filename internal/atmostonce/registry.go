// Package atmostonce decides whether a non-idempotent request that a caller repeats
// may run on this instance. It has no goroutine, socket or clock.
//
// A first attempt runs at once. A caller that doesn't know what became of an attempt
// names its instance in each repeat, until it hears an outcome. The instance that gets
// the repeat asks the named one, which answers with the outcome, or bars the request
// for good and answers that it didn't run. An instance that may have forgotten never
// answers so. See docs/design/at-most-once.md.
package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// maxHops bounds how many instances are asked about one repeat.
const maxHops = 4

// Options configures a Registry.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Incarnation is unique to this start of the instance; not zero.
	Incarnation uint64
	// Retention is how long a request is remembered after its last event. Repeats are
	// settled up to half of it after the first attempt; the other half covers what an
	// attempt spends on its way, in the network or before a paused process. It may be
	// shorter than a deadline: what runs is never forgotten, and an older repeat is
	// answered MayHaveRun.
	Retention time.Duration
	// Capacity is how many requests are remembered at most. Beyond it, non-idempotent
	// requests are refused: forgetting early could let one run twice.
	Capacity int
}

// Registry remembers the non-idempotent requests of one instance. It isn't safe for
// concurrent use.
type Registry struct {
	options Options
	entries map[request.ID]*entry
	// ages holds one record per entry, the next to look at first.
	ages []age
	head int
}

type state uint8

const (
	// running means that the request is waiting or dispatched here.
	running state = iota + 1
	// asking means that another instance is being asked.
	asking
	// ended means that the request ended here with a verdict.
	ended
	// barred means that the request must not run here, since another instance took it.
	barred
)

type entry struct {
	state   state
	verdict verdict.Verdict
	// holder is the instance that took the request when it was barred here. It stays
	// while that instance or another one is asked again.
	holder Origin
	// hops is how many instances were asked so far.
	hops int
	// origin is what the repeat said of the earlier attempt.
	origin Origin
	// repeated is true once an attempt of unknown outcome was named or asked about.
	// Older attempts may then still arrive, and must not run.
	repeated bool
	last     time.Time
}

// age says that an entry had an event at a time; later ones aren't recorded here.
type age struct {
	id request.ID
	at time.Time
}

// New makes an empty registry.
func New(options Options) *Registry {
	return &Registry{options: options, entries: map[request.ID]*entry{}}
}

// Len is how many requests are remembered.
func (r *Registry) Len() int { return len(r.entries) }

// expire drops entries whose last event is older than the retention. A request that
// is running or asked about is kept, however old.
func (r *Registry) expire(now time.Time) {
	for r.head < len(r.ages) && now.Sub(r.ages[r.head].at) > r.options.Retention {
		id := r.ages[r.head].id
		r.head++
		e := r.entries[id]
		switch {
		case e.state == running || e.state == asking:
			r.ages = append(r.ages, age{id: id, at: now})
		case now.Sub(e.last) > r.options.Retention:
			delete(r.entries, id)
		default:
			r.ages = append(r.ages, age{id: id, at: e.last})
		}
	}
	if r.head > len(r.ages)/2 {
		r.ages = append(r.ages[:0:0], r.ages[r.head:]...)
		r.head = 0
	}
}

// add remembers a new request; it returns nil when there is no room.
func (r *Registry) add(now time.Time, id request.ID, s state) *entry {
	if len(r.entries) >= r.options.Capacity {
		return nil
	}
	e := &entry{state: s, last: now}
	r.entries[id] = e
	r.ages = append(r.ages, age{id: id, at: now})
	return e
}

// remembers reports whether an attempt described by the origin would still be known
// here, so that its absence proves that it never began.
func (r *Registry) remembers(o Origin) bool {
	return o.Incarnation == r.options.Incarnation && o.AgeKnown && o.Age <= r.options.Retention/2
}
