package atmostonce

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

const (
	fuzzSteps     = 2000
	fuzzInstances = 3
	retention     = 5 * time.Minute
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// draw returns a random number from 0 to n-1.
type draw func(label string, n int) int

// simulatedRequest is one non-idempotent request as its caller and the test's oracle
// see it.
type simulatedRequest struct {
	id request.ID
	// originSent is when the attempt that origin names was sent. Repeats state their age
	// from it.
	originSent time.Time
	// attempts counts the attempts; the caller hears only the answer of the newest one.
	attempts int
	// origin is the first attempt whose outcome the caller doesn't know.
	origin Origin
	// heardNotRun is true from when the caller is told NotRun until the next attempt.
	heardNotRun bool
	// runs counts the ended executions, except those that ended with NotRun.
	runs int
	// runningOn is the instance and incarnation where the request runs now.
	runningOn string
	// runningAttempt is the number of the attempt that runs.
	runningAttempt int
}

// attempt is one attempt of a request on an instance.
type attempt struct {
	request  *simulatedRequest
	number   int
	instance int
	origin   Origin
}

// pendingQuestion is a question in transit to a peer, or its answer in transit back.
type pendingQuestion struct {
	attempt
	askerIncarnation uint64
	peer             string
	question         Question
	answered         bool
	answer           Answer
}

// simulation runs some registries and their callers, with random delays, losses and
// restarts. It checks every answer against what really ran.
type simulation struct {
	draw            draw
	now             time.Time
	instances       []*Registry
	requests        []*simulatedRequest
	questions       []*pendingQuestion
	delayed         []attempt
	lastIncarnation uint64
	lastRequest     int
	// injectFault lets a test change a question before it is answered.
	injectFault func(*Registry, *Question)
	// retention is the Options.Retention of all instances.
	retention time.Duration
	// capacity is the Options.Capacity of all instances.
	capacity int
}

func newSimulation(d draw) *simulation {
	sim := &simulation{draw: d, now: epoch, retention: retention, capacity: 1000}
	for range fuzzInstances {
		sim.instances = append(sim.instances, nil)
	}
	return sim
}

func (sim *simulation) startInstance(i int) {
	sim.lastIncarnation++
	sim.instances[i] = New(Options{
		Instance: fmt.Sprint(i), Incarnation: sim.lastIncarnation, Retention: sim.retention, Capacity: sim.capacity,
	})
}

func (sim *simulation) step() error {
	sim.now = sim.now.Add(time.Duration(sim.draw("pass", 1500)) * time.Millisecond)
	switch sim.draw("event", 20) {
	case 0:
		return sim.newRequest()
	case 1, 2, 3, 4, 5, 6:
		return sim.repeatRequest()
	case 7, 8, 9, 10, 11, 12:
		return sim.deliverMessage()
	case 13, 14, 15, 16, 17, 18:
		return sim.endRequest()
	}
	return sim.restartOrPause()
}

// newRequest sends the first attempt of a new request.
func (sim *simulation) newRequest() error {
	sim.lastRequest++
	req := &simulatedRequest{id: request.ID(fmt.Sprint("r", sim.lastRequest)), originSent: sim.now}
	sim.requests = append(sim.requests, req)
	return sim.send(req)
}

// send sends the next attempt of a request. It names the first attempt of unknown
// outcome, if there is one, and may be delayed in the network.
func (sim *simulation) send(req *simulatedRequest) error {
	req.attempts++
	req.heardNotRun = false
	a := attempt{request: req, number: req.attempts, instance: sim.draw("to", fuzzInstances), origin: req.origin}
	if req.origin.Instance == "" {
		req.origin = sim.origin(a.instance)
		req.originSent = sim.now
	} else {
		a.origin.Age, a.origin.AgeKnown = sim.now.Sub(req.originSent), sim.draw("knows age", 4) > 0
	}
	if sim.draw("late", 4) == 0 {
		sim.delayed = append(sim.delayed, a)
		return nil
	}
	return sim.begin(a)
}

func (sim *simulation) begin(a attempt) error {
	return sim.applyStep(a, sim.instances[a.instance].Begin(sim.now, a.request.id, a.origin))
}

// origin is what a caller knows about an instance, sometimes without its incarnation.
func (sim *simulation) origin(i int) Origin {
	o := Origin{Instance: fmt.Sprint(i)}
	if sim.draw("knows incarnation", 4) > 0 {
		o.Incarnation = sim.instances[i].options.Incarnation
	}
	return o
}

// repeatRequest sends a caller's repeat of a request.
func (sim *simulation) repeatRequest() error {
	req := sim.pickRequest()
	if req == nil {
		return nil
	}
	return sim.send(req)
}

func (sim *simulation) pickRequest() *simulatedRequest {
	if len(sim.requests) == 0 {
		return nil
	}
	return sim.requests[len(sim.requests)-1-sim.draw("job", min(len(sim.requests), 6))]
}

// applyStep carries out the next step of an attempt. It fails if the attempt is told to
// run although the request ran, runs, or its caller was told NotRun.
func (sim *simulation) applyStep(a attempt, s Step) error {
	req := a.request
	switch s.Action {
	case Run:
		if req.runningOn != "" || req.runs > 0 || req.heardNotRun {
			return fmt.Errorf("%s was told to run on instance %d, want it not run: %d earlier runs, now running on %q, caller was told not-run: %v", req.id, a.instance, req.runs, req.runningOn, req.heardNotRun)
		}
		req.runningOn = sim.location(a.instance)
		req.runningAttempt = a.number
	case AskPeer:
		sim.questions = append(sim.questions, &pendingQuestion{
			attempt: a, askerIncarnation: sim.instances[a.instance].options.Incarnation, peer: s.Peer, question: s.Question,
		})
	case Duplicate:
		return sim.observeVerdict(a, s.Err.Verdict)
	}
	return nil
}

// observeVerdict checks a verdict against what really ran, and passes it to the caller if
// it is for the newest attempt.
func (sim *simulation) observeVerdict(a attempt, v verdict.Verdict) error {
	req := a.request
	if v == verdict.NotRun && (req.runs > 0 || req.runningOn != "") && a.number == req.attempts {
		return fmt.Errorf("%s: got verdict not-run, but it ran %d times and runs now on %q", req.id, req.runs, req.runningOn)
	}
	if v == verdict.Ran && req.runs == 0 {
		return fmt.Errorf("%s: got verdict ran, but it never ran", req.id)
	}
	if v == verdict.NotRun && a.number == req.attempts {
		req.origin = Origin{}
		req.heardNotRun = true
	}
	return nil
}

// location names an instance with its current incarnation.
func (sim *simulation) location(i int) string {
	return fmt.Sprint(i, "/", sim.instances[i].options.Incarnation)
}

// deliverMessage delivers or loses a question or an answer, or delivers a delayed attempt.
func (sim *simulation) deliverMessage() error {
	if n := len(sim.delayed); n > 0 && sim.draw("late arrives", 4) == 0 {
		a := sim.delayed[n-1]
		sim.delayed = sim.delayed[:n-1]
		return sim.begin(a)
	}
	if len(sim.questions) == 0 {
		return nil
	}
	index := sim.draw("question", len(sim.questions))
	q := sim.questions[index]
	lost := sim.draw("lost", 6) == 0
	if !q.answered && !lost {
		q.answered = true
		for i, r := range sim.instances {
			if fmt.Sprint(i) == q.peer {
				if sim.injectFault != nil {
					sim.injectFault(r, &q.question)
				}
				q.answer = r.AnswerPeer(sim.now, q.question)
			}
		}
		return nil
	}
	sim.questions = append(sim.questions[:index], sim.questions[index+1:]...)
	if sim.instances[q.instance].options.Incarnation != q.askerIncarnation {
		return nil
	}
	if lost {
		q.answer = Answer{}
	}
	return sim.applyStep(q.attempt, sim.instances[q.instance].PeerAnswer(sim.now, q.request.id, q.answer))
}

func (sim *simulation) endRequest() error {
	req := sim.pickRequest()
	if req == nil || req.runningOn == "" {
		return nil
	}
	for i, r := range sim.instances {
		if sim.location(i) != req.runningOn {
			continue
		}
		// Most requests end with NotRun, so that their callers send them again.
		v := []verdict.Verdict{verdict.Ran, verdict.MayHaveRun, verdict.NotRun}[min(2, sim.draw("verdict", 8))]
		if v != verdict.NotRun {
			req.runs++
		}
		req.runningOn = ""
		r.End(sim.now, req.id, v)
		if sim.draw("caller hears", 2) == 0 {
			return sim.observeVerdict(attempt{request: req, number: req.runningAttempt}, v)
		}
	}
	return nil
}

// restartOrPause restarts an instance, or lets up to 300 s pass, in which all messages in
// transit are lost.
func (sim *simulation) restartOrPause() error {
	if sim.draw("disturb", 2) == 0 {
		sim.now = sim.now.Add(time.Duration(sim.draw("long", 300)) * time.Second)
		sim.delayed = nil
		sim.questions = nil
		return nil
	}
	i := sim.draw("restarts", fuzzInstances)
	for _, req := range sim.requests {
		if req.runningOn == sim.location(i) {
			req.runningOn = ""
			req.runs++
		}
	}
	kept := sim.delayed[:0]
	for _, a := range sim.delayed {
		if a.instance != i {
			kept = append(kept, a)
		}
	}
	sim.delayed = kept
	sim.startInstance(i)
	return nil
}

func (sim *simulation) run(steps int) error {
	for i := range sim.instances {
		sim.startInstance(i)
	}
	for n := range steps {
		if err := sim.step(); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return nil
}

// TestFuzz guards against requests that run twice and against wrong verdicts, under random
// delays, losses, restarts and full registries.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		sim := newSimulation(d)
		if d("small", 2) == 0 {
			sim.capacity = 15
		}
		if err := sim.run(fuzzSteps); err != nil {
			t.Fatal(err)
		}
	})
}

// seeded returns a draw whose numbers depend only on the seed.
func seeded(seed uint64) draw {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(_ string, n int) int { return random.IntN(n) }
}

// removeRecord removes a request and its expiry record, because expire requires an entry
// for each expiry record.
func removeRecord(r *Registry, id request.ID) {
	delete(r.entries, id)
	r.expiryQueue = slices.DeleteFunc(r.expiryQueue, func(a expiryRecord) bool { return a.id == id })
	r.expiryHead = min(r.expiryHead, len(r.expiryQueue))
}

// TestOracleCatchesBrokenRegistries guards against an oracle that misses faults: it breaks
// the registries in ways that must lead to a second run or a wrong verdict.
func TestOracleCatchesBrokenRegistries(t *testing.T) {
	variants := map[string]func(sim *simulation){
		"drops barred records": func(sim *simulation) {
			sim.injectFault = func(r *Registry, q *Question) {
				if e := r.entries[q.ID]; e != nil && e.state == barred {
					removeRecord(r, q.ID)
				}
			}
		},
		"ignores that an instance restarted": func(sim *simulation) {
			sim.injectFault = func(r *Registry, q *Question) { q.Origin.Incarnation = r.options.Incarnation }
		},
		"drops records of running requests": func(sim *simulation) {
			sim.injectFault = func(r *Registry, q *Question) {
				if e := r.entries[q.ID]; e != nil && e.state == running {
					removeRecord(r, q.ID)
				}
			}
		},
		"drops records too early": func(sim *simulation) {
			sim.retention = 20 * time.Second
			sim.injectFault = func(_ *Registry, q *Question) { q.Origin.Age = 0 }
		},
	}
	for name, configure := range variants {
		t.Run(name, func(t *testing.T) {
			const seed = 1
			sim := newSimulation(seeded(seed))
			configure(sim)
			err := sim.run(20 * fuzzSteps)
			if err == nil {
				t.Fatalf("seed %d: the oracle reported no error, want one", seed)
			}
			t.Logf("seed %d: the oracle reported: %v", seed, err)
		})
	}
}
