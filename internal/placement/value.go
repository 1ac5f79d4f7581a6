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

// Shares of a server's speed that weigh moves against each other.
const (
	// targetUse is the use above which requests begin to miss their deadlines.
	targetUse = 0.75
	// leastGain is what a copy for demand must let finish in time, at the least.
	leastGain = 0.1
	// leastSafety is what a copy in a second failure domain is worth without demand,
	// and safetyShare the part of the unit's demand that adds to it.
	leastSafety = 0.002
	safetyShare = 0.1
	// relocationGain is the same for a copy that others have to move for.
	relocationGain = 0.2
	// hysteresis is by how much a gain must exceed the loss of the copies that make
	// room for it.
	hysteresis = 2
	// coldness is the part of a copy's work that counts as lost although others can
	// take it, so that of two spare copies the colder one goes.
	coldness = 0.01
	// mostGoals bounds the copies for demand that are made room for at once.
	mostGoals = 4
	// settleTime is how long a new copy isn't ordered out for another's demand.
	settleTime = 3 * time.Minute
	// goalLimit is how long a goal is pursued.
	goalLimit = time.Minute
	// mostTargets is how many servers are looked at for one copy.
	mostTargets = 8
)

// Value is the default policy: a floor of copies for every unit, then copies by the
// value of the work that they let finish in time.
type Value struct{}

var _ Policy = (*Value)(nil)

// NewValue makes the policy.
func NewValue() *Value { return &Value{} }

// Plan implements Policy. Copies for demand come before second copies, which are
// worth less than work that misses now, never displace others, and leave the weight
// store to goals.
func (p *Value) Plan(in Input) Plan {
	b := newBoard(in)
	b.retire()
	b.spread()
	b.urgent = true
	b.firstCopies()
	b.urgent = false
	b.forgetGroups()
	if !in.FloorOnly {
		b.demandCopies()
	}
	if len(b.plan.Goals) == 0 {
		b.secondCopies()
	}
	return b.plan
}

// target is one way to give a unit another copy.
type target struct {
	unit, server int
	// withBase is true when an adapter's base has to come too.
	withBase bool
	victims  []int
	// relocation comes first when relocates is true.
	relocation relocation
	relocates  bool
	gain       float64
	net        float64
}

// demandCopies adds the copies that gain the most, while they gain enough.
func (b *board) demandCopies() {
	b.pursueGoals()
	for len(b.plan.Goals) < mostGoals {
		if b.loads <= 0 {
			return
		}
		best, ok := b.bestTarget(b.targetOn)
		if !ok && len(b.plan.Goals) == 0 {
			best, ok = b.bestTarget(b.relocatedOn)
		}
		if !ok {
			return
		}
		b.take(best, b.in.Now)
		b.spread()
	}
}

// pursueGoals goes on with the copies that the last plan made room for, while their
// units still have too much work.
func (b *board) pursueGoals() {
	for _, g := range b.in.Goals {
		u, s := b.goal(g)
		if u < 0 || s < 0 || b.in.Now.Sub(g.Began) > goalLimit {
			continue
		}
		t, ok := b.targetOn(u, s)
		if !ok {
			t.relocation, t.relocates = b.relocationFor(u, s)
		}
		b.rate(&t)
		if (ok || t.relocates) && t.gain > 0 {
			b.take(t, g.Began)
			b.spread()
		}
	}
}

// goal finds a goal's unit and server on the board; -1 when one is gone.
func (b *board) goal(g Goal) (u, s int) {
	u, known := b.index[g.Ref]
	if !known {
		return -1, -1
	}
	return u, slices.IndexFunc(b.servers, func(s serverState) bool { return s.Name == g.Server })
}

func (b *board) take(t target, began time.Time) {
	before := len(b.plan.Moves)
	defer func() { b.noteGoal(t, began, b.plan.Moves[before:]) }()
	ref := b.units[t.unit].Ref
	if t.relocates {
		b.relocate(t.relocation, t.unit, t.gain)
	}
	for _, v := range t.victims {
		b.unload(v, t.server, t.net, fmt.Sprintf("makes room for %s, whose demand gains more", ref))
	}
	reason := fmt.Sprintf("demand of %.0f tokens/s on %d copies; one more lets %.0f weighted tokens/s finish in time",
		b.units[t.unit].tokens, len(b.copies[t.unit]), t.gain)
	if t.withBase {
		b.load(b.units[t.unit].base, t.server, t.gain, fmt.Sprintf("base for %s: %s", ref, reason))
	}
	b.load(t.unit, t.server, t.gain, reason)
}

// noteGoal keeps a target that isn't being loaded yet.
func (b *board) noteGoal(t target, began time.Time, moves []Move) {
	ref := b.units[t.unit].Ref
	for _, m := range moves {
		if m.Action == engine.ActionLoad && m.Ref == ref {
			return
		}
	}
	b.plan.Goals = append(b.plan.Goals, Goal{Ref: ref, Server: b.servers[t.server].Name, Began: began})
}

// placing finds how a unit can get a copy on a server.
type placing func(u, s int) (target, bool)

func (b *board) bestTarget(place placing) (best target, ok bool) {
	for u := range b.units {
		for _, t := range b.targets(u, place) {
			if !ok || t.net > best.net {
				best, ok = t, true
			}
		}
	}
	return best, ok
}

// targets lists the worthwhile ways to give a unit another copy.
func (b *board) targets(u int, place placing) []target {
	excess, missWeight := b.relief(u)
	if excess <= 0 {
		return nil
	}
	var out []target
	looked := 0
	for _, s := range b.byRoomFor(b.units[u].weight) {
		least := leastGain * b.servers[s].TokensPerSecond
		work := min(excess, b.roomForWeight(s, b.units[u].weight))
		if looked == mostTargets || work < least {
			break
		}
		t, ok := place(u, s)
		if !ok {
			continue
		}
		looked++
		loss := b.rate(&t)
		if t.gain >= least*missWeight && t.gain >= hysteresis*loss {
			out = append(out, t)
		}
	}
	return out
}

// rate works out what a target gains, and returns what it loses.
func (b *board) rate(t *target) (loss float64) {
	excess, missWeight := b.relief(t.unit)
	work := min(excess, b.roomForWeight(t.server, b.units[t.unit].weight))
	if work > 0 {
		t.gain = work*missWeight - b.displaced(t.server, work)
	}
	loss = b.lossOf(t.victims, t.server) + t.relocation.loss
	t.net = t.gain - loss
	return loss
}

// safety is what a copy in a second failure domain is worth.
func (b *board) safety(u, s int) float64 {
	return b.units[u].weight * (leastSafety*b.servers[s].TokensPerSecond + safetyShare*b.units[u].tokens)
}

func (b *board) targetOn(u, s int) (target, bool) {
	t := target{unit: u, server: s}
	if b.fits(u, s) {
		return t, true
	}
	if b.allows(u, s) {
		victims, _, ok := b.eviction(u, s)
		t.victims = victims
		return t, ok
	}
	base := b.units[u].base
	if base < 0 || b.servers[s].states[u] != "" {
		return t, false
	}
	t.withBase = true
	need := b.units[u].MemoryMB + b.units[base].MemoryMB
	return t, b.fits(base, s) && b.servers[s].free+b.servers[s].soon >= need
}

// relocatedOn is targetOn after a relocation.
func (b *board) relocatedOn(u, s int) (target, bool) {
	r, ok := b.relocationFor(u, s)
	t := target{unit: u, server: s, relocation: r, relocates: true}
	return t, ok && b.roomForWeight(s, b.units[u].weight) >= relocationGain*b.servers[s].TokensPerSecond
}

// loss is the value that goes with a copy: the work that the other copies can't take
// over, and the safety of a second failure domain.
func (b *board) loss(u, s int) float64 {
	work := b.workOn(u, s)
	spare := 0.0
	for _, other := range b.copies[u] {
		if other != s {
			spare += max(b.spare(other), 0)
		}
	}
	lost := max(work-spare, 0) + coldness*work
	value := b.units[u].weight * lost
	if b.domains(u, s) < 2 && b.domains(u, -1) >= 2 {
		value += b.safety(u, s)
	}
	return value
}
