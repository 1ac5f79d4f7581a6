package membership

import (
	"sort"
	"time"
)

// update is a member whose record is still to be passed on.
type update struct {
	name  string
	sends int
	full  bool
}

// updateQueue holds the members whose records are passed on with heartbeats.
type updateQueue struct {
	entries map[string]*update
}

func (q *updateQueue) add(name string, full bool) {
	if old := q.entries[name]; old != nil {
		full = full || old.full
	}
	q.entries[name] = &update{name: name, full: full}
}

func (q *updateQueue) remove(name string) { delete(q.entries, name) }

// ordered lists the updates, those sent least first.
func (q *updateQueue) ordered() []*update {
	out := make([]*update, 0, len(q.entries))
	for _, u := range q.entries {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].sends != out[j].sends {
			return out[i].sends < out[j].sends
		}
		return out[i].name < out[j].name
	})
	return out
}

func (q *updateQueue) limit() int {
	if len(q.entries) > busyQueue {
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

// appendUpdates adds waiting records within the bounds of message and budget.
func (m *Machine) appendUpdates(now time.Time, records []Record, size int) []Record {
	if len(m.queue.entries) == 0 {
		return records
	}
	limit := m.queue.limit()
	for _, u := range m.queue.ordered() {
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
		u.sends++
		if u.sends >= limit {
			m.queue.remove(u.name)
		}
	}
	return records
}

func (m *Machine) lookup(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.members[name]
}
