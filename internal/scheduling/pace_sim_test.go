package scheduling

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// The simulation of servers whose speed differs. Servers don't report their step, as in the hosted deployment.
const (
	paceSlots       = 16
	paceModels      = 30
	paceCopies      = 12
	paceTokens      = 48
	paceStep        = 20 * time.Millisecond
	paceNoisePeriod = 600 * time.Millisecond
	// paceObjective is the time in which an answer of the fastest model must be complete.
	paceObjective = 1900 * time.Millisecond
)

// paceOptions configures a run.
type paceOptions struct {
	instances, servers int
	// perSecond is the number of requests of all instances.
	perSecond float64
	length    time.Duration
	seed      uint64
	// copies is the number of copies of each model; 0 means paceCopies.
	copies int
	// speeds says for which servers the speed is learned.
	speeds SpeedLearning
	// off keeps the schedulers from using what they learn.
	off bool
	// speed returns the time that a server takes, as a multiple of the usual time, with so many requests.
	speed func(server, running int, at time.Duration) float64
	// noise slows each server by 2.5 for 15 % of the time, and servers state it.
	noise bool
	// modelSlowdown and promptTokens give a model's properties; nil for equal models.
	modelSlowdown func(model int) float64
	promptTokens  func(model int, r *rand.Rand) int
	// eachTenth is called every 100 ms.
	eachTenth func(s *paceSim, at time.Duration)
}

type paceServer struct {
	index            int
	name             string
	running, waiting []*paceRequest
	received, most   int
}

type paceRequest struct {
	request.Request
	instance, model int
	server          *paceServer
	dispatched      time.Time
	first           time.Duration
	tokens          int
}

// paceSim runs schedulers in virtual time.
type paceSim struct {
	paceOptions
	simClock
	schedulers []*core
	servers    []*paceServer
	byName     map[string]*paceServer
	requests   map[request.ID]*paceRequest
	arrived    int
	counted    int
	inTime     int
	speedBytes int
}

func runPace(o paceOptions) *paceSim {
	s := &paceSim{paceOptions: o, simClock: newSimClock(o.seed, 2), byName: map[string]*paceServer{}, requests: map[request.ID]*paceRequest{}}
	document := simDocument()
	var list []Server
	resident := map[string][]modelref.Ref{}
	for i := range o.servers {
		server := &paceServer{index: i, name: fmt.Sprintf("s%03d", i)}
		s.servers, s.byName[server.name] = append(s.servers, server), server
		list = append(list, Server{Name: server.name, Pool: "llm", Slots: paceSlots})
	}
	for m := range paceModels {
		for _, i := range s.random.Perm(o.servers)[:min(cmp.Or(o.copies, paceCopies), o.servers)] {
			resident[s.servers[i].name] = append(resident[s.servers[i].name], modelref.Ref(fmt.Sprintf("m%d@1", m)))
		}
	}
	for i := range o.instances {
		made, err := New(Options{Instance: fmt.Sprint(i), Seed: o.seed<<16 + uint64(i), Document: document, Speeds: o.speeds})
		if err != nil {
			panic(err)
		}
		scheduler := made.(*core)
		if o.off {
			scheduler.pacesAt = epoch.Add(1000 * time.Hour)
		}
		scheduler.SetServers(epoch, list)
		for _, server := range s.servers {
			scheduler.ObserveResident(epoch, server.name, resident[server.name])
		}
		s.schedulers = append(s.schedulers, scheduler)
		s.after(time.Duration(i)*250*time.Millisecond/time.Duration(o.instances), func() { s.digest(i) })
		s.after(0, func() { s.tick(i) })
	}
	s.after(0, s.arrive)
	s.after(0, s.tenth)
	s.runUntil(epoch.Add(o.length))
	return s
}

func (s *paceSim) at() time.Duration { return s.now.Sub(epoch) }

func (s *paceSim) tenth() {
	if s.eachTenth != nil {
		s.eachTenth(s, s.at())
	}
	s.after(100*time.Millisecond, s.tenth)
}

func (s *paceSim) tick(i int) {
	s.apply(i, s.schedulers[i].Tick(s.now))
	s.after(tickPeriod, func() { s.tick(i) })
}

func (s *paceSim) digest(from int) {
	digests := s.schedulers[from].Digest()
	for _, d := range digests {
		if d.Speed.Light.Weight > 0 {
			s.speedBytes += 9
		}
		if d.Speed.Crowded.Weight > 0 {
			s.speedBytes += 9
		}
	}
	s.after(2*time.Millisecond, func() {
		for i := range s.schedulers {
			for _, d := range digests {
				s.apply(i, s.schedulers[i].ObserveDigest(s.now, d))
			}
		}
	})
	s.after(250*time.Millisecond, func() { s.digest(from) })
}

func (s *paceSim) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.perSecond*float64(time.Second)), s.arrive)
	r := &paceRequest{instance: s.random.IntN(s.instances), model: int(float64(paceModels) * math.Pow(s.random.Float64(), 2))}
	r.ID = request.ID(fmt.Sprint(s.arrived))
	r.Model, r.Service = modelref.Ref(fmt.Sprintf("m%d@1", r.model)), "llm"
	r.Arrived, r.Deadline = s.now, s.now.Add(8*time.Second)
	r.PromptTokens, r.MaxTokens = 500+s.random.IntN(1000), paceTokens
	if s.promptTokens != nil {
		r.PromptTokens = s.promptTokens(r.model, s.random)
	}
	s.arrived++
	if s.counts(r) {
		s.counted++
	}
	s.requests[r.ID] = r
	s.apply(r.instance, s.schedulers[r.instance].Arrive(s.now, r.Request))
}

func (s *paceSim) apply(instance int, decisions []Decision) {
	for _, d := range decisions {
		if d.Action != Dispatch {
			continue
		}
		r := s.requests[d.ID]
		r.server, r.dispatched = s.byName[d.Server], s.now
		s.after(2*time.Millisecond, func() {
			r.server.received++
			r.server.waiting = append(r.server.waiting, r)
			r.server.most = max(r.server.most, len(r.server.running)+len(r.server.waiting))
			s.start(r.server)
		})
	}
}

// start runs waiting requests while there are slots.
func (s *paceSim) start(server *paceServer) {
	for len(server.running) < paceSlots && len(server.waiting) > 0 {
		r := server.waiting[0]
		server.waiting = server.waiting[1:]
		server.running = append(server.running, r)
		prefill := 20*time.Millisecond + time.Duration(r.PromptTokens)*100*time.Microsecond
		s.work(r, prefill, func() { s.firstToken(r) })
	}
}

// work takes the given time at the server's speed.
func (s *paceSim) work(r *paceRequest, usual time.Duration, do func()) {
	factor := 1.0
	if s.speed != nil {
		factor = s.speed(r.server.index, len(r.server.running), s.at())
	}
	if s.modelSlowdown != nil {
		factor *= s.modelSlowdown(r.model)
	}
	s.workNoisy(r.server, float64(usual)*factor, do)
}

// workNoisy takes the given time, and more while the server is disturbed.
func (s *paceSim) workNoisy(server *paceServer, left float64, do func()) {
	const slice = 100 * time.Millisecond
	slowdown := s.noiseOf(server)
	if left*slowdown <= float64(slice) {
		s.after(time.Duration(left*slowdown), do)
		return
	}
	s.after(slice, func() { s.workNoisy(server, left-float64(slice)/slowdown, do) })
}

func (s *paceSim) noiseOf(server *paceServer) float64 {
	period := uint64(s.at() / paceNoisePeriod)
	if s.noise && rand.New(rand.NewPCG(uint64(server.index), period)).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

func (s *paceSim) firstToken(r *paceRequest) {
	r.first, r.tokens = s.now.Sub(r.dispatched), 1
	scheduler := s.schedulers[r.instance]
	load := engine.StatedLoad{Running: len(r.server.running), Waiting: len(r.server.waiting), Slots: paceSlots}
	if s.noise {
		load.MomentaryPercent = int(100 * s.noiseOf(r.server))
	}
	s.apply(r.instance, scheduler.ObserveLoad(s.now, r.server.name, load))
	scheduler.Progress(s.now, r.ID, 1)
	s.tokens(r)
}

// tokens generates 8 tokens and reports them, or ends the answer.
func (s *paceSim) tokens(r *paceRequest) {
	if r.tokens >= paceTokens {
		s.end(r)
		return
	}
	n := min(8, paceTokens-r.tokens)
	s.work(r, time.Duration(n)*paceStep, func() {
		r.tokens += n
		s.schedulers[r.instance].Progress(s.now, r.ID, r.tokens)
		s.tokens(r)
	})
}

func (s *paceSim) end(r *paceRequest) {
	for i, other := range r.server.running {
		if other == r {
			r.server.running = append(r.server.running[:i], r.server.running[i+1:]...)
			break
		}
	}
	if s.counts(r) && s.now.Sub(r.Arrived) <= paceObjective {
		s.inTime++
	}
	o := Outcome{ID: r.ID, Server: r.server.name, Verdict: verdict.Ran, FirstToken: r.first, Duration: s.now.Sub(r.dispatched), Tokens: r.tokens}
	s.apply(r.instance, s.schedulers[r.instance].Finish(s.now, o))
	delete(s.requests, r.ID)
	s.start(r.server)
}

// counts reports whether a request counts: the servers' speed can be known, and the answer ends before the run does.
func (s *paceSim) counts(r *paceRequest) bool {
	arrived := r.Arrived.Sub(epoch)
	return arrived > 5*time.Second && arrived < s.length-4*time.Second
}

// share returns the share of requests that met their objective.
func (s *paceSim) share() float64 { return float64(s.inTime) / float64(max(1, s.counted)) }

// slow returns how many instances count the server as slow.
func (s *paceSim) slow(server int) (n int) {
	for _, c := range s.schedulers {
		if c.servers[s.servers[server].name].pace.factor > slowFactor {
			n++
		}
	}
	return n
}
