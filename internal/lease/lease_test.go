package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"limpethub/internal/store"
)

// fakeKey is the lease key of a key-value store with compare-and-swap.
type fakeKey struct {
	record      Record
	revision    store.Revision
	unavailable bool
	// loseAnswers makes writes take effect while their answers are lost.
	loseAnswers bool
}

// serve performs the candidate's next operation, if one is due.
func (k *fakeKey) serve(now time.Time, m *Machine) {
	operation := m.Next(now)
	switch {
	case operation.Step == Wait:
	case k.unavailable:
		m.Failed(now)
	case operation.Step == Read:
		m.Observed(now, k.record, k.revision)
	case operation.Expected != k.revision:
		m.Conflicted(now)
	default:
		k.record = operation.Record
		k.revision++
		if k.loseAnswers {
			m.Failed(now)
			return
		}
		m.Written(now, k.revision)
	}
}

// group is a set of candidates for one lease in virtual time.
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

func (g *group) run(d time.Duration, afterTick func()) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(tick)
		for _, m := range g.machines {
			g.key.serve(g.now, m)
		}
		afterTick()
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

// unchangedConfig leaves the configuration that newGroup makes as it is.
func unchangedConfig(*Config) {}

func TestAtMostOneHolder(t *testing.T) {
	g := newGroup(5, 1, unchangedConfig)
	g.run(time.Minute, func() {
		if n := len(g.holders()); n > 1 {
			t.Fatalf("%d holders at once, want at most 1", n)
		}
	})
	if len(g.holders()) != 1 {
		t.Fatal("no holder after a minute, want 1")
	}
	term := g.key.record.Term
	g.run(time.Minute, func() {})
	if g.key.record.Term != term {
		t.Error("the term changed in a minute without failures, want the same term")
	}
}

func TestHolderKeepsLeaseOverOutage(t *testing.T) {
	g := newGroup(5, 2, unchangedConfig)
	g.run(time.Minute, func() {})
	holder := g.holders()[0]
	g.key.unavailable = true
	g.run(5*time.Minute, func() {})
	if len(g.holders()) != 0 || !g.machines[holder].Lapsed(g.now) {
		t.Error("5 min after the last renewal: got a holder, or no lapsed lease at the former holder, want no holder and a lapsed lease")
	}
	g.key.unavailable = false
	g.run(time.Minute, func() {})
	if got := g.holders(); len(got) != 1 || got[0] != holder {
		t.Errorf("holders %v after the outage, want %d", got, holder)
	}
}

func TestUnclearWritesAreResolvedByReading(t *testing.T) {
	g := newGroup(3, 3, unchangedConfig)
	g.key.loseAnswers = true
	g.run(time.Minute, func() {
		if n := len(g.holders()); n > 1 {
			t.Fatalf("%d holders at once, want at most 1", n)
		}
	})
	if len(g.holders()) != 1 || g.key.record.Term != 1 {
		t.Errorf("holders %v, term %d, want one holder in term 1", g.holders(), g.key.record.Term)
	}
}

func TestReleasedLeaseIsClaimedWithinSixSeconds(t *testing.T) {
	g := newGroup(3, 4, unchangedConfig)
	g.run(time.Minute, func() {})
	g.machines[g.holders()[0]].Release()
	g.run(6*time.Second, func() {})
	if len(g.holders()) != 1 {
		t.Error("no holder 6 s after the lease was released, want 1")
	}
}

func TestHolderWithLowReachContinuesIfNoneReachesMore(t *testing.T) {
	g := newGroup(3, 6, func(c *Config) { c.StepDownReach, c.ReachDelay = 0.5, 18*time.Second })
	g.run(time.Minute, func() {})
	for _, m := range g.machines {
		m.SetReach(g.now, partitionedReach)
	}
	g.run(time.Minute, func() {})
	heldFor := time.Duration(0)
	g.run(time.Minute, func() { heldFor += time.Duration(len(g.holders())) * tick })
	if heldFor < time.Minute-tick {
		t.Errorf("lease held for %v of a minute in which no candidate reaches more servers, want at least 59.9 s", heldFor)
	}
}

// Partitions of BenchmarkHolderUnderPartialPartition: one failure domain at a time loses
// most servers, but not the key-value store.
const (
	partitions       = 200
	partitionTime    = time.Minute
	healthyTime      = time.Minute
	partitionedReach = 0.3
)

// meanTimeWithoutFullReach returns the mean time per partition without a holder that reaches
// all servers. With holderLost, the holder fails as the partition begins and the partition
// affects another failure domain.
func meanTimeWithoutFullReach(change func(*Config), holderLost bool) time.Duration {
	g := newGroup(9, 5, change)
	all := g.machines
	random := rand.New(rand.NewPCG(5, 99))
	withoutFullReach := time.Duration(0)
	for range partitions {
		cutDomain := random.IntN(3)
		if holders := g.holders(); len(holders) == 1 && !holderLost {
			cutDomain = holders[0] % 3
		} else if len(holders) == 1 {
			cutDomain = (holders[0] + 1) % 3
			g.machines = slices.Delete(slices.Clone(all), holders[0], holders[0]+1)
		}
		setReach(all, g.now, cutDomain)
		g.run(partitionTime, func() {
			if !slices.ContainsFunc(g.machines, func(m *Machine) bool { return m.Holds(g.now) && m.reachShare == 1 }) {
				withoutFullReach += tick
			}
		})
		setReach(all, g.now, -1)
		g.machines = all
		g.run(healthyTime, func() {})
	}
	return withoutFullReach / partitions
}

// setReach sets the reach of the candidates in cutDomain to partitionedReach and that of the
// others to 1. A cutDomain of -1 means that no failure domain is cut.
func setReach(machines []*Machine, now time.Time, cutDomain int) {
	for i, m := range machines {
		share := 1.0
		if i%3 == cutDomain {
			share = partitionedReach
		}
		m.SetReach(now, share)
	}
}

// BenchmarkHolderUnderPartialPartition measures, in virtual time, how long a cell has no
// holder that reaches all servers during a partial partition of one minute.
func BenchmarkHolderUnderPartialPartition(b *testing.B) {
	cases := []struct {
		name   string
		change func(*Config)
	}{
		{"no reach rules", unchangedConfig},
		{"claim later", func(c *Config) { c.ReachDelay = 18 * time.Second }},
		{"step down", func(c *Config) { c.StepDownReach = 0.5 }},
		{"step down and claim later", func(c *Config) { c.StepDownReach, c.ReachDelay = 0.5, 18*time.Second }},
	}
	for _, holderLost := range []bool{false, true} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("holder lost=%v/%s", holderLost, c.name), func(b *testing.B) {
				var total time.Duration
				for range b.N {
					total += meanTimeWithoutFullReach(c.change, holderLost)
				}
				b.ReportMetric(total.Seconds()/float64(b.N), "useless-s/partition")
			})
		}
	}
}

// TestSuccessorClaimsOneTTLAfterHolderFails guards against a takeover that is late by up to
// one TTL. The holder renews the lease after its last report and then fails. A successor
// that counts the TTL from the reported renewal claims too early, gets a conflict and
// starts waiting again. It must read the key within a quarter of the TTL after the last
// report, so that it claims one TTL and its jitter after that read.
func TestSuccessorClaimsOneTTLAfterHolderFails(t *testing.T) {
	const ttl = 3 * time.Second
	start := time.Unix(1000, 0)
	key := &fakeKey{}
	config := Config{TTL: ttl, Margin: ttl / 10, Jitter: ttl / 20, TrustUnchanged: true, ReadPeriod: 10 * ttl}
	config.Instance = "holder"
	holder := New(config, rand.New(rand.NewPCG(1, 1)))
	config.Instance = "successor"
	successor := New(config, rand.New(rand.NewPCG(2, 2)))
	const step = 10 * time.Millisecond
	failedAt := start.Add(10*time.Second + 250*time.Millisecond)
	var reported Record
	var reportedRevision store.Revision
	for now := start; now.Before(failedAt.Add(3 * ttl)); now = now.Add(step) {
		if now.Before(failedAt) {
			key.serve(now, holder)
			// Reports end 300 ms before the failure, so that the last renewal isn't reported.
			if holder.Holds(now) && now.Sub(start)%(250*time.Millisecond) == 0 && failedAt.Sub(now) > 300*time.Millisecond {
				reported, reportedRevision = holder.Record(), holder.Revision()
				successor.HolderReported(now, reported, reportedRevision)
			}
		}
		if now.After(start.Add(time.Second)) {
			key.serve(now, successor)
		}
		if successor.Holds(now) {
			if delay := now.Sub(failedAt); delay < 0 || delay > ttl+ttl/4+ttl/20+step {
				t.Errorf("the successor holds the lease %s after the failure of the holder, want 0 s to 3.91 s", delay)
			}
			return
		}
	}
	t.Error("the successor didn't claim the lease within three TTLs of the failure")
}

// TestCandidateWithClaimDelayYieldsToOthers guards against a vacant lease going to a candidate
// with too little capacity for the holder's work. Most candidates have a claim delay:
// one of the few without it must take the lease, and one with it only if there is no other.
func TestCandidateWithClaimDelayYieldsToOthers(t *testing.T) {
	const claimDelay = 3 * time.Second
	for _, withoutDelay := range []int{0, 2} {
		for seed := range uint64(20) {
			candidate := 0
			g := newGroup(30, seed, func(c *Config) {
				if candidate++; candidate > withoutDelay {
					c.ClaimDelay = claimDelay
				}
			})
			g.run(9*time.Second+5*time.Second+claimDelay, func() {})
			holders := g.holders()
			if len(holders) != 1 {
				t.Fatalf("%d candidates without delay, seed %d: holders %v, want one", withoutDelay, seed, holders)
			}
			if withoutDelay > 0 && holders[0] >= withoutDelay {
				t.Errorf("%d candidates without delay, seed %d: candidate %d holds the lease, want one without delay", withoutDelay, seed, holders[0])
			}
		}
	}
}
