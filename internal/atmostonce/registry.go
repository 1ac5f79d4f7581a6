// Package atmostonce decides, from one instance's record of non-idempotent requests and
// the answers of other instances, whether a request may run on this instance. It has no
// goroutines, sockets or clock: package repeats calls it and exchanges the messages.
//
// A first attempt runs immediately. A caller that doesn't know the outcome of an attempt
// names the instance of that attempt in every repeat until it receives an outcome. The
// instance that receives the repeat asks the named one. The named instance answers with the
// outcome, or bars the request permanently and answers that it never received the request.
// An instance that may have dropped its record of the request never gives that answer. See
// docs/design/at-most-once.md.
package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// maxPeersAsked limits how many instances are asked about one repeat.
const maxPeersAsked = 4

// Options configures a Registry.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// Incarnation is unique to this start of the instance and not zero.
	Incarnation uint64
	// Retention is how long a request is remembered after its last event. A missing record
	// proves that a request was never received only if the attempt was sent at most
	// Retention/2 ago. The rest of Retention is the longest time that the attempt may have
	// been delayed in the network or by a paused process. Retention may be shorter than a
	// deadline: a running request is never dropped, and a repeat without a record or a proof
	// is answered MayHaveRun.
	Retention time.Duration
	// Capacity is the maximum number of remembered requests. Beyond it, non-idempotent
	// requests are refused, because dropping a record early could let a request run twice.
	Capacity int
}

// Registry remembers the non-idempotent requests of one instance. It isn't safe for
// concurrent use.
type Registry struct {
	options Options
	entries map[request.ID]*entry
	// expiryQueue holds one record per entry, in the order in which they are checked.
	// Records before expiryHead were checked.
	expiryQueue []expiryRecord
	expiryHead  int
}

type state uint8

const (
	// running means that the request is queued or dispatched on this instance.
	running state = iota + 1
	// asking means that another instance was asked and has not answered yet.
	asking
	// ended means that the request ended on this instance with a verdict.
	ended
	// barred means that the request must not run here, because another instance took it.
	barred
)

type entry struct {
	state   state
	verdict verdict.Verdict
	// holder is the instance that took the request when it was barred here. It doesn't change
	// while the entry is in the state asking, even if the holder names another holder that is
	// asked next.
	holder Origin
	// peersAsked is how many instances were asked about the current repeat.
	peersAsked int
	// origin identifies the instance that was asked first about the current attempt, with the
	// age that the caller gave.
	origin Origin
	// repeated is true once an attempt of unknown outcome was named or asked about. Older
	// attempts may still arrive after that, and must not run.
	repeated  bool
	lastEvent time.Time
}

// expiryRecord schedules an expiry check of an entry at the end of its retention. Later
// events update only entry.lastEvent; the check reads that before it drops the entry.
type expiryRecord struct {
	id             request.ID
	retentionStart time.Time
}

func New(options Options) *Registry {
	return &Registry{options: options, entries: map[request.ID]*entry{}}
}

// Len returns the number of remembered requests.
func (r *Registry) Len() int { return len(r.entries) }

// expire drops entries whose last event is longer ago than the retention. A request that
// is running, or about which a peer is being asked, is kept regardless of its age.
func (r *Registry) expire(now time.Time) {
	for r.expiryHead < len(r.expiryQueue) && now.Sub(r.expiryQueue[r.expiryHead].retentionStart) > r.options.Retention {
		id := r.expiryQueue[r.expiryHead].id
		r.expiryHead++
		e := r.entries[id]
		switch {
		case e.state == running || e.state == asking:
			r.expiryQueue = append(r.expiryQueue, expiryRecord{id: id, retentionStart: now})
		case now.Sub(e.lastEvent) > r.options.Retention:
			delete(r.entries, id)
		default:
			r.expiryQueue = append(r.expiryQueue, expiryRecord{id: id, retentionStart: e.lastEvent})
		}
	}
	if r.expiryHead > len(r.expiryQueue)/2 {
		r.expiryQueue = append(r.expiryQueue[:0:0], r.expiryQueue[r.expiryHead:]...)
		r.expiryHead = 0
	}
}

// add remembers a new request. It returns nil if the registry is full.
func (r *Registry) add(now time.Time, id request.ID, s state) *entry {
	if len(r.entries) >= r.options.Capacity {
		return nil
	}
	e := &entry{state: s, lastEvent: now}
	r.entries[id] = e
	r.expiryQueue = append(r.expiryQueue, expiryRecord{id: id, retentionStart: now})
	return e
}

// wouldRemember reports whether this instance would still have a record of the attempt that
// the origin identifies. If so, a missing record proves that the attempt never began here.
func (r *Registry) wouldRemember(o Origin) bool {
	return o.Incarnation == r.options.Incarnation && o.AgeKnown && o.Age <= r.options.Retention/2
}
