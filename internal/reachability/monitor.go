package reachability

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
)

// tickPeriod is how often the monitor checks whether a round of probes is due.
const tickPeriod = 100 * time.Millisecond

// Options configures a Monitor.
type Options struct {
	Prober Prober
	// Servers returns the servers that may be probed now.
	Servers func() []engine.Server
	// Self is the name of this instance. Instances returns those that share the servers; nil means that there are no others.
	Self      string
	Instances func() []string
	// OnChange is called after each change of the state; nil means no call.
	OnChange func(State)
	// OnSilent is called when a server takes no connection and sends nothing, and OnHeard when it does again. The calls
	// come one after the other. They must neither block nor call the Monitor; nil means no call.
	OnSilent, OnHeard func(server string)
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
	// heardAt and askedAt are when each server was heard and probed last. They hold known servers only.
	heardAt, askedAt map[string]time.Time
	silent           silentServers
	probes           ProbeCounts
	// pickedAt is when the last round that asked servers began.
	pickedAt time.Time
	// forgotAt is when heardAt and askedAt were last rid of servers that aren't known any more.
	forgotAt time.Time
}

var _ engine.ContactObserver = (*Monitor)(nil)

// New returns a Monitor, which sends probes only while Run runs.
func New(options Options) *Monitor {
	if options.OnSilent == nil {
		options.OnSilent = func(string) {}
	}
	if options.Instances == nil {
		options.Instances = func() []string { return nil }
	}
	if options.OnHeard == nil {
		options.OnHeard = func(string) {}
	}
	return &Monitor{
		options: options, silent: silentServers{}, direct: newStateContext(), answered: newStateContext(),
		heardAt: map[string]time.Time{}, askedAt: map[string]time.Time{},
	}
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

// HeardAt returns when a byte last came from any server; zero if none has.
func (m *Monitor) HeardAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.heardAt
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
	now := m.options.Now()
	m.tracker.Heard(now)
	m.heardFrom = server.Name
	m.heard(now, server.Name)
}

// heard records that something arrived from a server. The lock is held.
func (m *Monitor) heard(now time.Time, name string) {
	m.heardAt[name] = now
	if m.silent.heard(name) {
		m.options.OnHeard(name)
	}
}

// ConnectFailed implements engine.ContactObserver.
func (m *Monitor) ConnectFailed(server engine.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.ConnectFailed()
	m.failedTo = server.Name
	m.connectFailed(server)
}

// connectFailed records that a server couldn't be connected to. While the instance is cut off, that says nothing of the
// server. The lock is held.
func (m *Monitor) connectFailed(server engine.Server) {
	if m.tracker.State() == Direct && m.silent.connectFailed(m.options.Now(), server, m.heardAt[server.Name]) {
		m.options.OnSilent(server.Name)
	}
}

// Silent returns how many servers take no connection and send nothing.
func (m *Monitor) Silent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.silent)
}

// Probes returns how many probes were sent, by what became of them.
func (m *Monitor) Probes() ProbeCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probes
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
			m.forgetGone()
			if m.beginRound() {
				rounds.Go(func() { m.round(ctx) })
			}
			for _, s := range m.silentToProbe() {
				rounds.Go(func() { _ = m.probe(ctx, s) })
			}
		}
	}
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
	if changed {
		// What was learned on the way into a cut or out of it says nothing of single servers.
		m.releaseAll()
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
		"state": state.String(), "before": before.String(), "probed": names, "answered": r.Answered, "silent": r.Silent,
		"heard_ms_ago": heardAgo.Milliseconds(), "heard_from": heardFrom, "connect_failed_to": failedTo,
		"peers_reaching": m.options.PeersReaching(),
	}).Warn("Reach of the servers has changed")
	if m.options.OnChange != nil {
		m.options.OnChange(state)
	}
}
