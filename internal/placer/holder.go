package placer

// Holder returns the instance that the lease key names, as last read or written; empty if
// none holds the lease. It is much cheaper than Snapshot.
func (p *Placer) Holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.core.lease.Record()
	if record.Released {
		return ""
	}
	return record.Holder
}
