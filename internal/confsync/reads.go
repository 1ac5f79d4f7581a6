package confsync

import "slices"

// maxReads limits how many reads of the store run at the same time on an instance, besides those for proofs.
const maxReads = 3

// storeReads are the reads of the store in progress. A read may get no answer until its call times out, or only after
// seconds. Where more would be in progress than maxReads, the second oldest is given up: the newest one is sent after all that
// is known, and the oldest one gets its answer from a store that answers slowly. It is a state machine without goroutine,
// socket or clock.
type storeReads struct {
	lastID uint64
	// inProgress lists the reads in the order in which they began, which is that of the ids.
	inProgress []storeRead
	// answered is the id of the latest read that the store has answered.
	answered uint64
}

// storeRead is one read in progress.
type storeRead struct {
	id uint64
	// knew is the highest revision that was known to exist when the read began.
	knew uint64
}

func (r *storeReads) none() bool { return len(r.inProgress) == 0 }

// begin adds a read. It returns its id and that of the read to give up; 0 means none.
func (r *storeReads) begin(knew uint64) (id, givenUp uint64) {
	if len(r.inProgress) == maxReads {
		givenUp = r.inProgress[1].id
		r.inProgress = slices.Delete(r.inProgress, 1, 2)
	}
	r.lastID++
	r.inProgress = append(r.inProgress, storeRead{id: r.lastID, knew: knew})
	return r.lastID, givenUp
}

// end removes a read. It reports whether the result still counts: not that of a read that was given up, and no failure of
// one that began before another one which the store has answered.
func (r *storeReads) end(id uint64, failed bool) (read storeRead, counts bool) {
	i := slices.IndexFunc(r.inProgress, func(other storeRead) bool { return other.id == id })
	if i < 0 {
		return storeRead{}, false
	}
	read = r.inProgress[i]
	r.inProgress = slices.Delete(r.inProgress, i, i+1)
	if failed {
		return read, id > r.answered
	}
	r.answered = max(r.answered, id)
	return read, true
}
