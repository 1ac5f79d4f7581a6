package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ringHashes returns the position of a name on each ring. On each ring an instance sends
// heartbeats to the next member that isn't dead. So each member is monitored by a few others,
// and the graph of heartbeats has a small diameter.
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

// refreshHeartbeatPeers chooses, after a change, the peers that get heartbeats: on each ring the
// next member that isn't dead, and while that one is suspect also the members after it, so that
// failures of neighbors on a ring are detected at the same time.
func (m *Machine) refreshHeartbeatPeers() {
	if !m.heartbeatPeersStale {
		return
	}
	m.heartbeatPeersStale = false
	m.heartbeatPeers = m.heartbeatPeers[:0]
	for ring := range ringCount {
		for range maxHeartbeatPeersPerRing {
			next := m.successor(ring)
			if next == nil {
				break
			}
			m.heartbeatPeers = append(m.heartbeatPeers, next)
			if next.status == StatusAlive {
				break
			}
		}
	}
	m.dropStaleProbes()
}

// successor returns the next member on a ring that isn't dead or chosen yet, or nil.
func (m *Machine) successor(ring int) *member {
	var best *member
	var bestDistance uint64
	for _, other := range m.memberList {
		if other.status == StatusDead || m.isHeartbeatPeer(other) {
			continue
		}
		// Unsigned subtraction gives the distance on the ring modulo 2^64.
		distance := other.ringHashes[ring] - m.self.ringHashes[ring]
		if best == nil || distance < bestDistance {
			best, bestDistance = other, distance
		}
	}
	return best
}

func (m *Machine) isHeartbeatPeer(other *member) bool {
	for _, peer := range m.heartbeatPeers {
		if peer == other {
			return true
		}
	}
	return false
}
