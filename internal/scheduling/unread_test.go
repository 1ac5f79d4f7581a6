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

// pooled is a scheduler with servers of one pool that hold a model, and a learned speed
// of one prompt token per 0.1 ms.
func pooled(t *testing.T, servers int) (*core, time.Time) {
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
		first := s.Arrive(now, prompt("warm", now, 1000, 1))
		s.Progress(now, "warm", 1)
		s.Finish(now, Outcome{ID: "warm", Server: first[0].Server, FirstToken: 100 * time.Millisecond, Duration: 150 * time.Millisecond, Tokens: 10})
	}
	return c, now
}

// prompt is a request of so many tokens whose first part, of half of them, is shared by
// all requests of a topic.
func prompt(id string, now time.Time, tokens, topic int) request.Request {
	return request.Request{
		ID: request.ID(id), Model: "m@1", Service: "pool", Arrived: now,
		Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		PromptTokens: tokens, MaxTokens: 10,
		Prefix: []request.PrefixPart{{Key: uint64(topic), Tokens: tokens / 2}, {Key: uint64(topic)<<32 + uint64(len(id)) + uint64(id[len(id)-1]), Tokens: tokens}},
	}
}

// TestBurstOfLongPromptsWaitsHere replays a burst of long prompts for the only copy of a
// model: what exceeds half the objective waits here, where a new copy can still take it.
func TestBurstOfLongPromptsWaitsHere(t *testing.T) {
	c, now := pooled(t, 1)
	dispatched := 0
	for i := range 10 {
		for _, d := range c.Arrive(now, prompt(fmt.Sprint("r", i), now, 2000, i+10)) {
			if d.Action == Dispatch {
				dispatched++
			}
		}
	}
	if dispatched < 2 || dispatched > 5 {
		t.Errorf("%d prompts of 0.2 s were sent to one server at once", dispatched)
	}
	c.SetServers(now, []Server{{Name: "s0", Pool: "pool", Slots: 64}, {Name: "new", Pool: "pool", Slots: 64}})
	moved := 0
	for _, d := range c.ObserveResident(now, "new", []modelref.Ref{"m@1"}) {
		if d.Action == Dispatch && d.Server == "new" {
			moved++
		}
	}
	if moved == 0 {
		t.Error("a new copy got nothing of what waited")
	}
}

// TestRequestsThatWouldWaitTooLongAreRefusedAtOnce replays a shift to a model with one
// copy: requests waited until their deadline although their turn couldn't come.
func TestRequestsThatWouldWaitTooLongAreRefusedAtOnce(t *testing.T) {
	c, now := pooled(t, 1)
	queued, refused := 0, 0
	for i := range 60 {
		for _, d := range c.Arrive(now, prompt(fmt.Sprint("r", i), now, 2000, i+10)) {
			switch {
			case d.Action == Queue:
				queued++
			case d.Action == Refuse && d.Err.Verdict == verdict.NotRun && d.Err.RetryAfter > 0:
				refused++
			}
		}
	}
	// One prompt takes 0.2 s, and 5 s are left.
	if queued < 15 || queued > 26 || refused < 30 {
		t.Errorf("%d wait and %d were refused", queued, refused)
	}
}

func TestPromptsCountAsReadOnceTheAnswerBegins(t *testing.T) {
	c, now := pooled(t, 1)
	c.Arrive(now, prompt("a", now, 3000, 5))
	s := c.servers["s0"]
	if news := fmt.Sprint(c.TakeNews(), c.TakeNews()); s.unread != 3000 || news != "[s0] []" {
		t.Errorf("%d unread tokens, news %s", s.unread, news)
	}
	c.Progress(now, "a", 1)
	if s.unread != 0 {
		t.Errorf("%d unread tokens after the first event", s.unread)
	}
	c.Arrive(now, prompt("b", now, 3000, 6))
	c.Finish(now, Outcome{ID: "b", Server: "s0", Err: verdict.Refused(verdict.CodeServerRefused, "full"), Verdict: verdict.NotRun})
	if s.unread != 0 {
		t.Errorf("%d unread tokens after a refusal", s.unread)
	}
}

func TestPeersPromptsCount(t *testing.T) {
	c, now := pooled(t, 2)
	c.ObserveRemote(now, Remote{Instance: "other", Server: "s0", Outstanding: 3, Unread: 4000, Sequence: 1})
	for i := range 3 {
		d := c.Arrive(now, prompt(fmt.Sprint("r", i), now, 1000, i+20))
		if d[0].Action != Dispatch || d[0].Server != "s1" {
			t.Errorf("sent to %s, where a peer's prompts take 0.4 s", d[0].Server)
		}
	}
}

// TestSharedPartsMeetOnAllInstances: instances that know nothing of each other send what
// shares a part of its prompt to the same server.
func TestSharedPartsMeetOnAllInstances(t *testing.T) {
	for topic := range 8 {
		servers := map[string]bool{}
		for seed := range 5 {
			c, now := pooled(t, 6)
			c.random.Uint64()
			d := c.Arrive(now, prompt(fmt.Sprint("r", seed), now, 4000, topic+100))
			servers[d[0].Server] = true
		}
		if len(servers) != 1 {
			t.Errorf("topic %d went to %v", topic, servers)
		}
	}
}

func TestModelOnNoServerIsRefusedWhereItCannotBeLoadedInTime(t *testing.T) {
	c, now := pooled(t, 1)
	r := prompt("a", now, 100, 1)
	r.Model = "absent@1"
	if d := c.Arrive(now, r); d[0].Action != Queue {
		t.Errorf("with 5 s left and 4 s for a load: %+v", d[0])
	}
	r.ID, r.Deadline = "b", now.Add(1500*time.Millisecond)
	d := c.Arrive(now, r)
	if d[0].Action != Refuse || d[0].Err.Verdict != verdict.NotRun || d[0].Err.RetryAfter <= 0 {
		t.Errorf("with 1.5 s left and 4 s for a load, half of it expected: %+v", d[0])
	}
	// A shift moved the demand to a model without a copy, whose requests were all refused
	// for 12 s: nobody loaded it, since nothing waited.
	if loads := c.RefLoads(now); loads["absent@1"] != (RefLoad{Waiting: 2}) {
		t.Errorf("told as %+v", loads)
	}
	if loads := c.RefLoads(now.Add(3 * time.Second)); loads["absent@1"] != (RefLoad{Waiting: 1}) {
		t.Errorf("told as %+v three seconds later", loads)
	}
	if d := c.ObserveResident(now, "s0", []modelref.Ref{"absent@1"}); len(d) != 1 || d[0].Action != Dispatch {
		t.Errorf("once it is loaded: %+v", d)
	}
}

func TestServerThatLacksAModelGetsNothingForIt(t *testing.T) {
	c, now := pooled(t, 2)
	d := c.Arrive(now, prompt("a", now, 100, 1))
	lacking := d[0].Server
	c.Finish(now, Outcome{ID: "a", Server: lacking, NotResident: true, Verdict: verdict.NotRun,
		Err: verdict.Refused(verdict.CodeServerRefused, "not here")})
	for i := range 5 {
		if d := c.Arrive(now, prompt(fmt.Sprint("b", i), now, 100, i)); d[0].Server == lacking {
			t.Error("it got another request")
		}
	}
	c.ObserveLoad(now, lacking, engine.Load{Running: 1, Slots: 8})
	if batch := c.servers[lacking].limit.Batch(); batch != 8 {
		t.Errorf("batch %d after the server told 8 slots", batch)
	}
}
