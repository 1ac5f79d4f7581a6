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

var errAway = errors.New("store is away")

// memoryStore is a key-value service in memory with faults.
type memoryStore struct {
	mu      sync.Mutex
	entry   store.Entry
	old     []store.Entry
	changed chan struct{}

	away       bool
	loseAnswer int // answers of this many writes are lost after the write
	stale      int // this many reads give the value before the last write
	calls      int
}

func newMemoryStore() *memoryStore { return &memoryStore{changed: make(chan struct{})} }

func (s *memoryStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return store.Entry{}, errAway
	}
	entry := s.entry
	if s.stale > 0 && len(s.old) > 0 {
		s.stale--
		entry = s.old[len(s.old)-1]
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
	if s.away {
		return 0, errAway
	}
	if s.entry.Revision != expected {
		return 0, store.ErrConflict
	}
	s.old = append(s.old, s.entry)
	s.entry = store.Entry{Key: key, Value: value, Revision: expected + 10}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.loseAnswer > 0 {
		s.loseAnswer--
		return 0, errAway
	}
	return s.entry.Revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, _ string, after store.Revision) (store.Entry, error) {
	s.mu.Lock()
	s.calls++
	for {
		entry, away, changed := s.entry, s.away, s.changed
		s.mu.Unlock()
		if away {
			return store.Entry{}, errAway
		}
		if entry.Revision > after {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		case <-changed:
		}
		s.mu.Lock()
	}
}

func (s *memoryStore) Delete(context.Context, string, store.Revision) error        { return errAway }
func (s *memoryStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 0, errAway }
func (s *memoryStore) Renew(context.Context, store.LeaseID) error                  { return errAway }
func (s *memoryStore) Revoke(context.Context, store.LeaseID) error                 { return errAway }

// group joins several Syncs in one process: it is their transport and membership.
type group struct {
	mu    sync.Mutex
	syncs map[string]*node
}

type node struct {
	group     *group
	name      string
	domain    string
	sync      *Sync
	revision  uint64
	callbacks []func(string, uint64)
	down      bool
}

func newGroup() *group { return &group{syncs: map[string]*node{}} }

func (g *group) add(name, domain string, s store.Store) *node {
	n := &node{group: g, name: name, domain: domain}
	n.sync = New(Options{Site: "s", Store: s, Transport: n, Members: n})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncs[name] = n
	return n
}

// heartbeatPeers is how many others each node hears.
const heartbeatPeers = 8

// gossip lets every live node hear the revisions of a few others.
func (g *group) gossip() {
	g.mu.Lock()
	names := make([]string, 0, len(g.syncs))
	for name := range g.syncs {
		names = append(names, name)
	}
	sort.Strings(names)
	var hear []func()
	for i, name := range names {
		for step := 1; step <= min(heartbeatPeers, len(names)-1); step++ {
			from, to := g.syncs[name], g.syncs[names[(i+step)%len(names)]]
			if from.down || to.down {
				continue
			}
			revision := from.revision
			for _, callback := range to.callbacks {
				hear = append(hear, func() { callback(from.name, revision) })
			}
		}
	}
	g.mu.Unlock()
	for _, call := range hear {
		call()
	}
}

func (n *node) Self() string { return n.name }

func (n *node) Version() uint64 {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return uint64(len(n.group.syncs))
}

func (n *node) Members() []membership.Member {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	var out []membership.Member
	for _, other := range n.group.syncs {
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

func (n *node) OnRevision(callback func(string, uint64)) { n.callbacks = append(n.callbacks, callback) }

func (n *node) Handle(peers.Kind, peers.Handler) {}

func (n *node) Datagram(string, peers.Kind, []byte) {}

func (n *node) Call(ctx context.Context, address string, _ peers.Kind, payload []byte) ([]byte, error) {
	n.group.mu.Lock()
	other := n.group.syncs[address]
	down := other == nil || other.down || n.down
	n.group.mu.Unlock()
	if down {
		return nil, errors.New("peer is down")
	}
	return other.sync.HandleCall(ctx, n.name, payload)
}

func document(models int) site.Document {
	d := site.Document{Site: "s", FailureDomains: []string{"zone-0"}}
	for i := range models {
		d.Models = append(d.Models, site.Model{Name: fmt.Sprintf("model-%d", i), Version: "1", MemoryMB: 1, Class: "c"})
	}
	return d
}
