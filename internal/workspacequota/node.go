package workspacequota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/site"
)

const (
	// spreadPeriod is the time between two messages with states, and spreadPeers how many peers get each. A state
	// gets from its limiter to 295 instances in some 0.7 s that way, with 8 messages a second of each instance.
	spreadPeriod = 250 * time.Millisecond
	spreadPeers  = 2
	// earlySpreadPause is the least time between a message with states that is sent early, because much less is to
	// be admitted, and the one before. earlyFall is the fall of the admitted share for that.
	earlySpreadPause = 80 * time.Millisecond
	earlyFall        = 0.8
	// reportPeriodPerInstance times the instances is the time between two reports of an instance while the balance
	// is low, within the bounds. While it isn't, it is calmFactor times as long.
	reportPeriodPerInstance = time.Millisecond
	minReportPeriod         = 30 * time.Millisecond
	maxReportPeriod         = 200 * time.Millisecond
	calmFactor              = 3
	// urgentReportPause is the least time between two reports of an instance that may not admit much more before
	// it is counted. It doubles with each one that isn't answered.
	urgentReportPause    = 10 * time.Millisecond
	maxUnansweredDoubles = 5
	// askPeriod is how often an instance without a state asks for one.
	askPeriod = 250 * time.Millisecond
	// standstill is how long a process must have stood still for its states not to count any more.
	standstill = time.Second
	// otherLimiterAge is from which age on a state of an instance that isn't the limiter in the local view is
	// replaced by another such one.
	otherLimiterAge = time.Second
)

// Members are the instances, as this instance sees them.
type Members struct {
	// Candidates are those that can be limiters: alive and not leaving. Peers are all others that can be reached.
	Candidates, Peers []string
	// Covered is the number of instances that are alive, and Known that of all that may still run: also those
	// that are suspected, and dead ones that the platform still lists.
	Covered, Known int
}

// outgoing is a message to a peer.
type outgoing struct {
	to      string
	message message
}

// Node decides about the quotas of all workspaces for one instance. It takes times and events and returns
// decisions and messages. It isn't safe for concurrent use.
type Node struct {
	self    string
	process uint64
	rules   Rules
	random  *rand.Rand
	// startedAt is the time at the start, to which versions of states are related.
	startedAt time.Time
	members   Members
	// workspaces are those with a limit, by name, and byNumber by their number in messages. ordered has them in a
	// fixed order.
	workspaces map[string]*workspace
	byNumber   map[uint32]*workspace
	ordered    []*workspace
	delays     map[string]*delays
	lastTick   time.Time
	spreadAt   time.Time
	out        []outgoing
	version    uint64
}

// workspace is one workspace with a limit.
type workspace struct {
	name   string
	number uint32
	limit  Limit
	share  *Share
	// elected is the limiter in the local view, and limiter is set while that is this instance.
	elected string
	limiter *Limiter
	// report is the state of the reports.
	report reports
	// spread is the version of the state that peers were last told, and spreadAdmit the share in it.
	spread      uint64
	spreadAdmit float64
	counts      Counts
}

// reports is what an instance has told the limiter.
type reports struct {
	sequence   uint64
	at         time.Time
	unanswered int
}

// Counts are totals of one workspace at one instance since its process started.
type Counts struct {
	Admitted, Refused, Returned                         uint64
	AdmittedRequests, RefusedRequests, ReturnedRequests uint64
}

// NewNode returns the node of an instance. process must be higher than that of earlier processes of the
// instance.
func NewNode(now time.Time, self string, process uint64, rules Rules, seed uint64) *Node {
	return &Node{
		self: self, process: process, rules: rules, random: rand.New(rand.NewPCG(seed, process)), startedAt: now,
		members: Members{Candidates: []string{self}, Covered: 1, Known: 1}, delays: map[string]*delays{},
		workspaces: map[string]*workspace{}, byNumber: map[uint32]*workspace{}, lastTick: now,
	}
}

// Active reports whether any workspace has a limit.
func (n *Node) Active() bool { return len(n.ordered) > 0 }

// SetDocument puts the limits of a configuration in force.
func (n *Node) SetDocument(now time.Time, document *site.Document) {
	n.resumeAfterStandstill(now)
	limits := map[string]Limit{}
	for _, w := range document.Workspaces {
		if !w.Limit.Unlimited() {
			limits[w.Name] = NewLimit(w.Limit, n.rules)
		}
	}
	for name := range n.workspaces {
		if _, ok := limits[name]; !ok {
			delete(n.workspaces, name)
		}
	}
	for name, limit := range limits {
		n.setLimit(now, name, limit)
	}
	n.order()
	n.elect(now)
}

func (n *Node) setLimit(now time.Time, name string, limit Limit) {
	w := n.workspaces[name]
	if w == nil {
		n.workspaces[name] = &workspace{name: name, limit: limit, share: NewShare(now, limit, n.members.Known)}
		return
	}
	w.limit = limit
	w.share.SetLimit(limit)
	if w.limiter != nil {
		w.limiter.SetLimit(now, limit)
	}
}

// order numbers the workspaces for messages: by a hash of the name or, where two have the same, the next one.
// Instances with the same configuration get the same numbers.
func (n *Node) order() {
	n.ordered = n.ordered[:0]
	clear(n.byNumber)
	for _, w := range n.workspaces {
		n.ordered = append(n.ordered, w)
	}
	slices.SortFunc(n.ordered, func(a, b *workspace) int { return cmp.Compare(a.name, b.name) })
	for _, w := range n.ordered {
		w.number = hashName(w.name)
		for n.byNumber[w.number] != nil {
			w.number++
		}
		n.byNumber[w.number] = w
	}
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetMembers takes the instances.
func (n *Node) SetMembers(now time.Time, members Members) {
	n.resumeAfterStandstill(now)
	n.members = members
	for name := range n.delays {
		if !slices.Contains(members.Peers, name) {
			delete(n.delays, name)
		}
	}
	for _, w := range n.ordered {
		w.share.SetKnown(members.Known)
	}
	n.elect(now)
}

// covered is the part of the limits that this instance gives out where it is the limiter.
func (n *Node) covered() float64 {
	return min(1, float64(n.members.Covered)/float64(max(1, n.members.Known)))
}

// elect finds the limiter of each workspace: the candidate with the highest hash of both names.
func (n *Node) elect(now time.Time) {
	for _, w := range n.ordered {
		best, bestHash := n.self, uint64(0)
		for _, name := range n.members.Candidates {
			if hash := xxhash.Sum64String(w.name + "\x00" + name); hash > bestHash {
				best, bestHash = name, hash
			}
		}
		w.elected = best
		switch {
		case best != n.self:
			w.limiter = nil
		case w.limiter == nil:
			n.becomeLimiter(now, w)
		default:
			w.limiter.SetCovered(now, n.covered())
		}
	}
}

func (n *Node) becomeLimiter(now time.Time, w *workspace) {
	w.limiter = NewLimiter(now, w.limit, n.covered())
	n.refreshOwn(now, w)
}

// refreshOwn counts this instance's own usage at its limiter and takes the state from it.
func (n *Node) refreshOwn(now time.Time, w *workspace) {
	w.report.sequence++
	if ack, ok := w.limiter.Report(now, n.self, n.process, w.share.Report(now, w.report.sequence)); ok {
		w.share.Acknowledge(ack)
	}
	state := w.limiter.State(now)
	state.Limiter, state.Version = hashName(n.self), n.nextVersion(now)
	w.share.Observe(now, state)
}

// nextVersion returns a number that increases over processes, too.
func (n *Node) nextVersion(now time.Time) uint64 {
	n.version = max(n.version+1, n.process+uint64(max(0, now.Sub(n.startedAt).Milliseconds())))
	return n.version
}

// resumeAfterStandstill drops all states if the process or the machine stood still. Others may have taken over
// meanwhile.
func (n *Node) resumeAfterStandstill(now time.Time) {
	if now.Sub(n.lastTick) <= standstill {
		return
	}
	n.lastTick = now
	for _, w := range n.ordered {
		w.share.Drop(now)
		if w.limiter != nil {
			n.becomeLimiter(now, w)
		}
	}
}

// Admit decides about a request of a workspace. A workspace without a limit may send all, and so may a request
// that costs nothing.
func (n *Node) Admit(now time.Time, name string, cost int) Verdict {
	w := n.workspaces[name]
	if w == nil || cost <= 0 {
		return Verdict{Admitted: true}
	}
	n.resumeAfterStandstill(now)
	if w.limiter != nil {
		n.refreshOwn(now, w)
	}
	v := w.share.Admit(now, cost, n.random)
	w.counts.add(v.Admitted, cost)
	n.reportIfDue(now, w)
	return v
}

func (c *Counts) add(admitted bool, cost int) {
	if admitted {
		c.Admitted += uint64(cost)
		c.AdmittedRequests++
		return
	}
	c.Refused += uint64(cost)
	c.RefusedRequests++
}

// Charge counts a request that is sent to another server.
func (n *Node) Charge(now time.Time, name string, cost int) {
	if w := n.workspaces[name]; w != nil {
		w.share.Charge(now, cost)
		w.counts.Admitted += uint64(cost)
		n.reportIfDue(now, w)
	}
}

// Return takes back a request that was admitted and not sent.
func (n *Node) Return(now time.Time, name string, cost int) {
	if w := n.workspaces[name]; w != nil {
		w.share.Return(now, cost)
		w.counts.Returned += uint64(cost)
		w.counts.ReturnedRequests++
	}
}

// Tick performs what is due. It must be called several times per spreadPeriod.
func (n *Node) Tick(now time.Time) {
	n.resumeAfterStandstill(now)
	n.lastTick = now
	for _, w := range n.ordered {
		if w.limiter != nil && n.spreadDue(now) {
			n.refreshOwn(now, w)
		}
		n.reportIfDue(now, w)
	}
	if n.spreadDue(now) {
		n.spreadStates(now, spreadPeers)
	}
}

// Take returns the messages to send and forgets them.
func (n *Node) Take() []outgoing {
	out := n.out
	n.out = nil
	return out
}
