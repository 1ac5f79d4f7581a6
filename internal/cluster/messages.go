package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"limpethub/internal/membership"
	"limpethub/internal/peers"
)

// HandleDatagram implements peers.Handler. The sender must be the one that its
// certificate names.
func (c *Cluster) HandleDatagram(from string, payload []byte) {
	message, err := membership.Decode(payload)
	if err == nil && message.From != from {
		err = fmt.Errorf("cluster: message of %q came from %q", message.From, from)
	}
	if err != nil {
		c.stats.malformed.Add(1)
		c.options.Logger.WithError(err).WithField("peer", from).Warn("Dropped a malformed message")
		return
	}
	c.step(func(m *membership.Machine, now time.Time) []membership.Send {
		return m.Receive(now, message)
	})
	c.hear(message.From, message.Revision)
}

// HandleCall implements peers.Handler. Membership has no calls.
func (c *Cluster) HandleCall(context.Context, string, []byte) ([]byte, error) {
	return nil, errors.New("cluster: membership takes no calls")
}

// hear passes on the configuration revision that a peer's message carried.
func (c *Cluster) hear(peer string, revision uint64) {
	c.mu.Lock()
	c.revisions[peer] = revision
	callbacks := c.onHeard
	c.mu.Unlock()
	for _, callback := range callbacks {
		callback(peer, revision)
	}
}

// SetRevision sets the configuration revision that this instance's heartbeats carry.
func (c *Cluster) SetRevision(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.SetRevision(revision)
}

// OnRevision adds a callback for the revision that each message of a peer carries.
// It must not block. It is called before Run.
func (c *Cluster) OnRevision(callback func(peer string, revision uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onHeard = append(c.onHeard, callback)
}

// OnChange adds a callback for changes of members' states. It must not block. It
// is called before Run.
func (c *Cluster) OnChange(callback func(membership.Transition)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, callback)
}

// Self returns this instance's name.
func (c *Cluster) Self() string { return c.options.Self.Name }

// Members lists all known instances, this one included, sorted by name. The caller
// must not change the list.
func (c *Cluster) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentMembers()
}

// currentMembers rebuilds the list after a change. The lock is held.
func (c *Cluster) currentMembers() []membership.Member {
	if version := c.machine.Version(); c.members == nil || version != c.version {
		c.members = c.machine.Members()
		c.version = version
	}
	return c.members
}

// Version changes whenever Members would.
func (c *Cluster) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Version()
}

// Member returns one instance by name.
func (c *Cluster) Member(name string) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Member(name)
}

// Leave tells peers that this instance is leaving. It keeps answering heartbeats.
func (c *Cluster) Leave(ctx context.Context) error {
	c.step(func(m *membership.Machine, now time.Time) []membership.Send {
		return m.Leave(now)
	})
	return ctx.Err()
}

// Broadcast sends a datagram to all peers that aren't dead, within the byte budget.
// It returns how many peers it was sent to. It starts at a random peer, so that a
// spent budget doesn't always leave out the same ones.
func (c *Cluster) Broadcast(kind peers.Kind, payload []byte) int {
	targets := c.targets()
	for sent, target := range targets {
		if !c.sendWithin(target.PeerAddress, kind, payload) {
			c.stats.digestsSkipped.Add(uint64(len(targets) - sent - 1))
			return sent
		}
	}
	return len(targets)
}

// BroadcastUrgent sends a datagram to all peers that aren't dead, whatever the budget.
// What it takes is no longer there for other digests.
func (c *Cluster) BroadcastUrgent(kind peers.Kind, payload []byte) {
	size := len(payload) + overheadBytes
	for _, target := range c.targets() {
		c.budget.ReserveN(c.options.Now(), size)
		c.stats.digestBytes.Add(uint64(size))
		c.options.Transport.Datagram(target.PeerAddress, kind, payload)
	}
}

// Send sends a datagram to one peer that isn't dead, within the byte budget. It
// reports whether it was sent.
func (c *Cluster) Send(name string, kind peers.Kind, payload []byte) bool {
	target, ok := c.Member(name)
	if !ok || !target.Reachable() || name == c.options.Self.Name {
		return false
	}
	return c.sendWithin(target.PeerAddress, kind, payload)
}

func (c *Cluster) sendWithin(address string, kind peers.Kind, payload []byte) bool {
	size := len(payload) + overheadBytes
	if !c.budget.AllowN(c.options.Now(), size) {
		c.stats.digestsSkipped.Add(1)
		return false
	}
	c.stats.digestBytes.Add(uint64(size))
	c.options.Transport.Datagram(address, kind, payload)
	return true
}

func (c *Cluster) targets() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := c.currentMembers()
	out := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.Name != c.options.Self.Name && m.Reachable() {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return nil
	}
	start := c.rand.IntN(len(out))
	return append(out[start:len(out):len(out)], out[:start]...)
}
