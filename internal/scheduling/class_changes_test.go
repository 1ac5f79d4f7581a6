package scheduling

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

const (
	classChangeSeeds = 60
	classChangeSteps = 400
	// classChangeClasses is the most classes of a document.
	classChangeClasses = 5
)

// classChanges sends events to a scheduler whose classes come and go.
type classChanges struct {
	s      Scheduler
	random *rand.Rand
	now    time.Time
	// open are the requests that have no Dispatch or Refuse decision, and running those that were dispatched.
	open    map[request.ID]request.Request
	running map[request.ID]runningRequest
	count   int
}

type runningRequest struct {
	request.Request
	server string
}

// randomClasses returns a document with some of the classes, in a random order.
func (c *classChanges) randomClasses() *site.Document {
	d := testDocument()
	d.RequireKeys = c.random.IntN(2) == 0
	d.Budgets.RetrySpare = float64(c.random.IntN(2))
	d.Classes = nil
	for _, n := range c.random.Perm(classChangeClasses)[:1+c.random.IntN(classChangeClasses)] {
		d.Classes = append(d.Classes, site.Class{Name: fmt.Sprint("c", n), TimeoutMillis: 1000, Weight: 1, QueueLimit: 3 + c.random.IntN(4), FloorShare: 0.05})
	}
	return d
}

func (c *classChanges) request() request.Request {
	c.count++
	r := request.Request{
		ID: request.ID(fmt.Sprint(c.count)), Class: c.random.IntN(classChangeClasses+2) - 1, Arrived: c.now, PromptTokens: 10, MaxTokens: 10,
		Deadline: c.now.Add(time.Duration(c.random.IntN(3000)) * time.Millisecond), Idempotent: c.random.IntN(2) == 0,
	}
	if r.Service = "desk"; c.random.IntN(2) == 0 {
		r.Service, r.Model = "llm", modelref.Ref([]string{"m@1", "x@1", "n@1"}[c.random.IntN(3)])
	}
	if c.random.IntN(2) == 0 {
		r.Workspace = fmt.Sprint("w", c.random.IntN(3))
	}
	return r
}

func (c *classChanges) apply(decisions []Decision) {
	for _, d := range decisions {
		r, ok := c.open[d.ID]
		if !ok || d.Action == Queue {
			continue
		}
		delete(c.open, d.ID)
		if d.Action == Dispatch {
			c.running[d.ID] = runningRequest{Request: r, server: d.Server}
		}
	}
}

func (c *classChanges) anyRunning() (runningRequest, bool) {
	for _, r := range c.running {
		return r, true
	}
	return runningRequest{}, false
}

func (c *classChanges) step() {
	c.now = c.now.Add(time.Duration(c.random.IntN(60)) * time.Millisecond)
	server := fmt.Sprint("s", c.random.IntN(3))
	switch c.random.IntN(10) {
	case 0:
		c.apply(c.s.SetDocument(c.now, c.randomClasses()))
	case 1, 2, 3:
		r := c.request()
		c.open[r.ID] = r
		c.apply(c.s.Arrive(c.now, r))
	case 4, 5:
		c.finish()
	case 6:
		rep := report("m@1", "x@1")
		rep.Taken, rep.MaxBatch = c.now, 1+c.random.IntN(3)
		c.apply(c.s.ObserveReport(c.now, server, rep))
	case 7:
		if r, ok := c.anyRunning(); ok {
			c.apply(c.s.Progress(c.now, r.ID, 1+c.random.IntN(5)))
		}
		c.s.ClassLoads()
		c.s.Digest()
		c.s.WorkspacesWaiting()
	case 8:
		c.apply(c.s.Tick(c.now))
	case 9:
		c.apply(c.s.ObserveDigest(c.now, ServerDigest{
			Instance: "i2", Server: server, Outstanding: 2, Classes: make([]int, c.random.IntN(classChangeClasses+2)), Sequence: uint64(c.now.UnixMilli()),
		}))
	}
}

// finish ends a request that runs, and sometimes asks for another attempt of it.
func (c *classChanges) finish() {
	r, ok := c.anyRunning()
	if !ok {
		return
	}
	delete(c.running, r.ID)
	o := Outcome{ID: r.ID, Server: r.server, Verdict: verdict.Ran, Duration: 50 * time.Millisecond}
	if c.random.IntN(2) == 0 {
		o.Verdict, o.Err = verdict.NotRun, errors.New("refused")
	}
	c.apply(c.s.Finish(c.now, o))
	if o.Err != nil {
		c.open[r.ID] = r.Request
		c.apply(c.s.Retry(c.now, r.Request, o))
	}
}

// TestChangesOfClassesLoseNoRequest guards against a request that is dropped without a decision, or that makes the scheduler panic, since
// a configuration has other classes than the one by which the request was read.
func TestChangesOfClassesLoseNoRequest(t *testing.T) {
	for seed := range uint64(classChangeSeeds) {
		s, err := New(Options{Instance: "i1", FailureDomain: "a", Document: testDocument()})
		if err != nil {
			t.Fatal(err)
		}
		c := &classChanges{
			s: s, random: rand.New(rand.NewPCG(seed, 59)), now: epoch,
			open: map[request.ID]request.Request{}, running: map[request.ID]runningRequest{},
		}
		var servers []Server
		for n := range 3 {
			servers = append(servers, Server{Name: fmt.Sprint("s", n), FailureDomain: "a", Near: true, Services: []string{"desk"}})
		}
		c.apply(s.SetServers(c.now, servers))
		for range classChangeSteps {
			c.step()
		}
		// All deadlines pass.
		c.now = c.now.Add(10 * time.Second)
		c.apply(s.Tick(c.now))
		if len(c.open) > 0 {
			t.Errorf("seed %d: %d of %d requests have no decision after their deadlines", seed, len(c.open), c.count)
		}
	}
}
