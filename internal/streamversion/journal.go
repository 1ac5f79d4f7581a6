package streamversion

import (
	"errors"
	"slices"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/store"
)

const (
	// maxSlotBytes limits the value of a slot. The open slot is written again with each new stream, so a larger
	// one costs an archivist more bytes a second.
	maxSlotBytes = 16 << 10
	// slotPeriod is how long a slot takes new streams. A longer one means fewer keys to read, but larger writes and a
	// longer lease.
	slotPeriod = 15 * time.Second
	// leaseMargin is how much longer a lease lasts than the streams of its slot.
	leaseMargin = 5 * time.Second
	// maxArchivedLife limits for how long a stream is archived.
	maxArchivedLife = historyMemory
	// maxPending limits the streams that wait to be written, as while the store is away.
	maxPending = 8192
)

// journal decides what an archivist writes. Its slots are keys that are only appended to, each with a lease of its own
// that is never renewed and covers the life of its streams. No slot is written by two processes, and none is
// used again, so that no write replaces a stream that can still be resumed. It isn't safe for concurrent use.
type journal struct {
	pending []archived
	open    *slot
	// slots counts the slots of this process.
	slots int
	// longest is the longest life of the streams since the journal was last idle.
	longest time.Duration
}

// slot is a key that takes new streams.
type slot struct {
	number   int
	lease    store.LeaseID
	revision store.Revision
	// closes is when it takes no more streams, expires when its lease ends at the earliest.
	closes, expires time.Time
	written         []archived
}

// step is the one call of the store that is due: to grant a lease for the next slot, or to write the open one.
type step struct {
	// ttl is that of the lease to be granted; 0 if write is due.
	ttl   time.Duration
	write *slotWrite
}

// slotWrite is a write of the open slot.
type slotWrite struct {
	slot *slot
	// added holds the streams that the write adds, which aren't pending meanwhile.
	added   []archived
	content batch
}

// add takes streams to be written, and returns how many were dropped.
func (j *journal) add(now time.Time, streams []archived) (dropped int) {
	if len(j.pending)+len(streams) > maxPending {
		j.forget(now)
	}
	for _, s := range streams {
		if len(j.pending) >= maxPending {
			dropped++
			continue
		}
		life := min(s.until.Sub(now), maxArchivedLife)
		s.until = now.Add(life)
		j.longest = max(j.longest, life)
		j.pending = append(j.pending, s)
	}
	return dropped
}

// forget drops pending streams that are no longer resumed.
func (j *journal) forget(now time.Time) {
	j.pending = slices.DeleteFunc(j.pending, func(s archived) bool { return !now.Before(s.until) })
}

// next returns the call that is due; nil if there is none.
func (j *journal) next(now time.Time) *step {
	j.forget(now)
	if j.open != nil && !now.Before(j.open.closes) {
		j.open = nil
	}
	if len(j.pending) == 0 {
		if j.open == nil {
			j.longest, j.pending = 0, nil
		}
		return nil
	}
	if j.open != nil {
		if w := j.take(); len(w.added) > 0 {
			return &step{write: w}
		}
	}
	return &step{ttl: slotPeriod + j.longest + leaseMargin}
}

// take returns a write of the open slot with the pending streams that fit.
func (j *journal) take() *slotWrite {
	w := &slotWrite{slot: j.open}
	for _, s := range j.open.written {
		w.content.add(s.hash, s.origin, maxSlotBytes)
	}
	count := 0
	for _, s := range j.pending {
		if s.until.After(j.open.expires) || !w.content.add(s.hash, s.origin, maxSlotBytes) {
			break
		}
		count++
	}
	w.added = slices.Clone(j.pending[:count])
	j.pending = slices.Delete(j.pending, 0, count)
	return w
}

// granted opens a slot with a lease that was asked for at a time.
func (j *journal) granted(asked time.Time, ttl time.Duration, lease store.LeaseID) {
	j.slots++
	j.open = &slot{number: j.slots, lease: lease, closes: asked.Add(slotPeriod), expires: asked.Add(ttl)}
}

// wrote records a write that took effect.
func (j *journal) wrote(w *slotWrite, revision store.Revision) {
	w.slot.revision = revision
	w.slot.written = append(w.slot.written, w.added...)
}

// failed records a write that failed. Unless the store has refused the write before it took effect, the slot is given up
// and all of its streams are written again: its revision isn't known any more, and it may have vanished with
// its lease or with the store's last writes. It returns how many streams were dropped.
func (j *journal) failed(now time.Time, w *slotWrite, err error) (dropped int) {
	again := w.added
	if !errors.Is(err, store.ErrThrottled) {
		again = append(w.slot.written, again...)
		j.open = nil
	}
	later := j.pending
	j.pending = nil
	return j.add(now, append(again, later...))
}

// archivedOf returns the streams of a batch that an archivist was told of.
func archivedOf(now time.Time, b *batch) []archived {
	until := now.Add(time.Duration(b.LifeMillis) * time.Millisecond)
	var out []archived
	b.each(func(hash uint64, origin request.Origin) {
		out = append(out, archived{hash: hash, origin: origin, until: until})
	})
	return out
}
