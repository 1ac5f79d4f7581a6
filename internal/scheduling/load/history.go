// Package load estimates how many requests a server has, from its lagging reports, from
// this instance's own dispatches and completions, and from peers' digests.
package load

import "time"

const (
	// bucketWidth is the time resolution of the history.
	bucketWidth = 64 * time.Millisecond
	// bucketCount times bucketWidth, about 4 s, is how far back the history reaches.
	bucketCount = 64
)

// history records a count over the last bucketCount buckets of bucketWidth each in a ring.
type history struct {
	counts [bucketCount]uint16
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// set records that the count changed at now from previous to count.
func (h *history) set(now time.Time, previous, count int) {
	bucket := bucketOf(now)
	h.fill(bucket, previous)
	h.counts[bucketIndex(bucket)] = uint16(min(count, 1<<16-1))
}

func (h *history) fill(bucket int64, previous int) {
	from := max(h.newest+1, bucket-bucketCount+1)
	for b := from; b <= bucket; b++ {
		h.counts[bucketIndex(b)] = uint16(min(previous, 1<<16-1))
	}
	h.newest = max(h.newest, bucket)
}

// at returns the count at t. Buckets hold past counts; current is the count since the last
// change. A time before the oldest bucket gives the oldest recorded count.
func (h *history) at(t time.Time, current int) int {
	bucket := bucketOf(t)
	if bucket > h.newest {
		return current
	}
	oldest := h.newest - bucketCount + 1
	return int(h.counts[bucketIndex(max(bucket, oldest))])
}

func bucketIndex(bucket int64) int { return int(((bucket % bucketCount) + bucketCount) % bucketCount) }
