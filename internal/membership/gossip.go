package membership

import (
	"container/list"
	"time"
)

// update is a member whose record still has to be sent to peers.
type update struct {
	name string
	// sendCount is how many messages have carried the record.
	sendCount int
	// full is true if the record must include the addresses and the failure domain.
	full bool
}

// updateQueue holds the members whose records are sent along with heartbeats: new updates
// first, then those already sent, in turn.
type updateQueue struct {
	entries *list.List
	byName  map[string]*list.Element
}

func newUpdateQueue() updateQueue {
	return updateQueue{entries: list.New(), byName: map[string]*list.Element{}}
}

func (q *updateQueue) add(name string, full bool) {
	if existing := q.byName[name]; existing != nil {
		full = full || existing.Value.(*update).full
		q.entries.Remove(existing)
	}
	q.byName[name] = q.entries.PushFront(&update{name: name, full: full})
}

func (q *updateQueue) remove(name string) {
	if element := q.byName[name]; element != nil {
		q.entries.Remove(element)
		delete(q.byName, name)
	}
}

// markSent counts one more transmission of the update.
func (q *updateQueue) markSent(u *update) {
	u.sendCount++
	if u.sendCount >= q.maxSends() {
		q.remove(u.name)
		return
	}
	q.entries.MoveToBack(q.byName[u.name])
}

func (q *updateQueue) maxSends() int {
	if q.entries.Len() > busyQueueLength {
		return sendsPerRecordBusy
	}
	return sendsPerRecord
}

// send queues a message together with the records that are due. A Ping or Sync carries the
// sender's own full record, so that a receiver that doesn't know the sender can answer. The
// message also carries a suspicion or death of its receiver, so that the receiver can refute
// it. Messages of TypeRecords are sent by sendBatch instead.
func (m *Machine) send(now time.Time, to *member, message Message) {
	message.From = m.self.Name
	m.setConfiguration(now, &message)
	m.setProof(&message)
	size := 0
	if message.Type == TypePing || message.Type == TypeSync {
		message.Records = append(message.Records, m.self.record(true))
		size += message.Records[0].size()
	}
	if to.status != StatusAlive && to.incarnation > 0 {
		message.Records = append(message.Records, to.record(false))
		size += recordOverheadBytes + len(to.Name)
	}
	// Bucket hashes leave too little room in the datagram for queued records.
	if message.Buckets == nil {
		message.Records = m.appendUpdates(now, message.Records, size)
	}
	m.outgoing = append(m.outgoing, OutgoingMessage{To: to.Name, Address: to.PeerAddress, Message: message})
}

// appendUpdates adds queued records, each at most once, within the message's size limit
// and the rate limit for records.
func (m *Machine) appendUpdates(now time.Time, records []Record, size int) []Record {
	for range m.updates.entries.Len() {
		u := m.updates.entries.Front().Value.(*update)
		other := m.lookup(u.name)
		if other == nil {
			m.updates.remove(u.name)
			continue
		}
		r := other.record(u.full)
		if size+r.size() > maxRecordBytes || !m.limiter.AllowN(now, r.size()) {
			break
		}
		size += r.size()
		records = append(records, r)
		m.updates.markSent(u)
	}
	return records
}

func (m *Machine) lookup(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.members[name]
}
