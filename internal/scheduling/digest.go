package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// digestsAfterIdle is in how many digests a server still appears after its last request has
// ended. Digests may be lost, and peers have to learn that nothing is outstanding.
const digestsAfterIdle = 3

// peerLifetime is how long after its last digest a peer still counts as one of the instances
// that share the servers.
const peerLifetime = 10 * time.Second

func (c *core) ObserveDigest(now time.Time, digest ServerDigest) []Decision {
	s := c.servers[digest.Server]
	if s == nil || digest.Instance == c.instance {
		return nil
	}
	c.peers[digest.Instance] = now
	s.load.ObserveDigest(now, digest.Instance, digest.outstandingByClass(), digest.Sequence)
	s.observePendingPrefill(now, digest.Instance, digest.PendingPrefillTokens)
	if !digest.Speed.Empty() {
		s.pace.Merge(now, digest.Speed)
		c.learnsPaces = true
	}
	c.refreshPaces(now)
	return c.expireAndDispatch(now, s)
}

// outstandingByClass returns the requests by class. Without Classes, all requests count as
// most urgent.
func (d ServerDigest) outstandingByClass() []int {
	if len(d.Classes) > 0 {
		return d.Classes
	}
	return []int{d.Outstanding}
}

func (c *core) ForgetPeer(instance string) {
	delete(c.peers, instance)
	for _, s := range c.servers {
		s.load.ForgetPeer(instance)
	}
}

// expirePeers drops the peers that no longer send digests.
func (c *core) expirePeers(now time.Time) {
	for instance, lastDigest := range c.peers {
		if now.Sub(lastDigest) > peerLifetime {
			delete(c.peers, instance)
		}
	}
}

func (c *core) Digest() []ServerDigest {
	out := c.digestOf(func(*server) bool { return true })
	for i := range out {
		out[i].Speed = c.servers[out[i].Server].pace.Estimate(c.pacesAt)
	}
	return out
}

// DigestOf implements Scheduler.
func (c *core) DigestOf(servers []string) []ServerDigest {
	return c.digestOf(func(s *server) bool { return slices.Contains(servers, s.Name) })
}

// digestOf returns the outstanding requests on the servers that the filter passes.
func (c *core) digestOf(passes func(*server) bool) []ServerDigest {
	c.digestSequence++
	tokens := c.tokensLeft()
	out := make([]ServerDigest, 0, len(c.digestsLeft))
	for s, left := range c.digestsLeft {
		if !passes(s) {
			continue
		}
		out = append(out, ServerDigest{
			Instance: c.instance, Server: s.Name,
			Outstanding: s.load.Own(), Classes: s.load.OwnByClass(), Tokens: tokens[s], PendingPrefillTokens: s.pendingPrefillTokens, Sequence: c.digestSequence,
		})
		c.countDigest(s, left)
	}
	slices.SortFunc(out, func(a, b ServerDigest) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// countDigest records that an idle server has appeared in one more digest.
func (c *core) countDigest(s *server, left int) {
	if s.load.Own() > 0 {
		return
	}
	if left <= 1 {
		delete(c.digestsLeft, s)
		return
	}
	c.digestsLeft[s] = left - 1
}

// tokensLeft returns how many answer tokens the running requests may still need, per server.
func (c *core) tokensLeft() map[*server]int {
	out := make(map[*server]int, len(c.digestsLeft))
	for _, d := range c.dispatched {
		out[d.targetCopy.server] += max(0, d.maxTokens-d.answerTokens)
	}
	return out
}

// serversWithWaiting returns the servers for which requests wait. They are sorted by name so
// that the same events always give the same decisions.
func (c *core) serversWithWaiting() []*server {
	added := map[*server]bool{}
	var out []*server
	for _, t := range c.targets {
		if t.lane.Len() == 0 {
			continue
		}
		for _, tc := range t.copies {
			if !added[tc.server] {
				added[tc.server] = true
				out = append(out, tc.server)
			}
		}
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
