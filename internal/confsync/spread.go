// Package confsync keeps the accepted configuration in force on an instance: it
// learns of changes from the store by watch and from peers, never goes back to an
// older revision, and applies operators' changes. See docs/design/configuration.md.
package confsync

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
)

// Action is what a Spread wants done.
type Action uint8

// Actions of a Spread.
const (
	// ActionFetch asks Order.Peer for its configuration; the end goes to Fetched.
	ActionFetch Action = iota + 1
	// ActionRead reads the store; the end goes to StoreRead.
	ActionRead
)

// Order is one thing to do.
type Order struct {
	Action Action
	// Peer is whom to ask, for ActionFetch.
	Peer string
}

// Timings and bounds of spreading.
const (
	// watchersPerDomain is how many instances of a failure domain watch the store.
	watchersPerDomain = 2
	// startPeers is how many peers a new instance wants to hear from.
	startPeers = 3
	// startGrace is how long a new instance with a configuration waits for more.
	startGrace = time.Second
	// maxFetches is how many fetches run at once. Another one begins only when the last
	// is older than fetchPatience: a peer that stops or was replaced may not answer.
	maxFetches    = 4
	fetchPatience = 300 * time.Millisecond
	// retryPeriod is the first wait after a failed fetch or read.
	retryPeriod = 200 * time.Millisecond
	// maxRetryPeriod is the longest wait after failures, unless the options say less.
	maxRetryPeriod = 5 * time.Second
	// readPeriod is the time between two reads of the store that only make sure.
	readPeriod = time.Minute
	// readPeriodPerMember keeps the whole fleet's such reads under 5 a second.
	readPeriodPerMember = 200 * time.Millisecond
)

// Spread decides from whom an instance learns the configuration. It has no
// goroutine, socket or clock, and isn't safe for concurrent use.
type Spread struct {
	self string
	rand *rand.Rand
	// longestWait bounds the wait after failures.
	longestWait time.Duration

	held      uint64
	heldSince time.Time
	heard     map[string]uint64
	highest   uint64
	ready     bool

	live     []membership.Member
	watching bool

	fetching  map[string]bool
	lastFetch time.Time
	nextFetch time.Time
	fetchWait time.Duration

	reading  bool
	readOnce bool
	nextRead time.Time
	readWait time.Duration
}

// NewSpread makes the state of a new instance, which holds nothing.
func NewSpread(self string, seed uint64) *Spread {
	return &Spread{
		self:        self,
		rand:        rand.New(rand.NewPCG(seed, 2)),
		longestWait: maxRetryPeriod,
		heard:       map[string]uint64{},
		fetching:    map[string]bool{},
	}
}

// Held returns the revision in force; 0 means none.
func (s *Spread) Held() uint64 { return s.held }

// Highest returns the highest revision heard of.
func (s *Spread) Highest() uint64 { return s.highest }

// Ready reports whether the instance may serve what it holds.
func (s *Spread) Ready() bool { return s.ready }

// Watching reports whether this instance is one of those that watch the store.
func (s *Spread) Watching() bool { return s.watching }

// Offer takes a revision whose body was obtained. It reports whether it is newer
// than what is held, and so comes into force.
func (s *Spread) Offer(now time.Time, revision uint64) bool {
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

// Heard takes the revision that a peer's message carried.
func (s *Spread) Heard(peer string, revision uint64) {
	s.heard[peer] = revision
	s.highest = max(s.highest, revision)
}

// SetMembers takes the current members.
func (s *Spread) SetMembers(members []membership.Member) {
	s.live = s.live[:0]
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = m.State != membership.Dead
		if m.State != membership.Dead {
			s.live = append(s.live, m)
		}
	}
	for name := range s.heard {
		if !present[name] {
			delete(s.heard, name)
		}
	}
	s.watching = s.chosenToWatch()
}

// chosenToWatch ranks the failure domain's instances by a hash. All instances with
// the same view choose the same ones; with different views there are a few more or
// fewer watchers for a while.
func (s *Spread) chosenToWatch() bool {
	domain := ""
	for _, m := range s.live {
		if m.Name == s.self {
			domain = m.FailureDomain
		}
	}
	own := watchRank(s.self)
	better := 0
	for _, m := range s.live {
		if m.FailureDomain == domain && m.State != membership.Leaving && watchRank(m.Name) > own {
			better++
		}
	}
	return better < watchersPerDomain
}

func watchRank(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

// Tick returns what is due. It is called a few times a second.
func (s *Spread) Tick(now time.Time) []Order {
	s.updateReady(now)
	orders := s.fetches(now)
	if s.readDue(now) {
		s.reading = true
		orders = append(orders, Order{Action: ActionRead})
	}
	return orders
}

// updateReady lets a new instance serve once it has a configuration and the store
// or several peers were heard, since one peer may be behind.
func (s *Spread) updateReady(now time.Time) {
	if s.ready || s.held == 0 {
		return
	}
	enough := len(s.heard) >= min(startPeers, max(1, len(s.live)-1))
	current := s.held >= s.highest
	s.ready = current && (s.readOnce || enough) || now.Sub(s.heldSince) >= startGrace
}

// fetches asks peers that announced a newer revision.
func (s *Spread) fetches(now time.Time) []Order {
	if s.highest <= s.held || len(s.fetching) >= maxFetches || now.Before(s.nextFetch) {
		return nil
	}
	if len(s.fetching) > 0 && now.Sub(s.lastFetch) < fetchPatience {
		return nil
	}
	peer, ok := s.pickAhead()
	if !ok {
		return nil
	}
	s.fetching[peer], s.lastFetch = true, now
	return []Order{{Action: ActionFetch, Peer: peer}}
}

// pickAhead picks a random peer that is ahead and isn't asked already, of those that are
// to stay if there are any.
func (s *Spread) pickAhead() (string, bool) {
	var ahead, going []string
	for _, m := range s.live {
		switch {
		case s.heard[m.Name] <= s.held || s.fetching[m.Name]:
		case m.State == membership.Alive:
			ahead = append(ahead, m.Name)
		default:
			going = append(going, m.Name)
		}
	}
	if len(ahead) == 0 {
		ahead = going
	}
	if len(ahead) == 0 {
		return "", false
	}
	sort.Strings(ahead)
	return ahead[s.rand.IntN(len(ahead))], true
}

// Fetched takes the end of a fetch. The body went to Offer before.
func (s *Spread) Fetched(now time.Time, peer string, err error) {
	delete(s.fetching, peer)
	if err == nil {
		s.fetchWait = 0
		s.nextFetch = now
		return
	}
	s.fetchWait = s.backOff(s.fetchWait)
	s.nextFetch = now.Add(s.fetchWait)
}

// readDue reports whether to read the store: at the start, and now and then to make
// sure.
func (s *Spread) readDue(now time.Time) bool { return !s.reading && !now.Before(s.nextRead) }

// StoreRead takes the end of a read of the store. The body went to Offer before.
func (s *Spread) StoreRead(now time.Time, err error) {
	s.reading = false
	if err != nil {
		s.readWait = s.backOff(s.readWait)
		s.nextRead = now.Add(s.readWait)
		return
	}
	s.readOnce = true
	s.readWait = 0
	period := max(readPeriod, time.Duration(len(s.live))*readPeriodPerMember)
	s.nextRead = now.Add(s.jitter(period))
}

func (s *Spread) backOff(wait time.Duration) time.Duration {
	wait = min(max(2*wait, retryPeriod), s.longestWait)
	return s.jitter(wait)
}

// jitter returns a random time between half and three halves of d.
func (s *Spread) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rand.Int64N(int64(d)))
}
