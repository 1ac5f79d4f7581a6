package fleet

import (
	"flag"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/lab/fuzzing"
)

// Bounds of the fuzzing in CI.
const (
	// With three instances in a domain, one of them doesn't watch the store.
	fuzzNodes   = 6
	fuzzDomains = 2
	fuzzChecks  = 44
	fuzzSteps   = 2000
	settleTime  = 30 * time.Second
	// minActions is how many actions, each followed by the oracle's checks, a run
	// of the fuzz test must reach.
	minActions = 100_000
)

func TestMain(m *testing.M) {
	fuzzing.Main(m, fuzzing.Settings{Seed: 20261203, Steps: fuzzSteps, Checks: fuzzChecks})
}

// script is the state machine that rapid drives.
type script struct {
	w       *world
	changes []*change
}

// play runs one random script and fails the test on what the oracle found.
func play(t *rapid.T, broken variant, report func(fault string)) *world {
	w := newWorld(fuzzNodes, fuzzDomains, rapid.Uint64().Draw(t, "seed"), broken)
	s := &script{w: w}
	for _, n := range w.nodes {
		n.start()
	}
	w.advance(5 * time.Second)
	check := func(t *rapid.T) {
		w.actions++
		if len(w.oracle.faults) > 0 {
			report(w.oracle.faults[0])
			t.Fatalf("oracle: %v", w.oracle.faults)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"":             check,
		"advance":      s.advance,
		"advance more": s.advance,
		"network":      s.network,
		"process":      s.process,
		"store":        s.store,
		"apply":        s.apply,
		"list":         s.list,
	})
	s.settle(t)
	check(t)
	return w
}

func (s *script) node(t *rapid.T) *node {
	return s.w.nodes[rapid.IntRange(0, len(s.w.nodes)-1).Draw(t, "node")]
}

func (s *script) advance(t *rapid.T) {
	s.w.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
}

func (s *script) network(t *rapid.T) {
	a, b := s.node(t), s.node(t)
	switch rapid.IntRange(0, 7).Draw(t, "network") {
	case 0, 1:
		s.w.cut[path{a.id.Name, b.id.Name}] = true
	case 2: // Nothing gets out of a.
		for _, n := range s.w.nodes {
			s.w.cut[path{a.id.Name, n.id.Name}] = true
		}
	case 3: // Nothing gets in to a.
		for _, n := range s.w.nodes {
			s.w.cut[path{n.id.Name, a.id.Name}] = true
		}
	case 4:
		s.w.lossPerMil = rapid.IntRange(0, 300).Draw(t, "loss")
	case 5:
		s.w.maxDelay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
	default:
		s.mendNetwork()
	}
}

func (s *script) mendNetwork() {
	clear(s.w.cut)
	s.w.lossPerMil = 0
	s.w.maxDelay = 2 * time.Millisecond
}

func (s *script) process(t *rapid.T) {
	n := s.node(t)
	switch rapid.IntRange(0, 5).Draw(t, "process") {
	case 0, 1:
		if n.up {
			pause := time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause")) * time.Millisecond
			n.pausedUntil = s.w.now.Add(pause)
		}
	case 2:
		n.stop()
	case 3:
		if n.up && !s.w.now.Before(n.pausedUntil) {
			n.leaving = true
			n.send(n.machine.Leave(s.w.now))
		}
	default:
		if !n.up || n.leaving {
			n.start()
		}
	}
}

func (s *script) store(t *rapid.T) {
	store := s.w.store
	switch rapid.IntRange(0, 6).Draw(t, "store") {
	case 0:
		store.away = true
		store.wake()
	case 1:
		store.slow = time.Duration(rapid.IntRange(0, 5000).Draw(t, "slow")) * time.Millisecond
	case 2:
		store.stalePer = rapid.IntRange(0, 700).Draw(t, "stale")
	case 3:
		store.lostPer = rapid.IntRange(0, 700).Draw(t, "lost")
	case 4:
		store.latePer = rapid.IntRange(0, 500).Draw(t, "late")
	default:
		s.mendStore()
	}
}

func (s *script) mendStore() {
	store := s.w.store
	store.away, store.slow, store.stalePer, store.lostPer, store.latePer = false, 0, 0, 0, 0
}

// apply starts a change, several at once at times, or repeats an unclear one at
// another instance.
func (s *script) apply(t *rapid.T) {
	n := s.node(t)
	if !n.up || s.w.now.Before(n.pausedUntil) {
		return
	}
	if rapid.Bool().Draw(t, "repeat") {
		for _, c := range s.changes {
			if c.unclear && !c.running {
				n.attempt(c)
				return
			}
		}
	}
	s.changes = append(s.changes, n.apply())
}

func (s *script) list(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "list") {
	case 0:
		s.w.listFrozen = s.w.list()
	case 1:
		s.w.listMissing[s.node(t).id.Name] = true
	case 2:
		s.w.phantom = true
	default:
		s.mendList()
	}
}

func (s *script) mendList() {
	s.w.listFrozen, s.w.phantom = nil, false
	clear(s.w.listMissing)
}

// settle removes all faults, at times but for the store's outage, and waits.
func (s *script) settle(t *rapid.T) {
	s.mendNetwork()
	s.mendList()
	s.mendStore()
	s.w.store.away = rapid.Bool().Draw(t, "store stays away")
	s.w.store.wake()
	s.w.advance(settleTime)
	s.w.oracle.checkSettled()
}

func TestFleetAgainstOracle(t *testing.T) {
	events, actions, accepted := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, intact, func(string) {})
		events += w.events
		actions += w.actions
		accepted += len(w.oracle.history)
	})
	t.Logf("%d actions, %d events, %d accepted changes", actions, events, accepted)
	if actions < minActions {
		t.Errorf("only %d actions, want at least %d", actions, minActions)
	}
}

// failures is a rapid.TB that notes a failure instead of failing the test.
type failures struct {
	*testing.T
	failed bool
}

func (f *failures) Errorf(format string, args ...any) { f.failed = true }
func (f *failures) Error(args ...any)                 { f.failed = true }
func (f *failures) Fatalf(format string, args ...any) { f.FailNow() }
func (f *failures) Fatal(args ...any)                 { f.FailNow() }
func (f *failures) Fail()                             { f.failed = true }
func (f *failures) Failed() bool                      { return f.failed }
func (f *failures) Logf(format string, args ...any)   {}
func (f *failures) Log(args ...any)                   {}
func (f *failures) FailNow() {
	f.failed = true
	runtime.Goexit()
}

// TestOracleNoticesDefects shows that each deliberate defect is caught with the
// seed of the fuzz test.
func TestOracleNoticesDefects(t *testing.T) {
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	_ = shrink.Value.Set("0s")
	defer func() { _ = shrink.Value.Set(before) }()
	for v := intact + 1; v < variants; v++ {
		t.Run(variantNames[v], func(t *testing.T) {
			f := &failures{T: t}
			done := make(chan struct{})
			found := ""
			go func() {
				defer close(done)
				rapid.Check(f, func(t *rapid.T) { play(t, v, func(fault string) { found = fault }) })
			}()
			<-done
			if !f.failed {
				t.Fatalf("the defect wasn't noticed")
			}
			t.Logf("noticed: %s", found)
		})
	}
}
