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
	id        request.ID
	firstSent time.Time
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

// sim runs some registries and their callers, with random delays, losses and restarts, and
// checks every answer against what really ran.
type sim struct {
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

func newSimulation(d draw) *sim {
	w := &sim{draw: d, now: epoch, retention: retention, capacity: 1000}
	for range fuzzInstances {
		w.instances = append(w.instances, nil)
	}
	return w
}

func (w *sim) startInstance(i int) {
	w.lastIncarnation++
	w.instances[i] = New(Options{
		Instance: fmt.Sprint(i), Incarnation: w.lastIncarnation, Retention: w.retention, Capacity: w.capacity,
	})
}

func (w *sim) step() error {
	w.now = w.now.Add(time.Duration(w.draw("pass", 1500)) * time.Millisecond)
	switch w.draw("event", 20) {
	case 0:
		return w.newRequest()
	case 1, 2, 3, 4, 5, 6:
		return w.repeatRequest()
	case 7, 8, 9, 10, 11, 12:
		return w.deliverMessage()
	case 13, 14, 15, 16, 17, 18:
		return w.endRequest()
	}
	return w.restartOrPause()
}

// newRequest sends the first attempt of a new request.
func (w *sim) newRequest() error {
	w.lastRequest++
	req := &simulatedRequest{id: request.ID(fmt.Sprint("r", w.lastRequest)), firstSent: w.now}
	w.requests = append(w.requests, req)
	return w.send(req)
}

// send sends the next attempt of a request. It names the first attempt of unknown
// outcome, if there is one, and may be delayed in the network.
func (w *sim) send(req *simulatedRequest) error {
	req.attempts++
	req.heardNotRun = false
	a := attempt{request: req, number: req.attempts, instance: w.draw("to", fuzzInstances), origin: req.origin}
	if req.origin.Instance == "" {
		req.origin = w.origin(a.instance)
		req.firstSent = w.now
	} else {
		a.origin.Age, a.origin.AgeKnown = w.now.Sub(req.firstSent), w.draw("knows age", 4) > 0
	}
	if w.draw("late", 4) == 0 {
		w.delayed = append(w.delayed, a)
		return nil
	}
	return w.begin(a)
}

func (w *sim) begin(a attempt) error {
	return w.applyStep(a, w.instances[a.instance].Begin(w.now, a.request.id, a.origin))
}

// origin is what a caller knows about an instance, sometimes without its incarnation.
func (w *sim) origin(i int) Origin {
	o := Origin{Instance: fmt.Sprint(i)}
	if w.draw("knows incarnation", 4) > 0 {
		o.Incarnation = w.instances[i].options.Incarnation
	}
	return o
}

// repeatRequest sends a caller's repeat of a request.
func (w *sim) repeatRequest() error {
	req := w.pickRequest()
	if req == nil {
		return nil
	}
	return w.send(req)
}

func (w *sim) pickRequest() *simulatedRequest {
	if len(w.requests) == 0 {
		return nil
	}
	return w.requests[len(w.requests)-1-w.draw("job", min(len(w.requests), 6))]
}

// applyStep carries out the next step of an attempt. It fails if the attempt is told to
// run although the request ran, runs, or its caller was told NotRun.
func (w *sim) applyStep(a attempt, s Step) error {
	req := a.request
	switch s.Action {
	case Run:
		if req.runningOn != "" || req.runs > 0 || req.heardNotRun {
			return fmt.Errorf("%s was told to run on instance %d; %d earlier runs, now running on %q, caller was told not-run: %v", req.id, a.instance, req.runs, req.runningOn, req.heardNotRun)
		}
		req.runningOn = w.location(a.instance)
		req.runningAttempt = a.number
	case AskPeer:
		w.questions = append(w.questions, &pendingQuestion{
			attempt: a, askerIncarnation: w.instances[a.instance].options.Incarnation, peer: s.Peer, question: s.Question,
		})
	case Duplicate:
		return w.observeVerdict(a, s.Err.Verdict)
	}
	return nil
}

// observeVerdict checks a verdict against what really ran, and passes it to the caller if
// it is for the newest attempt.
func (w *sim) observeVerdict(a attempt, v verdict.Verdict) error {
	req := a.request
	if v == verdict.NotRun && (req.runs > 0 || req.runningOn != "") && a.number == req.attempts {
		return fmt.Errorf("%s: verdict not-run, but it ran %d times and runs now on %q", req.id, req.runs, req.runningOn)
	}
	if v == verdict.Ran && req.runs == 0 {
		return fmt.Errorf("%s: verdict ran, but it never ran", req.id)
	}
	if v == verdict.NotRun && a.number == req.attempts {
		req.origin = Origin{}
		req.heardNotRun = true
	}
	return nil
}

// location names an instance with its current incarnation.
func (w *sim) location(i int) string { return fmt.Sprint(i, "/", w.instances[i].options.Incarnation) }

// deliverMessage delivers or loses a question or an answer, or delivers a delayed attempt.
func (w *sim) deliverMessage() error {
	if n := len(w.delayed); n > 0 && w.draw("late arrives", 4) == 0 {
		a := w.delayed[n-1]
		w.delayed = w.delayed[:n-1]
		return w.begin(a)
	}
	if len(w.questions) == 0 {
		return nil
	}
	index := w.draw("question", len(w.questions))
	q := w.questions[index]
	lost := w.draw("lost", 6) == 0
	if !q.answered && !lost {
		q.answered = true
		for i, r := range w.instances {
			if fmt.Sprint(i) == q.peer {
				if w.injectFault != nil {
					w.injectFault(r, &q.question)
				}
				q.answer = r.AnswerPeer(w.now, q.question)
			}
		}
		return nil
	}
	w.questions = append(w.questions[:index], w.questions[index+1:]...)
	if w.instances[q.instance].options.Incarnation != q.askerIncarnation {
		return nil
	}
	if lost {
		q.answer = Answer{}
	}
	return w.applyStep(q.attempt, w.instances[q.instance].PeerAnswer(w.now, q.request.id, q.answer))
}

// endRequest ends a running request.
func (w *sim) endRequest() error {
	req := w.pickRequest()
	if req == nil || req.runningOn == "" {
		return nil
	}
	for i, r := range w.instances {
		if w.location(i) != req.runningOn {
			continue
		}
		v := []verdict.Verdict{verdict.Ran, verdict.MayHaveRun, verdict.NotRun}[min(2, w.draw("verdict", 8))]
		if v != verdict.NotRun {
			req.runs++
		}
		req.runningOn = ""
		r.End(w.now, req.id, v)
		if w.draw("caller hears", 2) == 0 {
			return w.observeVerdict(attempt{request: req, number: req.runningAttempt}, v)
		}
	}
	return nil
}

// restartOrPause restarts an instance, or lets up to 300 s pass, in which all messages in
// transit are lost.
func (w *sim) restartOrPause() error {
	if w.draw("disturb", 2) == 0 {
		w.now = w.now.Add(time.Duration(w.draw("long", 300)) * time.Second)
		w.delayed = nil
		w.questions = nil
		return nil
	}
	i := w.draw("restarts", fuzzInstances)
	for _, req := range w.requests {
		if req.runningOn == w.location(i) {
			req.runningOn = ""
			req.runs++
		}
	}
	kept := w.delayed[:0]
	for _, a := range w.delayed {
		if a.instance != i {
			kept = append(kept, a)
		}
	}
	w.delayed = kept
	w.startInstance(i)
	return nil
}

func (w *sim) run(steps int) error {
	for i := range w.instances {
		w.startInstance(i)
	}
	for n := range steps {
		if err := w.step(); err != nil {
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
		w := newSimulation(d)
		if d("small", 2) == 0 {
			w.capacity = 15
		}
		if err := w.run(fuzzSteps); err != nil {
			t.Fatal(err)
		}
	})
}

// seeded returns a draw whose numbers depend only on the seed.
func seeded(seed uint64) draw {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(_ string, n int) int { return random.IntN(n) }
}

// forget removes a request from a registry without a trace.
func forget(r *Registry, id request.ID) {
	delete(r.entries, id)
	r.expiryQueue = slices.DeleteFunc(r.expiryQueue, func(a expiryRecord) bool { return a.id == id })
	r.expiryHead = min(r.expiryHead, len(r.expiryQueue))
}

// TestOracleCatchesBrokenRegistries guards against an oracle that misses faults: it breaks
// the registries in ways that must lead to a second run or a wrong verdict.
func TestOracleCatchesBrokenRegistries(t *testing.T) {
	variants := map[string]func(w *sim){
		"drops barred records": func(w *sim) {
			w.injectFault = func(r *Registry, q *Question) {
				if e := r.entries[q.ID]; e != nil && e.state == barred {
					forget(r, q.ID)
				}
			}
		},
		"ignores that an instance restarted": func(w *sim) {
			w.injectFault = func(r *Registry, q *Question) { q.Origin.Incarnation = r.options.Incarnation }
		},
		"drops records of running requests": func(w *sim) {
			w.injectFault = func(r *Registry, q *Question) {
				if e := r.entries[q.ID]; e != nil && e.state == running {
					forget(r, q.ID)
				}
			}
		},
		"drops records too early": func(w *sim) {
			w.retention = 20 * time.Second
			w.injectFault = func(_ *Registry, q *Question) { q.Origin.Age = 0 }
		},
	}
	for name, configure := range variants {
		t.Run(name, func(t *testing.T) {
			const seed = 1
			w := newSimulation(seeded(seed))
			configure(w)
			err := w.run(20 * fuzzSteps)
			if err == nil {
				t.Fatalf("seed %d: the oracle reported no error, want one", seed)
			}
			t.Logf("seed %d: the oracle reported: %v", seed, err)
		})
	}
}
