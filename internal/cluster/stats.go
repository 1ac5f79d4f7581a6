package cluster

import (
	"sync/atomic"
)

type stats struct {
	membershipBytes, membershipMessages atomic.Uint64
	digestBytes, digestsSkipped         atomic.Uint64
	listErrors, malformed               atomic.Uint64
}

// Stats are the traffic and error counts of a cluster. Byte counts include an estimate of
// headers and acknowledgments. Digests stand for all datagrams that other packages send
// through the cluster.
type Stats struct {
	// MembershipBytes and MembershipMessages count the bytes and the number of the membership
	// messages that were sent.
	MembershipBytes    uint64
	MembershipMessages uint64
	// DigestBytes counts the bytes of the datagrams of other packages that were sent.
	DigestBytes uint64
	// DigestsSkipped counts the datagrams of other packages that weren't sent because of the
	// byte budget.
	DigestsSkipped uint64
	// ListErrors counts failed reads of the platform's list.
	ListErrors uint64
	// Malformed counts received membership messages that were dropped because they were
	// malformed or named another sender than the peer's certificate.
	Malformed uint64
}

// Stats returns the counts since New.
func (c *Cluster) Stats() Stats {
	return Stats{
		MembershipBytes:    c.stats.membershipBytes.Load(),
		MembershipMessages: c.stats.membershipMessages.Load(),
		DigestBytes:        c.stats.digestBytes.Load(),
		DigestsSkipped:     c.stats.digestsSkipped.Load(),
		ListErrors:         c.stats.listErrors.Load(),
		Malformed:          c.stats.malformed.Load(),
	}
}
