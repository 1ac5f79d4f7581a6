package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ringHashes returns the position of a name on each ring. On each ring an instance sends
// heartbeats to the next live member. So each member is monitored by a few others, and
// the graph of heartbeats has a small diameter.
func ringHashes(name string) [ringCount]uint64 {
	var out [ringCount]uint64
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

// refreshSubjects chooses, after a change, the peers that get heartbeats: on each ring the
// next live member, and while that one is suspect also the members after it, so that
// failures of neighbors on a ring are detected at the same time.
func (m *Machine) refreshSubjects() {
	if !m.subjectsStale {
		return
	}
	m.subjectsStale = false
	m.subjects = m.subjects[:0]
	for ring := range ringCount {
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

// successor returns the next live member on a ring that isn't chosen yet, or nil.
func (m *Machine) successor(ring int) *member {
	var best *member
	var bestDistance uint64
	for _, other := range m.memberList {
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
