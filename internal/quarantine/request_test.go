package quarantine

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/request"
)

// whole returns the subject of a request with a name.
func whole(name string) Subject { return RequestSubject(request.Identity(request.PartOf(name))) }

// crashUnder adds a crash of the nth process with the given subjects.
func crashUnder(e *Evidence, n uint64, when time.Duration, subjects ...Subject) {
	e.AddCrash(at(when), Crash{Process: n, At: at(when), Subjects: subjects})
}

// wantRequest checks the conclusion about a request with the given parts of its prompt.
func wantRequest(t *testing.T, e *Evidence, when time.Duration, want State, name string, ids ...string) Finding {
	t.Helper()
	f := e.Find(at(when), append([]Subject{whole(name)}, parts(ids...)...))
	if f.State != want {
		t.Errorf("after %v, request %s with %v: got %v with %d crashes, want %v", when, name, ids, f.State, f.Crashes, want)
	}
	return f
}

// others returns the subjects of requests of which each is on one crash only.
func others(crash int) []Subject {
	var out []Subject
	for n := range 8 {
		out = append(out, whole(fmt.Sprint("other ", crash, n)))
	}
	return out
}

// TestRequestOnThreeCrashesIsQuarantined guards against servers that go on to end under one request,
// and against others that are refused because they were on one of these servers.
func TestRequestOnThreeCrashesIsQuarantined(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crashUnder(e, uint64(n), time.Duration(n)*second, append(others(n), whole("dead"))...)
		if n < 2 {
			wantRequest(t, e, 2*second, []State{Clear, Suspect}[n], "dead")
		}
	}
	f := wantRequest(t, e, 3*second, Quarantined, "dead")
	if f.Subject != whole("dead") || f.Crashes != 3 {
		t.Errorf("got %+v, want the request with 3 crashes", f)
	}
	wantRequest(t, e, 3*second, Clear, "other 10")
	wantRequest(t, e, 3*second, Clear, "new")
}

// TestRequestAndPartThatCrashServersAreBothFound guards against a request that hides a part of other
// prompts, and against such a part that hides a request, if they crash the same servers.
func TestRequestAndPartThatCrashServersAreBothFound(t *testing.T) {
	e := NewEvidence()
	prove(e, 0, "first")
	dead := parts("dead", "first")
	for n := range 3 {
		subjects := append([]Subject{whole("dead"), whole(fmt.Sprint("with part ", n))}, dead...)
		crashUnder(e, uint64(n), second+time.Duration(n)*200*time.Millisecond, subjects...)
	}
	// Which of both it is can't be known yet, and one more crash of each tells.
	crashUnder(e, 10, 2*second, append([]Subject{whole("with part 3")}, dead...)...)
	wantState(t, e, 3*second, Quarantined, "first", "dead")
	for n := range 2 {
		crashUnder(e, uint64(20+n), 3*second+time.Duration(n)*200*time.Millisecond, whole("dead"))
	}
	wantRequest(t, e, 4*second, Quarantined, "dead")
	wantState(t, e, 4*second, Quarantined, "first", "dead")
	wantState(t, e, 4*second, Clear, "first")
	wantRequest(t, e, 4*second, Clear, "with part 3")
}

// TestTwoRequestsThatCrashServersAreBothFound guards against one such request that hides another one.
func TestTwoRequestsThatCrashServersAreBothFound(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crashUnder(e, uint64(n), time.Duration(n)*200*time.Millisecond, whole("dead1"), whole("dead2"))
	}
	wantRequest(t, e, second, Suspect, "dead1")
	wantRequest(t, e, second, Suspect, "dead2")
	crashUnder(e, 10, second, whole("dead1"))
	wantRequest(t, e, second, Quarantined, "dead1")
	wantRequest(t, e, second, Suspect, "dead2")
	crashUnder(e, 11, 2*second, whole("dead2"))
	crashUnder(e, 12, 3*second, whole("dead2"))
	wantRequest(t, e, 3*second, Quarantined, "dead2")
	wantRequest(t, e, 3*second, Quarantined, "dead1")
}

// TestRequestsThatAlwaysComeTogetherAreBothFound guards against two requests that crash servers, of which
// none is found because the other one explains each crash.
func TestRequestsThatAlwaysComeTogetherAreBothFound(t *testing.T) {
	e := NewEvidence()
	for n := range crashesWhateverExplains {
		crashUnder(e, uint64(n), time.Duration(n)*200*time.Millisecond, whole("dead1"), whole("dead2"))
	}
	for _, name := range []string{"dead1", "dead2"} {
		f := wantRequest(t, e, 2*second, Quarantined, name)
		if f.First.IsZero() || f.Crashes == 0 {
			t.Errorf("request %s: got %+v, want the crashes and their times", name, f)
		}
	}
}

// TestServersThatARequestEndsAtOnceAllCount guards against a request that is sent to several servers at
// once and found only after it has ended all of them several times, and against one that is refused
// because its callers repeat it at once while servers lose power together.
func TestServersThatARequestEndsAtOnceAllCount(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crashUnder(e, uint64(n), time.Duration(n)*time.Millisecond, append(others(n), whole("dead"))...)
	}
	wantRequest(t, e, second, Quarantined, "dead")
	lostPower := NewEvidence()
	for n := range 8 {
		subjects := others(n)
		if n < 4 {
			subjects = append(subjects, whole("sound"))
		}
		crashUnder(lostPower, uint64(n), time.Duration(n)*time.Millisecond, subjects...)
	}
	wantRequest(t, lostPower, second, Clear, "sound")
}

// TestSoundRequestBesideOneThatCrashesServersIsNotRefused guards against a request that is refused
// because its caller repeats it and it was beside the same other one on each server that ended.
func TestSoundRequestBesideOneThatCrashesServersIsNotRefused(t *testing.T) {
	e := NewEvidence()
	for n := range 6 {
		subjects := []Subject{whole("dead")}
		if n < 4 {
			subjects = append(subjects, whole("sound"))
		}
		crashUnder(e, uint64(n), time.Duration(n)*100*time.Millisecond, subjects...)
	}
	wantRequest(t, e, second, Quarantined, "dead")
	if f := wantRequest(t, e, second, Suspect, "sound"); f.EndsAttempts() {
		t.Errorf("got %+v, want one that goes on to another server", f)
	}
}

// TestPageThatAllLookAtIsNotRefused guards against a request that many callers repeat and that is
// refused because servers end for reasons of their own.
func TestPageThatAllLookAtIsNotRefused(t *testing.T) {
	e := NewEvidence()
	e.AddProof(at(0), whole("page"), at(0))
	for n := range 20 {
		when := time.Duration(n)*300*time.Millisecond + second
		crashUnder(e, uint64(n), when, append(others(n), whole("page"))...)
		if n%4 == 3 {
			e.AddProof(at(when), whole("page"), at(when+100*time.Millisecond))
		}
		if f := e.Find(at(when), []Subject{whole("page")}); f.State > Suspect {
			t.Fatalf("after %d crashes: got %+v, want no refusal", n+1, f)
		}
	}
}

// TestRequestIsTriedTwiceAndThenNoMore guards against a request that crashes a server again after each
// quarantine, for as long as it comes.
func TestRequestIsTriedTwiceAndThenNoMore(t *testing.T) {
	e := NewEvidence()
	for n := range 3 {
		crashUnder(e, uint64(n), time.Duration(n)*second, whole("dead"))
	}
	wantRequest(t, e, 2*second+firstHold-1, Quarantined, "dead")
	// A trial counts when it is sent, whatever comes of it.
	now := 2*second + firstHold
	wantRequest(t, e, now, Trial, "dead")
	e.AddTrial(whole("dead"), 1, at(now))
	wantRequest(t, e, now+maxHold-1, Quarantined, "dead")
	now += maxHold
	wantRequest(t, e, now, Trial, "dead")
	e.AddTrial(whole("dead"), 2, at(now))
	crashUnder(e, 10, now+second, whole("dead"))
	for hours := time.Duration(1); hours < 24; hours++ {
		e.Forget(at(now + hours*time.Hour))
		wantRequest(t, e, now+hours*time.Hour, Quarantined, "dead")
	}
	e.AddProof(at(now+24*time.Hour), whole("dead"), at(now+24*time.Hour))
	wantRequest(t, e, now+24*time.Hour, Clear, "dead")
}

// TestProofsOfRequestsDontCrowdOutParts guards against parts of prompts whose proofs aren't remembered
// because each request is another one.
func TestProofsOfRequestsDontCrowdOutParts(t *testing.T) {
	e := NewEvidence()
	for n := range 3 * maxRequests {
		e.AddProof(at(0), RequestSubject(request.Identity(n+1)), at(time.Duration(n)))
	}
	prove(e, second, "popular")
	if e.ProvenAt(PartSubject(request.PartOf("popular"))).IsZero() {
		t.Error("the proof of a part isn't remembered")
	}
	if last := RequestSubject(request.Identity(3 * maxRequests)); e.ProvenAt(last).IsZero() {
		t.Error("the last proof of a request isn't remembered")
	}
}
