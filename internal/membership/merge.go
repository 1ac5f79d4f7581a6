package membership

import (
	"slices"
	"sort"
	"time"
)

// SetUniverse takes the platform's list. A member that is missing from it stays as
// long as it answers heartbeats; a listed one counts only once it was heard. It reports
// whether the list named a member that wasn't known.
func (m *Machine) SetUniverse(now time.Time, list []Listed) (news bool) {
	for _, other := range m.order {
		other.listed = false
	}
	for _, l := range list {
		if l.Name == m.self.Name || l.PeerAddress == "" {
			continue
		}
		other := m.members[l.Name]
		if other == nil {
			other = m.add(now, l.Identity)
			news = true
		}
		other.listed = true
		m.change(other, func() {
			other.listedLeaving = l.Leaving
			if other.status == StatusDead {
				other.Identity = l.Identity
			}
		})
	}
	return news
}

// add inserts a member that wasn't heard yet.
func (m *Machine) add(now time.Time, identity Identity) *member {
	other := &member{Identity: identity, status: StatusDead, diedAt: now.UnixNano()}
	other.ringHashes = ringHashes(identity.Name)
	m.members[identity.Name] = other
	m.order = append(m.order, other)
	m.version++
	m.dead[identity.Name] = other
	return other
}

// merge takes a claim about a member. What a comparison of views tells of a member
// not heard of before isn't passed on: others knew it already.
func (m *Machine) merge(now time.Time, r Record, compared bool) {
	if r.Name == m.self.Name {
		m.refute(r)
		return
	}
	other := m.members[r.Name]
	if other == nil {
		if r.PeerAddress == "" || r.Status == StatusDead {
			return
		}
		other = m.add(now, identityOf(r))
	}
	switch {
	case r.Incarnation > other.incarnation:
		m.adopt(now, other, r, compared && other.incarnation == 0)
	case r.Incarnation == other.incarnation:
		m.mergeSame(now, other, r)
	}
}

func identityOf(r Record) Identity {
	return Identity{
		Name:          r.Name,
		CallerAddress: r.CallerAddress,
		PeerAddress:   r.PeerAddress,
		FailureDomain: r.FailureDomain,
	}
}

// adopt takes a claim of a newer incarnation. A death is taken as a suspicion,
// so that each instance gives the member the time to refute.
func (m *Machine) adopt(now time.Time, other *member, r Record, silent bool) {
	full := other.incarnation == 0
	if r.PeerAddress != "" && other.Identity != identityOf(r) {
		m.change(other, func() { other.Identity = identityOf(r) })
		full = true
	}
	if r.Status == StatusDead && other.status == StatusDead {
		m.change(other, func() {
			other.incarnation = r.Incarnation
			other.leaving = r.Leaving
		})
		return
	}
	m.change(other, func() {
		other.incarnation = r.Incarnation
		other.leaving = r.Leaving
		m.setStatus(now, other, min(r.Status, StatusSuspect))
	})
	if !silent {
		m.queue.add(other.Name, full)
	}
}

// mergeSame takes a claim of the known incarnation: leaving and worse liveness win.
func (m *Machine) mergeSame(now time.Time, other *member, r Record) {
	if r.Leaving && !other.leaving {
		m.change(other, func() { other.leaving = true })
		m.queue.add(other.Name, false)
	}
	if r.Status >= StatusSuspect {
		m.suspect(now, other)
	}
}

// suspect starts a suspicion of a live member.
func (m *Machine) suspect(now time.Time, other *member) {
	if other.status != StatusAlive {
		return
	}
	m.change(other, func() { m.setStatus(now, other, StatusSuspect) })
	m.queue.add(other.Name, false)
}

// tickSuspects ends suspicions. A death isn't passed on: the others come to it by
// the suspicion, each in its own time, or by comparing views.
func (m *Machine) tickSuspects(now time.Time) {
	for _, name := range sortedNames(m.suspects) {
		other := m.suspects[name]
		if now.UnixNano() >= other.deadline {
			m.change(other, func() { m.setStatus(now, other, StatusDead) })
		}
	}
}

func sortedNames(members map[string]*member) []string {
	if len(members) == 0 {
		return nil
	}
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (m *Machine) setStatus(now time.Time, other *member, status Status) {
	if other.status == status {
		if status == StatusSuspect {
			other.deadline = now.Add(m.settings.SuspicionTimeout).UnixNano()
		}
		return
	}
	m.stale = true
	other.changedAt = now.UnixNano()
	if soon := now.Add(m.settings.ChangeSyncPeriod); m.nextSync.After(soon) {
		m.nextSync = soon
	}
	delete(m.suspects, other.Name)
	delete(m.dead, other.Name)
	other.status = status
	switch status {
	case StatusSuspect:
		other.deadline = now.Add(m.settings.SuspicionTimeout).UnixNano()
		m.suspects[other.Name] = other
	case StatusDead:
		other.diedAt = now.UnixNano()
		m.dead[other.Name] = other
	}
}

// change applies do to a member, and keeps the view's hashes and the list of
// transitions right.
func (m *Machine) change(other *member, do func()) {
	m.version++
	before := other.state()
	m.hashes[bucketOf(other.Name)] ^= viewHash(other)
	do()
	m.hashes[bucketOf(other.Name)] ^= viewHash(other)
	if after := other.state(); after != before {
		m.transitions = append(m.transitions, Transition{Member: m.view(other), From: before})
	}
}

// refute answers a claim about this instance itself that isn't true.
func (m *Machine) refute(r Record) {
	if r.Incarnation < m.self.incarnation {
		return
	}
	agrees := r.Status == StatusAlive && r.Leaving == m.self.leaving
	if r.Incarnation == m.self.incarnation && agrees {
		return
	}
	m.updateSelf(func(self *member) { self.incarnation = r.Incarnation + 1 })
}

func (m *Machine) updateSelf(do func(self *member)) {
	m.version++
	m.hashes[bucketOf(m.self.Name)] ^= viewHash(m.self)
	do(m.self)
	m.hashes[bucketOf(m.self.Name)] ^= viewHash(m.self)
	m.queue.add(m.self.Name, false)
}

// forget drops members that are dead, not listed and long gone.
func (m *Machine) forget(now time.Time) {
	limit := now.Add(-m.settings.ForgetAfter).UnixNano()
	for _, name := range sortedNames(m.dead) {
		other := m.dead[name]
		if other.listed || other.diedAt >= limit {
			continue
		}
		delete(m.dead, name)
		delete(m.members, name)
		m.order = slices.DeleteFunc(m.order, func(o *member) bool { return o == other })
		m.queue.remove(name)
		m.version++
	}
}
