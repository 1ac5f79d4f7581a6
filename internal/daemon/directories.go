package daemon

import (
	"math/rand/v2"
	"sync/atomic"

	"limpethub/internal/cluster"
	"limpethub/internal/entries"
	"limpethub/internal/gateway"
	"limpethub/internal/membership"
)

// callerDirectory answers callers which instances to use.
type callerDirectory struct {
	cluster *cluster.Cluster
	domain  string
	seed    uint64
	asked   atomic.Uint64
}

var _ gateway.Directory = (*callerDirectory)(nil)

// Entries implements gateway.Directory.
func (c *callerDirectory) Entries(model, from string) []gateway.Entry {
	if from == "" {
		from = c.domain
	}
	r := rand.New(rand.NewPCG(c.seed, c.asked.Add(1)))
	answer := entries.Pick(entries.Query{Model: model, FailureDomain: from}, c.cluster.Members(), nil, r)
	out := make([]gateway.Entry, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		out = append(out, gateway.Entry{Instance: e.Instance, Address: e.Address, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation})
	}
	return out
}

// peerDirectory finds peers' addresses.
type peerDirectory struct{ cluster *cluster.Cluster }

// PeerAddress implements repeats.Directory. A dead instance has none.
func (p *peerDirectory) PeerAddress(instance string) (string, bool) {
	member, ok := p.cluster.Member(instance)
	if !ok || member.State == membership.Dead {
		return "", false
	}
	return member.PeerAddress, true
}
