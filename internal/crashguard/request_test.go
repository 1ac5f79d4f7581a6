package crashguard

import (
	"testing"
	"testing/synctest"
	"time"

	"limpethub/internal/crashwatch"
	"limpethub/internal/engine"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// endUnder reports a server that ended under the requests.
func (f *fixture) endUnder(identities ...request.Identity) {
	f.crashes++
	f.ServerEnded(crashwatch.Ended{Server: engine.Server{Name: "s", StartMillis: f.crashes}, At: time.Now(), Identities: identities})
}

func (f *fixture) enterRequest(t *testing.T, identity request.Identity) *Ticket {
	t.Helper()
	ticket := f.Enter(t.Context(), &request.Request{Identity: identity})
	t.Cleanup(ticket.Leave)
	return ticket
}

// tellAll gives all facts that an instance has published to another one.
func (f *fixture) tellAll(other *fixture) {
	handlers := other.Handlers()
	for _, fact := range f.published {
		handlers[fact.Topic](time.Now(), fact)
	}
	f.published = nil
}

func wantRequestRefused(t *testing.T, err error) {
	t.Helper()
	refused, ok := err.(*verdict.Error)
	if !ok || refused.Code != verdict.CodeRequestQuarantined || refused.Verdict != verdict.NotRun || refused.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal for the request, not run, with the time to come back", err)
	}
}

// TestRequestIsRefusedAtOnceOnInstancesThatNeverHadIt guards against an instance that sends a request
// once more because the servers ended under it elsewhere.
func TestRequestIsRefusedAtOnceOnInstancesThatNeverHadIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := []*fixture{newFixture(), newFixture(), newFixture()}
		started := newFixture()
		for n, i := range instances {
			i.endUnder(7, request.Identity(100+n))
			time.Sleep(300 * time.Millisecond)
		}
		for n, i := range instances {
			// Each instance gives its processes the same numbers.
			for k := range i.published {
				i.published[k].Key = uint64(n)
			}
			i.tellAll(started)
		}
		synctest.Wait()
		start := time.Now()
		wantRequestRefused(t, started.enterRequest(t, 7).Wait())
		if err := started.enterRequest(t, 8).Wait(); err != nil {
			t.Errorf("another request: got %v, want none", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("decided after %v, want at once", took)
		}
	})
}

// TestTrialOfARequestCountsWhenItIsSent guards against a request that is tried again and again after its
// quarantine because its caller leaves before the server ends, or by each instance once.
func TestTrialOfARequestCountsWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newFixture(), newFixture()
		for range 3 {
			f.endUnder(7)
			time.Sleep(300 * time.Millisecond)
		}
		f.mayTry, other.mayTry = true, true
		f.tellAll(other)
		sent := 0
		for range 60 {
			time.Sleep(time.Minute)
			for _, i := range []*fixture{f, other} {
				ticket := i.Enter(t.Context(), &request.Request{Identity: 7})
				if ticket.Wait() == nil && ticket.MaySend() {
					sent++
				}
				ticket.Leave()
				f.tellAll(other)
				other.tellAll(f)
			}
		}
		if sent != 2 {
			t.Errorf("sent %d times within an hour after the quarantine, want two trials of the whole fleet", sent)
		}
	})
}

// TestRequestUnderWhichServersEndedGoesToNoFurtherServer guards against one attempt of a caller that
// crashes several servers, and against requests beside it that aren't sent on.
func TestRequestUnderWhichServersEndedGoesToNoFurtherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		suspect, beside := f.enterRequest(t, 7), f.enterRequest(t, 8)
		f.endUnder(7, 8)
		if suspect.EndsAttempts() || beside.EndsAttempts() {
			t.Error("after one server: no other one is tried, although each request on it may be the cause")
		}
		time.Sleep(100 * time.Millisecond)
		f.endUnder(7, 9)
		if !suspect.EndsAttempts() || !suspect.MayBeCause() {
			t.Error("after two servers: a third one is tried")
		}
		if beside.EndsAttempts() {
			t.Error("a request that was beside it once isn't sent on")
		}
	})
}

// TestReleasedRequestIsSentAgain guards against a request that operators can't let through.
func TestReleasedRequestIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		for range 3 {
			f.endUnder(7)
			time.Sleep(300 * time.Millisecond)
		}
		wantRequestRefused(t, f.enterRequest(t, 7).Wait())
		if f.Refusals(quarantine.WholeRequest) != 1 || f.Refusals(quarantine.PromptPart) != 0 {
			t.Errorf("counted %d refusals of requests and %d for parts, want 1 and 0", f.Refusals(quarantine.WholeRequest), f.Refusals(quarantine.PromptPart))
		}
		if !f.Release(quarantine.RequestSubject(7)) {
			t.Fatal("the request isn't released")
		}
		if err := f.enterRequest(t, 7).Wait(); err != nil {
			t.Errorf("after the release: got %v, want none", err)
		}
	})
}
