package placer

// Holder is the instance that the lease key was last seen to name; empty when none
// does. It costs far less than a Snapshot.
func (p *Placer) Holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.core.lease.Record()
	if record.Released {
		return ""
	}
	return record.Holder
}
