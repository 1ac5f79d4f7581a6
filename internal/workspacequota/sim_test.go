package workspacequota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"limpethub/internal/site"
)

const (
	simTick     = 25 * time.Millisecond
	simStep     = 5 * time.Millisecond
	simName     = "w"
	simDeath    = 2 * time.Second
	simListTime = 45 * time.Second
)

var simStart = time.UnixMilli(1_000_000_000)

// traffic is the load of a workspace.
type traffic struct {
	perSecond float64
	mean      float64
}

func (f traffic) String() string { return fmt.Sprintf("%.0fk/s,mean=%.0f", f.perSecond/1000, f.mean) }

// usual is the usual demand.
func (f traffic) usual() float64 { return f.perSecond / 1.8 }

func (f traffic) limit() site.WorkspaceLimit {
	return site.WorkspaceLimit{PerSecond: f.perSecond, Burst: f.perSecond, CountsTokens: true, PlainTokens: 1000}
}

// size returns the tokens of a request.
func (f traffic) size(random *rand.Rand) int {
	const least, most = 800, 57_000
	return int(min(most, least+random.ExpFloat64()*(f.mean-least)))
}

// sim drives nodes in virtual time. Messages take 2 ms and up to 20 ms, and some are lost.
type sim struct {
	traffic  traffic
	random   *rand.Rand
	now      time.Duration
	nodes    []*Node
	names    []string
	indices  map[string]int
	stale    []bool // members not told yet
	limit    site.WorkspaceLimit
	spaces   []string // requests go to each of them alike
	process  uint64
	loss     float64
	frozen   []bool
	held     [][]held
	alive    [][]bool // alive[i][j]: i holds j alive
	listed   []bool
	leaving  []bool
	side     []int // instances on different sides don't hear each other
	queue    eventQueue
	demand   func(time.Duration) float64
	target   func() int
	due      float64
	sent     []usage
	ideal    bucket
	offered  []usage
	idealGot []usage
	refused  map[Reason]int
	bytes    int
	bytesOf  []int
}

type usage struct {
	at   time.Duration
	cost float64
}

// held is a request or message that waits for a frozen process.
type held struct {
	cost int
	from string
	m    *message
}

// bucket is the ideal token bucket that sees each request at once. A request that is larger than the burst
// needs a full bucket.
type bucket struct {
	limit   site.WorkspaceLimit
	balance float64
	at      time.Duration
}

func (b *bucket) admit(now time.Duration, cost float64) bool {
	b.balance = min(b.limit.Burst, b.balance+(now-b.at).Seconds()*b.limit.PerSecond)
	b.at = now
	if b.balance < min(cost, b.limit.Burst) {
		return false
	}
	b.balance -= cost
	return true
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSim(n int, f traffic, seed uint64) *sim {
	s := &sim{
		traffic: f, spaces: []string{simName}, random: rand.New(rand.NewPCG(seed, uint64(n))), limit: f.limit(), process: 1000, loss: 0.03,
		nodes: make([]*Node, n), frozen: make([]bool, n), held: make([][]held, n), listed: make([]bool, n),
		leaving: make([]bool, n), side: make([]int, n), stale: make([]bool, n), bytesOf: make([]int, n), indices: map[string]int{}, refused: map[Reason]int{},
	}
	s.ideal = bucket{limit: s.limit, balance: s.limit.Burst}
	s.demand = func(time.Duration) float64 { return f.usual() }
	s.target = func() int { return s.random.IntN(n) }
	for i := range n {
		s.names = append(s.names, fmt.Sprintf("10.0.%d.%d", i/256, i%256))
		s.indices[s.names[i]] = i
		s.alive = append(s.alive, make([]bool, n))
		s.listed[i] = true
	}
	for i := range n {
		s.start(i)
	}
	for i := range n {
		for j := range n {
			s.alive[i][j], s.stale[i] = true, true
		}
	}
	return s
}

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, event{at: s.now + d, do: do}) }

// start starts an instance's process, which holds nobody else alive at first.
func (s *sim) start(i int) {
	s.process += 1000
	s.nodes[i] = NewNode(s.time(), s.names[i], s.process, DefaultRules(), s.random.Uint64())
	s.frozen[i], s.held[i] = false, nil
	clear(s.alive[i])
	s.alive[i][i] = true
	s.members(i)
	s.nodes[i].SetDocument(s.time(), s.document())
	s.tickLater(i, s.nodes[i], s.upTo(simTick))
}

func (s *sim) document() *site.Document {
	var d site.Document
	for _, name := range s.spaces {
		d.Workspaces = append(d.Workspaces, site.Workspace{Name: name, Limit: s.limit})
	}
	return &d
}

func (s *sim) setLimit(limit site.WorkspaceLimit) {
	s.limit = limit
	s.ideal.limit = limit
	for i := range s.nodes {
		s.after(s.upTo(200*time.Millisecond), func() {
			if s.running(i) {
				s.nodes[i].SetDocument(s.time(), s.document())
			}
		})
	}
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.random.Int64N(int64(d))) }

func (s *sim) running(i int) bool { return s.nodes[i] != nil && !s.frozen[i] }

// members tells an instance its members.
func (s *sim) members(i int) {
	if !s.running(i) {
		return
	}
	s.stale[i] = false
	var m Members
	for j, name := range s.names {
		switch {
		case s.alive[i][j]:
			m.Covered++
			m.Known++
			if j != i {
				m.Peers = append(m.Peers, name)
			}
			if !s.leaving[j] {
				m.Candidates = append(m.Candidates, name)
			}
		case s.listed[j]:
			m.Known++
		}
	}
	s.nodes[i].SetMembers(s.time(), m)
}

// tellAll makes all on the instance's side hold it alive or not, after the delay and up to 0.5 s more.
func (s *sim) tellAll(j int, alive bool, delay time.Duration) {
	for i := range s.nodes {
		s.tell(i, j, alive, delay+s.upTo(500*time.Millisecond))
		if alive {
			s.tell(j, i, true, delay+s.upTo(500*time.Millisecond))
		}
	}
}

// tell makes i hold j alive or not, if that is so then.
func (s *sim) tell(i, j int, alive bool, delay time.Duration) {
	s.after(delay, func() {
		isAlive := s.nodes[j] != nil && !s.frozen[j] && s.side[i] == s.side[j]
		if i != j && s.running(i) && isAlive == alive && s.alive[i][j] != alive {
			s.alive[i][j], s.stale[i] = alive, true
		}
	})
}

func (s *sim) tickLater(i int, node *Node, d time.Duration) {
	s.after(d, func() {
		if s.nodes[i] != node {
			return
		}
		if !s.frozen[i] {
			if s.stale[i] {
				s.members(i)
			}
			node.Tick(s.time())
			s.send(i)
		}
		s.tickLater(i, node, simTick)
	})
}

// send sends what an instance has to send.
func (s *sim) send(i int) {
	for _, out := range s.nodes[i].Take() {
		data, err := encode(&out.message)
		if err != nil {
			panic(err)
		}
		s.bytes += len(data) + 130
		s.bytesOf[i] += len(data) + 130
		j := s.index(out.to)
		if s.side[i] != s.side[j] || s.random.Float64() < s.loss {
			continue
		}
		delay := 2 * time.Millisecond
		if s.random.IntN(10) == 0 {
			delay += s.upTo(18 * time.Millisecond)
		}
		s.after(delay, func() { s.deliver(j, s.names[i], data) })
	}
}

func (s *sim) index(name string) int {
	return s.indices[name]
}

func (s *sim) deliver(j int, from string, data []byte) {
	m, err := decode(data)
	if err != nil {
		panic(err)
	}
	switch {
	case s.nodes[j] == nil:
	case s.frozen[j]:
		s.held[j] = append(s.held[j], held{from: from, m: m})
	default:
		s.nodes[j].Receive(s.time(), from, m)
		s.send(j)
	}
}

// request sends a request to an instance, or to another one if that doesn't run.
func (s *sim) request(i, cost int) {
	for s.nodes[i] == nil {
		if !s.anyRuns() {
			return
		}
		i = s.random.IntN(len(s.nodes))
	}
	s.offered = append(s.offered, usage{s.now, float64(cost)})
	if s.ideal.admit(s.now, float64(cost)) {
		s.idealGot = append(s.idealGot, usage{s.now, float64(cost)})
	}
	if s.frozen[i] {
		s.held[i] = append(s.held[i], held{cost: cost})
		return
	}
	s.admit(i, cost)
}

func (s *sim) anyRuns() bool {
	for _, n := range s.nodes {
		if n != nil {
			return true
		}
	}
	return false
}

func (s *sim) admit(i, cost int) {
	v := s.nodes[i].Admit(s.time(), s.spaces[s.random.IntN(len(s.spaces))], cost)
	s.send(i)
	if !v.Admitted {
		s.refused[v.Reason]++
		return
	}
	s.sent = append(s.sent, usage{s.now, float64(cost)})
}

func (s *sim) freeze(i int) {
	s.frozen[i] = true
	s.tellAll(i, false, simDeath)
}

// wake lets a process run again: first the requests that waited, then the messages.
func (s *sim) wake(i int) {
	s.frozen[i] = false
	waiting := s.held[i]
	s.held[i] = nil
	for _, h := range waiting {
		if h.m == nil {
			s.admit(i, h.cost)
		}
	}
	for _, h := range waiting {
		if h.m != nil {
			s.nodes[i].Receive(s.time(), h.from, h.m)
			s.send(i)
		}
	}
	s.tellAll(i, true, 100*time.Millisecond)
}

func (s *sim) kill(i int) {
	s.nodes[i] = nil
	s.tellAll(i, false, simDeath)
}

// stop ends an instance in a planned way.
func (s *sim) stop(i int) {
	s.nodes[i], s.listed[i] = nil, false
	s.tellAll(i, false, 100*time.Millisecond)
}

// run runs until a time.
func (s *sim) run(until time.Duration) {
	for ; s.now < until; s.now += simStep {
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			heap.Pop(&s.queue).(event).do()
		}
		s.due += s.demand(s.now) * simStep.Seconds()
		for s.due > 0 {
			// The gaps between requests are random, with the demand as their mean.
			cost := s.traffic.size(s.random)
			s.due -= float64(cost) * s.random.ExpFloat64()
			s.request(s.target(), cost)
		}
	}
}

// worst returns the most that was sent within a window that ends in the given time.
func (s *sim) worst(from, to time.Duration) float64 {
	window := DefaultRules().Window
	first, sum, worst := 0, 0.0, 0.0
	for _, u := range s.sent {
		sum += u.cost
		for s.sent[first].at <= u.at-window {
			sum -= s.sent[first].cost
			first++
		}
		if u.at >= from && u.at < to {
			worst = max(worst, sum)
		}
	}
	return worst
}

// bound is the most that may be sent within a window.
func (s *sim) bound() float64 {
	rules := DefaultRules()
	return (s.limit.PerSecond*rules.Window.Seconds()+s.limit.Burst)*(1+rules.Over) + rules.Slack
}

func sum(list []usage, from, to time.Duration) float64 {
	total := 0.0
	for _, u := range list {
		if u.at >= from && u.at < to {
			total += u.cost
		}
	}
	return total
}
