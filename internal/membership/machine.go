package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/time/rate"
)

// Send is a message to hand to the transport.
type Send struct {
	// To is the receiver's name, for logs.
	To string
	// Address is the receiver's peer address.
	Address string
	Message Message
}

// Transition is a change of a member's state.
type Transition struct {
	Member Member
	// From is the state before; 0 for a new member.
	From State
}

// Listed is one entry instance of the platform's list.
type Listed struct {
	Identity
	// Leaving is true once the platform is about to remove the instance.
	Leaving bool
}

// Machine is the membership of one instance. It isn't safe for concurrent use.
type Machine struct {
	settings Settings
	rand     *rand.Rand
	limiter  *rate.Limiter

	self        *member
	revision    uint64
	members     map[string]*member
	order       []*member
	suspects    map[string]*member
	dead        map[string]*member
	subjects    []*member
	stale       bool
	probes      map[string]*probe
	relays      map[uint64]relay
	sequence    uint64
	queue       updateQueue
	hashes      [buckets]uint64
	heard       bool
	lastTick    time.Time
	nextDead    time.Time
	nextSync    time.Time
	nextJoin    time.Time
	sends       []Send
	transitions []Transition
	version     uint64
}

// New makes the membership of the instance self. The incarnation must be above
// that of earlier processes of the same name, such as the start time in
// milliseconds; one that is too low is raised once a peer says so.
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
		queue:    newUpdateQueue(),
	}
	m.hashes[bucketOf(self.Name)] ^= viewHash(own)
	m.queue.add(own.Name, true)
	return m
}

// SetRevision sets the configuration revision that heartbeats carry.
func (m *Machine) SetRevision(revision uint64) { m.revision = revision }

// Version changes whenever Members would.
func (m *Machine) Version() uint64 { return m.version }

// Self returns this instance as others see it at best.
func (m *Machine) Self() Member { return m.view(m.self) }

// Members lists all known instances, this one included, sorted by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.members)+1)
	out = append(out, m.view(m.self))
	for _, other := range m.order {
		out = append(out, m.view(other))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Member returns one instance by name.
func (m *Machine) Member(name string) (Member, bool) {
	if other := m.lookup(name); other != nil {
		return m.view(other), true
	}
	return Member{}, false
}

func (m *Machine) view(other *member) Member {
	return Member{Identity: other.Identity, State: other.state(), Incarnation: other.incarnation}
}

// TakeTransitions returns the changes of state since the last call.
func (m *Machine) TakeTransitions() []Transition {
	out := m.transitions
	m.transitions = nil
	return out
}

// takeSends returns the messages queued by the current event.
func (m *Machine) takeSends() []Send {
	out := m.sends
	m.sends = nil
	return out
}

// Leave marks this instance as leaving and tells peers at once.
func (m *Machine) Leave(now time.Time) []Send {
	if !m.self.leaving {
		m.updateSelf(func(self *member) {
			self.leaving = true
			self.incarnation++
		})
	}
	m.refreshSubjects()
	for _, subject := range m.subjects {
		m.send(now, subject, Message{Type: TypePing, Sequence: m.nextSequence()})
	}
	return m.takeSends()
}

// Tick does what is due. It is called a few times per Period.
func (m *Machine) Tick(now time.Time) []Send {
	if m.paused(now) {
		m.forgivePause(now)
	}
	m.lastTick = now
	m.refreshSubjects()
	m.tickProbes(now)
	m.tickSuspects(now)
	m.tickDead(now)
	m.tickSync(now)
	m.expireRelays(now)
	return m.takeSends()
}

// paused reports whether this process stood still for so long that missing
// answers say nothing about peers.
func (m *Machine) paused(now time.Time) bool {
	return !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseFactor*m.settings.Period
}

func (m *Machine) forgivePause(now time.Time) {
	clear(m.probes)
	for _, suspect := range m.suspects {
		suspect.deadline = now.Add(m.settings.SuspicionTimeout).UnixNano()
	}
}

// Receive takes a message from a peer.
func (m *Machine) Receive(now time.Time, message Message) []Send {
	if message.From == m.self.Name {
		return nil
	}
	m.heard = true
	for _, r := range message.Records {
		m.merge(now, r, message.Type == TypeRecords)
	}
	sender := m.members[message.From]
	if sender == nil {
		return m.takeSends()
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
	return m.takeSends()
}
