package membership

import "time"

// probe is the state of the heartbeats to one peer.
type probe struct {
	sequence     uint64
	sentAt       time.Time
	nextPingAt   time.Time
	waiting      bool
	indirectSent bool
}

// relay records the requester of a PingRequest until the target answers.
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
		waited := now.Sub(p.sentAt)
		if waited >= m.settings.ProbeTimeout {
			p.waiting = false
			m.suspect(now, subject)
		} else if waited >= m.settings.AckTimeout && !p.indirectSent {
			p.indirectSent = true
			m.requestIndirectPings(now, subject, p.sequence)
		}
	}
	if now.Before(p.nextPingAt) {
		return
	}
	p.nextPingAt = now.Add(m.settings.Period)
	if !p.waiting {
		*p = probe{sequence: m.nextSequence(), sentAt: now, nextPingAt: p.nextPingAt, waiting: true}
	}
	m.send(now, subject, Message{Type: TypePing, Sequence: p.sequence})
}

// requestIndirectPings asks a few live members to ping a peer that doesn't answer, since
// only this instance's own path to it may be broken. It chooses them among the peers that
// get heartbeats anyway: new connections would burden a machine that is already slow.
func (m *Machine) requestIndirectPings(now time.Time, target *member, sequence uint64) {
	asked := 0
	for _, helper := range m.subjects {
		if helper == target || helper.status != StatusAlive || asked == indirectProbes {
			continue
		}
		asked++
		m.send(now, helper, Message{Type: TypePingRequest, Sequence: sequence, Target: target.Name})
	}
}

// pickRandom returns up to n random members for which eligible is true.
func (m *Machine) pickRandom(n int, eligible func(*member) bool) []*member {
	out := make([]*member, 0, n)
	eligibleCount := 0
	for _, other := range m.memberList {
		if !eligible(other) {
			continue
		}
		eligibleCount++
		if len(out) < n {
			out = append(out, other)
		} else if i := m.rand.IntN(eligibleCount); i < n {
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

// tickDead pings dead members, so that a member whose paths are restored doesn't stay
// dead.
func (m *Machine) tickDead(now time.Time) {
	if len(m.dead) == 0 {
		return
	}
	if !m.heardFromPeer {
		if !now.Before(m.nextJoinProbe) {
			m.nextJoinProbe = now.Add(m.settings.Period)
			m.probeDead(now, joinProbesPerPeriod)
		}
		return
	}
	if !now.Before(m.nextDeadProbe) {
		m.nextDeadProbe = now.Add(m.settings.DeadProbePeriod)
		m.forgetDead(now)
		m.probeDead(now, 1)
	}
}

func (m *Machine) probeDead(now time.Time, n int) {
	for _, other := range m.pickRandom(n, func(other *member) bool { return other.status == StatusDead }) {
		m.send(now, other, Message{Type: TypePing, Sequence: m.nextSequence()})
	}
}
