package membership

import "time"

// probe is the state of the heartbeats to one heartbeat peer. A heartbeat is a Ping; it is
// repeated with the same sequence number until it is answered or times out.
type probe struct {
	sequence uint64
	sentAt   time.Time
	// sentAtBoot is sentAt by the boot clock.
	sentAtBoot   time.Time
	nextPingAt   time.Time
	waiting      bool
	indirectSent bool
}

// relay records the requester of a PingRequest until the target answers.
type relay struct {
	requester string
	// requesterSequence is the sequence number of the PingRequest, which the Ack repeats.
	requesterSequence uint64
	expires           time.Time
}

func (m *Machine) nextSequence() uint64 {
	m.sequence++
	return m.sequence
}

func (m *Machine) dropStaleProbes() {
	for name := range m.probes {
		other := m.members[name]
		if other == nil || !m.isHeartbeatPeer(other) {
			delete(m.probes, name)
		}
	}
}

func (m *Machine) tickProbes(now time.Time) {
	for _, peer := range m.heartbeatPeers {
		p := m.probes[peer.Name]
		if p == nil {
			p = &probe{}
			m.probes[peer.Name] = p
		}
		m.tickProbe(now, peer, p)
	}
}

func (m *Machine) tickProbe(now time.Time, peer *member, p *probe) {
	if p.waiting {
		waited := now.Sub(p.sentAt)
		if waited >= m.settings.ProbeTimeout {
			p.waiting = false
			m.suspect(now, peer)
		} else if waited >= m.settings.AckTimeout && !p.indirectSent {
			p.indirectSent = true
			m.requestIndirectPings(now, peer, p.sequence)
		}
	}
	if now.Before(p.nextPingAt) {
		return
	}
	p.nextPingAt = now.Add(m.settings.Period)
	if !p.waiting {
		*p = probe{sequence: m.nextSequence(), sentAt: now, sentAtBoot: m.bootNow, nextPingAt: p.nextPingAt, waiting: true}
	}
	m.send(now, peer, Message{Type: TypePing, Sequence: p.sequence})
}

// requestIndirectPings asks a few members that are alive to ping a peer that doesn't answer,
// since only this instance's own path to it may be broken. It chooses them among the heartbeat
// peers, to which connections exist: opening new ones would burden machines that may already
// be slow.
func (m *Machine) requestIndirectPings(now time.Time, target *member, sequence uint64) {
	asked := 0
	for _, helper := range m.heartbeatPeers {
		if helper == target || helper.status != StatusAlive || asked == indirectPings {
			continue
		}
		asked++
		m.send(now, helper, Message{Type: TypePingRequest, Sequence: sequence, Target: target.Name})
	}
}

// pickRandom returns up to n random members for which eligible is true, in random order. It
// uses reservoir sampling: each eligible member is chosen with the same probability.
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
			m.send(now, requester, Message{Type: TypeAck, Sequence: r.requesterSequence})
		}
		return
	}
	for _, p := range m.probes {
		if p.waiting && p.sequence == message.Sequence {
			p.waiting = false
			m.receiveProof(message, p.sentAtBoot)
			m.receiveConfirmation(message, p.sentAt)
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
		requester:         requester.Name,
		requesterSequence: message.Sequence,
		expires:           now.Add(m.settings.ProbeTimeout),
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

// tickDead pings dead members, so that a member whose paths are restored doesn't stay dead,
// and forgets those that forgetDead selects. Until a first message has arrived, it pings
// several members per period, to find a peer to join through.
func (m *Machine) tickDead(now time.Time) {
	if len(m.dead) == 0 {
		return
	}
	if !m.heardFromPeer {
		if !now.Before(m.nextJoinPing) {
			m.nextJoinPing = now.Add(m.settings.Period)
			m.pingDead(now, joinPingsPerPeriod)
		}
		return
	}
	if !now.Before(m.nextDeadPing) {
		m.nextDeadPing = now.Add(m.settings.DeadProbePeriod)
		m.forgetDead(now)
		m.pingDead(now, 1)
	}
}

func (m *Machine) pingDead(now time.Time, n int) {
	for _, other := range m.pickRandom(n, func(other *member) bool { return other.status == StatusDead }) {
		m.send(now, other, Message{Type: TypePing, Sequence: m.nextSequence()})
	}
}
