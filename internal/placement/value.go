package placement

import (
	"fmt"
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/kernel"
)

func init() {
	kernel.Register(kernel.Module{Name: "placement.value", New: func() any { return NewValue() }})
}

// Limits and weights of the policy.
const (
	// targetUtilization is the share of a server's throughput above which requests begin
	// to miss deadlines.
	targetUtilization = 0.75
	// minRelievedShare is the least demand that an additional copy must take off overloaded
	// servers, as a share of its server's throughput. It is a demand in tokens per second, not
	// a weighted gain.
	minRelievedShare = 0.1
	// minRedundancyShare is the value of a copy in a second failure domain for a unit
	// without demand, as a share of the server's throughput; redundancyDemandShare is the
	// share of the unit's demand that is added to it.
	minRedundancyShare    = 0.002
	redundancyDemandShare = 0.1
	// minRelocationCapacityShare is the least capacity for the unit's demand that a server
	// must have before other copies are relocated to make room on it, as a share of its
	// throughput.
	minRelocationCapacityShare = 0.2
	// hysteresisFactor is the least ratio of a copy's gain to the loss of the copies that
	// are evicted or relocated for it, so that copies don't displace each other back and
	// forth.
	hysteresisFactor = 2
	// servedElsewhereLossShare is the share of a copy's demand that always counts as lost
	// with the copy, even if other copies can take over all of it, so that of two redundant
	// copies the one with less demand is evicted.
	servedElsewhereLossShare = 0.01
	// maxGoals limits how many copies for demand may be goals at the same time.
	maxGoals = 4
	// minCopyAge is the age below which a copy isn't evicted for another unit's demand.
	minCopyAge = 3 * time.Minute
	// goalTimeout is the age at which a goal is dropped.
	goalTimeout = time.Minute
	// maxCandidateServers is how many servers are evaluated for one unit's next copy.
	maxCandidateServers = 8
)

// Value is the default policy. It places first copies, then copies for demand, and last
// second copies in another failure domain. Copies for demand are ranked by the value of the
// demand that finishes in time because of them.
type Value struct{}

var _ Policy = (*Value)(nil)

func NewValue() *Value { return &Value{} }

// Plan implements Policy. Copies for demand come before second copies: a second copy is
// worth less than demand that misses its deadlines now. Second copies never evict other
// copies, and none is loaded while a goal is open, so that the goal's load isn't delayed
// by the limits on loads.
func (p *Value) Plan(in Input) Plan {
	b := newPlanBuilder(in)
	b.unloadUnneeded()
	b.spreadDemand()
	b.placingFirstCopies = true
	b.placeFirstCopies()
	b.placingFirstCopies = false
	b.invalidateEvictionGroups()
	if !in.IgnoreDemand {
		b.placeDemandCopies()
	}
	if len(b.plan.Goals) == 0 {
		b.placeSecondCopies()
	}
	return b.plan
}

// candidate is one way to give a unit another copy.
type candidate struct {
	unit, server int
	// loadsBase is true when an adapter's base has to be loaded too.
	loadsBase bool
	victims   []int
	// relocation must be done first if needsRelocation is true.
	relocation      relocation
	needsRelocation bool
	// gain is the value of the demand that the copy lets finish in time, netGain the gain
	// less the value lost with victims and relocation, both in weighted tokens per second.
	gain    float64
	netGain float64
}

// placeDemandCopies adds the copies with the highest net gain until none gains enough, the
// load budget is used up or maxGoals is reached. It considers relocations only while no
// goal is open, because their loads use the same budget as the load of the goal.
func (b *planBuilder) placeDemandCopies() {
	b.continueGoals()
	for len(b.plan.Goals) < maxGoals {
		if b.loadBudget <= 0 {
			return
		}
		best, ok := b.bestCandidate(b.candidateOn)
		if !ok && len(b.plan.Goals) == 0 {
			best, ok = b.bestCandidate(b.candidateWithRelocation)
		}
		if !ok {
			return
		}
		b.applyCandidate(best, b.input.Now)
		b.spreadDemand()
	}
}

// continueGoals continues with the copies that the previous plan made room for, while
// their units still have demand that misses its deadlines.
func (b *planBuilder) continueGoals() {
	for _, g := range b.input.Goals {
		u, s := b.goalIndexes(g)
		if u < 0 || s < 0 || b.input.Now.Sub(g.BegunAt) > goalTimeout {
			continue
		}
		c, ok := b.candidateOn(u, s)
		if !ok {
			c.relocation, c.needsRelocation = b.relocationFor(u, s)
		}
		b.evaluate(&c)
		if (ok || c.needsRelocation) && c.gain > 0 {
			b.applyCandidate(c, g.BegunAt)
			b.spreadDemand()
		}
	}
}

// goalIndexes returns the indexes of a goal's unit and server; an index is -1 if the
// unit or server no longer exists.
func (b *planBuilder) goalIndexes(g Goal) (u, s int) {
	u, known := b.unitIndex[g.Ref]
	if !known {
		return -1, -1
	}
	return u, slices.IndexFunc(b.servers, func(s serverState) bool { return s.Name == g.Server })
}

func (b *planBuilder) applyCandidate(c candidate, begunAt time.Time) {
	movesBefore := len(b.plan.Moves)
	defer func() { b.addGoalUnlessLoading(c, begunAt, b.plan.Moves[movesBefore:]) }()
	ref := b.units[c.unit].Ref
	if c.needsRelocation {
		b.planRelocation(c.relocation, c.unit, c.gain)
	}
	for _, v := range c.victims {
		b.planUnload(v, c.server, c.netGain, fmt.Sprintf("makes room for %s, whose copy is worth more than this one", ref))
	}
	reason := fmt.Sprintf("demand of %.0f tokens/s on %d copies; one more lets %.0f weighted tokens/s finish in time",
		b.units[c.unit].tokensPerSecond, len(b.copies[c.unit]), c.gain)
	if c.loadsBase {
		b.planLoad(b.units[c.unit].baseIndex, c.server, c.gain, fmt.Sprintf("base for %s: %s", ref, reason))
	}
	b.planLoad(c.unit, c.server, c.gain, reason)
}

// addGoalUnlessLoading adds a goal for a candidate whose load isn't among the moves yet.
func (b *planBuilder) addGoalUnlessLoading(c candidate, begunAt time.Time, moves []Move) {
	ref := b.units[c.unit].Ref
	for _, m := range moves {
		if m.Action == engine.ActionLoad && m.Ref == ref {
			return
		}
	}
	b.plan.Goals = append(b.plan.Goals, Goal{Ref: ref, Server: b.servers[c.server].Name, BegunAt: begunAt})
}

// candidateFinder returns the way to give a unit a copy on a server, if there is one.
type candidateFinder func(u, s int) (candidate, bool)

func (b *planBuilder) bestCandidate(find candidateFinder) (best candidate, ok bool) {
	for u := range b.units {
		for _, c := range b.worthwhileCandidates(u, find) {
			if !ok || c.netGain > best.netGain {
				best, ok = c, true
			}
		}
	}
	return best, ok
}

// worthwhileCandidates lists the ways to give a unit another copy whose gain is above the
// minimum and sufficiently above the loss.
func (b *planBuilder) worthwhileCandidates(u int, find candidateFinder) []candidate {
	relievable, meanWeight := b.relievableDemand(u)
	if relievable <= 0 {
		return nil
	}
	var out []candidate
	examined := 0
	for _, s := range b.serversByCapacityFor(b.units[u].tokenWeight) {
		minRelieved := minRelievedShare * b.servers[s].TokensPerSecond
		relieved := min(relievable, b.capacityForWeight(s, b.units[u].tokenWeight))
		if examined == maxCandidateServers || relieved < minRelieved {
			break
		}
		c, ok := find(u, s)
		if !ok {
			continue
		}
		examined++
		loss := b.evaluate(&c)
		if c.gain >= minRelieved*meanWeight && c.gain >= hysteresisFactor*loss {
			out = append(out, c)
		}
	}
	return out
}

// evaluate sets a candidate's gain and net gain, and returns its loss.
func (b *planBuilder) evaluate(c *candidate) (loss float64) {
	relievable, meanWeight := b.relievableDemand(c.unit)
	relieved := min(relievable, b.capacityForWeight(c.server, b.units[c.unit].tokenWeight))
	if relieved > 0 {
		c.gain = relieved*meanWeight - b.displacedValue(c.server, relieved)
	}
	loss = b.groupLoss(c.victims, c.server) + c.relocation.loss
	c.netGain = c.gain - loss
	return loss
}

// redundancyValue is the value of a unit's copy in a second failure domain.
func (b *planBuilder) redundancyValue(u, s int) float64 {
	return b.units[u].tokenWeight * (minRedundancyShare*b.servers[s].TokensPerSecond + redundancyDemandShare*b.units[u].tokensPerSecond)
}

// candidateOn returns the way to give a unit a copy on a server without a relocation: into
// available memory, by evictions, or together with the base of an adapter.
func (b *planBuilder) candidateOn(u, s int) (candidate, bool) {
	c := candidate{unit: u, server: s}
	if b.fits(u, s) {
		return c, true
	}
	if b.mayHost(u, s) {
		victims, _, ok := b.evictionOn(u, s)
		c.victims = victims
		return c, ok
	}
	base := b.units[u].baseIndex
	if base < 0 || b.servers[s].states[u] != "" {
		return c, false
	}
	c.loadsBase = true
	neededMB := b.units[u].MemoryMB + b.units[base].MemoryMB
	return c, b.fits(base, s) && b.servers[s].freeMB+b.servers[s].unloadingMB >= neededMB
}

// candidateWithRelocation is like candidateOn, for a server that has room for the unit
// only after a relocation.
func (b *planBuilder) candidateWithRelocation(u, s int) (candidate, bool) {
	r, ok := b.relocationFor(u, s)
	c := candidate{unit: u, server: s, relocation: r, needsRelocation: true}
	return c, ok && b.capacityForWeight(s, b.units[u].tokenWeight) >= minRelocationCapacityShare*b.servers[s].TokensPerSecond
}

// copyLoss is the value lost with a copy: the demand that other copies can't take over,
// and the redundancy of a second failure domain.
func (b *planBuilder) copyLoss(u, s int) float64 {
	demand := b.demandOn(u, s)
	spareElsewhere := 0.0
	for _, other := range b.copies[u] {
		if other != s {
			spareElsewhere += max(b.spareCapacity(other), 0)
		}
	}
	lost := max(demand-spareElsewhere, 0) + servedElsewhereLossShare*demand
	value := b.units[u].tokenWeight * lost
	if b.countDomains(u, s) < 2 && b.countDomains(u, -1) >= 2 {
		value += b.redundancyValue(u, s)
	}
	return value
}
