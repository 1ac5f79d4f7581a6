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

// Limits and weights of the policy. Shares are of a server's throughput unless said
// otherwise.
const (
	// targetUtilization is the utilization above which requests begin to miss deadlines.
	targetUtilization = 0.75
	// minGainShare is the least demand that an additional copy must let finish in time.
	minGainShare = 0.1
	// minRedundancyShare is the value of a copy in a second failure domain for a unit
	// without demand; redundancyDemandShare is the share of the unit's demand that is
	// added to it.
	minRedundancyShare    = 0.002
	redundancyDemandShare = 0.1
	// minRelocationCapacityShare is the least capacity for the unit's demand that a
	// server must have before other copies are relocated to make room on it.
	minRelocationCapacityShare = 0.2
	// hysteresisFactor is the least ratio of a copy's gain to the loss of the copies that
	// are evicted or relocated for it, so that copies don't displace each other back and
	// forth.
	hysteresisFactor = 2
	// servedElsewhereLossShare is the share of a copy's demand that counts as lost
	// although other copies can take it over, so that of two redundant copies the one
	// with less demand is evicted.
	servedElsewhereLossShare = 0.01
	// maxGoals limits how many copies for demand may wait for room at the same time.
	maxGoals = 4
	// minCopyAge is the age below which a copy isn't evicted for another unit's demand.
	minCopyAge = 3 * time.Minute
	// goalTimeout is the age at which a goal is dropped.
	goalTimeout = time.Minute
	// maxCandidateServers is how many servers are evaluated for one unit's next copy.
	maxCandidateServers = 8
)

// Value is the default policy. It maintains a minimum number of copies of every unit,
// then adds copies by the value of the demand that they let finish in time.
type Value struct{}

var _ Policy = (*Value)(nil)

// NewValue makes the policy.
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

// placeDemandCopies adds the copies with the highest net gain until none gains enough.
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
		t, ok := b.candidateOn(u, s)
		if !ok {
			t.relocation, t.needsRelocation = b.relocationFor(u, s)
		}
		b.evaluate(&t)
		if (ok || t.needsRelocation) && t.gain > 0 {
			b.applyCandidate(t, g.BegunAt)
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

func (b *planBuilder) applyCandidate(t candidate, begunAt time.Time) {
	movesBefore := len(b.plan.Moves)
	defer func() { b.addGoalUnlessLoading(t, begunAt, b.plan.Moves[movesBefore:]) }()
	ref := b.units[t.unit].Ref
	if t.needsRelocation {
		b.orderRelocation(t.relocation, t.unit, t.gain)
	}
	for _, v := range t.victims {
		b.orderUnload(v, t.server, t.netGain, fmt.Sprintf("makes room for %s, which gains more than this copy loses", ref))
	}
	reason := fmt.Sprintf("demand of %.0f tokens/s on %d copies; one more lets %.0f weighted tokens/s finish in time",
		b.units[t.unit].tokensPerSecond, len(b.copies[t.unit]), t.gain)
	if t.loadsBase {
		b.orderLoad(b.units[t.unit].baseIndex, t.server, t.gain, fmt.Sprintf("base for %s: %s", ref, reason))
	}
	b.orderLoad(t.unit, t.server, t.gain, reason)
}

// addGoalUnlessLoading adds a goal for a candidate whose load isn't among the moves yet.
func (b *planBuilder) addGoalUnlessLoading(t candidate, begunAt time.Time, moves []Move) {
	ref := b.units[t.unit].Ref
	for _, m := range moves {
		if m.Action == engine.ActionLoad && m.Ref == ref {
			return
		}
	}
	b.plan.Goals = append(b.plan.Goals, Goal{Ref: ref, Server: b.servers[t.server].Name, BegunAt: begunAt})
}

// candidateFinder returns the way to give a unit a copy on a server, if there is one.
type candidateFinder func(u, s int) (candidate, bool)

func (b *planBuilder) bestCandidate(find candidateFinder) (best candidate, ok bool) {
	for u := range b.units {
		for _, t := range b.worthwhileCandidates(u, find) {
			if !ok || t.netGain > best.netGain {
				best, ok = t, true
			}
		}
	}
	return best, ok
}

// worthwhileCandidates lists the ways to give a unit another copy whose gain is above the
// minimum and sufficiently above the loss.
func (b *planBuilder) worthwhileCandidates(u int, find candidateFinder) []candidate {
	excess, missWeight := b.relievableDemand(u)
	if excess <= 0 {
		return nil
	}
	var out []candidate
	examined := 0
	for _, s := range b.serversByCapacityFor(b.units[u].tokenWeight) {
		minGain := minGainShare * b.servers[s].TokensPerSecond
		relieved := min(excess, b.capacityForWeight(s, b.units[u].tokenWeight))
		if examined == maxCandidateServers || relieved < minGain {
			break
		}
		t, ok := find(u, s)
		if !ok {
			continue
		}
		examined++
		loss := b.evaluate(&t)
		if t.gain >= minGain*missWeight && t.gain >= hysteresisFactor*loss {
			out = append(out, t)
		}
	}
	return out
}

// evaluate sets a candidate's gain and net gain, and returns its loss.
func (b *planBuilder) evaluate(t *candidate) (loss float64) {
	excess, missWeight := b.relievableDemand(t.unit)
	relieved := min(excess, b.capacityForWeight(t.server, b.units[t.unit].tokenWeight))
	if relieved > 0 {
		t.gain = relieved*missWeight - b.displacedValue(t.server, relieved)
	}
	loss = b.groupLoss(t.victims, t.server) + t.relocation.loss
	t.netGain = t.gain - loss
	return loss
}

// redundancyValue is the value of a unit's copy in a second failure domain.
func (b *planBuilder) redundancyValue(u, s int) float64 {
	return b.units[u].tokenWeight * (minRedundancyShare*b.servers[s].TokensPerSecond + redundancyDemandShare*b.units[u].tokensPerSecond)
}

// candidateOn returns the way to give a unit a copy on a server without a relocation: into
// available memory, by evictions, or together with the base of an adapter.
func (b *planBuilder) candidateOn(u, s int) (candidate, bool) {
	t := candidate{unit: u, server: s}
	if b.fits(u, s) {
		return t, true
	}
	if b.mayHost(u, s) {
		victims, _, ok := b.evictionOn(u, s)
		t.victims = victims
		return t, ok
	}
	base := b.units[u].baseIndex
	if base < 0 || b.servers[s].states[u] != "" {
		return t, false
	}
	t.loadsBase = true
	neededMB := b.units[u].MemoryMB + b.units[base].MemoryMB
	return t, b.fits(base, s) && b.servers[s].freeMB+b.servers[s].unloadingMB >= neededMB
}

// candidateWithRelocation is like candidateOn, for a server that has room for the unit
// only after a relocation.
func (b *planBuilder) candidateWithRelocation(u, s int) (candidate, bool) {
	r, ok := b.relocationFor(u, s)
	t := candidate{unit: u, server: s, relocation: r, needsRelocation: true}
	return t, ok && b.capacityForWeight(s, b.units[u].tokenWeight) >= minRelocationCapacityShare*b.servers[s].TokensPerSecond
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
