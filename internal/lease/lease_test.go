package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"limpethub/internal/store"
)

// fakeKey is the lease key, with the compare-and-swap of the key-value service.
type fakeKey struct {
	record   Record
	revision store.Revision
	away     bool
	// loseAnswers makes writes take effect without an answer.
	loseAnswers bool
}

// serve carries out what a candidate has to do now.
func (k *fakeKey) serve(now time.Time, m *Machine) {
	todo := m.Next(now)
	switch {
	case todo.Step == Wait:
	case k.away:
		m.Failed(now)
	case todo.Step == Read:
		m.Observed(now, k.record, k.revision)
	case todo.Expected != k.revision:
		m.Conflicted(now)
	default:
		k.record = todo.Record
		k.revision++
		if k.loseAnswers {
			m.Failed(now)
			return
		}
		m.Written(now, k.revision)
	}
}

// group is some candidates for one lease in virtual time.
type group struct {
	now      time.Time
	key      fakeKey
	machines []*Machine
}

func newGroup(n int, seed uint64, change func(*Config)) *group {
	g := &group{now: time.Unix(0, 0)}
	for i := range n {
		c := Config{
			Instance: fmt.Sprintf("i%d", i), TTL: 9 * time.Second, Margin: 2 * time.Second, Jitter: 2 * time.Second,
		}
		change(&c)
		g.machines = append(g.machines, New(c, rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	return g
}

const tick = 100 * time.Millisecond

func (g *group) run(d time.Duration, each func()) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(tick)
		for _, m := range g.machines {
			g.key.serve(g.now, m)
		}
		each()
	}
}

func (g *group) holders() (out []int) {
	for i, m := range g.machines {
		if m.Holds(g.now) {
			out = append(out, i)
		}
	}
	return out
}

func plain(*Config) {}

func TestOneHolderAtATime(t *testing.T) {
	g := newGroup(5, 1, plain)
	g.run(time.Minute, func() {
		if n := len(g.holders()); n > 1 {
			t.Fatalf("%d holders", n)
		}
	})
	if len(g.holders()) != 1 {
		t.Fatal("no holder")
	}
	term := g.key.record.Term
	g.run(time.Minute, func() {})
	if g.key.record.Term != term {
		t.Error("the lease changed hands without cause")
	}
}

func TestHolderKeepsLeaseOverOutage(t *testing.T) {
	g := newGroup(5, 2, plain)
	g.run(time.Minute, func() {})
	holder := g.holders()[0]
	g.key.away = true
	g.run(5*time.Minute, func() {})
	if len(g.holders()) != 0 || !g.machines[holder].Lapsed(g.now) {
		t.Error("a holder acts on a lease that it couldn't renew")
	}
	g.key.away = false
	g.run(time.Minute, func() {})
	if got := g.holders(); len(got) != 1 || got[0] != holder {
		t.Errorf("holders %v after the outage, want %d", got, holder)
	}
}

func TestLostAnswersAreReadBack(t *testing.T) {
	g := newGroup(3, 3, plain)
	g.key.loseAnswers = true
	g.run(time.Minute, func() {
		if n := len(g.holders()); n > 1 {
			t.Fatalf("%d holders", n)
		}
	})
	if len(g.holders()) != 1 || g.key.record.Term != 1 {
		t.Errorf("holders %v, term %d, want one holder in term 1", g.holders(), g.key.record.Term)
	}
}

func TestResignedLeaseIsTakenSoon(t *testing.T) {
	g := newGroup(3, 4, plain)
	g.run(time.Minute, func() {})
	g.machines[g.holders()[0]].Resign()
	g.run(6*time.Second, func() {})
	if len(g.holders()) != 1 {
		t.Error("no holder 6 s after the lease was given up")
	}
}

func TestLoneHolderOfLowReachGoesOn(t *testing.T) {
	g := newGroup(3, 6, func(c *Config) { c.StepDownReach, c.ReachDelay = 0.5, 18*time.Second })
	g.run(time.Minute, func() {})
	for _, m := range g.machines {
		m.SetReach(g.now, cutReach)
	}
	g.run(time.Minute, func() {})
	held := time.Duration(0)
	g.run(time.Minute, func() { held += time.Duration(len(g.holders())) * tick })
	if held < time.Minute-tick {
		t.Errorf("held for %v of a minute in which nobody reaches more", held)
	}
}

// Partitions of BenchmarkUselessHolder: one failure domain at a time loses most
// servers, but not the key-value service.
const (
	partitions    = 200
	partitionTime = time.Minute
	calmTime      = time.Minute
	cutReach      = 0.3
)

// uselessTime is the mean time of a partition without a holder that reaches servers.
// With lost, the holder dies as the partition begins, and another domain is cut.
func uselessTime(change func(*Config), lost bool) time.Duration {
	g := newGroup(9, 5, change)
	all := g.machines
	random := rand.New(rand.NewPCG(5, 99))
	useless := time.Duration(0)
	for range partitions {
		cut := random.IntN(3)
		if holders := g.holders(); len(holders) == 1 && !lost {
			cut = holders[0] % 3
		} else if len(holders) == 1 {
			cut = (holders[0] + 1) % 3
			g.machines = slices.Delete(slices.Clone(all), holders[0], holders[0]+1)
		}
		reach(all, g.now, cut)
		g.run(partitionTime, func() {
			if !slices.ContainsFunc(g.machines, func(m *Machine) bool { return m.Holds(g.now) && m.reach == 1 }) {
				useless += tick
			}
		})
		reach(all, g.now, -1)
		g.machines = all
		g.run(calmTime, func() {})
	}
	return useless / partitions
}

func reach(machines []*Machine, now time.Time, cut int) {
	for i, m := range machines {
		share := 1.0
		if i%3 == cut {
			share = cutReach
		}
		m.SetReach(now, share)
	}
}

// BenchmarkUselessHolder measures, in virtual time, how long a cell is without a
// holder that reaches its servers while a minute's partial partition lasts.
func BenchmarkUselessHolder(b *testing.B) {
	cases := []struct {
		name   string
		change func(*Config)
	}{
		{"first comer", plain},
		{"claim later", func(c *Config) { c.ReachDelay = 18 * time.Second }},
		{"step down", func(c *Config) { c.StepDownReach = 0.5 }},
		{"step down and claim later", func(c *Config) { c.StepDownReach, c.ReachDelay = 0.5, 18*time.Second }},
	}
	for _, lost := range []bool{false, true} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("holder lost=%v/%s", lost, c.name), func(b *testing.B) {
				var total time.Duration
				for range b.N {
					total += uselessTime(c.change, lost)
				}
				b.ReportMetric(total.Seconds()/float64(b.N), "useless-s/partition")
			})
		}
	}
}

// TestSilentHolderIsFollowedWithinOneTerm replays a holder that renews, tells of an
// earlier renewal only, and dies: its successor claims one TTL and its jitter after the
// death, not one TTL after a claim that conflicted.
func TestSilentHolderIsFollowedWithinOneTerm(t *testing.T) {
	const ttl = 3 * time.Second
	start := time.Unix(1000, 0)
	key := &fakeKey{}
	config := Config{TTL: ttl, Margin: ttl / 10, Jitter: ttl / 20, TrustUnchanged: true, ReadPeriod: 10 * ttl}
	config.Instance = "holder"
	holder := New(config, rand.New(rand.NewPCG(1, 1)))
	config.Instance = "successor"
	successor := New(config, rand.New(rand.NewPCG(2, 2)))
	const step = 10 * time.Millisecond
	death := start.Add(10*time.Second + 250*time.Millisecond)
	var told Record
	var toldRevision store.Revision
	for now := start; now.Before(death.Add(3 * ttl)); now = now.Add(step) {
		if now.Before(death) {
			key.serve(now, holder)
			if holder.Holds(now) && now.Sub(start)%(250*time.Millisecond) == 0 && death.Sub(now) > 300*time.Millisecond {
				told, toldRevision = holder.Record(), holder.Revision()
				successor.Heard(now, told, toldRevision)
			}
		}
		if now.After(start.Add(time.Second)) {
			key.serve(now, successor)
		}
		if successor.Holds(now) {
			if late := now.Sub(death); late < 0 || late > ttl+ttl/4+ttl/20+step {
				t.Errorf("the successor holds %s after the death", late)
			}
			return
		}
	}
	t.Error("nobody took the lease")
}

// TestSmallCandidateLeavesTheLeaseToOthers replays the death of a holder where most
// candidates can hardly carry its work: one of the few others takes over, and a small
// one only when there is no other.
func TestSmallCandidateLeavesTheLeaseToOthers(t *testing.T) {
	const delay = 3 * time.Second
	for _, large := range []int{0, 2} {
		for seed := range uint64(20) {
			candidate := 0
			g := newGroup(30, seed, func(c *Config) {
				if candidate++; candidate > large {
					c.ClaimDelay = delay
				}
			})
			g.run(9*time.Second+5*time.Second+delay, func() {})
			holders := g.holders()
			if len(holders) != 1 {
				t.Fatalf("%d large, seed %d: holders %v", large, seed, holders)
			}
			if large > 0 && holders[0] >= large {
				t.Errorf("%d large, seed %d: %d holds the lease", large, seed, holders[0])
			}
		}
	}
}
