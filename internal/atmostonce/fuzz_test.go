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

type draw func(label string, n int) int

// job is one non-idempotent request as its caller and the oracle see it.
type job struct {
	id    request.ID
	first time.Time
	// attempts counts the sendings; only the newest one's answer is heard.
	attempts int
	// unclear is the first attempt of unknown outcome.
	unclear Origin
	// refused is true from a NotRun heard until the next attempt.
	refused bool
	// runs counts the executions that weren't proved not to have run.
	runs int
	// running names the instance and incarnation where it runs now.
	running string
	// runner is the attempt that runs.
	runner int
}

// attempt is one sending of a job.
type attempt struct {
	job    *job
	number int
	to     int
	origin Origin
}

// question is a question on its way, or answered with the answer on its way back.
type question struct {
	attempt
	askedBy  uint64
	peer     string
	question Question
	answered bool
	answer   Answer
}

type world struct {
	draw      draw
	now       time.Time
	instances []*Registry
	jobs      []*job
	questions []*question
	late      []attempt
	started   uint64
	next      int
	// broken lets a test change a question before it is answered.
	broken func(*Registry, *Question)
	// retention is what the instances are given.
	retention time.Duration
	// capacity is what the instances are given.
	capacity int
}

func newWorld(d draw) *world {
	w := &world{draw: d, now: epoch, retention: retention, capacity: 1000}
	for range fuzzInstances {
		w.instances = append(w.instances, nil)
	}
	return w
}

func (w *world) start(i int) {
	w.started++
	w.instances[i] = New(Options{
		Instance: fmt.Sprint(i), Incarnation: w.started, Retention: w.retention, Capacity: w.capacity,
	})
}

func (w *world) step() error {
	w.now = w.now.Add(time.Duration(w.draw("pass", 1500)) * time.Millisecond)
	switch w.draw("event", 20) {
	case 0:
		return w.arrive()
	case 1, 2, 3, 4, 5, 6:
		return w.repeat()
	case 7, 8, 9, 10, 11, 12:
		return w.deliver()
	case 13, 14, 15, 16, 17, 18:
		return w.end()
	}
	return w.disturb()
}

// arrive is a new request.
func (w *world) arrive() error {
	w.next++
	j := &job{id: request.ID(fmt.Sprint("r", w.next)), first: w.now}
	w.jobs = append(w.jobs, j)
	return w.send(j)
}

// send is the next attempt of a job. It names the first one of unknown outcome, if
// any, and may be held up in the network.
func (w *world) send(j *job) error {
	j.attempts++
	j.refused = false
	a := attempt{job: j, number: j.attempts, to: w.draw("to", fuzzInstances), origin: j.unclear}
	if j.unclear.Instance == "" {
		j.unclear = w.origin(a.to)
		j.first = w.now
	} else {
		a.origin.Age, a.origin.AgeKnown = w.now.Sub(j.first), w.draw("knows age", 4) > 0
	}
	if w.draw("late", 4) == 0 {
		w.late = append(w.late, a)
		return nil
	}
	return w.begin(a)
}

func (w *world) begin(a attempt) error {
	return w.take(a, w.instances[a.to].Begin(w.now, a.job.id, a.origin))
}

// origin is what a caller knows of an instance: sometimes not its incarnation.
func (w *world) origin(i int) Origin {
	o := Origin{Instance: fmt.Sprint(i)}
	if w.draw("knows incarnation", 4) > 0 {
		o.Incarnation = w.instances[i].options.Incarnation
	}
	return o
}

// repeat is a caller's repeat of a request.
func (w *world) repeat() error {
	j := w.pick()
	if j == nil {
		return nil
	}
	return w.send(j)
}

func (w *world) pick() *job {
	if len(w.jobs) == 0 {
		return nil
	}
	return w.jobs[len(w.jobs)-1-w.draw("job", min(len(w.jobs), 6))]
}

// take carries out a step about an attempt.
func (w *world) take(a attempt, s Step) error {
	j := a.job
	switch s.Action {
	case Run:
		if j.running != "" || j.runs > 0 || j.refused {
			return fmt.Errorf("%s runs at %d; %d runs before, now at %q, refused %v", j.id, a.to, j.runs, j.running, j.refused)
		}
		j.running = w.place(a.to)
		j.runner = a.number
	case AskPeer:
		w.questions = append(w.questions, &question{
			attempt: a, askedBy: w.instances[a.to].options.Incarnation, peer: s.Peer, question: s.Question,
		})
	case Duplicate:
		return w.answer(a, s.Err.Verdict)
	}
	return nil
}

// answer checks an answer, and lets the caller of the newest attempt hear it.
func (w *world) answer(a attempt, v verdict.Verdict) error {
	j := a.job
	if v == verdict.NotRun && (j.runs > 0 || j.running != "") && a.number == j.attempts {
		return fmt.Errorf("%s: said not to have run; %d runs, now at %q", j.id, j.runs, j.running)
	}
	if v == verdict.Ran && j.runs == 0 {
		return fmt.Errorf("%s: said to have run, but never ran", j.id)
	}
	if v == verdict.NotRun && a.number == j.attempts {
		j.unclear = Origin{}
		j.refused = true
	}
	return nil
}

func (w *world) place(i int) string { return fmt.Sprint(i, "/", w.instances[i].options.Incarnation) }

// deliver moves one question on, loses it, or delivers a late attempt.
func (w *world) deliver() error {
	if n := len(w.late); n > 0 && w.draw("late arrives", 4) == 0 {
		l := w.late[n-1]
		w.late = w.late[:n-1]
		return w.begin(l)
	}
	if len(w.questions) == 0 {
		return nil
	}
	at := w.draw("question", len(w.questions))
	q := w.questions[at]
	lost := w.draw("lost", 6) == 0
	if !q.answered && !lost {
		q.answered = true
		for i, r := range w.instances {
			if fmt.Sprint(i) == q.peer {
				if w.broken != nil {
					w.broken(r, &q.question)
				}
				q.answer = r.Bar(w.now, q.question)
			}
		}
		return nil
	}
	w.questions = append(w.questions[:at], w.questions[at+1:]...)
	if w.instances[q.to].options.Incarnation != q.askedBy {
		return nil
	}
	if lost {
		q.answer = Answer{}
	}
	return w.take(q.attempt, w.instances[q.to].PeerAnswer(w.now, q.job.id, q.answer))
}

// end ends a running request.
func (w *world) end() error {
	j := w.pick()
	if j == nil || j.running == "" {
		return nil
	}
	for i, r := range w.instances {
		if w.place(i) != j.running {
			continue
		}
		v := []verdict.Verdict{verdict.Ran, verdict.MayHaveRun, verdict.NotRun}[min(2, w.draw("verdict", 8))]
		if v != verdict.NotRun {
			j.runs++
		}
		j.running = ""
		r.End(w.now, j.id, v)
		if w.draw("caller hears", 2) == 0 {
			return w.answer(attempt{job: j, number: j.runner}, v)
		}
	}
	return nil
}

// disturb restarts an instance or lets much time pass.
func (w *world) disturb() error {
	if w.draw("disturb", 2) == 0 {
		w.now = w.now.Add(time.Duration(w.draw("long", 300)) * time.Second)
		w.late = nil
		w.questions = nil
		return nil
	}
	i := w.draw("restarts", fuzzInstances)
	for _, j := range w.jobs {
		if j.running == w.place(i) {
			j.running = ""
			j.runs++
		}
	}
	keep := w.late[:0]
	for _, l := range w.late {
		if l.to != i {
			keep = append(keep, l)
		}
	}
	w.late = keep
	w.start(i)
	return nil
}

func (w *world) run(steps int) error {
	for i := range w.instances {
		w.start(i)
	}
	for n := range steps {
		if err := w.step(); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return nil
}

// TestFuzz takes 60 checks of 2,000 steps each.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		w := newWorld(d)
		if d("small", 2) == 0 {
			w.capacity = 15
		}
		if err := w.run(fuzzSteps); err != nil {
			t.Fatal(err)
		}
	})
}

func seeded(seed uint64) draw {
	random := rand.New(rand.NewPCG(seed, 0))
	return func(_ string, n int) int { return random.IntN(n) }
}

func forget(r *Registry, id request.ID) {
	delete(r.entries, id)
	r.ages = slices.DeleteFunc(r.ages, func(a age) bool { return a.id == id })
	r.head = min(r.head, len(r.ages))
}

func TestOracleCatchesBrokenRegistries(t *testing.T) {
	variants := map[string]func(w *world){
		"forgets bars": func(w *world) {
			w.broken = func(r *Registry, q *Question) {
				if e := r.entries[q.ID]; e != nil && e.state == barred {
					forget(r, q.ID)
				}
			}
		},
		"trusts a restarted instance": func(w *world) {
			w.broken = func(r *Registry, q *Question) { q.Origin.Incarnation = r.options.Incarnation }
		},
		"forgets what runs": func(w *world) {
			w.broken = func(r *Registry, q *Question) {
				if e := r.entries[q.ID]; e != nil && e.state == running {
					forget(r, q.ID)
				}
			}
		},
		"forgets too early": func(w *world) {
			w.retention = 20 * time.Second
			w.broken = func(_ *Registry, q *Question) { q.Origin.Age = 0 }
		},
	}
	for name, breakIt := range variants {
		t.Run(name, func(t *testing.T) {
			const seed = 1
			w := newWorld(seeded(seed))
			breakIt(w)
			err := w.run(20 * fuzzSteps)
			if err == nil {
				t.Fatalf("seed %d: not caught", seed)
			}
			t.Logf("seed %d: caught: %v", seed, err)
		})
	}
}
