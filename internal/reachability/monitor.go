package reachability

import (
	"context"
	"maps"
	"slices"
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
	// OnChange is called after each change of the state; nil means no call.
	OnChange func(State)
	// OnSilent is called when a server takes no connection and sends nothing, and OnHeard when it does again. They
	// must not call the Monitor; nil means no call.
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
}

var _ engine.ContactObserver = (*Monitor)(nil)

// New returns a Monitor, which sends probes only while Run runs.
func New(options Options) *Monitor {
	if options.OnSilent == nil {
		options.OnSilent = func(string) {}
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
	now := m.options.Now()
	m.tracker.Heard(now)
	m.heardFrom, m.heardAt[server.Name] = server.Name, now
	wasSilent := m.silent.heard(server.Name)
	m.mu.Unlock()
	if wasSilent {
		m.options.OnHeard(server.Name)
	}
}

// ConnectFailed implements engine.ContactObserver.
func (m *Monitor) ConnectFailed(server engine.Server) {
	m.mu.Lock()
	m.tracker.ConnectFailed()
	m.failedTo = server.Name
	isSilent := m.connectFailed(server)
	m.mu.Unlock()
	if isSilent {
		m.options.OnSilent(server.Name)
	}
}

// connectFailed reports whether a server counts as silent from now on. While the instance is cut off, no server does:
// nothing is known of any of them. The lock is held.
func (m *Monitor) connectFailed(server engine.Server) bool {
	return m.tracker.State() == Direct && m.silent.connectFailed(m.options.Now(), server, m.heardAt[server.Name])
}

// Silent returns how many servers take no connection and send nothing.
func (m *Monitor) Silent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.silent)
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
	silent := slices.Collect(maps.Keys(m.silent))
	m.mu.Unlock()
	if !changed {
		return
	}
	// What was learned on the way into a cut or out of it says nothing of single servers.
	m.release(silent...)
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
