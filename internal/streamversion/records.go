// Package streamversion finds out which software version of a service began a stream, so that the
// stream goes on at no other one, whichever instance its caller takes it up at. The instance that begins
// a stream tells a few others, which each instance can name from the id of the stream alone; who has to
// go on with it asks them. Where nobody knows the stream, it is known by the versions that have served
// meanwhile, if that was only one.
package streamversion

import (
	"container/list"
	"time"

	"limpethub/internal/request"
)

// maxRecords limits how many streams an instance knows; the one that was recorded first is forgotten
// first.
const maxRecords = 16384

// records holds what began each stream. It isn't safe for concurrent use.
type records struct {
	byID map[request.ID]*list.Element
	// order holds the records, the oldest first.
	order *list.List
}

type record struct {
	id request.ID
	// origin is zero for a stream that was refused because nobody knew what began it.
	origin request.Origin
	// until is when the record is no longer needed.
	until time.Time
}

func newRecords() *records {
	return &records{byID: map[request.ID]*list.Element{}, order: list.New()}
}

// add records what began a stream, or that it was refused, which doesn't replace what is known.
func (r *records) add(now time.Time, rec record) {
	if !isKnown(rec.origin) && isKnown(r.originOf(now, rec.id)) {
		return
	}
	if e := r.byID[rec.id]; e != nil {
		r.remove(e)
	}
	r.forget(now)
	r.byID[rec.id] = r.order.PushBack(&rec)
}

// forget drops old records at the front that are no longer needed, and more if there are too many.
// Records last for about the same time, so that few of them stand behind a longer one.
func (r *records) forget(now time.Time) {
	for e := r.order.Front(); e != nil; e = r.order.Front() {
		if r.order.Len() < maxRecords && now.Before(e.Value.(*record).until) {
			return
		}
		r.remove(e)
	}
}

func (r *records) remove(e *list.Element) {
	rec := r.order.Remove(e).(*record)
	delete(r.byID, rec.id)
}

// originOf returns what began a stream; the zero value if it isn't known.
func (r *records) originOf(now time.Time, id request.ID) request.Origin {
	if rec := r.find(now, id); rec != nil {
		return rec.origin
	}
	return request.Origin{}
}

// wasRefused reports whether a stream was refused because nobody knew what began it.
func (r *records) wasRefused(now time.Time, id request.ID) bool {
	rec := r.find(now, id)
	return rec != nil && !isKnown(rec.origin)
}

// find returns the record of a stream that is still needed; nil if there is none.
func (r *records) find(now time.Time, id request.ID) *record {
	e := r.byID[id]
	if e == nil || !now.Before(e.Value.(*record).until) {
		return nil
	}
	return e.Value.(*record)
}
