// Package load estimates how many requests a server has, from its lagging reports,
// from this instance's own dispatches and completions, and from peers' digests.
package load

import "time"

const (
	// bucketWidth is the resolution of the history.
	bucketWidth = 64 * time.Millisecond
	// buckets times bucketWidth is how far the history reaches back.
	buckets = 64
)

// history remembers a count over the last seconds.
type history struct {
	counts [buckets]uint16
	// newest is the number of the newest bucket since the epoch.
	newest int64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// set notes that the count is now count; it was previous up to now.
func (h *history) set(now time.Time, previous, count int) {
	bucket := bucketOf(now)
	h.fill(bucket, previous)
	h.counts[index(bucket)] = uint16(min(count, 1<<16-1))
}

func (h *history) fill(bucket int64, previous int) {
	from := max(h.newest+1, bucket-buckets+1)
	for b := from; b <= bucket; b++ {
		h.counts[index(b)] = uint16(min(previous, 1<<16-1))
	}
	h.newest = max(h.newest, bucket)
}

// at returns the count at t, given that it is now current.
func (h *history) at(t time.Time, current int) int {
	bucket := bucketOf(t)
	if bucket > h.newest {
		return current
	}
	oldest := h.newest - buckets + 1
	return int(h.counts[index(max(bucket, oldest))])
}

func index(bucket int64) int { return int(((bucket % buckets) + buckets) % buckets) }
