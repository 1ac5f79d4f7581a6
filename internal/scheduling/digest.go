package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// digestsAfterIdle is how many digests still name a server after its last request,
// with nothing outstanding, so that peers learn of it although digests get lost.
const digestsAfterIdle = 3

// peerLifetime is how long a peer counts among those that share the servers.
const peerLifetime = 10 * time.Second

// ObserveRemote implements Scheduler.
func (c *core) ObserveRemote(now time.Time, remote Remote) []Decision {
	s := c.servers[remote.Server]
	if s == nil || remote.Instance == c.instance {
		return nil
	}
	c.peers[remote.Instance] = now
	s.load.ObserveRemote(now, remote.Instance, remote.classes(), remote.Sequence)
	s.observeUnread(now, remote.Instance, remote.Unread)
	return c.drainAfterExpiry(now, s)
}

// classes returns the split by class; a digest without one counts as most urgent.
func (r Remote) classes() []int {
	if len(r.Classes) > 0 {
		return r.Classes
	}
	return []int{r.Outstanding}
}

// ForgetRemote implements Scheduler.
func (c *core) ForgetRemote(instance string) {
	delete(c.peers, instance)
	for _, s := range c.servers {
		s.load.ForgetRemote(instance)
	}
}

// forgetPeers drops the peers whose digests have stopped.
func (c *core) forgetPeers(now time.Time) {
	for instance, seen := range c.peers {
		if now.Sub(seen) > peerLifetime {
			delete(c.peers, instance)
		}
	}
}

// Digest implements Scheduler.
func (c *core) Digest() []Remote {
	c.sequence++
	tokens := c.tokensLeft()
	out := make([]Remote, 0, len(c.busy))
	for s, left := range c.busy {
		out = append(out, Remote{
			Instance: c.instance, Server: s.Name,
			Outstanding: s.load.Own(), Classes: s.load.OwnByClass(), Tokens: tokens[s], Unread: s.unread, Sequence: c.sequence,
		})
		c.countDigest(s, left)
	}
	slices.SortFunc(out, func(a, b Remote) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

func (c *core) countDigest(s *server, left int) {
	if s.load.Own() > 0 {
		return
	}
	if left <= 1 {
		delete(c.busy, s)
		return
	}
	c.busy[s] = left - 1
}

// tokensLeft adds up what the running requests may still need, per server.
func (c *core) tokensLeft() map[*server]int {
	out := make(map[*server]int, len(c.busy))
	for _, d := range c.running {
		out[d.replica.server] += max(0, d.max-d.tokens)
	}
	return out
}

// sortedServers lists the servers for which work waits by name, so that the same
// events always give the same decisions.
func (c *core) sortedServers() []*server {
	seen := map[*server]bool{}
	var out []*server
	for _, t := range c.targets {
		if t.lane.Len() == 0 {
			continue
		}
		for _, r := range t.replicas {
			if !seen[r.server] {
				seen[r.server] = true
				out = append(out, r.server)
			}
		}
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
