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
	for _, m := range c.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return membership.Member{}, false
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
	sent := 0
	for _, target := range targets {
		size := len(payload) + headerBytes
		if !c.budget.AllowN(c.options.Now(), size) {
			c.stats.broadcastSkipped.Add(uint64(len(targets) - sent))
			return sent
		}
		c.stats.broadcastBytes.Add(uint64(size))
		c.options.Transport.Datagram(target.PeerAddress, kind, payload)
		sent++
	}
	return sent
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
