package membership

import (
	"container/list"
	"time"
)

// update is a member whose record is still to be passed on.
type update struct {
	name  string
	sends int
	full  bool
}

// updateQueue holds the members whose records are passed on with heartbeats, those
// sent least first.
type updateQueue struct {
	order  *list.List
	byName map[string]*list.Element
}

func newUpdateQueue() updateQueue {
	return updateQueue{order: list.New(), byName: map[string]*list.Element{}}
}

func (q *updateQueue) add(name string, full bool) {
	if old := q.byName[name]; old != nil {
		full = full || old.Value.(*update).full
		q.order.Remove(old)
	}
	q.byName[name] = q.order.PushFront(&update{name: name, full: full})
}

func (q *updateQueue) remove(name string) {
	if element := q.byName[name]; element != nil {
		q.order.Remove(element)
		delete(q.byName, name)
	}
}

// sent notes that the update was sent once more.
func (q *updateQueue) sent(u *update) {
	u.sends++
	if u.sends >= q.limit() {
		q.remove(u.name)
		return
	}
	q.order.MoveToBack(q.byName[u.name])
}

func (q *updateQueue) limit() int {
	if q.order.Len() > busyQueue {
		return sendsPerRecordBusy
	}
	return sendsPerRecord
}

// send queues a message with the records that are due. A Ping carries the sender's
// own full record, so that a receiver that doesn't know the sender can answer; any
// message carries what is held against its receiver, so that it can refute.
func (m *Machine) send(now time.Time, to *member, message Message) {
	message.From = m.self.Name
	message.Revision = m.revision
	size := 0
	if message.Type == TypePing || message.Type == TypeSync {
		message.Records = append(message.Records, m.self.record(true))
		size += message.Records[0].size()
	}
	if to.status != StatusAlive && to.incarnation > 0 {
		message.Records = append(message.Records, to.record(false))
		size += recordOverheadBytes + len(to.Name)
	}
	if message.Buckets == nil {
		message.Records = m.appendUpdates(now, message.Records, size)
	}
	m.sends = append(m.sends, Send{To: to.Name, Address: to.PeerAddress, Message: message})
}

// appendUpdates adds waiting records within the bounds of message and budget, each
// at most once.
func (m *Machine) appendUpdates(now time.Time, records []Record, size int) []Record {
	for range m.queue.order.Len() {
		u := m.queue.order.Front().Value.(*update)
		other := m.lookup(u.name)
		if other == nil {
			m.queue.remove(u.name)
			continue
		}
		r := other.record(u.full)
		if size+r.size() > maxRecordBytes || !m.limiter.AllowN(now, r.size()) {
			break
		}
		size += r.size()
		records = append(records, r)
		m.queue.sent(u)
	}
	return records
}

func (m *Machine) lookup(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.members[name]
}
