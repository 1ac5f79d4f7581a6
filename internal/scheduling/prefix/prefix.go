// Package prefix records to which servers requests with a prompt prefix were recently sent, to
// predict which servers hold the prefix in their caches.
package prefix

import "time"

const (
	// maxPrefixes is how many prefixes are recorded.
	maxPrefixes = 8192
	// lifetime is how long a server is expected to keep a prefix in its cache.
	lifetime = 2 * time.Minute
	// holdersPerPrefix is how many servers are recorded per prefix.
	holdersPerPrefix = 2
)

// Holders are the servers to which requests with a prefix were sent most recently.
type Holders struct {
	servers [holdersPerPrefix]string
	// lastSent is when a request with the prefix was last sent to each of the servers.
	lastSent [holdersPerPrefix]time.Time
}

// Has reports whether a request with the prefix was sent to the server within the lifetime. It
// may be called on a nil Holders.
func (h *Holders) Has(now time.Time, server string) bool {
	if h == nil {
		return false
	}
	for i, name := range h.servers {
		if name == server && now.Sub(h.lastSent[i]) < lifetime {
			return true
		}
	}
	return false
}

// add records the server. It replaces the server with the oldest time; an empty place has the
// zero time and is used first.
func (h *Holders) add(now time.Time, server string) {
	oldest := 0
	for i, name := range h.servers {
		if name == server {
			h.lastSent[i] = now
			return
		}
		if h.lastSent[i].Before(h.lastSent[oldest]) {
			oldest = i
		}
	}
	h.servers[oldest] = server
	h.lastSent[oldest] = now
}

// Index records the holders of prefixes. When it is full, it evicts the prefix that was
// recorded first.
type Index struct {
	byKey map[uint64]*Holders
	// keys holds the recorded keys in the order of recording. Once it has maxPrefixes keys it is
	// a ring, in which next is the position of the oldest key.
	keys []uint64
	next int
}

func New() *Index { return &Index{byKey: map[uint64]*Holders{}} }

// Holders returns the servers that probably hold the prefix, or nil if it isn't recorded. The
// key 0 stands for no prefix.
func (x *Index) Holders(key uint64) *Holders {
	if key == 0 {
		return nil
	}
	return x.byKey[key]
}

// RecordRun records that a request with the prefix was sent to the server.
func (x *Index) RecordRun(now time.Time, key uint64, server string) {
	if key == 0 {
		return
	}
	h := x.byKey[key]
	if h == nil {
		h = &Holders{}
		x.insert(key, h)
	}
	h.add(now, server)
}

func (x *Index) insert(key uint64, h *Holders) {
	x.byKey[key] = h
	if len(x.keys) < maxPrefixes {
		x.keys = append(x.keys, key)
		return
	}
	delete(x.byKey, x.keys[x.next])
	x.keys[x.next] = key
	x.next = (x.next + 1) % maxPrefixes
}
