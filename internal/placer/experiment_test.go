package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/placement"
	"limpethub/internal/site"
)

// The experiment's site: a storefront press with 21 servers in three failure domains,
// 40 models and 95 adapters; each server runs 10 requests at once at 10 ms a step.
const (
	experimentTick   = 100 * time.Millisecond
	serverSpeed      = 1000.0
	requestTokens    = 100.0
	ownTime          = time.Second
	fleetLoad        = 0.5
	experimentModels = 40
	loadTime         = 4 * time.Second
	// hotModel is the one whose demand changes.
	hotModel = 2
)

// pressDocument describes the experiment's site. Sizes are in MiB.
func pressDocument() *site.Document {
	doc := &site.Document{
		Site:           "press",
		FailureDomains: []string{"a", "b", "c"},
		Classes: []site.Class{
			{Name: "storefront", TimeoutMillis: 2000, Weight: 8},
			{Name: "translation", TimeoutMillis: 5000, Weight: 3},
			{Name: "overnight", TimeoutMillis: 60000, Weight: 1},
		},
		Budgets: site.Budgets{LoadsPerSecond: 2, ConcurrentLoads: 3, LoadMillis: loadTime.Milliseconds()},
	}
	sizes := []int64{10000, 16000, 24000, 14000}
	for i := range experimentModels {
		doc.Models = append(doc.Models, site.Model{
			Name: fmt.Sprintf("m%02d", i), Version: "1", MemoryMB: sizes[i%len(sizes)], Class: doc.Classes[i%2].Name,
		})
	}
	for i := range 95 {
		doc.Adapters = append(doc.Adapters, site.Adapter{
			Name: fmt.Sprintf("a%02d", i), Version: "1", MemoryMB: 300, Class: "overnight",
			Base: doc.Models[i%experimentModels].Ref(),
		})
	}
	for i := range 21 {
		doc.Servers = append(doc.Servers, site.Server{
			Name: fmt.Sprintf("s%02d", i), Kind: site.KindEngine, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			FailureDomain: doc.FailureDomains[i%3], MemoryMB: 42000, HonoursFencing: i%2 == 0,
		})
	}
	return doc
}

// experiment is one run: a world without faults, requests, and servers that work off
// what they take in the order of classes.
type experiment struct {
	w       *world
	units   []site.Unit
	rates   []float64
	random  *rand.Rand
	backlog [][]float64
	elapsed time.Duration
	// asked and met count requests, all and those that finish in time, weighted by
	// their class.
	asked, met float64
	// hotAsked and hotMet count those of the hot model in the present second.
	hotAsked, hotMet float64
	moves            int
}

func newExperiment(policy placement.Policy, seed uint64) *experiment {
	doc := pressDocument()
	broken := breakage{policy: func(placement.Policy) placement.Policy { return policy }}
	x := &experiment{
		w:      newWorld(doc, 1, seed, broken),
		units:  doc.Units(),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	x.w.chaos = false
	x.w.reliable = true
	x.rates = zipfRates(len(x.units), fleetLoad*float64(len(doc.Servers))*serverSpeed/requestTokens)
	x.backlog = make([][]float64, len(doc.Servers))
	for i := range x.backlog {
		x.backlog[i] = make([]float64, len(doc.Classes))
	}
	return x
}

// zipfRates spreads a total rate of requests per second over units, the first the
// most popular.
func zipfRates(n int, total float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		out[i] = 1 / math.Pow(float64(i+1), 0.8)
		sum += out[i]
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}

// step lets one tick pass, with the hot model's rate as many times its usual one.
func (x *experiment) step(factor float64) {
	for u := range x.units {
		rate := x.rates[u]
		if u == hotModel {
			rate *= factor
		}
		for range poisson(x.random, rate*experimentTick.Seconds()) {
			x.request(u)
		}
	}
	for s := range x.backlog {
		left := serverSpeed * experimentTick.Seconds()
		for class := range x.backlog[s] {
			done := min(left, x.backlog[s][class])
			x.backlog[s][class] -= done
			left -= done
		}
	}
	before := x.w.oracle.seen.moves
	x.w.advance(experimentTick)
	x.w.settleAll()
	x.moves += x.w.oracle.seen.moves - before
	x.elapsed += experimentTick
}

// request sends one request to the least busy copy, or refuses it when it can't finish
// in time.
func (x *experiment) request(u int) {
	unit := x.units[u]
	class := x.w.document.Classes[unit.Class]
	x.w.counts[unit.Ref]++
	x.asked += class.Weight
	if u == hotModel {
		x.hotAsked++
	}
	best, wait := -1, 0.0
	for s, e := range x.w.engines {
		if !e.resident(unit.Ref) || (unit.Base != "" && !e.resident(unit.Base)) {
			continue
		}
		if ahead := x.ahead(s, unit.Class); best < 0 || ahead < wait {
			best, wait = s, ahead
		}
	}
	timeout := time.Duration(class.TimeoutMillis) * time.Millisecond
	if best < 0 || time.Duration(wait/serverSpeed*float64(time.Second))+ownTime > timeout {
		return
	}
	x.backlog[best][unit.Class] += requestTokens
	x.met += class.Weight
	if u == hotModel {
		x.hotMet++
	}
}

func (x *experiment) ahead(s, class int) float64 {
	total := 0.0
	for c := range class + 1 {
		total += x.backlog[s][c]
	}
	return total
}

// poisson draws a number of arrivals.
func poisson(random *rand.Rand, mean float64) int {
	limit, product := math.Exp(-mean), random.Float64()
	n := 0
	for ; product > limit; n++ {
		product *= random.Float64()
	}
	return n
}

// run lets time pass.
func (x *experiment) run(d time.Duration, factor func(at time.Duration) float64) {
	for end := x.elapsed + d; x.elapsed < end; {
		x.step(factor(x.elapsed))
	}
}

func usual(time.Duration) float64 { return 1 }

// reset starts the counts anew.
func (x *experiment) reset() { x.asked, x.met, x.moves = 0, 0, 0 }

func (x *experiment) attainment() float64 { return x.met / x.asked }

// The scenarios. Each starts after warmUp.
const (
	warmUp       = 10 * time.Minute
	steadyTime   = 10 * time.Minute
	shiftTime    = 5 * time.Minute
	flapTime     = 10 * time.Minute
	flapPeriod   = 2 * time.Minute
	shiftFactor  = 10
	goodEnough   = 0.95
	recoverySpan = 5 * time.Second
	// recoverySlack is what a recovery may take beyond the weight store's bound.
	recoverySlack = 5 * time.Second
)

// outcome is what one policy gave in one scenario.
type outcome struct {
	movesPerHour, attainment float64
	// recovery is the time from a shift until the hot model's attainment stays good
	// over recoverySpan; negative means never.
	recovery time.Duration
	copies   int
	// target is the time that the weight store needs for the hot model's new copies,
	// plus recoverySlack.
	target time.Duration
}

func (x *experiment) outcome(d time.Duration) outcome {
	return outcome{
		movesPerHour: float64(x.moves) / d.Hours(),
		attainment:   x.attainment(),
		copies:       copies(x.w.engines, x.units[hotModel].Ref),
	}
}

func steadyDemand(x *experiment) outcome {
	x.run(warmUp, usual)
	x.reset()
	x.run(steadyTime, usual)
	return x.outcome(steadyTime)
}

func tenfoldShift(x *experiment) outcome {
	x.run(warmUp, usual)
	x.reset()
	before := copies(x.w.engines, x.units[hotModel].Ref)
	recovery := time.Duration(-1)
	var asked, met []float64
	begin := x.elapsed
	for x.elapsed-begin < shiftTime {
		x.hotAsked, x.hotMet = 0, 0
		x.run(time.Second, func(time.Duration) float64 { return shiftFactor })
		asked, met = append(asked, x.hotAsked), append(met, x.hotMet)
		if recovery < 0 && goodOver(asked, met) {
			recovery = x.elapsed - begin - recoverySpan
		}
	}
	o := x.outcome(shiftTime)
	o.recovery = recovery
	if added := o.copies - before; added > 0 {
		o.target = storeBound(added, x.w.document.Budgets) + recoverySlack
	}
	return o
}

// goodOver reports whether the last recoverySpan was good enough.
func goodOver(asked, met []float64) bool {
	span := int(recoverySpan / time.Second)
	if len(asked) < span {
		return false
	}
	a, m := 0.0, 0.0
	for i := len(asked) - span; i < len(asked); i++ {
		a, m = a+asked[i], m+met[i]
	}
	return m >= goodEnough*a
}

func flappingDemand(x *experiment) outcome {
	x.run(warmUp, usual)
	x.reset()
	x.run(flapTime, func(at time.Duration) float64 {
		if (at/flapPeriod)%2 == 0 {
			return shiftFactor
		}
		return 1
	})
	return x.outcome(flapTime)
}

// storeBound is the least time in which the weight store can give so many copies.
func storeBound(loads int, budgets site.Budgets) time.Duration {
	rounds := (loads + budgets.ConcurrentLoads - 1) / budgets.ConcurrentLoads
	byRate := time.Duration(float64(loads-1)/budgets.LoadsPerSecond*float64(time.Second)) + loadTime
	return max(time.Duration(rounds)*loadTime, byRate)
}

// freeLRU lifts the ledger's guard over last copies, as the baseline has none.
type freeLRU struct{ placement.LRU }

func (p *freeLRU) Plan(in placement.Input) placement.Plan {
	plan := p.LRU.Plan(in)
	for i := range plan.Moves {
		plan.Moves[i].Wanted = plan.Moves[i].Action != engine.ActionUnload
	}
	return plan
}

func policies() []struct {
	name string
	make func() placement.Policy
} {
	return []struct {
		name string
		make func() placement.Policy
	}{
		{"value", func() placement.Policy { return placement.NewValue() }},
		{"static", func() placement.Policy { return &placement.Static{} }},
		{"lru", func() placement.Policy { return &freeLRU{} }},
	}
}

func scenarios() []struct {
	name string
	run  func(*experiment) outcome
} {
	return []struct {
		name string
		run  func(*experiment) outcome
	}{
		{"steady", steadyDemand},
		{"shift", tenfoldShift},
		{"flapping", flappingDemand},
	}
}

// BenchmarkMoves gives moves an hour, weighted attainment and the recovery of the hot
// model for each policy and scenario, in virtual time.
func BenchmarkMoves(b *testing.B) {
	for _, s := range scenarios() {
		for _, p := range policies() {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				var total outcome
				for i := range b.N {
					o := s.run(newExperiment(p.make(), uint64(i+1)))
					total.movesPerHour += o.movesPerHour
					total.attainment += o.attainment
					total.recovery += o.recovery
					total.copies += o.copies
					total.target += o.target
					if s.name == "shift" {
						b.Logf("seed %d: recovery %v, target %v, %d copies", i+1, o.recovery, o.target, o.copies)
					}
				}
				n := float64(b.N)
				b.ReportMetric(total.movesPerHour/n, "moves/h")
				b.ReportMetric(total.attainment/n, "attainment")
				b.ReportMetric(total.recovery.Seconds()/n, "recovery-s")
				b.ReportMetric(total.target.Seconds()/n, "target-s")
				b.ReportMetric(float64(total.copies)/n, "hot-copies")
			})
		}
	}
}
