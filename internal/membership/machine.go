package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// OutgoingMessage is a message for the transport to send.
type OutgoingMessage struct {
	// To is the receiver's name, for logs.
	To string
	// Address is the receiver's peer address.
	Address string
	Message Message
}

// Transition is a change of a member's state.
type Transition struct {
	Member Member
	// From is the previous state; Dead for a new member.
	From State
}

// Listed is an instance from the platform's list that takes part in membership: it has a peer
// address.
type Listed struct {
	Identity
	// Leaving is true once the platform is about to remove the instance.
	Leaving bool
	// Unconfirmed is true if the entry may be of an instance that ended long ago.
	Unconfirmed bool
}

// Machine is the membership state of one instance. It isn't safe for concurrent use.
type Machine struct {
	settings Settings
	rand     *rand.Rand
	limiter  *rate.Limiter

	self *member
	// revision is the configuration revision that messages to peers carry.
	revision uint64
	// confirmation is the latest one known, and heardConfirmation that of the last message received.
	confirmation, heardConfirmation Confirmation
	// bootNow is the time of the current event by the boot clock, provenAt that of the latest proof of revision, and
	// proofs those that peers sent.
	bootNow, provenAt time.Time
	proofs            []Proof
	members           map[string]*member
	// memberList holds the same members as the map, in the order in which they were added.
	memberList []*member
	suspects   map[string]*member
	dead       map[string]*member
	// heartbeatPeers are the peers that this instance sends heartbeats to. They are chosen
	// anew when heartbeatPeersStale is set.
	heartbeatPeers      []*member
	heartbeatPeersStale bool
	// probes holds the state of the heartbeats to each heartbeat peer, by name.
	probes map[string]*probe
	// relays holds the PingRequests in progress by the sequence number of this instance's ping.
	relays       map[uint64]relay
	sequence     uint64
	updates      updateQueue
	bucketHashes [bucketCount]uint64
	// heardFromPeer is true once any message has arrived.
	heardFromPeer bool
	lastTick      time.Time
	nextDeadPing  time.Time
	nextSync      time.Time
	nextJoinPing  time.Time
	outgoing      []OutgoingMessage
	transitions   []Transition
	version       uint64
}

// New creates the membership state of the instance self. The incarnation must be higher
// than those of earlier processes with the same name, for example the Unix time of the start
// in milliseconds. If it is too low, it is raised once a peer claims a higher one.
func New(self Identity, incarnation uint64, settings Settings, seed uint64) *Machine {
	own := &member{Identity: self, incarnation: incarnation}
	own.ringHashes = ringHashes(self.Name)
	m := &Machine{
		settings: settings,
		rand:     rand.New(rand.NewPCG(seed, incarnation)),
		limiter:  rate.NewLimiter(rate.Limit(settings.RecordBytesPerSecond), settings.RecordBurstBytes),
		self:     own,
		members:  map[string]*member{},
		suspects: map[string]*member{},
		dead:     map[string]*member{},
		probes:   map[string]*probe{},
		relays:   map[uint64]relay{},
		updates:  newUpdateQueue(),
	}
	m.bucketHashes[bucketOf(self.Name)] ^= viewHash(own)
	m.updates.add(own.Name, true)
	return m
}

// SetRevision sets the configuration revision that messages to peers carry.
func (m *Machine) SetRevision(revision uint64) { m.revision = revision }

// Version changes whenever the result of Members would change.
func (m *Machine) Version() uint64 { return m.version }

// Self returns this instance's own entry.
func (m *Machine) Self() Member { return m.toMember(m.self) }

// Members lists all known instances, including this one, sorted by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.members)+1)
	out = append(out, m.toMember(m.self))
	for _, other := range m.memberList {
		out = append(out, m.toMember(other))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Member returns the instance with the given name.
func (m *Machine) Member(name string) (Member, bool) {
	if other := m.lookup(name); other != nil {
		return m.toMember(other), true
	}
	return Member{}, false
}

func (m *Machine) toMember(other *member) Member {
	return Member{Identity: other.Identity, State: other.state(), Incarnation: other.incarnation, Listed: other.listed && !other.unconfirmed}
}

// TakeTransitions returns the state changes since the last call.
func (m *Machine) TakeTransitions() []Transition {
	out := m.transitions
	m.transitions = nil
	return out
}

// takeOutgoing returns and clears the messages queued by the current event.
func (m *Machine) takeOutgoing() []OutgoingMessage {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// Leave marks this instance as leaving and sends this to its heartbeat peers at once.
func (m *Machine) Leave(now time.Time) []OutgoingMessage {
	if !m.self.leaving {
		m.updateSelf(func(self *member) {
			self.leaving = true
			self.incarnation++
		})
	}
	m.refreshHeartbeatPeers()
	for _, peer := range m.heartbeatPeers {
		m.send(now, peer, Message{Type: TypePing, Sequence: m.nextSequence()})
	}
	return m.takeOutgoing()
}

// HeartbeatPeers returns the members that get heartbeats of this one: on each ring the next one that isn't dead, and more
// while that one is suspect.
func (m *Machine) HeartbeatPeers() []Member {
	m.refreshHeartbeatPeers()
	out := make([]Member, 0, len(m.heartbeatPeers))
	for _, peer := range m.heartbeatPeers {
		out = append(out, m.toMember(peer))
	}
	return out
}

// Notify returns a message to each heartbeat peer, for what package cluster sends along with it.
func (m *Machine) Notify(now time.Time) []OutgoingMessage {
	m.refreshHeartbeatPeers()
	for _, peer := range m.heartbeatPeers {
		m.send(now, peer, Message{Type: TypeRecords})
	}
	return m.takeOutgoing()
}

// Tick performs everything that is due. It must be called several times per Period.
func (m *Machine) Tick(now time.Time) []OutgoingMessage {
	if m.paused(now) {
		m.resetAfterPause(now)
	}
	m.lastTick = now
	m.refreshHeartbeatPeers()
	m.tickProbes(now)
	m.tickSuspects(now)
	m.tickDead(now)
	m.tickSync(now)
	m.expireRelays(now)
	return m.takeOutgoing()
}

// paused reports whether this process was stopped for so long that missing answers don't
// indicate a failure of peers.
func (m *Machine) paused(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > pausePeriods*m.settings.Period
}

func (m *Machine) resetAfterPause(now time.Time) {
	clear(m.probes)
	for _, suspect := range m.suspects {
		suspect.suspicionEndNanos = now.Add(m.settings.SuspicionTimeout).UnixNano()
	}
}

// Receive processes a message from a peer.
func (m *Machine) Receive(now time.Time, message Message) []OutgoingMessage {
	m.heardConfirmation = Confirmation{}
	if message.From == m.self.Name {
		return nil
	}
	m.heardFromPeer = true
	for _, r := range message.Records {
		m.merge(now, r, message.Type == TypeRecords)
	}
	sender := m.members[message.From]
	if sender == nil {
		return m.takeOutgoing()
	}
	switch message.Type {
	case TypePing:
		m.send(now, sender, Message{Type: TypeAck, Sequence: message.Sequence})
	case TypeAck:
		m.receiveAck(now, message)
	case TypePingRequest:
		m.receivePingRequest(now, sender, message)
	case TypeSync, TypeSyncBack:
		m.receiveSync(now, sender, message)
	case TypeRecords:
		if message.More {
			m.nextSync = now.Add(m.settings.Period)
		}
	}
	return m.takeOutgoing()
}
