package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ringHashes returns the positions of a name on the rings. On each ring an
// instance sends heartbeats to the next live member, so that each member is
// watched by a few others and the graph of heartbeats has a small diameter.
func ringHashes(name string) [rings]uint64 {
	var out [rings]uint64
	for ring := range out {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], uint64(ring)+1)
		digest := xxhash.New()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(name)
		out[ring] = digest.Sum64()
	}
	return out
}

// refreshSubjects chooses the peers that get heartbeats, after a change: on each ring
// the next live member, and while that is suspect also those that follow, so that
// neighbors that die together are noticed together.
func (m *Machine) refreshSubjects() {
	if !m.stale {
		return
	}
	m.stale = false
	m.subjects = m.subjects[:0]
	for ring := range rings {
		for range maxSubjectsPerRing {
			next := m.successor(ring)
			if next == nil {
				break
			}
			m.subjects = append(m.subjects, next)
			if next.status == StatusAlive {
				break
			}
		}
	}
	m.dropStaleProbes()
}

// successor returns the next live member on a ring that isn't chosen yet.
func (m *Machine) successor(ring int) *member {
	var best *member
	var bestDistance uint64
	for _, other := range m.order {
		if other.status == StatusDead || m.isSubject(other) {
			continue
		}
		distance := other.ringHashes[ring] - m.self.ringHashes[ring]
		if best == nil || distance < bestDistance {
			best, bestDistance = other, distance
		}
	}
	return best
}

func (m *Machine) isSubject(other *member) bool {
	for _, subject := range m.subjects {
		if subject == other {
			return true
		}
	}
	return false
}
