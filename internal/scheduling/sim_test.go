package scheduling

import (
	"fmt"
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// The simulation runs several schedulers in virtual time against engines with continuous
// batching and priorities whose reports lag.
const (
	simInstances = 8
	simServers   = 12
	simModels    = 24
	simBatch     = 8
	simStep      = 25 * time.Millisecond
	// simPrefill is the number of decode steps that a prompt takes to prefill.
	simPrefill = 2
	// simDelay is the network delay between an instance and a server or peer.
	simDelay     = 2 * time.Millisecond
	simMinTokens = 16
	simMaxTokens = 64
	simLag       = 500 * time.Millisecond
)

// simOptions configures one run of the simulation.
type simOptions struct {
	policy    string
	admission string
	// load is the offered load as a share of the capacity.
	load   float64
	length time.Duration
	// lag is the age of a report when it is read; 0 means simLag.
	lag  time.Duration
	seed uint64
	// slow is the number of servers whose decode steps take five times as long.
	slow int
	// dead is true if a server dies after a third of the run.
	dead bool
}

// simRequest is a request with its state in the simulation.
type simRequest struct {
	request.Request
	instance int
	// answerLength is the number of tokens of the whole answer.
	answerLength int
	// answerTokens counts the tokens of the answer sent so far.
	answerTokens int
	// prefillSteps is the number of steps that the prefill still needs.
	prefillSteps int
	server       *simServer
	dispatched   time.Time
	firstToken   time.Time
	priority     int
	sequence     int
	attempts     int
}

type sim struct {
	simOptions
	simClock
	schedulers []Scheduler
	servers    []*simServer
	requests   map[request.ID]*simRequest
	arrived    []int
	inTime     []int
	refused    []int
	dispatches int
	// urgentFirstTokenMillis holds the time to the first token of each completed request of the
	// most urgent class, in milliseconds.
	urgentFirstTokenMillis []float64
}

func simDocument() *site.Document {
	return &site.Document{
		Classes: []site.Class{
			{Name: "urgent", TimeoutMillis: 3000, Weight: 10, QueueLimit: 200},
			{Name: "normal", TimeoutMillis: 4000, Weight: 3, QueueLimit: 200},
			{Name: "overnight", TimeoutMillis: 8000, Weight: 1, QueueLimit: 400, FloorShare: 0.05},
		},
		Budgets: site.Budgets{RetryShare: 0.1, LoadMillis: 4000},
	}
}

// simShares holds the share of requests of each class.
var simShares = []float64{0.25, 0.35, 0.4}

func newSim(o simOptions) *sim {
	n := len(simShares)
	if o.lag == 0 {
		o.lag = simLag
	}
	s := &sim{
		simOptions: o, simClock: newSimClock(o.seed, 1), requests: map[request.ID]*simRequest{},
		arrived: make([]int, n), inTime: make([]int, n), refused: make([]int, n),
	}
	var list []Server
	for i := range simServers {
		server := &simServer{name: fmt.Sprintf("s%02d", i), slowdown: 1}
		if i < o.slow {
			server.slowdown = 5
		}
		for k := range 4 {
			server.resident = append(server.resident, modelref.Ref(fmt.Sprintf("m%d@1", (i*2+k*7)%simModels)))
		}
		s.servers = append(s.servers, server)
		list = append(list, Server{Name: server.name, FailureDomain: fmt.Sprint(i % 3)})
	}
	for i := range simInstances {
		scheduler, err := New(Options{Instance: fmt.Sprint(i), Seed: o.seed + uint64(i), Policy: o.policy, Admission: o.admission, Document: simDocument()})
		if err != nil {
			panic(err)
		}
		servers := slices.Clone(list)
		for k := range servers {
			servers[k].Near = k%3 == i%3
		}
		scheduler.SetServers(s.now, servers)
		s.schedulers = append(s.schedulers, scheduler)
	}
	return s
}

// capacity returns how many requests per second all servers together can complete.
func capacity() float64 {
	steps := float64(simMinTokens+simMaxTokens)/2 + simPrefill
	return simServers * simBatch / (steps * simStep.Seconds())
}

func (s *sim) run() {
	for _, server := range s.servers {
		s.every(200*time.Millisecond, func() { s.report(server) })
	}
	for i := range s.schedulers {
		s.every(250*time.Millisecond, func() { s.digest(i) })
		s.every(50*time.Millisecond, func() { s.apply(i, s.schedulers[i].Tick(s.now)) })
	}
	if s.dead {
		s.after(s.length/3, func() { s.kill(s.servers[simServers-1]) })
	}
	s.after(s.lag+time.Second, s.arrive)
	s.runUntil(epoch.Add(s.length + time.Minute))
}

// report sends a server's report to all instances after the lag. If the server is dead, the
// instances are told that it is unreachable.
func (s *sim) report(server *simServer) {
	r := engine.Report{
		Sequence: uint64(s.sequence), Taken: s.now, Running: len(server.running), Waiting: len(server.waiting),
		MaxBatch: simBatch, StepMillis: float64(server.stepTime()) / float64(time.Millisecond), Resident: server.resident,
	}
	dead := server.dead
	s.after(s.lag, func() {
		for i := range s.schedulers {
			if dead {
				s.apply(i, s.schedulers[i].ObserveUnreachable(s.now, server.name))
				continue
			}
			s.apply(i, s.schedulers[i].ObserveReport(s.now, server.name, r))
		}
	})
}

// digest sends an instance's digest to its peers.
func (s *sim) digest(from int) {
	for _, digest := range s.schedulers[from].Digest() {
		s.after(simDelay, func() {
			for i := range s.schedulers {
				if i != from {
					s.apply(i, s.schedulers[i].ObserveDigest(s.now, digest))
				}
			}
		})
	}
}

// arrive creates a request and schedules the next one. For a third of the time, requests arrive
// at twice the rate of the other two thirds.
func (s *sim) arrive() {
	elapsed := s.now.Sub(epoch) - s.lag
	if elapsed > s.length {
		return
	}
	rate := capacity() * s.load
	if int(elapsed/(2*time.Second))%3 == 0 {
		rate *= 1.5
	} else {
		rate *= 0.75
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	r := &simRequest{instance: s.random.IntN(simInstances), sequence: len(s.requests)}
	r.ID = request.ID(fmt.Sprint(r.sequence))
	r.Class = s.class()
	r.Model = modelref.Ref(fmt.Sprintf("m%d@1", s.random.IntN(simModels)))
	r.Arrived = s.now
	r.Deadline = s.now.Add(time.Duration(simDocument().Classes[r.Class].TimeoutMillis) * time.Millisecond)
	r.answerLength = simMinTokens + s.random.IntN(simMaxTokens-simMinTokens+1)
	r.PromptTokens, r.MaxTokens = 300, r.answerLength
	s.requests[r.ID] = r
	s.arrived[r.Class]++
	s.apply(r.instance, s.schedulers[r.instance].Arrive(s.now, r.Request))
}

// class returns a random class according to simShares.
func (s *sim) class() int {
	x := s.random.Float64()
	for class, share := range simShares {
		if x < share {
			return class
		}
		x -= share
	}
	return 0
}

// apply carries out the decisions of an instance.
func (s *sim) apply(instance int, decisions []Decision) {
	for _, d := range decisions {
		r := s.requests[d.ID]
		switch d.Action {
		case Refuse:
			s.refused[r.Class]++
		case Dispatch:
			s.dispatches++
			r.server = s.server(d.Server)
			r.dispatched, r.priority, r.answerTokens, r.prefillSteps, r.firstToken = s.now, d.Priority, 0, simPrefill, time.Time{}
			s.after(simDelay, func() { s.receive(r) })
		}
	}
}

func (s *sim) server(name string) *simServer {
	for _, server := range s.servers {
		if server.name == name {
			return server
		}
	}
	return nil
}

// end reports the end of an attempt to its instance, which retries the request if it didn't run.
func (s *sim) end(r *simRequest, v verdict.Verdict, err error) {
	o := Outcome{ID: r.ID, Server: r.server.name, Verdict: v, Err: err, Duration: s.now.Sub(r.dispatched), Tokens: r.answerTokens}
	if !r.firstToken.IsZero() {
		o.FirstToken = r.firstToken.Sub(r.dispatched)
	}
	r.server = nil
	s.after(simDelay, func() {
		scheduler := s.schedulers[r.instance]
		s.apply(r.instance, scheduler.Finish(s.now, o))
		if v == verdict.NotRun {
			s.apply(r.instance, scheduler.Retry(s.now, r.Request, o))
		}
	})
}

// attainment returns the share of requests of a class that ended in time, or of all requests
// if class is negative.
func (s *sim) attainment(class int) float64 {
	in, all := 0, 0
	for c := range s.arrived {
		if class < 0 || c == class {
			in += s.inTime[c]
			all += s.arrived[c]
		}
	}
	return float64(in) / float64(max(1, all))
}

// totalInTime returns how many requests of all classes ended in time.
func (s *sim) totalInTime() int { return s.inTime[0] + s.inTime[1] + s.inTime[2] }
