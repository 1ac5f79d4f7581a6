package membership

import (
	"slices"
	"sort"
	"time"
)

// SetListed takes the platform's list. A member that is missing from the list stays as
// long as it answers heartbeats. A listed member counts as dead until it is heard from.
// SetListed reports whether the list contains a member that wasn't known.
func (m *Machine) SetListed(now time.Time, list []Listed) (foundNew bool) {
	m.version++
	for _, other := range m.memberList {
		other.listed = false
	}
	for _, entry := range list {
		if entry.Name == m.self.Name || entry.PeerAddress == "" {
			continue
		}
		other := m.members[entry.Name]
		if other == nil {
			other = m.add(now, entry.Identity)
			foundNew = true
		}
		other.listed, other.unconfirmed = true, entry.Unconfirmed
		m.changeMember(other, func() {
			other.listedLeaving = entry.Leaving
			if other.status == StatusDead {
				other.Identity = entry.Identity
			}
		})
	}
	return foundNew
}

// add inserts a member that hasn't been heard from.
func (m *Machine) add(now time.Time, identity Identity) *member {
	other := &member{Identity: identity, status: StatusDead, diedAtNanos: now.UnixNano()}
	other.ringHashes = ringHashes(identity.Name)
	m.members[identity.Name] = other
	m.memberList = append(m.memberList, other)
	m.version++
	m.dead[identity.Name] = other
	return other
}

// merge applies a claim about a member. A record that comes from a comparison of views
// and is the first one about a member isn't queued to be sent to peers, because other
// members already have it.
func (m *Machine) merge(now time.Time, r Record, fromSync bool) {
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
		m.adopt(now, other, r, fromSync && other.incarnation == 0)
	case r.Incarnation == other.incarnation:
		m.mergeSameIncarnation(now, other, r)
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

// adopt applies a claim with a newer incarnation and, unless skipQueue is set, queues it to be
// sent to peers. A claim of death only causes a suspicion, so that each instance gives the
// member time to refute it.
func (m *Machine) adopt(now time.Time, other *member, r Record, skipQueue bool) {
	full := other.incarnation == 0
	if r.PeerAddress != "" && other.Identity != identityOf(r) {
		m.changeMember(other, func() { other.Identity = identityOf(r) })
		full = true
	}
	if r.Status == StatusDead && other.status == StatusDead {
		m.changeMember(other, func() {
			other.incarnation = r.Incarnation
			other.leaving = r.Leaving
		})
		return
	}
	m.changeMember(other, func() {
		other.incarnation = r.Incarnation
		other.leaving = r.Leaving
		m.setStatus(now, other, min(r.Status, StatusSuspect))
	})
	if !skipQueue {
		m.updates.add(other.Name, full)
	}
}

// mergeSameIncarnation applies a claim with the known incarnation: leaving wins over not
// leaving, and a suspicion over alive. A claim of death counts as a suspicion.
func (m *Machine) mergeSameIncarnation(now time.Time, other *member, r Record) {
	if r.Leaving && !other.leaving {
		m.changeMember(other, func() { other.leaving = true })
		m.updates.add(other.Name, false)
	}
	if r.Status >= StatusSuspect {
		m.suspect(now, other)
	}
}

// suspect starts a suspicion of a member that is alive.
func (m *Machine) suspect(now time.Time, other *member) {
	if other.status != StatusAlive {
		return
	}
	m.changeMember(other, func() { m.setStatus(now, other, StatusSuspect) })
	m.updates.add(other.Name, false)
}

// tickSuspects turns suspects whose SuspicionTimeout has passed into dead members. A death
// isn't queued to be sent to peers: each other instance declares the member dead after its own
// SuspicionTimeout, or its view is corrected by a comparison of views.
func (m *Machine) tickSuspects(now time.Time) {
	for _, name := range sortedNames(m.suspects) {
		other := m.suspects[name]
		if now.UnixNano() >= other.suspicionEndNanos {
			m.changeMember(other, func() { m.setStatus(now, other, StatusDead) })
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

// setStatus sets a member's status and keeps the sets of suspect and dead members up to date.
// A change brings the next comparison of views forward. If a suspect is suspected again, its
// suspicion starts anew.
func (m *Machine) setStatus(now time.Time, other *member, status Status) {
	if other.status == status {
		if status == StatusSuspect {
			other.suspicionEndNanos = now.Add(m.settings.SuspicionTimeout).UnixNano()
		}
		return
	}
	m.heartbeatPeersStale = true
	other.changedAtNanos = now.UnixNano()
	if latestSyncAt := now.Add(m.settings.ChangeSyncPeriod); m.nextSync.After(latestSyncAt) {
		m.nextSync = latestSyncAt
	}
	delete(m.suspects, other.Name)
	delete(m.dead, other.Name)
	other.status = status
	switch status {
	case StatusSuspect:
		other.suspicionEndNanos = now.Add(m.settings.SuspicionTimeout).UnixNano()
		m.suspects[other.Name] = other
	case StatusDead:
		other.diedAtNanos = now.UnixNano()
		m.dead[other.Name] = other
	}
}

// changeMember applies mutate to a member, updates the hash of its bucket and records a
// transition if its state changed.
func (m *Machine) changeMember(other *member, mutate func()) {
	m.version++
	before := other.state()
	m.bucketHashes[bucketOf(other.Name)] ^= viewHash(other)
	mutate()
	m.bucketHashes[bucketOf(other.Name)] ^= viewHash(other)
	if after := other.state(); after != before {
		m.transitions = append(m.transitions, Transition{Member: m.toMember(other), From: before})
	}
}

// refute handles a claim about this instance. If the claim is false or has a higher incarnation
// than this instance's own record, refute raises the incarnation above the claim's, so that the
// own record wins.
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

func (m *Machine) updateSelf(mutate func(self *member)) {
	m.version++
	m.bucketHashes[bucketOf(m.self.Name)] ^= viewHash(m.self)
	mutate(m.self)
	m.bucketHashes[bucketOf(m.self.Name)] ^= viewHash(m.self)
	m.updates.add(m.self.Name, false)
}

// forgetDead removes members that aren't listed and have been dead for ForgetAfter.
func (m *Machine) forgetDead(now time.Time) {
	cutoffNanos := now.Add(-m.settings.ForgetAfter).UnixNano()
	for _, name := range sortedNames(m.dead) {
		other := m.dead[name]
		if other.listed || other.diedAtNanos >= cutoffNanos {
			continue
		}
		delete(m.dead, name)
		delete(m.members, name)
		m.memberList = slices.DeleteFunc(m.memberList, func(o *member) bool { return o == other })
		m.updates.remove(name)
		m.version++
	}
}
