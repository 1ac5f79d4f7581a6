// Package confsync keeps the accepted configuration in force on an instance: it learns of
// changes from a watch of the store and from peers, never returns to an older revision, and
// writes operators' changes to the store. See docs/design/configuration.md.
package confsync

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
)

// Action is the kind of operation that a FetchPlanner asks for.
type Action uint8

const (
	// ActionFetch requests the configuration from Order.Peer; the result goes to Fetched.
	ActionFetch Action = iota + 1
	// ActionRead reads the store; the result goes to StoreRead.
	ActionRead
)

// Task is one operation to perform.
type Task struct {
	Action Action
	// Peer is the instance to ask, for ActionFetch.
	Peer string
}

// Timings and limits of the distribution of the configuration.
const (
	// watchersPerDomain is how many instances per failure domain watch the store.
	watchersPerDomain = 2
	// minPeersToStart is how many peers a new instance must hear from to be ready without
	// having read the store.
	minPeersToStart = 3
	// startGrace is the time after which a new instance with a configuration is ready in any
	// case.
	startGrace = time.Second
	// maxFetches limits how many fetches run at the same time. Another fetch starts only
	// fetchHedgeDelay after the last one: a peer that is stopping or was replaced may never
	// answer.
	maxFetches      = 4
	fetchHedgeDelay = 300 * time.Millisecond
	// minRetryWait is the wait after a first failed fetch, read or watch.
	minRetryWait = 200 * time.Millisecond
	// defaultMaxRetryWait is the longest wait after repeated failures, before jitter, unless
	// Options.MaxRetryWait is set.
	defaultMaxRetryWait = 5 * time.Second
	// verifyReadPeriod is the mean time between two reads of the store that only verify that
	// no change was missed.
	verifyReadPeriod = time.Minute
	// verifyReadPeriodPerMember limits these reads of the whole fleet to 5 a second.
	verifyReadPeriodPerMember = 200 * time.Millisecond
)

// FetchPlanner decides when an instance reads the configuration from the store and from which
// peers it fetches it. It is a state machine without goroutine, socket or clock, and isn't
// safe for concurrent use.
type FetchPlanner struct {
	self string
	rand *rand.Rand
	// maxRetryWait is the longest wait after repeated failures, before jitter.
	maxRetryWait time.Duration

	// held is the revision in force, heldSince the time of the first one.
	held      uint64
	heldSince time.Time
	// heardRevisions holds the last revision in a message of each peer, highest the highest
	// revision known.
	heardRevisions map[string]uint64
	highest        uint64
	ready          bool

	liveMembers []membership.Member
	watching    bool

	fetching  map[string]bool
	lastFetch time.Time
	nextFetch time.Time
	fetchWait time.Duration

	reading       bool
	storeReadOnce bool
	nextRead      time.Time
	readWait      time.Duration
}

// NewFetchPlanner returns the state of a new instance, which has no configuration.
func NewFetchPlanner(self string, seed uint64) *FetchPlanner {
	return &FetchPlanner{
		self:           self,
		rand:           rand.New(rand.NewPCG(seed, 2)),
		maxRetryWait:   defaultMaxRetryWait,
		heardRevisions: map[string]uint64{},
		fetching:       map[string]bool{},
	}
}

// Held returns the revision in force; 0 means none.
func (s *FetchPlanner) Held() uint64 { return s.held }

// Highest returns the highest revision known to exist.
func (s *FetchPlanner) Highest() uint64 { return s.highest }

// Ready reports whether the instance may serve with the configuration that it holds.
func (s *FetchPlanner) Ready() bool { return s.ready }

// Watching reports whether this instance is one of the chosen watchers of the store.
func (s *FetchPlanner) Watching() bool { return s.watching }

// Offer takes the revision of a configuration that was obtained. It reports whether the
// revision is newer than the one held, and so comes into force.
func (s *FetchPlanner) Offer(now time.Time, revision uint64) bool {
	s.highest = max(s.highest, revision)
	if revision <= s.held {
		return false
	}
	if s.held == 0 {
		s.heldSince = now
	}
	s.held = revision
	return true
}

// ObserveRevision takes the revision in a message of a peer.
func (s *FetchPlanner) ObserveRevision(peer string, revision uint64) {
	s.heardRevisions[peer] = revision
	s.highest = max(s.highest, revision)
}

// SetMembers takes the current members.
func (s *FetchPlanner) SetMembers(members []membership.Member) {
	s.liveMembers = s.liveMembers[:0]
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = m.State != membership.Dead
		if m.State != membership.Dead {
			s.liveMembers = append(s.liveMembers, m)
		}
	}
	for name := range s.heardRevisions {
		if !present[name] {
			delete(s.heardRevisions, name)
		}
	}
	s.watching = s.chosenToWatch()
}

// chosenToWatch ranks the instances of this instance's failure domain by a hash. Instances
// with the same view of the members choose the same watchers. While views differ there may
// be a few more or fewer watchers.
func (s *FetchPlanner) chosenToWatch() bool {
	domain := ""
	for _, m := range s.liveMembers {
		if m.Name == s.self {
			domain = m.FailureDomain
		}
	}
	own := watchRank(s.self)
	higherRanked := 0
	for _, m := range s.liveMembers {
		if m.FailureDomain == domain && m.State != membership.Leaving && watchRank(m.Name) > own {
			higherRanked++
		}
	}
	return higherRanked < watchersPerDomain
}

func watchRank(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

// Tick returns the operations that are due. It must be called several times a second.
func (s *FetchPlanner) Tick(now time.Time) []Task {
	s.updateReady(now)
	orders := s.fetches(now)
	if s.readDue(now) {
		s.reading = true
		orders = append(orders, Task{Action: ActionRead})
	}
	return orders
}

// updateReady makes a new instance ready once it holds the highest known revision and has
// read the store or heard from several peers, since a single peer may be behind. After
// startGrace with a configuration it is ready in any case.
func (s *FetchPlanner) updateReady(now time.Time) {
	if s.ready || s.held == 0 {
		return
	}
	enough := len(s.heardRevisions) >= min(minPeersToStart, max(1, len(s.liveMembers)-1))
	current := s.held >= s.highest
	s.ready = current && (s.storeReadOnce || enough) || now.Sub(s.heldSince) >= startGrace
}

// fetches starts a fetch from a peer that has a newer revision, if one is due.
func (s *FetchPlanner) fetches(now time.Time) []Task {
	if s.highest <= s.held || len(s.fetching) >= maxFetches || now.Before(s.nextFetch) {
		return nil
	}
	if len(s.fetching) > 0 && now.Sub(s.lastFetch) < fetchHedgeDelay {
		return nil
	}
	peer, ok := s.pickNewerPeer()
	if !ok {
		return nil
	}
	s.fetching[peer], s.lastFetch = true, now
	return []Task{{Action: ActionFetch, Peer: peer}}
}

// pickNewerPeer returns a random peer that has a newer revision and isn't being asked. It
// chooses among suspect and leaving peers only if no such peer is alive.
func (s *FetchPlanner) pickNewerPeer() (string, bool) {
	var candidates, notAlive []string
	for _, m := range s.liveMembers {
		switch {
		case s.heardRevisions[m.Name] <= s.held || s.fetching[m.Name]:
		case m.State == membership.Alive:
			candidates = append(candidates, m.Name)
		default:
			notAlive = append(notAlive, m.Name)
		}
	}
	if len(candidates) == 0 {
		candidates = notAlive
	}
	if len(candidates) == 0 {
		return "", false
	}
	sort.Strings(candidates)
	return candidates[s.rand.IntN(len(candidates))], true
}

// Fetched takes the result of a fetch. The configuration was passed to Offer before.
func (s *FetchPlanner) Fetched(now time.Time, peer string, err error) {
	delete(s.fetching, peer)
	if err == nil {
		s.fetchWait = 0
		s.nextFetch = now
		return
	}
	s.fetchWait = s.backOff(s.fetchWait)
	s.nextFetch = now.Add(s.fetchWait)
}

// readDue reports whether to read the store: at the start, after a failed read, and
// periodically to verify that no change was missed.
func (s *FetchPlanner) readDue(now time.Time) bool { return !s.reading && !now.Before(s.nextRead) }

// StoreRead takes the result of a read of the store. The configuration was passed to Offer
// before.
func (s *FetchPlanner) StoreRead(now time.Time, err error) {
	s.reading = false
	if err != nil {
		s.readWait = s.backOff(s.readWait)
		s.nextRead = now.Add(s.readWait)
		return
	}
	s.storeReadOnce = true
	s.readWait = 0
	period := max(verifyReadPeriod, time.Duration(len(s.liveMembers))*verifyReadPeriodPerMember)
	s.nextRead = now.Add(s.jitter(period))
}

func (s *FetchPlanner) backOff(wait time.Duration) time.Duration {
	wait = min(max(2*wait, minRetryWait), s.maxRetryWait)
	return s.jitter(wait)
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (s *FetchPlanner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rand.Int64N(int64(d)))
}
