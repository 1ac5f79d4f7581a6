package residency

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/discovery"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/pause"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// Times of the Manager.
const (
	// tickPeriod is how often the manager looks for what is due.
	tickPeriod = 50 * time.Millisecond
	// candidatePeriod is the same for an instance that doesn't hold the lease.
	candidatePeriod = 200 * time.Millisecond
	orderTimeout    = 1200 * time.Millisecond
	stateTimeout    = 800 * time.Millisecond
	leaseTimeout    = 800 * time.Millisecond
	releaseTimeout  = time.Second
	// restFactor times the length of a step is the rest after it, at most longestRest.
	// Where a step is long, as on a small instance with many servers, many small events
	// would otherwise take all of the processor from requests, peers and the lease.
	restFactor  = 4
	longestRest = 100 * time.Millisecond
)

var errLeaseOver = errors.New("residency: the lease ran out before the order was sent")

// Options sets up a Manager.
type Options struct {
	// Instance names this instance towards servers.
	Instance string
	// Key is the lease's key in the key-value service.
	Key     string
	Store   store.Store
	Servers engine.SequencedControl
	// Observe gathers what the rest of the instance knows.
	Document func() *site.Document
	Known    func() []discovery.Known
	// Gauges counts the requests of all instances, by version and by server.
	Gauges func() (byRef map[modelref.Ref]Gauge, byServer map[string]int)
	// OnMoved is told, without blocking, what changed on servers.
	OnMoved func(moved []Moved)
	Lease   lease.Config
	// Takeover is how long a new holder waits before its first order.
	Takeover time.Duration
	// Now is a clock that also runs while the machine is suspended.
	Now    func() time.Time
	Seed   uint64
	Logger *logrus.Entry
}

// Manager is one instance's part in placing models on discovered servers. It is safe
// for concurrent use.
type Manager struct {
	options Options
	results chan result
	wake    chan struct{}

	mu   sync.Mutex
	core *core
}

// New makes a Manager. It does nothing until Run.
func New(options Options) *Manager {
	options.Lease.Instance = options.Instance
	machine := lease.New(options.Lease, rand.New(rand.NewPCG(options.Seed, 5)))
	return &Manager{
		options: options,
		results: make(chan result),
		wake:    make(chan struct{}, 1),
		core:    newCore(options.Instance, machine, options.Takeover),
	}
}

// Holder names the instance that holds the lease as far as is known.
func (m *Manager) Holder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	record := m.core.lease.Record()
	if record.Released {
		return ""
	}
	return record.Holder
}

// Holding reports whether this instance holds the lease.
func (m *Manager) Holding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.holding
}

// Lease returns the lease's record and revision while this instance holds the lease, and
// for a moment after it gave the lease up.
func (m *Manager) Lease() (record lease.Record, revision store.Revision, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record = m.core.lease.Record()
	ok = record.Holder == m.options.Instance && (m.core.holding || record.Released)
	return record, m.core.lease.Revision(), ok
}

// Heard takes the lease as its holder told it.
func (m *Manager) Heard(record lease.Record, revision store.Revision) {
	m.locked(func(c *core) { c.lease.Heard(m.options.Now(), record, revision) })
}

// Resign gives the lease up, as at the begin of a planned stop: another instance can take
// over while this one still finishes its requests.
func (m *Manager) Resign() {
	m.locked(func(c *core) { c.lease.Resign() })
	m.Wake()
}

// HolderGone tells that the holder of the lease seems to be gone or about to go.
func (m *Manager) HolderGone() {
	m.locked(func(c *core) { c.lease.Hurry(m.options.Now()) })
	m.Wake()
}

// Wake makes the manager look at once for what is due.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends, then gives the lease up.
func (m *Manager) Run(ctx context.Context) {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	var giveUp <-chan time.Time
	for {
		select {
		case <-done:
			done = nil
			giveUp = time.After(releaseTimeout)
			m.locked(func(c *core) { c.lease.Resign() })
		case <-giveUp:
			return
		case <-timer.C:
		case <-m.wake:
		case r := <-m.results:
			m.take(r)
		}
		began := time.Now()
		m.step(work, &calls)
		if done == nil && m.resigned() {
			return
		}
		pause.For(work, restAfter(time.Since(began)))
		timer.Reset(m.period())
	}
}

// restAfter is how long the manager rests after a step of a length.
func restAfter(step time.Duration) time.Duration { return min(restFactor*step, longestRest) }

// take handles a result and all others that are there, so that they share one step.
func (m *Manager) take(r result) {
	for {
		m.locked(func(c *core) { c.handle(m.options.Now(), r) })
		select {
		case r = <-m.results:
		default:
			return
		}
	}
}

func (m *Manager) period() time.Duration {
	if m.Holding() {
		return tickPeriod
	}
	return candidatePeriod
}

func (m *Manager) resigned() (resigned bool) {
	m.locked(func(c *core) { resigned = c.lease.Resigned() })
	return resigned
}

func (m *Manager) locked(f func(c *core)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.core)
}

// step moves the core on and carries out what it decided.
func (m *Manager) step(ctx context.Context, calls *sync.WaitGroup) {
	byRef, byServer := m.options.Gauges()
	o := observation{document: m.options.Document(), servers: m.options.Known(), gauges: byRef, requests: byServer}
	m.mu.Lock()
	m.core.step(m.options.Now(), o)
	effects, moved, lines := m.core.effects, m.core.moved, m.core.lines
	m.core.effects, m.core.moved, m.core.lines = nil, nil, nil
	m.mu.Unlock()
	for _, l := range lines {
		m.log(l)
	}
	if len(moved) > 0 {
		m.options.OnMoved(moved)
	}
	for _, e := range effects {
		calls.Go(func() {
			r := m.perform(ctx, e)
			select {
			case m.results <- r:
			case <-ctx.Done():
			}
		})
	}
}

func (m *Manager) log(l line) {
	entry := m.options.Logger.WithFields(l.fields)
	if l.warn {
		entry.Warn(l.message)
		return
	}
	entry.Info(l.message)
}

// perform makes one call.
func (m *Manager) perform(ctx context.Context, e effect) result {
	r := result{effect: e}
	switch e.kind {
	case effectReadLease:
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		r.entry, r.err = m.options.Store.Get(ctx, m.options.Key)
	case effectWriteLease:
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		r.revision, r.err = m.options.Store.CompareAndSwap(ctx, m.options.Key, e.todo.Record.Encode(), e.todo.Expected, 0)
	case effectState:
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		r.state, r.err = m.options.Servers.Account(ctx, e.server)
	case effectOrder:
		m.give(ctx, &r)
	}
	return r
}

// give gives an order, unless the lease ran out in the meantime.
func (m *Manager) give(ctx context.Context, r *result) {
	var holds bool
	m.locked(func(c *core) { holds = c.lease.Holds(m.options.Now()) && c.lease.Term() == r.effect.term })
	if !holds {
		r.err = errLeaseOver
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.answer, r.err = m.options.Servers.Place(ctx, r.effect.server, r.effect.order)
}
