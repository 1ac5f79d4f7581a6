package reachability

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"limpethub/internal/gossip"
)

const (
	// renewPeriod is how often an instance that doesn't reach the servers says so again, and lifetime how
	// long others believe it.
	renewPeriod = 2 * time.Second
	lifetime    = 6 * time.Second
	// maxNameBytes limits the name of an instance in a peer's word.
	maxNameBytes = 256
)

// factValue is what an instance says of itself. The fact's time is when it was so.
type factValue struct {
	Instance string `cbor:"1,keyasint"`
	State    State  `cbor:"2,keyasint,omitempty"`
}

// Peers knows which other instances say that they don't reach the servers by themselves, and says so for
// this instance. With another topic, it does the same for other things that instances may not reach, with the states
// Direct and CutOff only. It is safe for concurrent use.
type Peers struct {
	self    string
	topic   gossip.Topic
	publish func(gossip.Timed)
	logger  *logrus.Entry
	now     func() time.Time

	mu     sync.Mutex
	states map[string]peerState
	// own is the state that was told last, at toldAt.
	own    State
	toldAt time.Time
}

type peerState struct {
	state State
	at    time.Time
}

// NewPeers returns Peers of the instance named self.
func NewPeers(self string, topic gossip.Topic, publish func(gossip.Timed), logger *logrus.Entry, now func() time.Time) *Peers {
	return &Peers{self: self, topic: topic, publish: publish, logger: logger, now: now, states: map[string]peerState{}}
}

// Tell tells the other instances the state of this one.
func (p *Peers) Tell(state State) {
	now := p.now()
	value, err := cbor.Marshal(factValue{Instance: p.self, State: state})
	if err != nil {
		p.logger.WithError(err).WithField("topic", p.topic).Error("The reach of the servers can't be told to other instances: encoding failed")
		return
	}
	p.mu.Lock()
	p.own, p.toldAt = state, now
	p.mu.Unlock()
	p.publish(gossip.Timed{Topic: p.topic, Key: xxhash.Sum64String(p.self), Value: value, At: now})
}

// Renew tells the state again if that is due.
func (p *Peers) Renew() {
	p.mu.Lock()
	state, due := p.own, p.own != Direct && p.now().Sub(p.toldAt) >= renewPeriod
	p.mu.Unlock()
	if due {
		p.Tell(state)
	}
}

// HandleFact joins what a peer says. It is the cluster's handler of the topic.
func (p *Peers) HandleFact(now time.Time, f gossip.Timed) (gossip.Timed, bool) {
	var value factValue
	if err := cbor.Unmarshal(f.Value, &value); err != nil || value.Instance == "" || len(value.Instance) > maxNameBytes || value.State > CutOff {
		p.logger.WithFields(logrus.Fields{"bytes": len(f.Value), "topic": p.topic}).Warn("Ignored a peer's word of its reach: it is malformed")
		return f, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.states[value.Instance]
	if value.Instance == p.self || !f.At.After(known.at) || now.Sub(f.At) >= lifetime {
		return f, false
	}
	p.states[value.Instance] = peerState{state: value.State, at: f.At}
	return f, true
}

// Reaches reports whether an instance reaches the servers by itself, as far as is known.
func (p *Peers) Reaches(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if instance == p.self {
		return p.own == Direct
	}
	known, ok := p.states[instance]
	if !ok || known.state == Direct {
		return true
	}
	if p.now().Sub(known.at) >= lifetime {
		delete(p.states, instance)
		return true
	}
	return false
}
