package reachability

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
)

// tickPeriod is how often the monitor checks whether a round of probes is due.
const tickPeriod = 100 * time.Millisecond

// Prober asks a server for a sign of life on a connection of its own.
type Prober interface {
	ProbeAnew(ctx context.Context, server engine.Server) error
}

// Options configures a Monitor.
type Options struct {
	Prober Prober
	// Servers returns the servers that may be probed now.
	Servers func() []engine.Server
	// OnChange is called after each change of the state; nil means no call.
	OnChange func(State)
	// PeersReaching returns how many other instances reach servers, for the log.
	PeersReaching func() int
	Logger        *logrus.Entry
	Now           func() time.Time
}

// Monitor watches how this instance reaches the servers. It is safe for concurrent use.
type Monitor struct {
	options Options

	mu      sync.Mutex
	tracker Tracker
	// direct ends once the state isn't Direct any more, and answered once it is CutOff.
	direct, answered stateContext
	// heardFrom is the server that was heard last, and failedTo the one that couldn't be connected to last.
	heardFrom, failedTo string
}

var _ engine.ContactObserver = (*Monitor)(nil)

// New returns a Monitor, which sends probes only while Run runs.
func New(options Options) *Monitor {
	return &Monitor{options: options, direct: newStateContext(), answered: newStateContext()}
}

// stateContext is a context that ends with a state.
type stateContext struct {
	context.Context
	end context.CancelFunc
}

func newStateContext() stateContext {
	ctx, end := context.WithCancel(context.Background())
	return stateContext{Context: ctx, end: end}
}

// update ends the context, or makes a new one for one that has ended.
func (c *stateContext) update(holds bool) {
	switch {
	case !holds:
		c.end()
	case c.Err() != nil:
		*c = newStateContext()
	}
}

// Direct returns a context that ends once no new connections to servers can be opened, and Answered one that
// ends once no server answers at all. They have ended already while that is so.
func (m *Monitor) Direct() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct.Context
}

func (m *Monitor) Answered() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered.Context
}

// State returns how this instance reaches the servers.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.State()
}

// CallBegan implements engine.ContactObserver.
func (m *Monitor) CallBegan() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.CallBegan(m.options.Now())
}

// CallEnded implements engine.ContactObserver.
func (m *Monitor) CallEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.CallEnded()
}

// Heard implements engine.ContactObserver.
func (m *Monitor) Heard(server engine.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Heard(m.options.Now())
	m.heardFrom = server.Name
}

// ConnectFailed implements engine.ContactObserver.
func (m *Monitor) ConnectFailed(server engine.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.ConnectFailed()
	m.failedTo = server.Name
}

// Run sends probes when they are due until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if m.beginRound() {
				rounds.Go(func() { m.round(ctx) })
			}
		}
	}
}

func (m *Monitor) beginRound() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.BeginRound(m.options.Now())
}

// round probes some servers at the same time.
func (m *Monitor) round(ctx context.Context) {
	servers := pickServers(m.options.Servers())
	r := Round{BeganAt: m.options.Now(), Tried: len(servers)}
	answers := make(chan error, len(servers))
	for _, s := range servers {
		go func() { answers <- m.probe(ctx, s) }()
	}
	for range servers {
		if <-answers == nil {
			r.Answered++
		}
	}
	if ctx.Err() == nil {
		m.roundEnded(r, servers)
	}
}

func (m *Monitor) probe(ctx context.Context, server engine.Server) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return m.options.Prober.ProbeAnew(ctx, server)
}

// pickServers returns up to ProbesPerRound servers at random.
func pickServers(servers []engine.Server) []engine.Server {
	picked := slices.Clone(servers)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(ProbesPerRound, len(picked))]
}

func (m *Monitor) roundEnded(r Round, servers []engine.Server) {
	now := m.options.Now()
	m.mu.Lock()
	before, heardAgo := m.tracker.State(), now.Sub(m.tracker.heardAt)
	changed := m.tracker.RoundEnded(now, r)
	state, heardFrom, failedTo := m.tracker.State(), m.heardFrom, m.failedTo
	if changed {
		m.direct.update(state == Direct)
		m.answered.update(state != CutOff)
	}
	m.mu.Unlock()
	if !changed {
		return
	}
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Name)
	}
	m.options.Logger.WithFields(logrus.Fields{
		"state": state.String(), "before": before.String(), "probed": names, "answered": r.Answered,
		"heard_ms_ago": heardAgo.Milliseconds(), "heard_from": heardFrom, "connect_failed_to": failedTo,
		"peers_reaching": m.options.PeersReaching(),
	}).Warn("Reach of the servers has changed")
	if m.options.OnChange != nil {
		m.options.OnChange(state)
	}
}
