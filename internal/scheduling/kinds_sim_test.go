package scheduling

import (
	"fmt"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// kind is a kind of streamed generation in the replay of kindsSim.
type kind struct {
	class     int
	workspace string
	perSecond float64
	// burst multiplies the rate in every fourth second; the other seconds have the rest.
	burst               float64
	prompt, events      int
	objective, deadline time.Duration
}

// kinds is the load of 60 servers and instances of a service with an urgent kind of short prompts and two less urgent ones of
// long prompts. The least urgent one comes in bursts.
var kinds = []kind{
	{class: 0, workspace: "help-chat", perSecond: 113, burst: 1, prompt: 830, events: 49, objective: 400 * time.Millisecond, deadline: 15 * time.Second},
	{class: 1, workspace: "summary", perSecond: 88, burst: 1, prompt: 9200, events: 9, objective: 800 * time.Millisecond, deadline: 5 * time.Second},
	{class: 2, workspace: "digest", perSecond: 21, burst: 4, prompt: 9200, events: 9, objective: 3 * time.Second, deadline: 6 * time.Second},
}

const (
	// kindsServers and kindsInstances are a third of the 60 of the load, and get a third of it. Each
	// instance and server sees the same as with 60.
	kindsServers      = 20
	kindsInstances    = 20
	kindsFleet        = 60
	kindsSlots        = 64
	kindsMemory       = 177_000
	kindsStep         = 4400 * time.Microsecond
	kindsStepPerRun   = 20 * time.Microsecond
	kindsPrefillPerMs = 38
	tokensPerEvent    = 6
	// kindsPrompts is the number of short parts of prompts that the requests of a kind share.
	kindsPrompts = 40
	kindsDelay   = time.Millisecond
)

// kindResult is what became of the requests of a kind.
type kindResult struct {
	arrived, onTime, served, refused int
	// lateRefusals counts those that were refused after their caller had left.
	lateRefusals int
}

func (r kindResult) shareOnTime() float64 { return float64(r.onTime) / float64(max(1, r.arrived)) }
func (r kindResult) shareServed() float64 { return float64(r.served) / float64(max(1, r.arrived)) }

// kindRequest is a request with its state on a server.
type kindRequest struct {
	request.Request
	kind, instance int
	server         *kindsServer
	dispatched     time.Time
	first          time.Time
	prefillLeft    float64
	answerLeft     int
}

// kindsServer is an engine that reads prompts in the order of their arrival, beside its decode
// steps. It takes a request into its batch while it has a slot and memory for all its tokens.
type kindsServer struct {
	name             string
	running, waiting []*kindRequest
	stepping         bool
}

// kindsSim runs the instances of a fleet against such servers in virtual time.
type kindsSim struct {
	kinds  []kind
	load   float64
	length time.Duration
	simClock
	schedulers []Scheduler
	servers    map[string]*kindsServer
	requests   map[request.ID]*kindRequest
	results    []kindResult
}

// kindsWarmUp is how long arrivals don't count, since nothing is known of the servers at first.
const kindsWarmUp = 4 * time.Second

func newKindsSim(document *site.Document, kinds []kind, load float64, length time.Duration) *kindsSim {
	s := &kindsSim{
		kinds: kinds, load: load, length: length, simClock: newSimClock(7, 1),
		servers: map[string]*kindsServer{}, requests: map[request.ID]*kindRequest{}, results: make([]kindResult, len(kinds)),
	}
	var list []Server
	for i := range kindsServers {
		name := fmt.Sprintf("s%02d", i)
		s.servers[name] = &kindsServer{name: name}
		list = append(list, Server{Name: name, Pool: "generate", Slots: kindsSlots, Near: true})
	}
	for i := range kindsInstances {
		scheduler, err := New(Options{Instance: fmt.Sprint(i), Seed: uint64(i), Document: document})
		if err != nil {
			panic(err)
		}
		scheduler.SetServers(s.now, list)
		for _, server := range list {
			scheduler.ObserveResident(s.now, server.Name, []modelref.Ref{"m@1"})
		}
		s.schedulers = append(s.schedulers, scheduler)
	}
	return s
}

func (s *kindsSim) run() []kindResult {
	for i := range s.schedulers {
		s.every(250*time.Millisecond, func() { s.digest(i, nil) })
		s.every(50*time.Millisecond, func() { s.apply(i, s.schedulers[i].Tick(s.now)) })
	}
	for k := range s.kinds {
		s.after(s.gap(k), func() { s.arrive(k) })
	}
	s.runUntil(epoch.Add(s.length + 10*time.Second))
	return s.results
}

// gap returns the time until the next arrival of a kind.
func (s *kindsSim) gap(k int) time.Duration {
	rate := s.kinds[k].perSecond * s.load * kindsServers / kindsFleet
	if burst := s.kinds[k].burst; int(s.now.Sub(epoch).Seconds())%4 == 0 {
		rate *= burst
	} else {
		rate *= max(0.1, (4-burst)/3)
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func (s *kindsSim) arrive(k int) {
	if s.now.Sub(epoch) > s.length {
		return
	}
	s.after(s.gap(k), func() { s.arrive(k) })
	kind := s.kinds[k]
	r := &kindRequest{kind: k, instance: s.random.IntN(kindsInstances)}
	r.ID = request.ID(fmt.Sprint(len(s.requests)))
	r.Model, r.Service, r.Class, r.Workspace = "m@1", "generate", kind.class, kind.workspace
	r.Arrived, r.Deadline, r.Objective = s.now, s.now.Add(kind.deadline), s.now.Add(kind.objective)
	r.FirstEventBy = s.now.Add(max(2*time.Second, 4*kind.objective))
	r.PromptTokens, r.MaxTokens = kind.prompt, kind.events*tokensPerEvent
	r.Prefix = []request.PrefixPart{{Key: uint64(1 + k*kindsPrompts + s.random.IntN(kindsPrompts)), Tokens: 16}, {Key: uint64(len(s.requests) + 1000), Tokens: kind.prompt}}
	s.requests[r.ID] = r
	s.count(r, func(result *kindResult) { result.arrived++ })
	s.apply(r.instance, s.schedulers[r.instance].Arrive(s.now, r.Request))
}

// count counts a request unless it came during the warm-up.
func (s *kindsSim) count(r *kindRequest, add func(*kindResult)) {
	if r.Arrived.Sub(epoch) >= kindsWarmUp {
		add(&s.results[r.kind])
	}
}

// digest sends an instance's digest to its peers, or only the entries of the given servers.
func (s *kindsSim) digest(from int, only []string) {
	wanted := map[string]bool{}
	for _, name := range only {
		wanted[name] = true
	}
	entries := s.schedulers[from].Digest()
	s.after(kindsDelay, func() {
		for _, entry := range entries {
			if only != nil && !wanted[entry.Server] {
				continue
			}
			for i := range s.schedulers {
				if i != from {
					s.apply(i, s.schedulers[i].ObserveDigest(s.now, entry))
				}
			}
		}
	})
}

func (s *kindsSim) apply(instance int, decisions []Decision) {
	for _, d := range decisions {
		r := s.requests[d.ID]
		switch d.Action {
		case Refuse:
			s.count(r, func(result *kindResult) { result.refused++ })
			if s.now.After(r.FirstEventBy) {
				s.count(r, func(result *kindResult) { result.lateRefusals++ })
			}
		case Dispatch:
			r.server, r.dispatched, r.prefillLeft = s.servers[d.Server], s.now, float64(r.PromptTokens)
			r.answerLeft = s.kinds[r.kind].events * tokensPerEvent
			s.after(kindsDelay, func() { s.receive(r) })
		}
	}
	if urgent := s.schedulers[instance].TakeUrgentUpdates(); len(urgent) > 0 {
		s.digest(instance, urgent)
	}
}

// receive handles the arrival of a request at its server, whose caller leaves if no event comes.
func (s *kindsSim) receive(r *kindRequest) {
	server := r.server
	server.waiting = append(server.waiting, r)
	s.after(r.FirstEventBy.Sub(s.now), func() {
		if r.server == server && r.first.IsZero() {
			server.drop(r)
			s.end(r, verdict.Unclear(verdict.CodeCanceled, nil, "the caller has left"))
		}
	})
	if !server.stepping {
		s.step(server)
	}
}

func (server *kindsServer) drop(r *kindRequest) {
	for _, list := range []*[]*kindRequest{&server.running, &server.waiting} {
		kept := (*list)[:0]
		for _, other := range *list {
			if other != r {
				kept = append(kept, other)
			}
		}
		*list = kept
	}
}

// step runs one decode step, which also reads as many prompt tokens as the engine can meanwhile.
func (s *kindsSim) step(server *kindsServer) {
	server.admit()
	server.stepping = len(server.running) > 0
	if !server.stepping {
		return
	}
	length := kindsStep + time.Duration(len(server.running))*kindsStepPerRun
	s.after(length, func() {
		budget := length.Seconds() * 1000 * kindsPrefillPerMs
		for _, r := range append([]*kindRequest(nil), server.running...) {
			if r.prefillLeft > 0 {
				read := min(budget, r.prefillLeft)
				budget -= read
				r.prefillLeft -= read
				continue
			}
			s.decode(server, r)
		}
		s.step(server)
	})
}

// admit fills the batch in the order of arrival.
func (server *kindsServer) admit() {
	memory := 0
	for _, r := range server.running {
		memory += r.PromptTokens + r.MaxTokens
	}
	for len(server.waiting) > 0 && len(server.running) < kindsSlots {
		next := server.waiting[0]
		memory += next.PromptTokens + next.MaxTokens
		if memory > kindsMemory {
			return
		}
		server.running = append(server.running, next)
		server.waiting = server.waiting[1:]
	}
}

// decode adds a token to an answer.
func (s *kindsSim) decode(server *kindsServer, r *kindRequest) {
	r.answerLeft--
	if r.first.IsZero() && r.MaxTokens-r.answerLeft == tokensPerEvent {
		r.first = s.now
		running, waiting := len(server.running), len(server.waiting)
		s.after(kindsDelay, func() {
			s.apply(r.instance, s.schedulers[r.instance].ObserveLoad(s.now, server.name, engine.StatedLoad{Running: running, Waiting: waiting, Slots: kindsSlots}))
			s.apply(r.instance, s.schedulers[r.instance].Progress(s.now, r.ID, 1))
		})
	}
	if r.answerLeft == 0 {
		server.drop(r)
		s.end(r, nil)
	}
}

func (s *kindsSim) end(r *kindRequest, err error) {
	o := Outcome{ID: r.ID, Server: r.server.name, Verdict: verdict.Ran, Err: err, Duration: s.now.Sub(r.dispatched)}
	r.server = nil
	if err == nil {
		o.FirstToken = r.first.Sub(r.dispatched)
		o.Tokens = s.kinds[r.kind].events
		s.count(r, func(result *kindResult) { result.served++ })
		if !r.first.After(r.Objective) && !s.now.After(r.Deadline) {
			s.count(r, func(result *kindResult) { result.onTime++ })
		}
	} else {
		o.Verdict = verdict.MayHaveRun
	}
	s.after(kindsDelay, func() { s.apply(r.instance, s.schedulers[r.instance].Finish(s.now, o)) })
}
