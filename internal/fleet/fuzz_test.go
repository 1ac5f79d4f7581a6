package fleet

import (
	"flag"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/lab/fuzzing"
)

// Size of the fuzz test.
const (
	// With three instances in each failure domain, one of them doesn't watch the store.
	fuzzInstances = 6
	fuzzDomains   = 2
	fuzzChecks    = 44
	fuzzSteps     = 2000
	settleTime    = 30 * time.Second
	// minActions is how many actions, each followed by a check for faults found by the
	// oracle, the fuzz test must reach in all of its runs together.
	minActions = 100_000
)

func TestMain(m *testing.M) {
	fuzzing.Main(m, fuzzing.Settings{Seed: 20261203, Steps: fuzzSteps, Checks: fuzzChecks})
}

// script is the state machine whose actions rapid chooses.
type script struct {
	w       *world
	changes []*change
}

// runScript runs one random script on a world with the given defect. If the oracle finds faults,
// it passes the first one to report and fails the test.
func runScript(t *rapid.T, defect defect, report func(fault string)) *world {
	w := newWorld(fuzzInstances, fuzzDomains, rapid.Uint64().Draw(t, "seed"), defect)
	s := &script{w: w}
	for _, n := range w.instances {
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
		"network":      s.injectNetworkFault,
		"process":      s.changeProcess,
		"store":        s.injectStoreFault,
		"apply":        s.apply,
		"list":         s.injectListFault,
	})
	s.settle(t)
	check(t)
	return w
}

func (s *script) drawInstance(t *rapid.T) *instance {
	return s.w.instances[rapid.IntRange(0, len(s.w.instances)-1).Draw(t, "node")]
}

func (s *script) advance(t *rapid.T) {
	s.w.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
}

func (s *script) injectNetworkFault(t *rapid.T) {
	a, b := s.drawInstance(t), s.drawInstance(t)
	switch rapid.IntRange(0, 7).Draw(t, "network") {
	case 0, 1:
		s.w.cutLinks[link{a.id.Name, b.id.Name}] = true
	case 2: // a can't send to anyone.
		for _, n := range s.w.instances {
			s.w.cutLinks[link{a.id.Name, n.id.Name}] = true
		}
	case 3: // a can't receive from anyone.
		for _, n := range s.w.instances {
			s.w.cutLinks[link{n.id.Name, a.id.Name}] = true
		}
	case 4:
		s.w.lossPerMille = rapid.IntRange(0, 300).Draw(t, "loss")
	case 5:
		s.w.maxDelay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
	default:
		s.repairNetwork()
	}
}

func (s *script) repairNetwork() {
	clear(s.w.cutLinks)
	s.w.lossPerMille = 0
	s.w.maxDelay = 2 * time.Millisecond
}

func (s *script) changeProcess(t *rapid.T) {
	n := s.drawInstance(t)
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

func (s *script) injectStoreFault(t *rapid.T) {
	store := s.w.store
	switch rapid.IntRange(0, 6).Draw(t, "store") {
	case 0:
		store.unreachable = true
		store.notifyWatchers()
	case 1:
		store.extraLatency = time.Duration(rapid.IntRange(0, 5000).Draw(t, "slow")) * time.Millisecond
	case 2:
		store.stalePerMille = rapid.IntRange(0, 700).Draw(t, "stale")
	case 3:
		store.lostPerMille = rapid.IntRange(0, 700).Draw(t, "lost")
	case 4:
		store.latePerMille = rapid.IntRange(0, 500).Draw(t, "late")
	default:
		s.repairStore()
	}
}

func (s *script) repairStore() {
	store := s.w.store
	store.unreachable, store.extraLatency, store.stalePerMille, store.lostPerMille, store.latePerMille = false, 0, 0, 0, 0
}

// apply starts a new change, or retries an unclear one at a random instance. Several changes may
// run at the same time.
func (s *script) apply(t *rapid.T) {
	n := s.drawInstance(t)
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

func (s *script) injectListFault(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "list") {
	case 0:
		s.w.listFrozen = s.w.list()
	case 1:
		s.w.listMissing[s.drawInstance(t).id.Name] = true
	case 2:
		s.w.phantomListed = true
	default:
		s.repairList()
	}
}

func (s *script) repairList() {
	s.w.listFrozen, s.w.phantomListed = nil, false
	clear(s.w.listMissing)
}

// settle removes all faults, except in some runs an outage of the store, waits for settleTime and
// lets the oracle check the whole fleet.
func (s *script) settle(t *rapid.T) {
	s.repairNetwork()
	s.repairList()
	s.repairStore()
	s.w.store.unreachable = rapid.Bool().Draw(t, "store stays away")
	s.w.store.notifyWatchers()
	s.w.advance(settleTime)
	s.w.oracle.checkSettled()
}

// TestFleetAgainstOracle runs random scripts of faults, restarts and configuration changes. It guards
// against lost or repeated changes, older revisions that come into force, wrong answers to operators
// and member lists that stay wrong after the faults end.
func TestFleetAgainstOracle(t *testing.T) {
	events, actions, accepted := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := runScript(t, intact, func(string) {})
		events += w.events
		actions += w.actions
		accepted += len(w.oracle.acceptedChanges)
	})
	t.Logf("%d actions, %d events, %d accepted changes", actions, events, accepted)
	if actions < minActions {
		t.Errorf("fuzz test ran %d actions, want at least %d", actions, minActions)
	}
}

// failureRecorder is a rapid.TB that records a failure instead of failing the test.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (f *failureRecorder) Errorf(format string, args ...any) { f.failed = true }
func (f *failureRecorder) Error(args ...any)                 { f.failed = true }
func (f *failureRecorder) Fatalf(format string, args ...any) { f.FailNow() }
func (f *failureRecorder) Fatal(args ...any)                 { f.FailNow() }
func (f *failureRecorder) Fail()                             { f.failed = true }
func (f *failureRecorder) Failed() bool                      { return f.failed }
func (f *failureRecorder) Logf(format string, args ...any)   {}
func (f *failureRecorder) Log(args ...any)                   {}
func (f *failureRecorder) FailNow() {
	f.failed = true
	runtime.Goexit()
}

// TestOracleDetectsDefects guards against an oracle that misses faults: it runs the fuzz test with
// the usual seed on each deliberate defect and expects the oracle to find a fault.
func TestOracleDetectsDefects(t *testing.T) {
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	_ = shrink.Value.Set("0s")
	defer func() { _ = shrink.Value.Set(before) }()
	for d := intact + 1; d < defectCount; d++ {
		t.Run(defectNames[d], func(t *testing.T) {
			f := &failureRecorder{T: t}
			done := make(chan struct{})
			found := ""
			go func() {
				defer close(done)
				rapid.Check(f, func(t *rapid.T) { runScript(t, d, func(fault string) { found = fault }) })
			}()
			<-done
			if !f.failed {
				t.Fatalf("the oracle found no fault, want one for this defect")
			}
			t.Logf("oracle found: %s", found)
		})
	}
}
