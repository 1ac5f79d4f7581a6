package confsync

// NewerExists reports whether a peer that isn't known to be dead holds a newer configuration than the given revision, by its
// last message. A decision by that revision may then differ from one by the newest configuration.
func (s *Sync) NewerExists(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.newerExists(revision)
}

func (p *FetchPlanner) newerExists(revision uint64) bool {
	for _, m := range p.reachableMembers {
		if p.peerRevisions[m.Name] > revision {
			return true
		}
	}
	return false
}
