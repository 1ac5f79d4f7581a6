package reachability

import (
	"context"
	"maps"
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

// lately is how long ago a server may have been heard for its silence to say something of this instance.
const lately = 10 * time.Second

// manySilent is how many silent servers show that others may be gone as well.
const manySilent = 3

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

func (m *Monitor) beginRound() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.BeginRound(m.options.Now())
}

// round probes some servers at the same time.
func (m *Monitor) round(ctx context.Context) {
	servers, r := m.pickServers(m.options.Servers())
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
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	err := m.options.Prober.ProbeAnew(probeCtx, server)
	if ctx.Err() == nil {
		m.probed(server, err)
	}
	return err
}

// probed records the outcome of the probe of a server.
func (m *Monitor) probed(server engine.Server, err error) {
	notify := func(string) {}
	m.mu.Lock()
	switch {
	case err != nil && m.connectFailed(server):
		notify = m.options.OnSilent
	case err == nil && m.silent.heard(server.Name):
		notify = m.options.OnHeard
	}
	if err == nil {
		m.heardAt[server.Name] = m.options.Now()
	}
	m.mu.Unlock()
	notify(server.Name)
}

// silentToProbe returns the silent servers whose probe is due. Those that may not be probed any more get requests again.
func (m *Monitor) silentToProbe() (probes []engine.Server) {
	m.mu.Lock()
	due := m.silent.due(m.options.Now())
	m.mu.Unlock()
	if len(due) == 0 {
		return nil
	}
	probeable := map[engine.Server]bool{}
	for _, s := range m.options.Servers() {
		probeable[s] = true
	}
	for _, s := range due {
		if probeable[s] {
			probes = append(probes, s)
			continue
		}
		m.release(s.Name)
	}
	return probes
}

// release makes servers that were silent count as others do.
func (m *Monitor) release(names ...string) {
	for _, name := range names {
		m.mu.Lock()
		m.silent.heard(name)
		m.mu.Unlock()
		m.options.OnHeard(name)
	}
}

// pickServers returns the servers of a round that begins now: those that were heard lately, but for one, and others in
// turn, so that each is asked at some time. While none was heard lately, or many are silent, there are more of them.
func (m *Monitor) pickServers(servers []engine.Server) ([]engine.Server, Round) {
	now := m.options.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetOthers(servers)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	var heard, others []engine.Server
	for _, s := range servers {
		if now.Sub(m.heardAt[s.Name]) <= lately && len(heard) < ProbesPerRound-1 {
			heard = append(heard, s)
			continue
		}
		others = append(others, s)
	}
	slices.SortStableFunc(others, func(a, b engine.Server) int { return m.askedAt[a.Name].Compare(m.askedAt[b.Name]) })
	most := ProbesPerRound - len(heard)
	if len(heard) == 0 || len(m.silent) >= manySilent {
		most = BlindProbesPerRound
	}
	picked := slices.Concat(heard, others[:min(most, len(others))])
	for _, s := range picked {
		m.askedAt[s.Name] = now
	}
	return picked, Round{BeganAt: now, Tried: len(picked), HeardLately: len(heard), Known: len(servers)}
}

// forgetOthers drops what is remembered of servers that aren't known any more. The lock is held.
func (m *Monitor) forgetOthers(known []engine.Server) {
	names := make(map[string]bool, len(known))
	for _, s := range known {
		names[s.Name] = true
	}
	isOther := func(name string, _ time.Time) bool { return !names[name] }
	maps.DeleteFunc(m.heardAt, isOther)
	maps.DeleteFunc(m.askedAt, isOther)
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
