// Package quota gives each instance its part of a limit that a server has named for all instances
// together, without a message for a request.
//
// The limit is cut into slots, one for each request that it allows. Each slot belongs to one
// instance, chosen by a hash that all instances compute alike, and lets it send one request. A slot
// can be used for some time after it begins, so that an instance with few requests uses its slots
// too. However many instances there are, no more requests than slots can be sent, even if the limit
// is far below one request a second for each of them.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareSeconds and spareSlots say for how long a slot can be used: so long that the slots of that
	// time are spareSeconds of the limit, and spareSlots more.
	spareSeconds = 2.0
	spareSlots   = 4.0
	// With more than manyInstances, each one has a request for the server so seldom that slots must
	// be usable for longer to be used at all. So that the bound on all requests within some seconds
	// stays the same, there are fewer slots: slotShareMany of the limit.
	manyInstances    = 32
	slotShareMany    = 0.8
	spareSecondsMany = 2.8
	// bucketShare is the share in requests a second from which an instance counts its part instead
	// of its slots: the parts are whole numbers then.
	bucketShare = 4.0
	// maxDebt limits how far requests that had to be sent without a slot count against later ones.
	maxDebt = 10.0
)

// Limit is a limit in force.
type Limit struct {
	// Process identifies the server's process, alike on all instances.
	Process uint64
	// PerSecond is the number of requests a second that the process takes from all instances.
	PerSecond float64
	// Since is when it named this number first. Instances know it within some tens of milliseconds.
	Since time.Time
}

// Quota is the part of one instance. It isn't safe for concurrent use.
type Quota struct {
	limit Limit
	self  string
	// instances are the names of all instances that share the limit, this one included, sorted.
	instances []string
	// next is the first slot that hasn't been looked at.
	next int64
	// slots holds when the unused slots of this instance began.
	slots []time.Time
	// tokens is the unused part if it is counted, and countedAt when it was counted last.
	tokens    float64
	countedAt time.Time
	debt      float64
}

// New returns the part of an instance that learned of a limit at now. Slots from before that are
// left to others, since another process of this instance may have used them.
func New(now time.Time, limit Limit, self string, instances []string) *Quota {
	q := &Quota{limit: limit, self: self, countedAt: now}
	q.SetInstances(now, instances)
	return q
}

// Limit returns the limit that the quota is a part of.
func (q *Quota) Limit() Limit { return q.limit }

// SetInstances sets the names of the instances that share the limit. Only slots that begin later
// are shared anew.
func (q *Quota) SetInstances(now time.Time, instances []string) {
	if len(q.instances) > 0 {
		q.advance(now)
	}
	q.instances = slices.Clone(instances)
	if !slices.Contains(q.instances, q.self) {
		q.instances = append(q.instances, q.self)
	}
	slices.Sort(q.instances)
	// The numbers of slots depend on how many instances there are.
	q.next = q.slotAt(now) + 1
}

// rate returns the slots a second of all instances, and spare how many of them can be used at once.
func (q *Quota) rate() (rate, spare float64) {
	if len(q.instances) > manyInstances {
		return slotShareMany * q.limit.PerSecond, spareSecondsMany*q.limit.PerSecond + spareSlots
	}
	return q.limit.PerSecond, spareSeconds*q.limit.PerSecond + spareSlots
}

// share returns the requests a second of this instance.
func (q *Quota) share() float64 {
	rate, _ := q.rate()
	return rate / float64(len(q.instances))
}

// validity returns for how long a slot can be used.
func (q *Quota) validity() time.Duration {
	rate, spare := q.rate()
	return seconds(spare / rate)
}

// seconds converts seconds, at most some years of them.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e8) * float64(time.Second))
}

// slotAt returns the slot that begins at or before a time.
func (q *Quota) slotAt(at time.Time) int64 {
	rate, _ := q.rate()
	return int64(math.Floor(at.Sub(q.limit.Since).Seconds() * rate))
}

// start returns when a slot begins.
func (q *Quota) start(slot int64) time.Time {
	rate, _ := q.rate()
	return q.limit.Since.Add(seconds(float64(slot) / rate))
}

// owns reports whether a slot belongs to this instance: the one with the highest hash of both. If
// an instance comes or goes, only its own slots change their owner.
func (q *Quota) owns(slot int64) bool {
	own := q.hash(slot, q.self)
	for _, name := range q.instances {
		if name != q.self && q.hash(slot, name) > own {
			return false
		}
	}
	return true
}

func (q *Quota) hash(slot int64, instance string) uint64 {
	mixed := (q.limit.Process ^ uint64(slot)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	var digest xxhash.Digest
	digest.ResetWithSeed(mixed ^ mixed>>32)
	// WriteString of a Digest never returns an error.
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}

// advance takes the slots that have begun and drops those that can't be used any more.
func (q *Quota) advance(now time.Time) {
	if q.limit.PerSecond <= 0 {
		return
	}
	if q.share() >= bucketShare {
		q.count(now)
		return
	}
	oldest := now.Add(-q.validity())
	q.next = max(q.next, q.slotAt(oldest))
	for last := q.slotAt(now); q.next <= last; q.next++ {
		if !q.owns(q.next) {
			continue
		}
		if q.debt >= 1 {
			q.debt--
			continue
		}
		q.slots = append(q.slots, q.start(q.next))
	}
	expired := 0
	for expired < len(q.slots) && q.slots[expired].Before(oldest) {
		expired++
	}
	q.slots = slices.Delete(q.slots, 0, expired)
}

// count adds the part of the time since the last count.
func (q *Quota) count(now time.Time) {
	elapsed := max(0, now.Sub(q.countedAt).Seconds())
	q.countedAt = now
	q.next = q.slotAt(now) + 1
	_, spare := q.rate()
	most := spare / float64(len(q.instances))
	q.tokens += elapsed * q.share()
	paid := min(q.debt, q.tokens)
	q.debt, q.tokens = q.debt-paid, min(q.tokens-paid, most)
}

// Available returns how many requests the instance may send to the server now.
func (q *Quota) Available(now time.Time) int {
	q.advance(now)
	if q.limit.PerSecond > 0 && q.share() >= bucketShare {
		return int(q.tokens)
	}
	return len(q.slots)
}

// Take counts a request that is sent. Without one available it counts against later ones.
func (q *Quota) Take(now time.Time) {
	switch {
	case q.Available(now) == 0:
		q.debt = min(q.debt+1, maxDebt)
	case len(q.slots) > 0:
		q.slots = slices.Delete(q.slots, 0, 1)
	default:
		q.tokens--
	}
}

// Return gives back one that was taken for a request that wasn't sent.
func (q *Quota) Return(now time.Time) {
	if q.limit.PerSecond > 0 && q.share() >= bucketShare {
		q.tokens++
		return
	}
	q.slots = append(q.slots, now)
}

// WaitFor returns about how long it takes until the nth further request may be sent, from 1 on.
func (q *Quota) WaitFor(now time.Time, n int) time.Duration {
	missing := n - q.Available(now)
	if missing <= 0 {
		return 0
	}
	if q.limit.PerSecond <= 0 {
		return seconds(math.Inf(1))
	}
	return seconds((float64(missing) + q.debt) / q.share())
}
