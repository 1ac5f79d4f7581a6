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

// The experiment simulates a site with 21 servers in three failure domains, 40 models
// and 95 adapters. Each server runs 10 requests at once with steps of 10 ms, which makes
// serverTokensPerSecond.
const (
	experimentTick        = 100 * time.Millisecond
	serverTokensPerSecond = 1000.0
	requestTokens         = 100.0
	// requestTime is the processing time of one request without its wait in the queue.
	requestTime = time.Second
	// offeredUtilization is the rate of requests as a share of what all servers can process.
	offeredUtilization = 0.5
	experimentModels   = 40
	loadDuration       = 4 * time.Second
	// hotModel is the index of the model whose demand changes.
	hotModel = 2
)

// experimentDocument returns the configuration of the experiment's site. Sizes are in MiB.
func experimentDocument() *site.Document {
	doc := &site.Document{
		Site:           "press",
		FailureDomains: []string{"a", "b", "c"},
		Classes: []site.Class{
			{Name: "storefront", TimeoutMillis: 2000, Weight: 8},
			{Name: "translation", TimeoutMillis: 5000, Weight: 3},
			{Name: "overnight", TimeoutMillis: 60000, Weight: 1},
		},
		Budgets: site.Budgets{LoadsPerSecond: 2, ConcurrentLoads: 3, LoadMillis: loadDuration.Milliseconds()},
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

// experiment is one run: a simulation without faults, in which requests arrive and
// servers process their backlog in the order of classes.
type experiment struct {
	world        *world
	units        []site.Unit
	requestRates []float64
	random       *rand.Rand
	// backlog holds the tokens still to process, by server and class.
	backlog [][]float64
	elapsed time.Duration
	// offeredWeight and metWeight count the requests that arrived and those that finish
	// before their deadline, weighted by their class.
	offeredWeight, metWeight float64
	// hotOffered and hotMet count the hot model's requests of the current second and those
	// of them that finish before their deadline, not weighted.
	hotOffered, hotMet float64
	moves              int
}

func newExperiment(policy placement.Policy, seed uint64) *experiment {
	doc := experimentDocument()
	mutation := mutation{wrapPolicy: func(placement.Policy) placement.Policy { return policy }}
	x := &experiment{
		world:  newWorld(doc, 1, seed, mutation),
		units:  doc.Units(),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	x.world.chaos = false
	x.world.delaysOff = true
	x.requestRates = zipfRates(len(x.units), offeredUtilization*float64(len(doc.Servers))*serverTokensPerSecond/requestTokens)
	x.backlog = make([][]float64, len(doc.Servers))
	for i := range x.backlog {
		x.backlog[i] = make([]float64, len(doc.Classes))
	}
	return x
}

// zipfRates distributes a total rate of requests per second over n units by Zipf's law
// with exponent 0.8, the most popular unit first.
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

// step simulates one tick, with the hot model's request rate multiplied by factor.
func (x *experiment) step(factor float64) {
	for u := range x.units {
		rate := x.requestRates[u]
		if u == hotModel {
			rate *= factor
		}
		for range poisson(x.random, rate*experimentTick.Seconds()) {
			x.request(u)
		}
	}
	for s := range x.backlog {
		capacity := serverTokensPerSecond * experimentTick.Seconds()
		for class := range x.backlog[s] {
			done := min(capacity, x.backlog[s][class])
			x.backlog[s][class] -= done
			capacity -= done
		}
	}
	before := x.world.oracle.counts.moves
	x.world.advance(experimentTick)
	x.world.completeAll()
	x.moves += x.world.oracle.counts.moves - before
	x.elapsed += experimentTick
}

// request sends one request to the copy with the shortest queue, or refuses it if it
// can't finish before its deadline.
func (x *experiment) request(u int) {
	unit := x.units[u]
	class := x.world.document.Classes[unit.Class]
	x.world.requestCounts[unit.Ref]++
	x.offeredWeight += class.Weight
	if u == hotModel {
		x.hotOffered++
	}
	best, bestQueued := -1, 0.0
	for s, e := range x.world.engines {
		if !e.resident(unit.Ref) || (unit.Base != "" && !e.resident(unit.Base)) {
			continue
		}
		if queued := x.queuedTokens(s, unit.Class); best < 0 || queued < bestQueued {
			best, bestQueued = s, queued
		}
	}
	timeout := time.Duration(class.TimeoutMillis) * time.Millisecond
	if best < 0 || time.Duration(bestQueued/serverTokensPerSecond*float64(time.Second))+requestTime > timeout {
		return
	}
	x.backlog[best][unit.Class] += requestTokens
	x.metWeight += class.Weight
	if u == hotModel {
		x.hotMet++
	}
}

// queuedTokens returns the tokens on a server that are processed before those of a new
// request of a class.
func (x *experiment) queuedTokens(s, class int) float64 {
	total := 0.0
	for c := range class + 1 {
		total += x.backlog[s][c]
	}
	return total
}

// poisson draws the number of arrivals in an interval with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	limit, product := math.Exp(-mean), random.Float64()
	n := 0
	for ; product > limit; n++ {
		product *= random.Float64()
	}
	return n
}

// run simulates a duration; factor returns the hot model's multiplier at a time.
func (x *experiment) run(d time.Duration, factor func(at time.Duration) float64) {
	for end := x.elapsed + d; x.elapsed < end; {
		x.step(factor(x.elapsed))
	}
}

func baselineDemand(time.Duration) float64 { return 1 }

// reset starts a new measurement, for example after the warm-up.
func (x *experiment) reset() { x.offeredWeight, x.metWeight, x.moves = 0, 0, 0 }

// attainment returns the weighted share of requests that finish before their deadline.
func (x *experiment) attainment() float64 { return x.metWeight / x.offeredWeight }

// Parameters of the scenarios. Each starts after warmUp.
const (
	warmUp         = 10 * time.Minute
	steadyDuration = 10 * time.Minute
	shiftDuration  = 5 * time.Minute
	flapDuration   = 10 * time.Minute
	flapPeriod     = 2 * time.Minute
	shiftFactor    = 10
	minAttainment  = 0.95
	recoveryWindow = 5 * time.Second
	// recoverySlack is added to the minimum load time to get the recovery target.
	recoverySlack = 5 * time.Second
)

// outcome is the result of one policy in one scenario.
type outcome struct {
	movesPerHour, attainment float64
	// recovery is the time from a demand shift until the hot model's attainment is at
	// least minAttainment over recoveryWindow; negative means never.
	recovery time.Duration
	// hotCopies is the number of the hot model's resident copies at the end.
	hotCopies int
	// recoveryTarget is the minimum time in which the hot model's new copies can be
	// loaded, plus recoverySlack.
	recoveryTarget time.Duration
}

func (x *experiment) outcome(d time.Duration) outcome {
	return outcome{
		movesPerHour: float64(x.moves) / d.Hours(),
		attainment:   x.attainment(),
		hotCopies:    countResident(x.world.engines, x.units[hotModel].Ref),
	}
}

func steadyDemand(x *experiment) outcome {
	x.run(warmUp, baselineDemand)
	x.reset()
	x.run(steadyDuration, baselineDemand)
	return x.outcome(steadyDuration)
}

func tenfoldShift(x *experiment) outcome {
	x.run(warmUp, baselineDemand)
	x.reset()
	before := countResident(x.world.engines, x.units[hotModel].Ref)
	recovery := time.Duration(-1)
	var offered, met []float64
	begin := x.elapsed
	for x.elapsed-begin < shiftDuration {
		x.hotOffered, x.hotMet = 0, 0
		x.run(time.Second, func(time.Duration) float64 { return shiftFactor })
		offered, met = append(offered, x.hotOffered), append(met, x.hotMet)
		if recovery < 0 && recoveredOver(offered, met) {
			recovery = x.elapsed - begin - recoveryWindow
		}
	}
	o := x.outcome(shiftDuration)
	o.recovery = recovery
	if added := o.hotCopies - before; added > 0 {
		o.recoveryTarget = minLoadTime(added, x.world.document.Budgets) + recoverySlack
	}
	return o
}

// recoveredOver reports whether attainment over the last recoveryWindow was at least
// minAttainment.
func recoveredOver(offered, met []float64) bool {
	span := int(recoveryWindow / time.Second)
	if len(offered) < span {
		return false
	}
	totalOffered, totalMet := 0.0, 0.0
	for i := len(offered) - span; i < len(offered); i++ {
		totalOffered, totalMet = totalOffered+offered[i], totalMet+met[i]
	}
	return totalMet >= minAttainment*totalOffered
}

func flappingDemand(x *experiment) outcome {
	x.run(warmUp, baselineDemand)
	x.reset()
	x.run(flapDuration, func(at time.Duration) float64 {
		if (at/flapPeriod)%2 == 0 {
			return shiftFactor
		}
		return 1
	})
	return x.outcome(flapDuration)
}

// minLoadTime is the minimum time to load this number of copies within the load budgets.
func minLoadTime(loads int, budgets site.Budgets) time.Duration {
	rounds := (loads + budgets.ConcurrentLoads - 1) / budgets.ConcurrentLoads
	byRate := time.Duration(float64(loads-1)/budgets.LoadsPerSecond*float64(time.Second)) + loadDuration
	return max(time.Duration(rounds)*loadDuration, byRate)
}

// unwantedUnloadsLRU marks unloads as unwanted, which turns off the ledger's protection of
// last copies: the baseline is a plain LRU cache, which has no such protection.
type unwantedUnloadsLRU struct{ placement.LRU }

func (p *unwantedUnloadsLRU) Plan(in placement.Input) placement.Plan {
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
		{"lru", func() placement.Policy { return &unwantedUnloadsLRU{} }},
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

// BenchmarkMoves measures moves per hour, weighted attainment, the recovery time of the hot
// model and the target for it, for each policy and scenario, in simulated time.
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
					total.hotCopies += o.hotCopies
					total.recoveryTarget += o.recoveryTarget
					if s.name == "shift" {
						b.Logf("seed %d: recovery %v, target %v, %d copies", i+1, o.recovery, o.recoveryTarget, o.hotCopies)
					}
				}
				n := float64(b.N)
				b.ReportMetric(total.movesPerHour/n, "moves/h")
				b.ReportMetric(total.attainment/n, "attainment")
				b.ReportMetric(total.recovery.Seconds()/n, "recovery-s")
				b.ReportMetric(total.recoveryTarget.Seconds()/n, "target-s")
				b.ReportMetric(float64(total.hotCopies)/n, "hot-copies")
			})
		}
	}
}
