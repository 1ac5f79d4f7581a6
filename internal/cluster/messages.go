package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"limpethub/internal/membership"
	"limpethub/internal/peers"
)

// HandleDatagram implements peers.Handler. It drops a message whose sender isn't the
// instance that the peer's certificate names.
func (c *Cluster) HandleDatagram(from string, payload []byte) {
	message, err := membership.Decode(payload)
	if err == nil && message.From != from {
		err = fmt.Errorf("cluster: message names sender %q, but the certificate names %q", message.From, from)
	}
	if err != nil {
		c.stats.malformed.Add(1)
		c.options.Logger.WithError(err).WithField("peer", from).Warn("Dropped a malformed message")
		return
	}
	var confirmation membership.Confirmation
	c.step(func(m *membership.Machine, now time.Time) []membership.OutgoingMessage {
		outgoing := m.Receive(now, message)
		confirmation = m.TakeConfirmation()
		return outgoing
	})
	c.notifyRevision(message, confirmation)
	c.receiveFacts(message.Facts)
}

// HandleCall implements peers.Handler. It always fails because membership only uses
// datagrams.
func (c *Cluster) HandleCall(context.Context, string, []byte) ([]byte, error) {
	return nil, errors.New("cluster: membership accepts no calls")
}

// notifyRevision reports the configuration revision that a peer's message carried, and the confirmation of it whose age is known.
func (c *Cluster) notifyRevision(message membership.Message, confirmation membership.Confirmation) {
	c.mu.Lock()
	callbacks := c.onRevision
	c.mu.Unlock()
	for _, callback := range callbacks {
		callback(message.From, message.Revision, confirmation)
	}
}

// SetRevision sets the configuration revision that messages to peers carry.
func (c *Cluster) SetRevision(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.SetRevision(revision)
}

// SetConfirmation sets the latest known confirmation of the configuration, which messages to
// peers carry.
func (c *Cluster) SetConfirmation(confirmation membership.Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.SetConfirmation(confirmation)
}

// SetProof sets the time of the latest proof of the configuration, by the boot clock. Answers to heartbeats carry its age.
func (c *Cluster) SetProof(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.SetProof(at)
}

// OnProof adds a callback for the proofs in the answers to heartbeats. The callback must not block. OnProof must be called
// before Run.
func (c *Cluster) OnProof(callback func(revision uint64, at time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onProof = append(c.onProof, callback)
}

// OnRevision adds a callback for the configuration revision in each message of a peer and, in answers to heartbeats of this
// instance, the confirmation of it. The callback must not block. OnRevision must be called before Run.
func (c *Cluster) OnRevision(callback func(peer string, revision uint64, confirmation membership.Confirmation)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onRevision = append(c.onRevision, callback)
}

// OnChange adds a callback for state changes of members. The callback must not block.
// OnChange must be called before Run.
func (c *Cluster) OnChange(callback func(membership.Transition)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, callback)
}

// Self returns the name of this instance.
func (c *Cluster) Self() string { return c.options.Self.Name }

// Members lists all known instances, including this one, sorted by name. The caller must
// not change the list.
func (c *Cluster) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentMembers()
}

// currentMembers returns the list of members, rebuilt if it has changed. c.mu must be held.
func (c *Cluster) currentMembers() []membership.Member {
	if version := c.machine.Version(); c.members == nil || version != c.membersVersion {
		c.members = c.machine.Members()
		c.membersVersion = version
	}
	return c.members
}

// Version changes whenever the result of Members would change.
func (c *Cluster) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Version()
}

// Member returns the instance with the given name.
func (c *Cluster) Member(name string) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Member(name)
}

// Leave tells peers that this instance is leaving. It continues to answer heartbeats. The
// messages are sent even if the context has ended. The error is the context's and doesn't
// mean that Leave failed.
func (c *Cluster) Leave(ctx context.Context) error {
	c.step(func(m *membership.Machine, now time.Time) []membership.OutgoingMessage {
		return m.Leave(now)
	})
	return ctx.Err()
}

// Rotation remembers to which peer a Broadcast came. The zero Rotation begins with any peer.
type Rotation struct{ last string }

// Broadcast sends a datagram to all peers that aren't dead, as far as the byte budget
// allows, and returns to how many peers it was sent and how many were skipped. It begins with
// the peer after the one to which the last Broadcast with the same rotation came, so that an exhausted
// budget affects all peers alike, and the longest pause between two broadcasts to one peer is as short as it can be.
func (c *Cluster) Broadcast(kind peers.Kind, payload []byte, rotation *Rotation) (sent, skipped int) {
	targets := c.reachablePeersAfter(rotation.last)
	for sent, target := range targets {
		if !c.sendWithinBudget(target.PeerAddress, kind, payload) {
			// sendWithinBudget has counted this target; the ones after it are skipped, too.
			c.stats.digestsSkipped.Add(uint64(len(targets) - sent - 1))
			return sent, len(targets) - sent
		}
		rotation.last = target.Name
	}
	return len(targets), 0
}

// BroadcastUrgent sends a datagram to all peers that aren't dead, regardless of the byte
// budget, and returns the number of these peers. It reduces the budget left for other datagrams.
func (c *Cluster) BroadcastUrgent(kind peers.Kind, payload []byte) int {
	targets := c.reachablePeers()
	for _, target := range targets {
		c.sendUrgentTo(target, kind, payload)
	}
	return len(targets)
}

// Room returns how many bytes are left of the byte budget now; it is negative while more was sent.
func (c *Cluster) Room() int { return int(c.byteBudget.TokensAt(c.options.Now())) }

// DatagramBytes returns what a datagram takes of the byte budget.
func DatagramBytes(payload []byte) int { return len(payload) + datagramOverheadBytes }

// sendUrgentTo sends a datagram regardless of the byte budget, which it reduces.
func (c *Cluster) sendUrgentTo(target membership.Member, kind peers.Kind, payload []byte) {
	size := DatagramBytes(payload)
	c.byteBudget.ReserveN(c.options.Now(), size)
	c.stats.digestBytes.Add(uint64(size))
	c.options.Transport.Datagram(target.PeerAddress, kind, payload)
}

// SendUrgent sends a datagram to one peer if the peer isn't dead, regardless of the byte budget. It reduces the
// budget left for other datagrams.
func (c *Cluster) SendUrgent(name string, kind peers.Kind, payload []byte) {
	target, ok := c.Member(name)
	if !ok || !target.Reachable() || name == c.options.Self.Name {
		return
	}
	c.sendUrgentTo(target, kind, payload)
}

// Send sends a datagram to one peer if the peer isn't dead and the byte budget allows it.
// It reports whether the datagram was sent.
func (c *Cluster) Send(name string, kind peers.Kind, payload []byte) bool {
	target, ok := c.Member(name)
	if !ok || !target.Reachable() || name == c.options.Self.Name {
		return false
	}
	return c.sendWithinBudget(target.PeerAddress, kind, payload)
}

func (c *Cluster) sendWithinBudget(address string, kind peers.Kind, payload []byte) bool {
	size := len(payload) + datagramOverheadBytes
	if !c.byteBudget.AllowN(c.options.Now(), size) {
		c.stats.digestsSkipped.Add(1)
		return false
	}
	c.stats.digestBytes.Add(uint64(size))
	c.options.Transport.Datagram(address, kind, payload)
	return true
}

// HeartbeatPeers returns the peers that get this instance's heartbeats: few, whatever the size of the fleet.
func (c *Cluster) HeartbeatPeers() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.HeartbeatPeers()
}

// OtherPeers returns up to n peers that aren't dead and don't get this instance's heartbeats, drawn at random.
func (c *Cluster) OtherPeers(n int) []membership.Member {
	if n <= 0 {
		return nil
	}
	heartbeatPeers := map[string]bool{}
	for _, peer := range c.HeartbeatPeers() {
		heartbeatPeers[peer.Name] = true
	}
	others := slices.DeleteFunc(c.reachablePeers(), func(m membership.Member) bool { return heartbeatPeers[m.Name] })
	return others[:min(n, len(others))]
}

// reachablePeers returns the peers that aren't dead, beginning with a random one.
func (c *Cluster) reachablePeers() []membership.Member {
	out := c.reachablePeersByName()
	if len(out) == 0 {
		return nil
	}
	c.mu.Lock()
	start := c.rand.IntN(len(out))
	c.mu.Unlock()
	return rotated(out, start)
}

// reachablePeersAfter returns the same, beginning with the one whose name comes after the given one; empty means a random one.
func (c *Cluster) reachablePeersAfter(name string) []membership.Member {
	if name == "" {
		return c.reachablePeers()
	}
	out := c.reachablePeersByName()
	start := slices.IndexFunc(out, func(m membership.Member) bool { return m.Name > name })
	return rotated(out, max(0, start))
}

// rotated returns the members from start on, followed by those before it.
func rotated(members []membership.Member, start int) []membership.Member {
	// The limited capacity makes append copy, so that it doesn't overwrite the start of members.
	return append(members[start:len(members):len(members)], members[:start]...)
}

// reachablePeersByName returns the peers that aren't dead, sorted by name.
func (c *Cluster) reachablePeersByName() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := c.currentMembers()
	out := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.Name != c.options.Self.Name && m.Reachable() {
			out = append(out, m)
		}
	}
	return out
}
