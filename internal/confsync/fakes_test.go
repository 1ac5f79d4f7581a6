package confsync

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"limpethub/internal/membership"
	"limpethub/internal/peers"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// errFake is returned while the store is unavailable, in place of a lost answer, and by
// operations that memoryStore doesn't have.
var errFake = errors.New("store is unavailable, the answer was lost or the operation is missing")

// memoryStore is an in-memory key-value store with configurable faults.
type memoryStore struct {
	mu       sync.Mutex
	entry    store.Entry
	previous []store.Entry
	changed  chan struct{}

	unavailable bool
	lostAnswers int // how many of the next writes take effect but report an error
	staleReads  int // how many of the next reads return the value before the last write
	calls       int
}

func newMemoryStore() *memoryStore { return &memoryStore{changed: make(chan struct{})} }

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return store.Entry{}, errFake
	}
	entry := s.entry
	if s.staleReads > 0 && len(s.previous) > 0 {
		s.staleReads--
		entry = s.previous[len(s.previous)-1]
	}
	if entry.Revision == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, expected store.Revision, _ store.LeaseID) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return 0, errFake
	}
	if s.entry.Revision != expected {
		return 0, store.ErrConflict
	}
	s.previous = append(s.previous, s.entry)
	// Store revisions increase in steps of 10, so that they differ from configuration revisions.
	s.entry = store.Entry{Key: key, Value: value, Revision: expected + 10}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, errFake
	}
	return s.entry.Revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, _ string, after store.Revision, progress func()) (store.Entry, error) {
	s.mu.Lock()
	s.calls++
	for {
		entry, unavailable, changed := s.entry, s.unavailable, s.changed
		s.mu.Unlock()
		if unavailable {
			return store.Entry{}, errFake
		}
		if entry.Revision != after {
			return entry, nil
		}
		progress()
		select {
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		case <-changed:
		}
		s.mu.Lock()
	}
}

func (s *memoryStore) Delete(context.Context, string, store.Revision) error        { return errFake }
func (s *memoryStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 0, errFake }
func (s *memoryStore) Renew(context.Context, store.LeaseID) error                  { return errFake }
func (s *memoryStore) Revoke(context.Context, store.LeaseID) error                 { return errFake }

// group connects several Syncs in one process. Each node serves as transport and membership of
// its Sync.
type group struct {
	mu    sync.Mutex
	nodes map[string]*node
}

type node struct {
	group     *group
	name      string
	domain    string
	sync      *Sync
	revision  uint64
	callbacks []func(string, uint64, membership.Confirmation)

	confirmation membership.Confirmation
	provenAt     time.Time
	onProof      func(uint64, time.Time)
	down         bool
}

func newGroup() *group { return &group{nodes: map[string]*node{}} }

func (g *group) add(name, domain string, s store.Store) *node {
	n := &node{group: g, name: name, domain: domain}
	n.sync = New(Options{Site: "s", Store: s, Transport: n, Members: n})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[name] = n
	return n
}

// peersHearingEachNode is how many other nodes get each node's heartbeats.
const peersHearingEachNode = 8

// gossip reports each live node's revision to a few other live nodes.
func (g *group) gossip() {
	g.mu.Lock()
	names := make([]string, 0, len(g.nodes))
	for name := range g.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	var deliveries []func()
	for i, name := range names {
		for step := 1; step <= min(peersHearingEachNode, len(names)-1); step++ {
			from, to := g.nodes[name], g.nodes[names[(i+step)%len(names)]]
			if from.down || to.down {
				continue
			}
			revision, confirmation := from.revision, from.confirmation
			for _, callback := range to.callbacks {
				deliveries = append(deliveries, func() { callback(from.name, revision, confirmation) })
			}
		}
	}
	g.mu.Unlock()
	for _, call := range deliveries {
		call()
	}
}

func (n *node) Self() string { return n.name }

func (n *node) Version() uint64 {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return uint64(len(n.group.nodes))
}

func (n *node) Members() []membership.Member {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	var out []membership.Member
	for _, other := range n.group.nodes {
		m := membership.Member{State: membership.Alive}
		m.Name, m.PeerAddress, m.FailureDomain = other.name, other.name, other.domain
		if other.down {
			m.State = membership.Dead
		}
		out = append(out, m)
	}
	return out
}

func (n *node) Member(name string) (membership.Member, bool) {
	for _, m := range n.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return membership.Member{}, false
}

func (n *node) SetRevision(revision uint64) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.revision = revision
}

func (n *node) SetConfirmation(c membership.Confirmation) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.confirmation = c
}

func (n *node) SetProof(at time.Time) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	n.provenAt = at
}

func (n *node) OnProof(callback func(uint64, time.Time)) { n.onProof = callback }

func (n *node) OnRevision(callback func(string, uint64, membership.Confirmation)) {
	n.callbacks = append(n.callbacks, callback)
}

func (n *node) Handle(peers.Kind, peers.Handler) {}

func (n *node) Datagram(string, peers.Kind, []byte) {}

func (n *node) Call(ctx context.Context, address string, _ peers.Kind, payload []byte) ([]byte, error) {
	n.group.mu.Lock()
	other := n.group.nodes[address]
	down := other == nil || other.down || n.down
	n.group.mu.Unlock()
	if down {
		return nil, errors.New("peer is down")
	}
	return other.sync.HandleCall(ctx, n.name, payload)
}

// documentWithModels makes a small document with the given number of models. For documents as
// large as a site's, see newSiteDocument.
func documentWithModels(models int) site.Document {
	d := site.Document{Site: "s", FailureDomains: []string{"zone-0"}}
	for i := range models {
		d.Models = append(d.Models, site.Model{Name: fmt.Sprintf("model-%d", i), Version: "1", MemoryMB: 1, Class: "c"})
	}
	return d
}
