// Package confsync keeps the accepted configuration in force on an instance: it learns of
// changes from a watch of the store and from peers, never returns to an older revision, and
// writes operators' changes to the store. The configuration that an instance holds is the one
// in force there; a new instance serves with it only once it is ready (see
// FetchPlanner.Ready). See docs/design/configuration.md.
package confsync

import (
	"errors"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/membership"
	"limpethub/internal/store"
)

// Action is the kind of operation that a FetchPlanner asks for.
type Action uint8

const (
	// ActionFetch requests the configuration from Task.Peer; the result goes to Fetched.
	ActionFetch Action = iota + 1
	// ActionRead reads the store; the result goes to StoreRead.
	ActionRead
	// ActionProve reads the store too, for a proof that no newer configuration exists.
	ActionProve
)

// Task is one operation to perform.
type Task struct {
	Action Action
	// Peer is the instance to ask, for ActionFetch.
	Peer string
	// Read is the number under which the result is passed to StoreRead, for ActionRead, or to Proofs.ReadEnded, for
	// ActionProve. GiveUp is an earlier ActionRead that is to be canceled; 0 means none.
	Read, GiveUp uint64
}

// Timings and limits of the distribution of the configuration.
const (
	// watchersPerDomain is how many instances per failure domain watch the store.
	watchersPerDomain = 2
	// minPeersToStart is how many peers a new instance must hear from to be ready without
	// having read the store.
	minPeersToStart = 3
	// startGrace is the time from its first configuration after which a new instance is ready
	// in any case.
	startGrace = time.Second
	// maxFetches limits how many fetches run at the same time. While fetches wait for their
	// answers, another one starts at another peer fetchHedgeDelay after the last start, because
	// a peer that is stopping or was replaced may never answer.
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
	// maxUndecodable is how many times a revision that can't be decoded is fetched.
	maxUndecodable = 3
	// unobtainedReads is how many answers of the store without a revision that was heard of are reported.
	unobtainedReads = 3
)

// FetchPlanner decides when an instance reads the configuration from the store and from which
// peers it fetches it. It is a state machine without goroutine, socket or clock, and isn't
// safe for concurrent use.
type FetchPlanner struct {
	self string
	rand *rand.Rand
	// maxRetryWait is the longest wait after repeated failures, before jitter.
	maxRetryWait time.Duration

	// held is the revision in force. firstHeldAt is when the first revision came into force.
	held        uint64
	firstHeldAt time.Time
	// peerRevisions holds, for each peer, the revision in its last message. highest is the
	// highest revision known to exist.
	peerRevisions map[string]uint64
	highest       uint64
	ready         bool

	// reachableMembers are the members that aren't dead, this instance included.
	reachableMembers []membership.Member
	role             watchRole

	// fetching holds the peers that are being asked, with the revision that each had then. failedAt holds the same
	// for those whose last fetch failed.
	fetching, failedAt map[string]uint64

	lastFetch time.Time
	// undecodable is the highest revision that peers have handed over and this build can't decode, and undecodableCount
	// how often they have.
	undecodable      uint64
	undecodableCount int
	nextFetch        time.Time
	fetchWait        time.Duration

	behind        behindReads
	reads         storeReads
	storeReadOnce bool
	nextRead      time.Time
	readWait      time.Duration
}

// NewFetchPlanner returns the state of a new instance, which has no configuration.
func NewFetchPlanner(self string, seed uint64) *FetchPlanner {
	// 2 selects another random stream than package cluster's, which gets the same seed.
	random := rand.New(rand.NewPCG(seed, 2))
	return &FetchPlanner{
		self: self, rand: random,
		role:          watchRole{self: self, rand: random, progressInterval: watchTimeout},
		behind:        behindReads{rand: random},
		maxRetryWait:  defaultMaxRetryWait,
		peerRevisions: map[string]uint64{},
		fetching:      map[string]uint64{},
		failedAt:      map[string]uint64{},
	}
}

// Held returns the revision in force; 0 means none.
func (p *FetchPlanner) Held() uint64 { return p.held }

// Highest returns the highest revision known to exist.
func (p *FetchPlanner) Highest() uint64 { return p.highest }

// Ready reports whether the instance may serve with the configuration that it holds.
func (p *FetchPlanner) Ready() bool { return p.ready }

// SetProgressInterval sets the longest time between two answers of the store to a watch; without
// it, a watch is answered once per watchTimeout at least.
func (p *FetchPlanner) SetProgressInterval(interval time.Duration) {
	p.role.progressInterval = interval
}

// Watching reports whether this instance watches the store.
func (p *FetchPlanner) Watching() bool { return p.role.watching() }

// ChosenToWatch reports whether this instance is among the few that watch the store at any rate.
func (p *FetchPlanner) ChosenToWatch() bool { return p.role.chosen }

// Backup reports whether this instance watches the store only because it has heard of no other
// that does so successfully.
func (p *FetchPlanner) Backup() bool { return p.role.backup && !p.role.chosen }

// Confirmed takes an answer of the store that no newer configuration than the one held exists.
func (p *FetchPlanner) Confirmed(now time.Time) {
	p.role.observe(membership.Confirmation{At: now, By: p.self})
}

// ObserveConfirmation takes a confirmation of a revision from a peer's message. It counts only if
// that revision or a newer one is held.
func (p *FetchPlanner) ObserveConfirmation(revision uint64, c membership.Confirmation) {
	if p.held >= revision && !c.At.IsZero() {
		p.role.observe(c)
	}
}

// Confirmation returns the latest confirmation of the revision held; it may be none.
func (p *FetchPlanner) Confirmation() membership.Confirmation { return p.role.latest }

// WatchRetryWait returns the wait after another failed watch, given the previous wait.
func (p *FetchPlanner) WatchRetryWait(wait time.Duration) time.Duration {
	wait = p.nextRetryWait(wait)
	if p.Backup() {
		wait = max(wait, p.role.retryWait(len(p.reachableMembers)))
	}
	return wait
}

// Offer takes the revision of a configuration that was obtained. It reports whether the
// revision is newer than the one held, and so comes into force.
func (p *FetchPlanner) Offer(now time.Time, revision uint64) bool {
	p.highest = max(p.highest, revision)
	if revision <= p.held {
		return false
	}
	if p.held == 0 {
		p.firstHeldAt = now
	}
	p.held = revision
	return true
}

// ObserveRevision takes the revision in a message of a peer. The back-off after failed fetches doesn't hold for what is
// heard of only after them.
func (p *FetchPlanner) ObserveRevision(peer string, revision uint64) {
	if revision > p.held && revision > p.peerRevisions[peer] {
		p.nextFetch = time.Time{}
	}
	p.peerRevisions[peer] = revision
	p.highest = max(p.highest, revision)
}

// SetMembers takes the current members.
func (p *FetchPlanner) SetMembers(members []membership.Member) {
	p.reachableMembers = p.reachableMembers[:0]
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = m.State != membership.Dead
		if m.State != membership.Dead {
			p.reachableMembers = append(p.reachableMembers, m)
		}
	}
	for name := range p.peerRevisions {
		if !present[name] {
			delete(p.peerRevisions, name)
			delete(p.failedAt, name)
		}
	}
	p.role.chosen = p.chosenToWatch()
}

// chosenToWatch reports whether this instance is chosen to watch the store: whether it is among the
// watchersPerDomain instances of its failure domain that rank highest by a hash. Instances with
// the same view of the members choose the same watchers. While views differ there may be a few
// more or fewer watchers.
func (p *FetchPlanner) chosenToWatch() bool {
	domain := ""
	for _, m := range p.reachableMembers {
		if m.Name == p.self {
			domain = m.FailureDomain
		}
	}
	own := watchRank(p.self)
	higherRanked := 0
	for _, m := range p.reachableMembers {
		if m.FailureDomain == domain && m.State != membership.Leaving && watchRank(m.Name) > own {
			higherRanked++
		}
	}
	return higherRanked < watchersPerDomain
}

func watchRank(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

// Tick returns the operations that are due. It must be called several times a second.
func (p *FetchPlanner) Tick(now time.Time) []Task {
	p.role.tick(now, len(p.reachableMembers))
	p.updateReady(now)
	tasks := p.dueFetch(now)
	if p.readDue(now) {
		id, givenUp := p.reads.begin(p.highest)
		tasks = append(tasks, Task{Action: ActionRead, Read: id, GiveUp: givenUp})
	}
	return tasks
}

// updateReady makes a new instance ready once it holds the highest known revision and has
// read the store or heard from several peers, since a single peer may be behind. After
// startGrace with a configuration it is ready in any case.
func (p *FetchPlanner) updateReady(now time.Time) {
	if p.ready || p.held == 0 {
		return
	}
	// In a small group, all other reachable members are enough. Until startGrace, an instance on
	// its own still needs to hear from one peer or to read the store.
	heardEnough := len(p.peerRevisions) >= min(minPeersToStart, max(1, len(p.reachableMembers)-1))
	upToDate := p.held >= p.highest
	p.ready = upToDate && (p.storeReadOnce || heardEnough) || now.Sub(p.firstHeldAt) >= startGrace
}

// dueFetch starts a fetch from a peer that has a newer revision, if one is due.
func (p *FetchPlanner) dueFetch(now time.Time) []Task {
	if p.highest <= p.held || len(p.fetching) >= maxFetches || now.Before(p.nextFetch) {
		return nil
	}
	if len(p.fetching) > 0 && now.Sub(p.lastFetch) < fetchHedgeDelay {
		return nil
	}
	peer, ok := p.pickNewerPeer()
	if !ok {
		return nil
	}
	p.fetching[peer], p.lastFetch = p.peerRevisions[peer], now
	return []Task{{Action: ActionFetch, Peer: peer}}
}

// pickNewerPeer returns a random peer that has a newer revision and isn't being asked. Peers that are alive and haven't failed
// to hand over that revision come first, then others that are alive, then suspect and leaving ones.
func (p *FetchPlanner) pickNewerPeer() (string, bool) {
	var untried, alive, notAlive []string
	for _, m := range p.reachableMembers {
		revision := p.peerRevisions[m.Name]
		switch {
		case revision <= p.held || p.fetching[m.Name] > 0 || revision <= p.undecodable && p.undecodableCount >= maxUndecodable:
		case m.State != membership.Alive:
			notAlive = append(notAlive, m.Name)
		case p.failedAt[m.Name] >= revision:
			alive = append(alive, m.Name)
		default:
			untried = append(untried, m.Name)
		}
	}
	for _, candidates := range [][]string{untried, alive, notAlive} {
		if len(candidates) > 0 {
			sort.Strings(candidates)
			return candidates[p.rand.IntN(len(candidates))], true
		}
	}
	return "", false
}

// Undecodable takes a revision that a peer handed over in a form that this build can't decode. Builds differ while instances
// are upgraded, so a few peers are asked for it; after them only the store.
func (p *FetchPlanner) Undecodable(revision uint64) {
	if revision > p.undecodable {
		p.undecodable, p.undecodableCount = revision, 0
	}
	if revision == p.undecodable {
		p.undecodableCount++
	}
}

// Fetched takes the result of a fetch. On success, the caller has already passed the revision
// of the configuration to Offer.
func (p *FetchPlanner) Fetched(now time.Time, peer string, err error) {
	asked := p.fetching[peer]
	delete(p.fetching, peer)
	delete(p.failedAt, peer)
	if err == nil {
		p.fetchWait = 0
		p.nextFetch = now
		return
	}
	if _, present := p.peerRevisions[peer]; present {
		p.failedAt[peer] = asked
	}
	p.fetchWait = p.nextRetryWait(p.fetchWait)
	p.nextFetch = now.Add(p.fetchWait)
}

// readDue reports whether to read the store: at the start, after a failed read, and periodically to verify that no change
// was missed. An instance that holds an older revision than one that exists reads it as behindReads says instead, and
// doesn't wait for a read in progress: that one may have begun before, or get no answer. Nor does one without a configuration.
func (p *FetchPlanner) readDue(now time.Time) bool {
	behind := p.behind.due(now, p.held, max(p.highest, 1), len(p.reachableMembers))
	newerExists := p.held < p.highest
	switch {
	case behind && (newerExists || p.held == 0 && !p.reads.none()):
		return true
	case newerExists && p.held > 0:
		return false
	}
	return p.reads.none() && !now.Before(p.nextRead)
}

// StoreRead takes the result of the read with the given id. On success, the caller has already passed
// the revision of the configuration, if there is one, to Offer.
func (p *FetchPlanner) StoreRead(now time.Time, id uint64, err error) {
	// A value that can't be decoded is an answer for an instance that has a configuration: another read soon finds the same.
	failed := err != nil && (p.held == 0 || !errors.Is(err, store.ErrUndecodable))
	read, counts := p.reads.end(id, failed)
	if !counts {
		return
	}
	if failed {
		p.nextRead = now.Add(p.readRetryWait())
		return
	}
	p.storeReadOnce = p.storeReadOnce || err == nil
	p.readWait = 0
	p.nextRead = now.Add(p.jitter(verifyReadWait(len(p.reachableMembers))))
	if p.held < p.highest && read.knew >= p.highest {
		p.behind.answeredWithout(now, len(p.reachableMembers))
	}
}

// readRetryWait returns the wait after another failed read. Instances that have a configuration spread these reads as those of a
// fleet that is behind.
func (p *FetchPlanner) readRetryWait() time.Duration {
	p.readWait = p.nextRetryWait(p.readWait)
	if p.held == 0 {
		return p.readWait
	}
	return max(p.readWait, spreadWait(p.rand, len(p.reachableMembers)))
}

// verifyReadWait returns the mean time between two reads of the store that only verify.
func verifyReadWait(instances int) time.Duration {
	return max(verifyReadPeriod, time.Duration(instances)*verifyReadPeriodPerMember)
}

// Unobtained returns the highest revision known to exist, if the store has answered reads several times without it and no peer
// has handed it over.
func (p *FetchPlanner) Unobtained() (uint64, bool) {
	return p.highest, p.held < p.highest && p.behind.without >= unobtainedReads
}

// nextRetryWait returns the wait after another failure, given the previous wait: twice as long
// within minRetryWait and maxRetryWait, with jitter.
func (p *FetchPlanner) nextRetryWait(wait time.Duration) time.Duration {
	wait = min(max(2*wait, minRetryWait), p.maxRetryWait)
	return p.jitter(wait)
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (p *FetchPlanner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rand.Int64N(int64(d)))
}
