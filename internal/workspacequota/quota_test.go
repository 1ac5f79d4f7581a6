package workspacequota

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// window is the time after which a change of the limit must hold.
var window = DefaultRules().Window

// quotaCase is a course of events.
type quotaCase struct {
	name string
	// prepare plans the events.
	prepare func(s *sim)
	// until is the end.
	until time.Duration
	// usual and overload are spans in which enough must be admitted; empty ones aren't judged.
	usual, overload span
	// restarts is how often all instances are killed at once within usual or overload.
	restarts int
	// judged is when the bound on windows holds from.
	judged time.Duration
}

type span struct{ from, to time.Duration }

const second = time.Second

func surge(s *sim, from, to time.Duration) {
	s.demand = func(now time.Duration) float64 {
		if now >= from && now < to {
			return 6 * s.traffic.usual()
		}
		return s.traffic.usual()
	}
}

func allAt(s *sim, target func(now time.Duration) int) {
	s.target = func() int { return target(s.now) }
}

func cut(s *sim, from, to time.Duration) {
	n := len(s.nodes)
	s.after(from, func() {
		for i := range n {
			s.side[i] = i % 2
		}
		for i := range n {
			for j := range n {
				if s.side[i] != s.side[j] {
					s.tell(i, j, false, simDeath+s.upTo(600*time.Millisecond))
				}
			}
		}
	})
	s.after(to, func() {
		clear(s.side)
		for i := range n {
			s.tellAll(i, true, 200*time.Millisecond)
		}
	})
}

// killAll kills all instances and starts them again within a second.
func killAll(s *sim, at time.Duration) {
	s.after(at, func() {
		for i := range s.nodes {
			s.nodes[i] = nil
		}
		for i := range s.nodes {
			s.after(300*time.Millisecond+s.upTo(600*time.Millisecond), func() {
				s.start(i)
				s.tellAll(i, true, 50*time.Millisecond)
			})
		}
	})
}

var quotaCases = []quotaCase{
	{name: "even", until: 40 * second, usual: span{2 * second, 40 * second}},
	{name: "surge", until: 50 * second, usual: span{2 * second, 20 * second}, overload: span{20 * second, 40 * second},
		prepare: func(s *sim) { surge(s, 20*second, 40*second) }},
	{name: "one instance", until: 50 * second, usual: span{2 * second, 20 * second}, overload: span{20 * second, 40 * second},
		prepare: func(s *sim) {
			surge(s, 20*second, 40*second)
			allAt(s, func(time.Duration) int { return 1 })
		}},
	{name: "callers move", until: 40 * second, usual: span{2 * second, 40 * second},
		prepare: func(s *sim) {
			allAt(s, func(now time.Duration) int { return int(now/(5*second)) % len(s.nodes) })
		}},
	{name: "come and go", until: 60 * second, usual: span{2 * second, 60 * second},
		prepare: func(s *sim) {
			for k := range 10 {
				i := (k * 3) % len(s.nodes)
				s.after(time.Duration(3+5*k)*second, func() {
					s.leaving[i] = true
					for o := range s.nodes {
						s.members(o)
					}
				})
				s.after(time.Duration(5+5*k)*second, func() { s.stop(i) })
				s.after(time.Duration(6+5*k)*second, func() {
					s.leaving[i], s.listed[i] = false, true
					s.start(i)
					s.tellAll(i, true, 50*time.Millisecond)
				})
			}
		}},
	{name: "limiters die in overload", until: 60 * second, overload: span{10 * second, 50 * second},
		prepare: func(s *sim) {
			surge(s, 10*second, 50*second)
			for k := range 4 {
				s.after(time.Duration(15+8*k)*second, func() {
					i := s.limiter()
					s.kill(i)
					s.after(time.Second, func() {
						s.start(i)
						s.tellAll(i, true, 50*time.Millisecond)
					})
				})
			}
		}},
	{name: "freeze and wake", until: 60 * second,
		prepare: func(s *sim) {
			surge(s, 12*second, 50*second)
			for k := range 5 {
				s.after(time.Duration(10+8*k)*second, func() {
					for _, i := range []int{s.limiter(), (k * 5) % len(s.nodes)} {
						s.freeze(i)
						s.after(6*second, func() { s.wake(i) })
					}
				})
			}
		}},
	{name: "all killed again and again", until: 50 * second, restarts: 4, overload: span{20 * second, 40 * second},
		prepare: func(s *sim) {
			surge(s, 20*second, 45*second)
			for k := range 4 {
				killAll(s, 25*second+time.Duration(k)*2500*time.Millisecond)
			}
		}},
	{name: "killed at usual demand", restarts: 1, until: 30 * second, usual: span{10 * second, 30 * second},
		prepare: func(s *sim) { killAll(s, 15*second) }},
	{name: "halves in overload", until: 60 * second,
		prepare: func(s *sim) {
			surge(s, 10*second, 55*second)
			cut(s, 20*second, 32*second)
		}},
	{name: "halves, then a surge", until: 60 * second,
		prepare: func(s *sim) {
			surge(s, 24*second, 40*second)
			cut(s, 20*second, 32*second)
		}},
	{name: "lower limit", until: 60 * second, judged: 20*second + window + second/2,
		prepare: func(s *sim) {
			s.after(20*second, func() {
				limit := s.limit
				limit.PerSecond, limit.Burst = limit.PerSecond/5, limit.Burst/5
				s.setLimit(limit)
			})
		}},
}

// limiter returns the instance that is the limiter in most views.
func (s *sim) limiter() int {
	votes, best := map[string]int{}, ""
	for i := range s.nodes {
		if !s.running(i) {
			continue
		}
		elected := s.nodes[i].workspaces[simName].elected
		votes[elected]++
		if votes[elected] > votes[best] {
			best = elected
		}
	}
	return s.index(best)
}

// full makes the test below run all loads at all sizes, which takes some minutes.
var full = flag.Bool("full", false, "run all loads with all numbers of instances")

// trafficsOf returns the loads to test with a number of instances. The smallest one has the largest requests
// compared with the part of an instance, and the next one the least slack compared with the rate.
func trafficsOf(instances int) []traffic {
	all := []traffic{{640_000, 9200}, {29_000, 9200}, {130_000, 9200}, {640_000, 1300}}
	switch {
	case *full || instances < 10:
		return all
	case instances < 80:
		return all[:2]
	}
	return all[:1]
}

// seedsOf returns how many runs are judged together, so that one request is a small part of them.
func seedsOf(f traffic) uint64 {
	if f.perSecond > 100_000 {
		return 1
	}
	return 3
}

// TestQuotasKeepTheLimit guards against a window in which all instances together send more than the limit
// allows, and against refusals of what it allows, while callers, instances and paths do what they may do.
func TestQuotasKeepTheLimit(t *testing.T) {
	for _, c := range quotaCases {
		for _, n := range []int{6, 60, 86, 295} {
			for _, f := range trafficsOf(n) {
				t.Run(fmt.Sprintf("%s/%d/%v", c.name, n, f), func(t *testing.T) {
					t.Parallel()
					var r result
					for seed := range seedsOf(f) {
						r.add(runCase(c, n, f, seed+1))
					}
					r.judge(t, c)
				})
			}
		}
	}
}

// result is the outcome of some runs of a case.
type result struct {
	// worst is the most of a window, as a part of the bound.
	worst               float64
	usual, usualIdeal   float64
	overload, loadIdeal float64
	bytes               float64
	refused             map[Reason]int
	offered, runs       int
}

func runCase(c quotaCase, n int, f traffic, seed uint64) result {
	s := newSim(n, f, seed)
	if c.prepare != nil {
		c.prepare(s)
	}
	s.run(c.until)
	return result{
		worst: s.worst(c.judged, c.until) / s.bound(),
		usual: sum(s.sent, c.usual.from, c.usual.to), usualIdeal: sum(s.idealGot, c.usual.from, c.usual.to),
		overload: sum(s.sent, c.overload.from, c.overload.to), loadIdeal: sum(s.idealGot, c.overload.from, c.overload.to),
		bytes: float64(s.bytes) / c.until.Seconds() / float64(n), refused: s.refused, offered: len(s.offered), runs: 1,
	}
}

func (r *result) add(o result) {
	r.worst = max(r.worst, o.worst)
	r.usual += o.usual
	r.usualIdeal += o.usualIdeal
	r.overload += o.overload
	r.loadIdeal += o.loadIdeal
	r.bytes += o.bytes
	r.offered += o.offered
	r.runs++
	if r.refused == nil {
		r.refused = map[Reason]int{}
	}
	for reason, count := range o.refused {
		r.refused[reason] += count
	}
}

func (r *result) judge(t *testing.T, c quotaCase) {
	t.Logf("worst window %.3f of the bound; admitted %.3f of the ideal at usual demand, %.3f in overload; %.0f bytes/s an instance; refused %v of %d",
		r.worst, r.usual/r.usualIdeal, r.overload/r.loadIdeal, r.bytes/float64(r.runs), r.refused, r.offered)
	if r.worst > 1 {
		t.Errorf("%.3f of what the limit allows was sent within a window, want at most 1", r.worst)
	}
	if want := c.usualPart(); r.usual < want*r.usualIdeal {
		t.Errorf("%.3f of what the ideal bucket admits was admitted below the limit, want %.2f", r.usual/r.usualIdeal, want)
	}
	if want := c.overloadPart(); r.overload < want*r.loadIdeal {
		t.Errorf("%.3f of what the ideal bucket admits was admitted in overload, want %.2f", r.overload/r.loadIdeal, want)
	}
}

// usualPart and overloadPart are the parts of what the ideal bucket admits that must be admitted. The ideal bucket
// goes on while all instances have ended, and knows all when they start.
func (c *quotaCase) usualPart() float64 {
	if c.restarts > 0 {
		return 1 - float64(c.restarts)*restartLoss.Seconds()/(c.usual.to-c.usual.from).Seconds()
	}
	return 0.98
}

func (c *quotaCase) overloadPart() float64 {
	if c.restarts > 0 {
		return 1 - float64(c.restarts)*restartLoss.Seconds()/(c.overload.to-c.overload.from).Seconds()
	}
	return 0.9
}

// restartLoss is how much of the ideal bucket's time may be lost by a restart of all instances, which takes 0.9 s.
const restartLoss = 1500 * time.Millisecond
