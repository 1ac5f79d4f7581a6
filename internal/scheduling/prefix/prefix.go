// Package prefix records which servers recently ran which prompt prefixes, to predict which
// servers hold a prefix in their caches.
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

// Holders are the servers that ran a prefix most recently.
type Holders struct {
	servers [holdersPerPrefix]string
	lastRun [holdersPerPrefix]time.Time
}

// Has reports whether the server ran the prefix within the lifetime. It may be called on a
// nil Holders.
func (h *Holders) Has(now time.Time, server string) bool {
	if h == nil {
		return false
	}
	for i, name := range h.servers {
		if name == server && now.Sub(h.lastRun[i]) < lifetime {
			return true
		}
	}
	return false
}

func (h *Holders) add(now time.Time, server string) {
	oldest := 0
	for i, name := range h.servers {
		if name == server {
			h.lastRun[i] = now
			return
		}
		if h.lastRun[i].Before(h.lastRun[oldest]) {
			oldest = i
		}
	}
	h.servers[oldest] = server
	h.lastRun[oldest] = now
}

// Index records the holders of prefixes. When it is full, it evicts the prefix that was
// recorded first.
type Index struct {
	byKey map[uint64]*Holders
	keys  []uint64
	next  int
}

// New returns an empty Index.
func New() *Index { return &Index{byKey: map[uint64]*Holders{}} }

// Holders returns the servers that ran the prefix, or nil if it isn't recorded. The key 0
// stands for no prefix.
func (m *Index) Holders(key uint64) *Holders {
	if key == 0 {
		return nil
	}
	return m.byKey[key]
}

// RecordRun records that a server runs the prefix.
func (m *Index) RecordRun(now time.Time, key uint64, server string) {
	if key == 0 {
		return
	}
	h := m.byKey[key]
	if h == nil {
		h = &Holders{}
		m.insert(key, h)
	}
	h.add(now, server)
}

func (m *Index) insert(key uint64, h *Holders) {
	m.byKey[key] = h
	if len(m.keys) < maxPrefixes {
		m.keys = append(m.keys, key)
		return
	}
	delete(m.byKey, m.keys[m.next])
	m.keys[m.next] = key
	m.next = (m.next + 1) % maxPrefixes
}
