// Package atmostonce decides whether a non-idempotent request that a caller repeats
// may run on this instance. It has no goroutine, socket or clock.
//
// A first attempt runs at once. A repeat names the instance of the earlier attempt;
// the instance that gets the repeat asks that one, which answers with the outcome, or
// bars the request for good and answers that it didn't run. An instance that may have
// forgotten never answers so. See docs/design/at-most-once.md.
package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// margin covers the time that attempts and questions spend on their way.
const margin = 10 * time.Second

// maxHops bounds how many instances are asked about one repeat.
const maxHops = 4

// Options configures a Registry.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Incarnation is unique to this start of the instance; not zero.
	Incarnation uint64
	// Started is when this start of the instance began to take requests.
	Started time.Time
	// Retention is how long a request is remembered after its last event. It must
	// exceed the longest deadline.
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
	// ages lists events by time; an entry is dropped when its last event is old.
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
	// holder is the instance that took a barred request.
	holder Origin
	// hops is how many instances were asked so far.
	hops int
	// origin is what the repeat said of the earlier attempt.
	origin Origin
	last   time.Time
}

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

// touch notes an event of the entry at now.
func (r *Registry) touch(now time.Time, id request.ID, e *entry) {
	e.last = now
	r.ages = append(r.ages, age{id: id, at: now})
}

// expire drops entries whose last event is older than the retention. A request that
// is running or asked about is kept, however old.
func (r *Registry) expire(now time.Time) {
	for r.head < len(r.ages) && now.Sub(r.ages[r.head].at) > r.options.Retention {
		a := r.ages[r.head]
		r.head++
		e := r.entries[a.id]
		if e != nil && e.last.Equal(a.at) && (e.state == ended || e.state == barred) {
			delete(r.entries, a.id)
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
	e := &entry{state: s}
	r.entries[id] = e
	r.touch(now, id, e)
	return e
}

// remembers reports whether an attempt described by the origin would still be known
// here, so that its absence proves that it never began.
func (r *Registry) remembers(now time.Time, o Origin) bool {
	if !o.AgeKnown || o.Age+margin > r.options.Retention {
		return false
	}
	if o.Incarnation != 0 {
		return o.Incarnation == r.options.Incarnation
	}
	return !r.options.Started.Add(margin).After(now.Add(-o.Age))
}
