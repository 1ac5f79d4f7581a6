package workspacequota

import "time"

// Receive takes a message of a peer.
func (n *Node) Receive(now time.Time, from string, m *message) {
	n.resumeAfterStandstill(now)
	d := n.delays[from]
	if d == nil {
		d = &delays{}
		n.delays[from] = d
	}
	delay := d.observe(now, m.Process, m.ClockMillis)
	for _, s := range m.States {
		n.receiveState(now, delay, s)
	}
	for _, a := range m.Acks {
		if w := n.byNumber[a.Workspace]; w != nil && w.elected == from {
			w.report.unanswered = 0
			w.share.Acknowledge(a.ack())
		}
	}
	if len(m.Reports) > 0 {
		n.receiveReports(now, delay, from, m)
	}
}

// receiveReports counts a peer's reports and answers them.
func (n *Node) receiveReports(now time.Time, delay time.Duration, from string, m *message) {
	var answer message
	for _, r := range m.Reports {
		w := n.byNumber[r.Workspace]
		if w == nil || w.limiter == nil {
			continue
		}
		ack, ok := w.limiter.Report(now, from, m.Process, r.report(delay))
		if !ok {
			continue
		}
		n.refreshOwn(now, w)
		answer.Acks = append(answer.Acks, newAckMessage(w.number, ack))
		answer.States = append(answer.States, newStateMessage(w.number, w.share.state, 0))
	}
	n.send(now, from, answer)
	n.spreadEarly(now)
}

// receiveState takes a state that a peer told, directly or from another one.
func (n *Node) receiveState(now time.Time, delay time.Duration, s stateMessage) {
	w := n.byNumber[s.Workspace]
	age := time.Duration(s.AgeMillis)*time.Millisecond + delay
	if w == nil || w.limiter != nil || age >= usableFor {
		return
	}
	state := s.state()
	if !w.accepts(now, state) {
		return
	}
	w.share.Observe(now.Add(-age), state)
	n.spreadEarly(now)
}

// accepts reports whether a state replaces the one that is in use.
func (w *workspace) accepts(now time.Time, state State) bool {
	elected := hashName(w.elected)
	current := &w.share.state
	age, ok := w.share.age(now)
	switch {
	case !ok:
		return true
	case state.Limiter == current.Limiter:
		return state.Version > current.Version
	case state.Limiter == elected:
		return true
	}
	return current.Limiter != elected && age > otherLimiterAge
}

// reportIfDue reports to the limiter what it doesn't know yet, and asks for a state if there is none.
func (n *Node) reportIfDue(now time.Time, w *workspace) {
	if w.elected == n.self {
		return
	}
	if wait, due := n.reportWait(now, w); !due || now.Sub(w.report.at) < wait {
		return
	}
	w.report.sequence++
	w.report.at = now
	w.report.unanswered++
	n.send(now, w.elected, message{Reports: []reportMessage{newReportMessage(w.number, w.share.Report(now, w.report.sequence))}})
}

// reportWait returns how long after the last report the next one is due, if there is anything to report.
func (n *Node) reportWait(now time.Time, w *workspace) (wait time.Duration, due bool) {
	share := w.share
	age, hasState := share.age(now)
	if hasState && share.state.Quiet && share.state.Limiter != hashName(w.elected) {
		share.Drop(now)
		hasState = false
	}
	backOff := urgentReportPause << min(w.report.unanswered, maxUnansweredDoubles)
	isPending := share.Unreported() != 0 || share.demanded != share.countedDemanded
	switch {
	case !hasState:
		return max(askPeriod, backOff), true
	case !isPending:
		return 0, false
	case share.state.Quiet || 2*float64(share.Unreported()) >= share.mayHoldBack(age):
		return backOff, true
	}
	period := min(max(time.Duration(n.members.Known)*reportPeriodPerInstance, minReportPeriod), maxReportPeriod)
	if share.state.Admit >= 1 && share.state.Balance >= 2*lowShare*w.limit.Capacity*share.state.Covered {
		period *= calmFactor
	}
	return period, true
}

func (n *Node) spreadDue(now time.Time) bool { return now.Sub(n.spreadAt) >= spreadPeriod }

// spreadEarly tells peers the states at once if much less is to be admitted than they were told.
func (n *Node) spreadEarly(now time.Time) {
	if now.Sub(n.spreadAt) < earlySpreadPause {
		return
	}
	for _, w := range n.ordered {
		if _, ok := w.share.age(now); ok && w.share.state.Version != w.spread && min(1, w.share.state.Admit) < earlyFall*min(1, w.spreadAdmit) {
			n.spreadStates(now, spreadPeers)
			return
		}
	}
}

// spreadStates tells some peers, chosen at random, the states that they may not have: those that are new since
// the last time. So each state is told by each instance once, and spreads from instance to instance.
func (n *Node) spreadStates(now time.Time, count int) {
	n.spreadAt = now
	var states []stateMessage
	for _, w := range n.ordered {
		age, ok := w.share.age(now)
		if !ok || w.share.state.Version == w.spread {
			continue
		}
		if w.limiter != nil && w.limiter.Silent(now) {
			continue
		}
		w.spread, w.spreadAdmit = w.share.state.Version, w.share.state.Admit
		states = append(states, newStateMessage(w.number, w.share.state, age))
	}
	if len(states) == 0 {
		return
	}
	for _, to := range n.pickPeers(count) {
		for first := 0; first < len(states); first += maxItems {
			n.send(now, to, message{States: states[first:min(first+maxItems, len(states))]})
		}
	}
}

// pickPeers returns so many random peers.
func (n *Node) pickPeers(count int) []string {
	peers := n.members.Peers
	if len(peers) <= count {
		return peers
	}
	var out []string
	for _, i := range n.random.Perm(len(peers))[:count] {
		out = append(out, peers[i])
	}
	return out
}

// send adds a message, in parts that fit a datagram.
func (n *Node) send(now time.Time, to string, m message) {
	if len(m.Reports)+len(m.Acks)+len(m.States) == 0 {
		return
	}
	m.Process, m.ClockMillis = n.process, now.UnixMilli()
	n.out = append(n.out, outgoing{to: to, message: m})
}
