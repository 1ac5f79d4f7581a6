package daemon

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"limpethub/internal/cluster"
	"limpethub/internal/entries"
	"limpethub/internal/gateway"
	"limpethub/internal/membership"
	"limpethub/internal/site"
)

// callerDirectory tells callers which instances to use. In a large fleet, the callers of a
// model are sent to the model's subset of the instances.
type callerDirectory struct {
	cluster       *cluster.Cluster
	configuration gateway.Configuration
	failureDomain string
	seed          uint64
	// conditions report whether callers may be sent to an instance: whether it reaches the servers by itself, and
	// whether its configuration is proven to be the newest one. One that most instances don't meet doesn't count.
	conditions []func(instance string) bool
	// queries counts the calls of Entries, so that each one shuffles differently.
	queries atomic.Uint64

	mu      sync.Mutex
	planner entries.Planner
}

var _ gateway.Directory = (*callerDirectory)(nil)

// Entries implements gateway.Directory. All versions of a model share one subset of the
// instances, so the version in model is ignored. With an empty model, all instances count. An
// empty failureDomain stands for this instance's own.
func (c *callerDirectory) Entries(model, failureDomain string) []gateway.Entry {
	if failureDomain == "" {
		failureDomain = c.failureDomain
	}
	r := rand.New(rand.NewPCG(c.seed, c.queries.Add(1)))
	name, _, _ := strings.Cut(model, "@")
	members := c.cluster.Members()
	subsets := c.subsets(members)
	for _, met := range c.conditions {
		members = entries.Reaching(members, met)
	}
	answer := entries.Pick(entries.Query{Model: name, FailureDomain: failureDomain}, members, subsets, r)
	out := make([]gateway.Entry, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		out = append(out, gateway.Entry{Instance: e.Instance, Address: e.Address, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation})
	}
	return out
}

// subsets returns each model's subset of the members.
func (c *callerDirectory) subsets(members []membership.Member) *entries.Subsets {
	accepted, _ := c.configuration.Current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Subsets(time.Now(), c.cluster.Version(), accepted.Revision, members, func() []string {
		return unitNames(&accepted.Document)
	})
}

// unitNames lists the names of models and adapters without versions, each name once.
func unitNames(document *site.Document) []string {
	seen := map[string]bool{}
	var out []string
	for _, unit := range document.Units() {
		if name := unit.Ref.Name(); !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	return out
}

// peerAddresses finds the addresses of peers by their names.
type peerAddresses struct{ cluster *cluster.Cluster }

// PeerAddress implements repeats.Directory. A dead instance has none.
func (p *peerAddresses) PeerAddress(instance string) (string, bool) {
	member, ok := p.cluster.Member(instance)
	if !ok || member.State == membership.Dead {
		return "", false
	}
	return member.PeerAddress, true
}
