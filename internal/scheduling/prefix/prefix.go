// Package prefix remembers which servers lately ran which prompt prefixes, and so
// probably hold them in their caches.
package prefix

import "time"

const (
	// capacity is how many prefixes are remembered.
	capacity = 8192
	// lifetime is how long a server is expected to keep a prefix.
	lifetime = 2 * time.Minute
	// holders is how many servers are remembered per prefix.
	holders = 2
)

// Holders are the servers that lately ran a prefix.
type Holders struct {
	names [holders]string
	seen  [holders]time.Time
}

// Has reports whether the server lately ran the prefix.
func (h *Holders) Has(now time.Time, server string) bool {
	if h == nil {
		return false
	}
	for i, name := range h.names {
		if name == server && now.Sub(h.seen[i]) < lifetime {
			return true
		}
	}
	return false
}

func (h *Holders) add(now time.Time, server string) {
	oldest := 0
	for i, name := range h.names {
		if name == server {
			h.seen[i] = now
			return
		}
		if h.seen[i].Before(h.seen[oldest]) {
			oldest = i
		}
	}
	h.names[oldest] = server
	h.seen[oldest] = now
}

// Memory remembers the holders of prefixes, and forgets the oldest ones first.
type Memory struct {
	byKey map[uint64]*Holders
	order []uint64
	next  int
}

// New makes an empty memory.
func New() *Memory { return &Memory{byKey: map[uint64]*Holders{}} }

// Holders returns who lately ran the prefix, or nil.
func (m *Memory) Holders(key uint64) *Holders {
	if key == 0 {
		return nil
	}
	return m.byKey[key]
}

// Ran notes that a server runs the prefix.
func (m *Memory) Ran(now time.Time, key uint64, server string) {
	if key == 0 {
		return
	}
	h := m.byKey[key]
	if h == nil {
		h = &Holders{}
		m.remember(key, h)
	}
	h.add(now, server)
}

func (m *Memory) remember(key uint64, h *Holders) {
	m.byKey[key] = h
	if len(m.order) < capacity {
		m.order = append(m.order, key)
		return
	}
	delete(m.byKey, m.order[m.next])
	m.order[m.next] = key
	m.next = (m.next + 1) % capacity
}
