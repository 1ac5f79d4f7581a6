package crashguard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/crashwatch"
	"limpethub/internal/engine"
	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// fixture is a Guard with what it published.
type fixture struct {
	*Guard
	published []gossip.Timed
	mayTry    bool
	crashes   int64
}

func newFixture() *fixture {
	f := &fixture{}
	f.Guard = New(Options{
		Publish: func(fact gossip.Timed) { f.published = append(f.published, fact) },
		MayTry:  func(quarantine.Subject) bool { return f.mayTry },
		Logger:  logging.Discard(), Now: time.Now,
	})
	return f
}

func parts(ids ...string) []request.Part {
	var out []request.Part
	for _, id := range ids {
		out = append(out, request.PartOf(id))
	}
	return out
}

func provenParts(ids ...string) crashwatch.Proven { return crashwatch.Proven{Parts: parts(ids...)} }

func partSubject(id string) quarantine.Subject { return quarantine.PartSubject(request.PartOf(id)) }

// crash reports a server that ended with the parts on it.
func (f *fixture) crash(ids ...string) {
	f.crashes++
	f.ServerEnded(crashwatch.Ended{Server: engine.Server{Name: "s", StartMillis: f.crashes}, At: time.Now(), Parts: parts(ids...)})
}

// quarantine reports crashes until a part is in quarantine.
func (f *fixture) quarantine(id string) {
	for range 3 {
		f.crash(id)
		time.Sleep(300 * time.Millisecond)
	}
	synctest.Wait()
}

func (f *fixture) enter(t *testing.T, ids ...string) *Ticket {
	t.Helper()
	ticket := f.Enter(t.Context(), &request.Request{Parts: parts(ids...)})
	t.Cleanup(ticket.Leave)
	return ticket
}

// wantRefused checks that an error refuses a request for its prompt.
func wantRefused(t *testing.T, err error) {
	t.Helper()
	var refused *verdict.Error
	if !errors.As(err, &refused) || refused.Code != verdict.CodePromptQuarantined || refused.Verdict != verdict.NotRun || refused.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal for the prompt, not run, with the time to come back", err)
	}
}

// TestQuarantinedPromptIsRefusedAtOnce guards against requests that wait, or are sent, although no
// server will get them; and against sound ones with the same first part that are.
func TestQuarantinedPromptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.Proven(provenParts("first"))
		time.Sleep(2 * time.Second)
		f.quarantine("dead")
		start := time.Now()
		wantRefused(t, f.enter(t, "first", "dead").Wait())
		if err := f.enter(t, "first", "other").Wait(); err != nil {
			t.Errorf("a sound request with the same first part: got %v, want none", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("decided after %v, want at once", took)
		}
		if f.Refusals(quarantine.PromptPart) != 1 || len(f.Quarantined()) != 1 {
			t.Errorf("counted %d refusals and %d parts, want 1 and 1", f.Refusals(quarantine.PromptPart), len(f.Quarantined()))
		}
	})
}

// TestCrashTellsUnprovenPartsAndTheOldestProofs guards against evidence that popular parts crowd out,
// and against a part that was proven, begins to crash servers, and is never told.
func TestCrashTellsUnprovenPartsAndTheOldestProofs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.Proven(provenParts("turned"))
		ids := []string{"new"}
		for n := range 40 {
			time.Sleep(100 * time.Millisecond)
			id := fmt.Sprint("popular", n)
			f.Proven(provenParts(id))
			ids = append(ids, id)
		}
		time.Sleep(2 * recentProof)
		f.crash(append(ids, "turned")...)
		c, ok := decodeCrash(f.published[0])
		if !ok || len(c.Subjects) != 1+maxProven || c.Subjects[0] != partSubject("new") || c.Subjects[1] != partSubject("turned") {
			t.Errorf("told %d parts, %v, want the new one, the one proven longest ago, and %d more", len(c.Subjects), c.Subjects, maxProven-1)
		}
	})
}

// TestProofThatClearsALateCrashIsTold guards against an instance that learns late of a crash, has proven a part of it since, and
// doesn't tell, because it told of an earlier proof just before: others would hold the crash against the part.
func TestProofThatClearsALateCrashIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.Proven(provenParts("root"))
		time.Sleep(2 * recentProof)
		f.crash("root")
		time.Sleep(time.Second)
		f.Proven(provenParts("root")) // It clears the first crash, so that the others are told.

		crash := quarantine.Crash{Process: 9, At: time.Now(), Subjects: []quarantine.Subject{partSubject("root")}}
		time.Sleep(time.Second)
		f.Proven(provenParts("root"))
		time.Sleep(time.Second)
		f.published = nil
		f.HandleCrash(time.Now(), crashFact(crash, quarantine.PromptPart))
		if len(f.published) != 1 || f.published[0].Topic != gossip.TopicProof || !f.published[0].At.After(crash.At) {
			t.Errorf("told %v, want a proof after the crash at %v", f.published, crash.At)
		}

		f.published = nil
		crash.Process = 10
		f.HandleCrash(time.Now(), crashFact(crash, quarantine.PromptPart))
		if len(f.published) != 0 {
			t.Errorf("told %v again, want nothing", f.published)
		}
	})
}

// TestEndWhileWaitingIsNotRun guards against a verdict that a request may have run although it only
// waited for another one.
func TestEndWhileWaitingIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.crash("odd")
		one := f.enter(t, "odd")
		if err := one.Wait(); err != nil || !one.MaySend() {
			t.Fatal("the first request may not go")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		two := f.Enter(ctx, &request.Request{Parts: parts("odd")})
		defer two.Leave()
		if err := two.Wait(); verdict.Of(err) != verdict.NotRun {
			t.Errorf("got %v, want an error with the verdict not-run", err)
		}
	})
}

// TestQuarantineEndsRequestsThatWaitOrHaveNoAnswer guards against servers that crash on requests sent
// before the quarantine, and against streams that are broken off although their answer has begun.
func TestQuarantineEndsRequestsThatWaitOrHaveNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		queued, sent, begun, sound := f.enter(t, "dead"), f.enter(t, "dead"), f.enter(t, "dead"), f.enter(t, "other")
		for _, ticket := range []*Ticket{sent, begun, sound} {
			ticket.MaySend()
		}
		begun.AnswerBegun()
		f.quarantine("dead")
		for _, ticket := range []*Ticket{queued, sent} {
			wantRefused(t, context.Cause(ticket.Context()))
		}
		if begun.Context().Err() != nil || sound.Context().Err() != nil {
			t.Errorf("ended a request whose answer had begun (%v) or a sound one (%v)", begun.Context().Err(), sound.Context().Err())
		}
	})
}

// TestSuspectedRequestsGoOneAtATime guards against requests with a suspected part that crash several
// servers at once, and against others that wait for them.
func TestSuspectedRequestsGoOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.Proven(provenParts("first"))
		time.Sleep(2 * time.Second)
		f.crash("first", "odd")
		one, two := f.enter(t, "first", "odd"), f.enter(t, "first", "odd")
		if err := one.Wait(); err != nil || !one.Suspect() || !one.MaySend() {
			t.Fatalf("the first request may not go as a suspect: %v", err)
		}
		if err := f.enter(t, "first", "sound").Wait(); err != nil {
			t.Fatal(err)
		}
		done := make(chan time.Time, 1)
		go func() {
			if err := two.Wait(); err != nil {
				t.Error(err)
			}
			done <- time.Now()
		}()
		synctest.Wait()
		select {
		case <-done:
			t.Error("the second request went while the first one was on a server")
		default:
		}
		time.Sleep(100 * time.Millisecond)
		f.Proven(provenParts("odd"))
		if at := <-done; time.Since(at) > 0 || two.Suspect() {
			t.Error("the second request isn't let go as soon as the part is proven")
		}
	})
}

// TestSuspectThatWasChosenAServerLooksAgain guards against requests that were queued before a part of
// theirs became suspected and then go to several servers at once.
func TestSuspectThatWasChosenAServerLooksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		one, two := f.enter(t, "odd"), f.enter(t, "odd")
		if !one.MaySend() {
			t.Fatal("a clear request may not be sent")
		}
		f.crash("odd")
		if two.MaySend() {
			t.Error("a request with a suspected part may go while another one is on a server")
		}
		one.AttemptEnded()
		if !two.MaySend() {
			t.Error("the request may not go after the other one has ended")
		}
	})
}

// TestOneInstanceTriesAgainAfterTheQuarantine guards against a part that is never tried again, and
// against one that each instance tries.
func TestOneInstanceTriesAgainAfterTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.quarantine("dead")
		time.Sleep(time.Minute)
		wantRefused(t, f.enter(t, "dead").Wait())
		f.mayTry = true
		trial := f.enter(t, "dead")
		if err := trial.Wait(); err != nil || !trial.Suspect() {
			t.Fatalf("the instance in charge may not try again: %v", err)
		}
		wantRefused(t, f.enter(t, "dead").Wait())
		trial.MaySend()
		f.Proven(provenParts("dead"))
		if err := f.enter(t, "dead").Wait(); err != nil {
			t.Errorf("after a trial that went well: got %v, want none", err)
		}
	})
}

// TestOperatorReleasesAPart guards against a quarantine that operators can't end on all instances.
func TestOperatorReleasesAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFixture(), newFixture()
		f.quarantine("dead")
		for _, fact := range f.published {
			other.HandleCrash(time.Now(), fact)
		}
		wantRefused(t, other.enter(t, "dead").Wait())
		f.published = nil
		if f.Release(partSubject("unknown")) || !f.Release(partSubject("dead")) {
			t.Error("released an unknown part, or not the one in quarantine")
		}
		for _, fact := range f.published {
			other.HandleProof(time.Now(), fact)
		}
		for _, guard := range []*fixture{f, other} {
			if err := guard.enter(t, "dead").Wait(); err != nil {
				t.Errorf("after the release: got %v, want none", err)
			}
		}
	})
}

// TestPeersWordIsJoined guards against evidence of peers that is lost, spread for good or malformed.
func TestPeersWordIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFixture(), newFixture()
		other.Proven(provenParts("b"))
		time.Sleep(2 * time.Second)
		f.crash("a", "b")
		joined, isNew := other.HandleCrash(time.Now(), f.published[0])
		if c, ok := decodeCrash(joined); !ok || !isNew || !slices.Equal(c.Subjects, []quarantine.Subject{partSubject("a"), partSubject("b")}) {
			t.Errorf("got %+v, new %v, want.subjects a and b, new", joined, isNew)
		}
		if len(other.published) != 1 || other.published[0].Key != uint64(request.PartOf("b")) {
			t.Errorf("told %v, want the proof of b", other.published)
		}
		if _, isNew := other.HandleCrash(time.Now(), f.published[0]); isNew {
			t.Error("the same word counts as new again")
		}
		if _, isNew := other.HandleCrash(time.Now(), gossip.Timed{Topic: gossip.TopicCrash, Key: 9, Value: []byte{1}, At: time.Now()}); isNew {
			t.Error("a malformed word counts as new")
		}
	})
}
