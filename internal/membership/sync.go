package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % buckets) }

// viewHash is a member's part of its bucket's hash. Dead members have none, so
// that views agree whether or not a dead member was forgotten. A suspicion doesn't
// count, since it passes.
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

// tickSync compares views with a peer now and then, and soon again after a
// comparison that was cut short.
func (m *Machine) tickSync(now time.Time) {
	if now.Before(m.nextSync) || len(m.subjects) == 0 {
		return
	}
	m.nextSync = now.Add(m.settings.SyncPeriod)
	peer := m.subjects[m.rand.IntN(len(m.subjects))]
	m.send(now, peer, Message{Type: TypeSync, Buckets: m.hashList()})
}

func (m *Machine) hashList() []uint64 { return append([]uint64(nil), m.hashes[:]...) }

// receiveSync sends the records of the buckets that differ.
func (m *Machine) receiveSync(now time.Time, peer *member, message Message) {
	if len(message.Buckets) != buckets {
		return
	}
	var differ [buckets]bool
	any := false
	for i, hash := range message.Buckets {
		differ[i] = hash != m.hashes[i]
		any = any || differ[i]
	}
	if !any {
		return
	}
	m.sendBuckets(now, peer, differ)
	if message.Type == TypeSync {
		m.send(now, peer, Message{Type: TypeSyncBack, Buckets: m.hashList()})
	}
}

// sendBuckets sends the records of the buckets that differ, recent changes first.
func (m *Machine) sendBuckets(now time.Time, peer *member, differ [buckets]bool) {
	batch := Message{Type: TypeRecords}
	if differ[bucketOf(m.self.Name)] {
		batch.Records = append(batch.Records, m.self.record(true))
	}
	size, sent := 0, 0
	for _, other := range m.differing(now, peer, differ) {
		r := other.record(other.status != StatusDead)
		if size+r.size() > maxRecordBytes {
			m.sendBatch(peer, batch)
			batch.Records, size = nil, 0
			sent++
		}
		if sent == maxSyncMessages || !m.limiter.AllowN(now, r.size()) {
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

// differing lists the members of the buckets that differ, those changed lately
// first, each part in random order.
func (m *Machine) differing(now time.Time, peer *member, differ [buckets]bool) []*member {
	limit := now.Add(-recentChange).UnixNano()
	part := func(recent bool) []*member {
		return m.pick(len(m.order), func(other *member) bool {
			return differ[bucketOf(other.Name)] && other.incarnation > 0 && other != peer &&
				(other.changedAt > limit) == recent
		})
	}
	return append(part(true), part(false)...)
}

// sendBatch sends records without adding others to them.
func (m *Machine) sendBatch(peer *member, batch Message) {
	batch.From = m.self.Name
	batch.Revision = m.revision
	m.sends = append(m.sends, Send{To: peer.Name, Address: peer.PeerAddress, Message: batch})
}
