package scheduling

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// newPoolScheduler returns a scheduler with servers of one pool that all hold the model m@1, and
// with a learned prefill time of 0.1 ms per prompt token.
func newPoolScheduler(t *testing.T, servers int) (*core, time.Time) {
	t.Helper()
	s, err := New(Options{Instance: "i", Seed: 1, Document: &site.Document{
		Classes: []site.Class{{Name: "c", TimeoutMillis: 1000, Weight: 1, QueueLimit: 100}},
		Budgets: site.Budgets{LoadMillis: 4000, RetrySpare: 3},
		Pools:   []site.Pool{{Service: "pool"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	var list []Server
	for i := range servers {
		list = append(list, Server{Name: fmt.Sprint("s", i), Pool: "pool", Slots: 64})
	}
	s.SetServers(now, list)
	for _, server := range list {
		s.ObserveResident(now, server.Name, []modelref.Ref{"m@1"})
	}
	c := s.(*core)
	for range 5 {
		first := s.Arrive(now, promptRequest("warm", now, 1000, 1))
		s.Progress(now, "warm", 1)
		s.Finish(now, Outcome{ID: "warm", Server: first[0].Server, FirstToken: 100 * time.Millisecond, Duration: 150 * time.Millisecond, Tokens: 10})
	}
	return c, now
}

// promptRequest returns a request with a prompt of the given number of tokens. The first half of
// the prompt is shared by all requests of a topic. Requests of a topic
// have different keys for the whole prompt unless their IDs have the same length and the same last
// character.
func promptRequest(id string, now time.Time, tokens, topic int) request.Request {
	return request.Request{
		ID: request.ID(id), Model: "m@1", Service: "pool", Arrived: now,
		Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		PromptTokens: tokens, MaxTokens: 10,
		Prefix: []request.PrefixPart{{Key: uint64(topic), Tokens: tokens / 2}, {Key: uint64(topic)<<32 + uint64(len(id)) + uint64(id[len(id)-1]), Tokens: tokens}},
	}
}

// TestBurstOfLongPromptsWaitsInTheInstance sends a burst of long prompts for a model with only
// one copy. Once the prompts on the server take more than half the time to the objective of 1 s
// to prefill, further ones must wait in the instance, from where a new copy can still take them.
func TestBurstOfLongPromptsWaitsInTheInstance(t *testing.T) {
	c, now := newPoolScheduler(t, 1)
	dispatched := 0
	for i := range 10 {
		for _, d := range c.Arrive(now, promptRequest(fmt.Sprint("r", i), now, 2000, i+10)) {
			if d.Action == Dispatch {
				dispatched++
			}
		}
	}
	if dispatched < 2 || dispatched > 5 {
		t.Errorf("%d prompts of 0.2 s each were sent to one server, want 2 to 5", dispatched)
	}
	c.SetServers(now, []Server{{Name: "s0", Pool: "pool", Slots: 64}, {Name: "new", Pool: "pool", Slots: 64}})
	toNewCopy := 0
	for _, d := range c.ObserveResident(now, "new", []modelref.Ref{"m@1"}) {
		if d.Action == Dispatch && d.Server == "new" {
			toNewCopy++
		}
	}
	if toNewCopy == 0 {
		t.Error("a new copy got none of the waiting requests")
	}
}

// TestRequestsThatWouldWaitTooLongAreRefusedAtOnce guards against requests that wait until their
// deadline although they can't be served in time, which happens if many requests with long
// prompts come for a model with one copy.
func TestRequestsThatWouldWaitTooLongAreRefusedAtOnce(t *testing.T) {
	c, now := newPoolScheduler(t, 1)
	queued, refused := 0, 0
	for i := range 60 {
		for _, d := range c.Arrive(now, promptRequest(fmt.Sprint("r", i), now, 2000, i+10)) {
			switch {
			case d.Action == Queue:
				queued++
			case d.Action == Refuse && d.Err.Verdict == verdict.NotRun && d.Err.RetryAfter > 0:
				refused++
			}
		}
	}
	// One prompt takes 0.2 s to prefill and 5 s are left, so about 25 fit.
	if queued < 15 || queued > 26 || refused < 30 {
		t.Errorf("%d requests wait and %d were refused, want 15 to 26 and at least 30", queued, refused)
	}
}

// TestPromptsArePendingUntilTheAnswerBegins checks that the tokens of a prompt count as pending
// prefill until its answer begins or the request ends, and that peers are told of a long prompt
// without delay, once.
func TestPromptsArePendingUntilTheAnswerBegins(t *testing.T) {
	c, now := newPoolScheduler(t, 1)
	c.Arrive(now, promptRequest("a", now, 3000, 5))
	s := c.servers["s0"]
	if taken := fmt.Sprint(c.TakeUrgentUpdates(), c.TakeUrgentUpdates()); s.pendingPrefillTokens != 3000 || taken != "[s0] []" {
		t.Errorf("%d pending prefill tokens, want 3000; servers of two calls of TakeUrgentUpdates: %s, want [s0] []", s.pendingPrefillTokens, taken)
	}
	c.Progress(now, "a", 1)
	if s.pendingPrefillTokens != 0 {
		t.Errorf("%d pending prefill tokens after the first event, want 0", s.pendingPrefillTokens)
	}
	c.Arrive(now, promptRequest("b", now, 3000, 6))
	c.Finish(now, Outcome{ID: "b", Server: "s0", Err: verdict.Refused(verdict.CodeServerRefused, "full"), Verdict: verdict.NotRun})
	if s.pendingPrefillTokens != 0 {
		t.Errorf("%d pending prefill tokens after a refusal, want 0", s.pendingPrefillTokens)
	}
}

// TestBacklogIncludesPeersPrompts guards against a burst that all instances send to the same
// server: the pending prefill tokens in a peer's digest must count.
func TestBacklogIncludesPeersPrompts(t *testing.T) {
	c, now := newPoolScheduler(t, 2)
	c.ObserveDigest(now, ServerDigest{Instance: "other", Server: "s0", Outstanding: 3, PendingPrefillTokens: 4000, Sequence: 1})
	for i := range 3 {
		d := c.Arrive(now, promptRequest(fmt.Sprint("r", i), now, 1000, i+20))
		if d[0].Action != Dispatch || d[0].Server != "s1" {
			t.Errorf("sent to %s, want s1: a peer's prompts keep s0 busy for 0.4 s", d[0].Server)
		}
	}
}

// TestInstancesSendASharedPrefixToTheSameServer checks that instances without digests from each
// other send requests that share a part of their prompt to the same server.
func TestInstancesSendASharedPrefixToTheSameServer(t *testing.T) {
	for topic := range 8 {
		servers := map[string]bool{}
		for instance := range 5 {
			c, now := newPoolScheduler(t, 6)
			c.random.Uint64()
			d := c.Arrive(now, promptRequest(fmt.Sprint("r", instance), now, 4000, topic+100))
			servers[d[0].Server] = true
		}
		if len(servers) != 1 {
			t.Errorf("requests of topic %d were sent to %v, want one server", topic, servers)
		}
	}
}

// TestRequestIsRefusedIfItsModelCannotBeLoadedInTime checks that a request for a model that no
// server holds waits if the load can end in time and is refused otherwise, that both count as
// demand, and that the waiting one is dispatched once the model is loaded.
func TestRequestIsRefusedIfItsModelCannotBeLoadedInTime(t *testing.T) {
	c, now := newPoolScheduler(t, 1)
	r := promptRequest("a", now, 100, 1)
	r.Model = "absent@1"
	if d := c.Arrive(now, r); d[0].Action != Queue {
		t.Errorf("with 5 s left and 4 s for a load: %+v, want queueing", d[0])
	}
	r.ID, r.Deadline = "b", now.Add(1500*time.Millisecond)
	d := c.Arrive(now, r)
	if d[0].Action != Refuse || d[0].Err.Verdict != verdict.NotRun || d[0].Err.RetryAfter <= 0 {
		t.Errorf("with 1.5 s left and 4 s for a load, half of it expected: %+v, want a refusal", d[0])
	}
	// A refused request must count as demand for a copy. Otherwise a model of which all requests
	// are refused at once would never be loaded, since no request waits for it.
	if loads := c.RefLoads(now); loads["absent@1"] != (RefLoad{Waiting: 2, PrefillTime: 20 * time.Millisecond}) {
		t.Errorf("loads right after the refusal = %+v, want 2 waiting with prompts of 10 ms each", loads)
	}
	if loads := c.RefLoads(now.Add(3 * time.Second)); loads["absent@1"] != (RefLoad{Waiting: 1, PrefillTime: 10 * time.Millisecond}) {
		t.Errorf("loads three seconds later = %+v, want 1 waiting with a prompt of 10 ms", loads)
	}
	if d := c.ObserveResident(now, "s0", []modelref.Ref{"absent@1"}); len(d) != 1 || d[0].Action != Dispatch {
		t.Errorf("decisions once the model is loaded = %+v, want one dispatch", d)
	}
}

// TestServerWithoutTheModelGetsNoRequestsForIt checks that a refusal because a model isn't resident
// keeps further requests for it away from the server for the time of the back-off, and that the
// slots which the server reports with an answer become its batch size.
func TestServerWithoutTheModelGetsNoRequestsForIt(t *testing.T) {
	c, now := newPoolScheduler(t, 2)
	d := c.Arrive(now, promptRequest("a", now, 100, 1))
	refusing := d[0].Server
	c.Finish(now, Outcome{ID: "a", Server: refusing, NotResident: true, Verdict: verdict.NotRun,
		Err: verdict.Refused(verdict.CodeServerRefused, "not here")})
	for i := range 5 {
		if d := c.Arrive(now, promptRequest(fmt.Sprint("b", i), now, 100, i)); d[0].Server == refusing {
			t.Error("the server that refused a request because it doesn't hold the model got another one for it")
		}
	}
	c.ObserveLoad(now, refusing, engine.StatedLoad{Running: 1, Slots: 8})
	if batch := c.servers[refusing].limit.Batch(); batch != 8 {
		t.Errorf("batch = %d after the server reported 8 slots, want 8", batch)
	}
}
