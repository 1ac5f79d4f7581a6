package membership

import "time"

// probe is a heartbeat that waits for its answer.
type probe struct {
	sequence uint64
	sent     time.Time
	next     time.Time
	waiting  bool
	indirect bool
}

// relay remembers for whom a PingRequest is carried out.
type relay struct {
	requester string
	sequence  uint64
	expires   time.Time
}

func (m *Machine) nextSequence() uint64 {
	m.sequence++
	return m.sequence
}

func (m *Machine) dropStaleProbes() {
	for name := range m.probes {
		other := m.members[name]
		if other == nil || !m.isSubject(other) {
			delete(m.probes, name)
		}
	}
}

func (m *Machine) tickProbes(now time.Time) {
	for _, subject := range m.subjects {
		p := m.probes[subject.Name]
		if p == nil {
			p = &probe{}
			m.probes[subject.Name] = p
		}
		m.tickProbe(now, subject, p)
	}
}

func (m *Machine) tickProbe(now time.Time, subject *member, p *probe) {
	if p.waiting {
		waited := now.Sub(p.sent)
		if waited >= m.settings.ProbeTimeout {
			p.waiting = false
			m.suspect(now, subject)
		} else if waited >= m.settings.AckTimeout && !p.indirect {
			p.indirect = true
			m.askOthers(now, subject, p.sequence)
		}
	}
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(m.settings.Period)
	if !p.waiting {
		*p = probe{sequence: m.nextSequence(), sent: now, next: p.next, waiting: true}
	}
	m.send(now, subject, Message{Type: TypePing, Sequence: p.sequence})
}

// askOthers asks a few live members to try a silent peer, since only this
// instance's own path to it may be cut. They are among those that get heartbeats
// anyway: new connections would burden a machine that is slow already.
func (m *Machine) askOthers(now time.Time, silent *member, sequence uint64) {
	asked := 0
	for _, helper := range m.subjects {
		if helper == silent || helper.status != StatusAlive || asked == indirectProbes {
			continue
		}
		asked++
		m.send(now, helper, Message{Type: TypePingRequest, Sequence: sequence, Target: silent.Name})
	}
}

// pick returns up to n random members for which want is true.
func (m *Machine) pick(n int, want func(*member) bool) []*member {
	out := make([]*member, 0, n)
	seen := 0
	for _, other := range m.order {
		if !want(other) {
			continue
		}
		seen++
		if len(out) < n {
			out = append(out, other)
		} else if i := m.rand.IntN(seen); i < n {
			out[i] = other
		}
	}
	m.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (m *Machine) receiveAck(now time.Time, message Message) {
	if r, ok := m.relays[message.Sequence]; ok {
		delete(m.relays, message.Sequence)
		if requester := m.members[r.requester]; requester != nil {
			m.send(now, requester, Message{Type: TypeAck, Sequence: r.sequence})
		}
		return
	}
	for _, p := range m.probes {
		if p.waiting && p.sequence == message.Sequence {
			p.waiting = false
		}
	}
}

func (m *Machine) receivePingRequest(now time.Time, requester *member, message Message) {
	target := m.members[message.Target]
	if target == nil {
		return
	}
	sequence := m.nextSequence()
	m.relays[sequence] = relay{
		requester: requester.Name,
		sequence:  message.Sequence,
		expires:   now.Add(m.settings.ProbeTimeout),
	}
	m.send(now, target, Message{Type: TypePing, Sequence: sequence})
}

func (m *Machine) expireRelays(now time.Time) {
	for sequence, r := range m.relays {
		if now.After(r.expires) {
			delete(m.relays, sequence)
		}
	}
}

// tickDead tries members that are held dead, so that none stays so once its
// paths are back.
func (m *Machine) tickDead(now time.Time) {
	if len(m.dead) == 0 {
		return
	}
	if !m.heard {
		if !now.Before(m.nextJoin) {
			m.nextJoin = now.Add(m.settings.Period)
			m.probeDead(now, joinProbes)
		}
		return
	}
	if !now.Before(m.nextDead) {
		m.nextDead = now.Add(m.settings.DeadProbePeriod)
		m.forget(now)
		m.probeDead(now, 1)
	}
}

func (m *Machine) probeDead(now time.Time, n int) {
	for _, other := range m.pick(n, func(other *member) bool { return other.status == StatusDead }) {
		m.send(now, other, Message{Type: TypePing, Sequence: m.nextSequence()})
	}
}
