package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time { return start.Add(offset) }

func parts(ids ...string) []Subject {
	var out []Subject
	for _, id := range ids {
		out = append(out, PartSubject(request.PartOf(id)))
	}
	return out
}

func numbered(n int) Subject { return PartSubject(request.Part(n)) }

// crash adds a crash of the nth process.
func crash(e *Evidence, n uint64, when time.Duration, ids ...string) {
	e.AddCrash(at(when), Crash{Process: n, At: at(when), Subjects: parts(ids...)})
}

func prove(e *Evidence, when time.Duration, ids ...string) {
	for _, subject := range parts(ids...) {
		e.AddProof(at(when), subject, at(when))
	}
}

func wantState(t *testing.T, e *Evidence, when time.Duration, want State, ids ...string) Finding {
	t.Helper()
	f := e.Find(at(when), parts(ids...))
	if f.State != want {
		t.Errorf("after %v, prompt %v: got %v with %d crashes, want %v", when, ids, f.State, f.Crashes, want)
	}
	return f
}

const second = time.Second

// TestPartOnEachCrashIsQuarantined guards against servers that go on to end with the same part, and
// against sound prompts that are refused because they share parts with it.
func TestPartOnEachCrashIsQuarantined(t *testing.T) {
	e := NewEvidence()
	prove(e, 0, "first", "second")
	crash(e, 1, 1*second, "first", "second", "dead", "rare")
	wantState(t, e, 1*second, Suspect, "first", "second", "dead")
	wantState(t, e, 1*second, Clear, "first", "second")
	crash(e, 2, 2*second, "first", "second", "dead", "other")
	crash(e, 3, 3*second, "dead", "first")
	f := wantState(t, e, 3*second, Quarantined, "first", "second", "dead")
	if f.Subject != PartSubject(request.PartOf("dead")) || f.Crashes != 3 || !f.Until.Equal(at(3*second+firstHold)) {
		t.Errorf("got %+v, want part dead with 3 crashes until %v", f, at(3*second+firstHold))
	}
	for _, prompt := range [][]string{{"first", "second"}, {"first", "rare"}, {"second", "other"}, {"new"}} {
		wantState(t, e, 3*second, Clear, prompt...)
	}
}

// TestPartsThatOnlyCameTogetherAreQuarantinedTogether guards against a sound part that is refused
// because no prompt has had it without the one that crashes servers yet.
func TestPartsThatOnlyCameTogetherAreQuarantinedTogether(t *testing.T) {
	e := NewEvidence()
	for n := range 4 {
		crash(e, uint64(n), time.Duration(n)*second, "companion", "dead")
	}
	wantState(t, e, 4*second, Quarantined, "companion", "dead")
	wantState(t, e, 4*second, Suspect, "companion")
	wantState(t, e, 4*second, Suspect, "companion", "new")
	if n := len(e.List(at(4 * second))); n != 2 {
		t.Errorf("%d parts are listed, want both", n)
	}
	prove(e, 5*second, "companion")
	wantState(t, e, 5*second, Clear, "companion")
	wantState(t, e, 5*second, Quarantined, "dead")
}

// TestLaterCrashesDontAcquitAPart guards against a part that gets out of quarantine because sound
// parts, which no answer proves while servers are overloaded, were on more crashes than it.
func TestLaterCrashesDontAcquitAPart(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crash(e, uint64(n), time.Duration(n)*second, "first", "popular", "dead")
	}
	for n := range 6 {
		crash(e, uint64(10+n), 3*second+time.Duration(n)*second, "first", "popular", fmt.Sprint("rare", n))
	}
	wantState(t, e, 9*second, Quarantined, "first", "popular", "dead")
	prove(e, 10*second, "first", "popular")
	wantState(t, e, 10*second, Quarantined, "first", "dead")
	wantState(t, e, 10*second, Clear, "first", "popular")
}

// TestPopularPartsDontHideOrReplaceACulprit guards against sound parts that are refused, or hide the
// one that crashes servers, because they wait on each server that ends and no answer comes.
func TestPopularPartsDontHideOrReplaceACulprit(t *testing.T) {
	e := NewEvidence()
	prove(e, 0, "popular1", "popular2")
	for n := range 3 {
		crash(e, uint64(n), second+time.Duration(n)*100*time.Millisecond, "popular1", "popular2")
	}
	for n := range 3 {
		ids := []string{"popular1", "dead"}
		if n > 0 {
			ids = append(ids, "popular2")
		}
		crash(e, uint64(10+n), 2*second+time.Duration(n)*second, ids...)
	}
	wantState(t, e, 5*second, Quarantined, "dead")
	for n := range 3 {
		crash(e, uint64(20+n), 6*second+time.Duration(n)*second, "popular1", "popular2", "dead2")
	}
	if f := e.Find(at(9*second), parts("popular1", "popular2")); f.State > Suspect {
		t.Errorf("got %+v for two popular parts, want no refusal", f)
	}
	wantState(t, e, 9*second, Quarantined, "popular1", "dead2")
}

// TestTwoPartsAreFoundAtOnce guards against one part that hides another one.
func TestTwoPartsAreFoundAtOnce(t *testing.T) {
	e := NewEvidence()
	for n := range 5 {
		crash(e, uint64(n), time.Duration(n)*200*time.Millisecond, "dead1", "x")
	}
	for n := range 3 {
		ids := []string{"dead2"}
		if n == 0 {
			ids = append(ids, "dead1")
		}
		crash(e, uint64(10+n), 100*time.Millisecond+time.Duration(n)*300*time.Millisecond, ids...)
	}
	wantState(t, e, 2*second, Quarantined, "dead1", "x")
	wantState(t, e, 2*second, Suspect, "dead1")
	prove(e, 2*second, "x")
	wantState(t, e, 2*second, Quarantined, "dead1")
	wantState(t, e, 2*second, Suspect, "dead2")
	crash(e, 20, 3*second, "dead2")
	wantState(t, e, 3*second, Quarantined, "dead2")
}

// TestCrashesOfAnotherPartDontIncriminateACompanion guards against sound prompts that are refused for
// a part that came with one that crashes servers, and then was on servers that another one crashed.
func TestCrashesOfAnotherPartDontIncriminateACompanion(t *testing.T) {
	e := NewEvidence()
	for n := range 4 {
		crash(e, uint64(n), time.Duration(n)*200*time.Millisecond, "first", "companion", "dead1")
	}
	for n := range 2 {
		crash(e, uint64(10+n), 2*second+time.Duration(n)*200*time.Millisecond, "first", "companion", "dead2")
	}
	wantState(t, e, 3*second, Quarantined, "first", "companion", "dead1")
	for _, prompt := range [][]string{{"first", "companion"}, {"first"}, {"first", "companion", "new"}} {
		if f := e.Find(at(3*second), parts(prompt...)); f.State > Suspect {
			t.Errorf("prompt %v: got %+v, want no refusal", prompt, f)
		}
	}
}

// TestServersThatEndTogetherIncriminateNothing guards against refusals when servers end for reasons
// of their own: many at a time, with the same waiting prompts on each of them.
func TestServersThatEndTogetherIncriminateNothing(t *testing.T) {
	e := NewEvidence()
	for n := range 60 {
		crash(e, uint64(n), time.Duration(n%5)*4*time.Millisecond, "first", "popular", fmt.Sprint("rare", n))
	}
	wantState(t, e, 2*second, Suspect, "first", "popular")
	prove(e, 100*time.Millisecond, "first", "popular")
	wantState(t, e, 2*second, Suspect, "first", "popular", "rare3")
}

// TestProofOfOtherInstancesIsAwaited guards against a quarantine before word of a proof can arrive.
func TestProofOfOtherInstancesIsAwaited(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crash(e, uint64(n), time.Duration(n)*100*time.Millisecond, "p")
	}
	f := wantState(t, e, 300*time.Millisecond, Undecided, "p")
	if !f.Until.Equal(at(proofDelay)) {
		t.Errorf("undecided until %v, want %v", f.Until, at(proofDelay))
	}
	wantState(t, e, proofDelay, Quarantined, "p")
	e.AddProof(at(proofDelay), PartSubject(request.PartOf("p")), at(50*time.Millisecond))
	wantState(t, e, proofDelay, Clear, "p")
}

// TestProvenPartNeedsMoreCrashes guards against a popular part that is refused because servers ended
// in a row, and against one that begins to crash servers and is never found.
func TestProvenPartNeedsMoreCrashes(t *testing.T) {
	e := NewEvidence()
	prove(e, 0, "p")
	for n := range 4 {
		crash(e, uint64(n), second+time.Duration(n)*200*time.Millisecond, "p")
	}
	wantState(t, e, 3*second, Suspect, "p")
	crash(e, 4, 3*second, "p")
	wantState(t, e, 3*second, Quarantined, "p")
	prove(e, 4*second, "p")
	wantState(t, e, 4*second, Clear, "p")
}

// TestQuarantineEndsByItselfAndCanBeTriedAgain guards against a part that stays refused for good, and
// against one that is tried more and more often.
func TestQuarantineEndsByItselfAndCanBeTriedAgain(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crash(e, uint64(n), time.Duration(n)*second, "p")
	}
	wantState(t, e, 2*second+firstHold-1, Quarantined, "p")
	wantState(t, e, 2*second+firstHold, Trial, "p")
	crash(e, 3, 70*second, "p")
	wantState(t, e, 70*second+2*firstHold-1, Quarantined, "p")
	wantState(t, e, 70*second+2*firstHold, Trial, "p")
	prove(e, 300*second, "p")
	wantState(t, e, 300*second, Clear, "p")
	e.Forget(at(300*second + crashMemory))
	if len(e.crashes) != 0 || len(e.subjects) != 0 {
		t.Errorf("%d crashes and %d subjects are kept for good, want none", len(e.crashes), len(e.subjects))
	}
}

// TestEvidenceIsTheSameInAnyOrder guards against instances that draw different conclusions from the
// same evidence.
func TestEvidenceIsTheSameInAnyOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		type event struct {
			crash Crash
			proof Subject
			at    time.Time
		}
		var events []event
		for n := range 12 {
			when := at(time.Duration(random.IntN(5000)) * time.Millisecond)
			var some []Subject
			for id := range 6 {
				if random.IntN(3) == 0 {
					some = append(some, numbered(id))
				}
			}
			// Two instances know different parts of the same process.
			events = append(events, event{crash: Crash{Process: uint64(n / 2), At: at(time.Duration(n/2) * 700 * time.Millisecond), Subjects: some}, at: when})
			if random.IntN(4) == 0 {
				events = append(events, event{proof: numbered(random.IntN(6)), at: when})
			}
		}
		var findings [2][]Finding
		for turn := range findings {
			e := NewEvidence()
			for _, n := range random.Perm(len(events)) {
				if events[n].crash.Subjects != nil {
					e.AddCrash(at(10*second), events[n].crash)
				} else {
					e.AddProof(at(10*second), events[n].proof, events[n].at)
				}
			}
			for id := range 6 {
				findings[turn] = append(findings[turn], e.Find(at(10*second), []Subject{numbered(id), numbered((id + 1) % 6)}))
			}
		}
		for n := range findings[0] {
			if findings[0][n] != findings[1][n] {
				t.Fatalf("the same evidence in another order gives %+v and %+v", findings[0][n], findings[1][n])
			}
		}
	}
}

// TestMemoryIsBounded guards against memory that grows with crashes or with prompts, and against a
// quarantine that is lost when very many servers end.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crash(e, uint64(n), time.Duration(n)*second, "dead")
	}
	for n := range maxCrashes + 100 {
		ids := make([]string, MaxSubjects+8)
		for i := range ids {
			ids[i] = fmt.Sprint(n, " ", i)
		}
		crash(e, uint64(100+n), 5*second+time.Duration(n)*time.Millisecond, ids...)
	}
	for n := range 2 * (maxParts + maxRequests) {
		prove(e, 6*second, fmt.Sprint("proven ", n))
		e.AddProof(at(6*second), RequestSubject(request.Identity(n+1)), at(6*second))
	}
	const most = maxCrashes*MaxSubjects + maxParts + maxRequests
	if len(e.crashes) > maxCrashes || len(e.subjects) > most || len(e.proven) > maxRequests {
		t.Errorf("%d crashes, %d subjects and %d proofs of requests are held, want at most %d, %d and %d", len(e.crashes), len(e.subjects), len(e.proven), maxCrashes, most, maxRequests)
	}
	wantState(t, e, 7*second, Quarantined, "dead")
}

// BenchmarkFindAmongManyCrashes has the evidence of an overloaded site on which 40 servers ended.
func BenchmarkFindAmongManyCrashes(b *testing.B) {
	e := NewEvidence()
	random := rand.New(rand.NewPCG(1, 1))
	for n := range 40 {
		c := Crash{Process: uint64(n), At: at(time.Duration(n) * 300 * time.Millisecond)}
		for range MaxSubjects {
			c.Subjects = append(c.Subjects, numbered(random.IntN(150)))
		}
		e.AddCrash(c.At, c)
	}
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			e.knownCulprits = nil
			e.Find(at(20*second), []Subject{numbered(1), numbered(2), numbered(3)})
		}
	})
	b.Run("next", func(b *testing.B) {
		for b.Loop() {
			e.Find(at(20*second), []Subject{numbered(1), numbered(2), numbered(3)})
		}
	})
}

// TestPartOfAllPromptsWaitsForWhatPeersHadOnTheLastServer guards against a sound part that is taken for the cause at the moment of the
// last crash, since the instance that had the request which ended the server hasn't told of it yet.
func TestPartOfAllPromptsWaitsForWhatPeersHadOnTheLastServer(t *testing.T) {
	e := NewEvidence()
	crash(e, 1, 0, "first", "dead")
	crash(e, 2, second, "first", "dead")
	crash(e, 3, 2*second, "first")
	if f := wantState(t, e, 2*second, Undecided, "first", "sound"); !f.Until.Equal(at(2*second + reportDelay)) {
		t.Errorf("undecided until %v, want %v", f.Until, at(2*second+reportDelay))
	}
	e.AddCrash(at(2*second+100*time.Millisecond), Crash{Process: 3, At: at(2 * second), Subjects: parts("dead")})
	for _, when := range []time.Duration{100 * time.Millisecond, second, 10 * second} {
		if f := e.Find(at(2*second+when), parts("first", "sound")); f.State >= Trial {
			t.Errorf("%v after the last crash: got %+v, want no refusal", when, f)
		}
	}
	wantState(t, e, 3*second, Quarantined, "first", "dead")
}

// TestPartIsQuarantinedIfPeersTellNothingMore guards against a conclusion that is put off for good, or for a part that nothing may explain.
func TestPartIsQuarantinedIfPeersTellNothingMore(t *testing.T) {
	e := NewEvidence()
	crash(e, 1, 0, "dead", "popular")
	crash(e, 2, second, "dead", "popular")
	crash(e, 3, 2*second, "dead")
	wantState(t, e, 2*second, Undecided, "dead")
	wantState(t, e, 2*second+reportDelay, Quarantined, "dead")
	e = NewEvidence()
	for n := range 3 {
		crash(e, uint64(n), time.Duration(n)*second, "dead", fmt.Sprint("rare", n))
	}
	wantState(t, e, 2*second, Quarantined, "dead")
}
