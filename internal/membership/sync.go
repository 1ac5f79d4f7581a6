package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// viewHash is a member's contribution to the hash of its bucket. It is 0 for dead members,
// so that views agree whether or not a dead member has been forgotten. Suspicions don't
// count because they are temporary.
func viewHash(other *member) uint64 {
	if other.status == StatusDead {
		return 0
	}
	var buffer [9]byte
	binary.LittleEndian.PutUint64(buffer[:], other.incarnation)
	if other.leaving {
		buffer[8] = 1
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(other.Name)
	_, _ = digest.Write(buffer[:])
	return digest.Sum64()
}

// tickSync periodically compares views with a random heartbeat peer. The next comparison
// comes sooner after a change of status and after a peer left out records (Message.More).
func (m *Machine) tickSync(now time.Time) {
	if now.Before(m.nextSync) || len(m.heartbeatPeers) == 0 {
		return
	}
	m.nextSync = now.Add(m.settings.SyncPeriod)
	peer := m.heartbeatPeers[m.rand.IntN(len(m.heartbeatPeers))]
	m.send(now, peer, Message{Type: TypeSync, Buckets: m.copyBucketHashes()})
}

func (m *Machine) copyBucketHashes() []uint64 { return append([]uint64(nil), m.bucketHashes[:]...) }

// receiveSync answers with the records of the buckets that differ. It answers a Sync also with
// its own hashes in a SyncBack, to get the peer's records of these buckets.
func (m *Machine) receiveSync(now time.Time, peer *member, message Message) {
	if len(message.Buckets) != bucketCount {
		return
	}
	var bucketDiffers [bucketCount]bool
	anyDiffers := false
	for i, hash := range message.Buckets {
		bucketDiffers[i] = hash != m.bucketHashes[i]
		anyDiffers = anyDiffers || bucketDiffers[i]
	}
	if !anyDiffers {
		return
	}
	m.sendBuckets(now, peer, bucketDiffers)
	if message.Type == TypeSync {
		m.send(now, peer, Message{Type: TypeSyncBack, Buckets: m.copyBucketHashes()})
	}
}

// sendBuckets sends the records of the buckets that differ, with recent changes first.
func (m *Machine) sendBuckets(now time.Time, peer *member, bucketDiffers [bucketCount]bool) {
	batch := Message{Type: TypeRecords}
	if bucketDiffers[bucketOf(m.self.Name)] {
		batch.Records = append(batch.Records, m.self.record(true))
	}
	size, sentMessages := 0, 0
	for _, other := range m.membersInBuckets(now, peer, bucketDiffers) {
		r := other.record(other.status != StatusDead)
		if size+r.size() > maxRecordBytes {
			m.sendBatch(peer, batch)
			batch.Records, size = nil, 0
			sentMessages++
		}
		if sentMessages == maxSyncMessages || !m.limiter.AllowN(now, r.size()) {
			batch.More = true
			break
		}
		batch.Records = append(batch.Records, r)
		size += r.size()
	}
	if len(batch.Records) > 0 || batch.More {
		m.sendBatch(peer, batch)
	}
}

// membersInBuckets lists the members of the buckets that differ, except the peer itself and
// members that were never heard from: recently changed ones first, each of the two parts in
// random order.
func (m *Machine) membersInBuckets(now time.Time, peer *member, bucketDiffers [bucketCount]bool) []*member {
	cutoffNanos := now.Add(-recentChangeAge).UnixNano()
	pickByRecency := func(recent bool) []*member {
		return m.pickRandom(len(m.memberList), func(other *member) bool {
			return bucketDiffers[bucketOf(other.Name)] && other.incarnation > 0 && other != peer &&
				(other.changedAtNanos > cutoffNanos) == recent
		})
	}
	return append(pickByRecency(true), pickByRecency(false)...)
}

// sendBatch sends a batch without adding queued records.
func (m *Machine) sendBatch(peer *member, batch Message) {
	batch.From = m.self.Name
	batch.Revision = m.revision
	m.outgoing = append(m.outgoing, OutgoingMessage{To: peer.Name, Address: peer.PeerAddress, Message: batch})
}
