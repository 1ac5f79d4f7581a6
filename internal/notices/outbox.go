package notices

import (
	"cmp"
	"slices"
	"time"
)

// outboxSettings are the times of an outbox: how long after its making an entry is sent and remembered, and how often it is sent.
type outboxSettings struct {
	lifetime, memory time.Duration
	sends            int
}

type entry[T any] struct {
	value T
	// madeAt is when the notice was made, by the clock of this instance.
	madeAt time.Time
	// sends is how many messages have carried it.
	sends int
	// firstHand is true if this instance made it; urgent entries come before others.
	firstHand, urgent bool
}

// outbox remembers the newest entry for each key, and sends each one a few times.
type outbox[K comparable, T any] struct {
	settings outboxSettings
	known    map[K]*entry[T]
	// queue holds the entries that still have to be sent, in the order in which they were learned.
	queue   []*entry[T]
	sweptAt time.Time
}

func newOutbox[K comparable, T any](settings outboxSettings) outbox[K, T] {
	return outbox[K, T]{settings: settings, known: map[K]*entry[T]{}}
}

// get returns the entry of a key; nil if none is remembered.
func (o *outbox[K, T]) get(key K) *entry[T] { return o.known[key] }

// put remembers an entry in place of that of the same key, and reports whether it is to be sent.
func (o *outbox[K, T]) put(now time.Time, key K, e *entry[T]) bool {
	o.sweep(now)
	old := o.known[key]
	if old == nil && len(o.known) >= maxKnown {
		return false
	}
	if old != nil {
		o.queue = slices.DeleteFunc(o.queue, func(q *entry[T]) bool { return q == old })
	}
	o.known[key] = e
	if o.isOver(now, e) {
		return false
	}
	o.queue = append(o.queue, e)
	return true
}

// sweep forgets, once in a while, what was made long ago.
func (o *outbox[K, T]) sweep(now time.Time) {
	if now.Sub(o.sweptAt) < o.settings.memory/5 {
		return
	}
	o.sweptAt = now
	for key, e := range o.known {
		if now.Sub(e.madeAt) > o.settings.memory {
			delete(o.known, key)
		}
	}
}

// take returns up to limit entries and counts them as sent: those that weren't sent before, and also others if repeat is
// true. The least often sent ones come first, among them the urgent ones, and among these the oldest.
func (o *outbox[K, T]) take(now time.Time, limit int, repeat bool) []*entry[T] {
	o.queue = slices.DeleteFunc(o.queue, func(e *entry[T]) bool { return o.isOver(now, e) })
	var due []*entry[T]
	for _, e := range o.queue {
		if e.sends == 0 || repeat {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *entry[T]) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), urgentFirst(a.urgent, b.urgent), a.madeAt.Compare(b.madeAt))
	})
	due = due[:min(max(limit, 0), len(due))]
	for _, e := range due {
		e.sends++
	}
	o.queue = slices.DeleteFunc(o.queue, func(e *entry[T]) bool { return e.sends >= o.settings.sends })
	return due
}

// isOver reports whether the entry is no longer sent.
func (o *outbox[K, T]) isOver(now time.Time, e *entry[T]) bool {
	return now.Sub(e.madeAt) >= o.settings.lifetime
}

func urgentFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
