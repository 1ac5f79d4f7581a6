package residency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
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

// Periods and timeouts of the Manager.
const (
	// tickPeriod is how long the lease holder waits for an event, after a step and the pause
	// that follows it, before it runs the next step. The result of a call or Wake ends this wait
	// early.
	tickPeriod = 50 * time.Millisecond
	// candidatePeriod is the same wait on an instance that doesn't hold the lease.
	candidatePeriod = 200 * time.Millisecond
	orderTimeout    = 1200 * time.Millisecond
	stateTimeout    = 800 * time.Millisecond
	leaseTimeout    = 800 * time.Millisecond
	// orderTransit is how long after the last check of the lease an order may reach its server. Its
	// connection is open by then: what is left is the write and the way through the network.
	orderTransit = 200 * time.Millisecond
	// orderLeeway is how long the lease must last when an order is sent, or half of its time to live if that is shorter: the
	// call may last orderTimeout, and its order may reach the server orderTransit later where links are full.
	orderLeeway = orderTimeout + orderTransit
	// releaseTimeout is how long Run waits for the release of the lease when it stops. It
	// covers the orders that the release waits for, and all calls and retries of the release.
	releaseTimeout = orderTimeout + time.Second
	// After each step the manager pauses for pauseFactor times the length of the step, but
	// for maxStepPause at most. Where a step takes long, as on a small instance with many
	// servers, frequent events would otherwise take all processor time from requests, peers
	// and the lease.
	pauseFactor  = 4
	maxStepPause = 100 * time.Millisecond
)

// Errors of the package.
var (
	errLeaseNotHeld     = errors.New("residency: the lease isn't held any more or runs out soon, so the order isn't sent")
	errTakeoverTooEarly = errors.New("residency: a new holder may give orders before those of its predecessor have arrived")
)

// Options configures a Manager.
type Options struct {
	// Instance is the name of this instance in its orders to servers.
	Instance string
	// Key is the key of the lease in the store.
	Key   string
	Store store.Store
	// Control reads the state of servers and sends them orders.
	Control engine.SequencedControl
	// Document returns the configuration in use, and KnownServers the discovered servers.
	Document     func() *site.Document
	KnownServers func() []discovery.KnownServer
	// RequestCounts counts the requests of all instances, by version and by server.
	RequestCounts func() (byRef map[modelref.Ref]RequestCounts, byServer map[string]int)
	// ReachesServers reports whether this instance reaches the servers, which a holder must; nil means that it
	// does. It is called without a lock.
	ReachesServers func() bool
	// OnResidencyChange is called with the versions that became or ceased to be usable on
	// servers. It must not block.
	OnResidencyChange func(changes []ResidencyChange)
	Lease             lease.Config
	// TakeoverDelay is how long a new holder waits before its first order; see TakeoverDelayFor.
	TakeoverDelay time.Duration
	// Now is a clock that keeps running while the machine is suspended.
	Now func() time.Time
	// Seed is the seed of the random delays of the lease.
	Seed   uint64
	Logger *logrus.Entry
}

// Manager runs one instance's part in placing models on discovered servers: it competes for
// the lease and, while it holds it, reads the servers' state and sends orders. It is safe
// for concurrent use.
type Manager struct {
	options Options
	results chan result
	wake    chan struct{}

	mu   sync.Mutex
	core *core
}

// TakeoverDelayFor returns the shortest delay of a new holder that is long enough for a lease.
//
// A holder whose lease runs out sends its last order a margin before the expiry, and it arrives
// orderTransit later. A successor claims the lease after the expiry and sends its first order one
// TakeoverDelay after that. So margin + TakeoverDelay must be at least orderTransit. A lease that is
// released needs no delay: the release waits for the answers to all orders.
func TakeoverDelayFor(config lease.Config) time.Duration {
	return max(0, orderTransit-config.Margin)
}

// New makes a Manager, which does nothing until Run is called. It returns an error if
// Options.TakeoverDelay is too short for the lease.
func New(options Options) (*Manager, error) {
	if shortest := TakeoverDelayFor(options.Lease); options.TakeoverDelay < shortest {
		return nil, fmt.Errorf("%w: the delay is %v, want %v at least", errTakeoverTooEarly, options.TakeoverDelay, shortest)
	}
	options.Lease.Instance = options.Instance
	// Either all servers count as reached or none, so any share between does.
	options.Lease.StepDownReach, options.Lease.ReachDelay = 0.5, options.Lease.TTL
	// The second value, 5, gives the lease its own random sequence: other parts of the
	// instance use the same seed with other values.
	machine := lease.New(options.Lease, rand.New(rand.NewPCG(options.Seed, 5)))
	m := &Manager{
		options: options,
		results: make(chan result),
		wake:    make(chan struct{}, 1),
		core:    newCore(options.Instance, machine, options.TakeoverDelay),
	}
	m.core.orderLeeway = min(orderLeeway, options.Lease.TTL/2)
	return m, nil
}

// Holder names the instance that holds the lease, as far as this instance knows; empty if
// the lease was released.
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
	return m.core.holdsLease
}

// Lease returns the lease's record and revision. ok is true while this instance holds the
// lease. After this instance has released the lease, ok stays true until the record of another
// holder is known, so that peers learn of the release.
func (m *Manager) Lease() (record lease.Record, revision store.Revision, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record = m.core.lease.Record()
	ok = record.Holder == m.options.Instance && (m.core.holdsLease || record.Released)
	return record, m.core.lease.Revision(), ok
}

// UsableCopies returns up to most servers on which a version is usable, as changes of the present term; none on an instance that
// doesn't hold the lease.
func (m *Manager) UsableCopies(ref modelref.Ref, most int) (copies []ResidencyChange) {
	m.withCore(func(c *core) { copies = c.usableCopies(ref, most) })
	return copies
}

// RecentLoads returns how many loads from the weight store this instance ordered in the last
// seconds or may still take effect, also right after it has released the lease. Its successor
// counts them as its own.
func (m *Manager) RecentLoads() (n int) {
	m.withCore(func(c *core) { n = c.loadsForSuccessor(m.options.Now()) })
	return n
}

// HolderReported records the state of the lease that its holder sent to this instance, and the
// holder's RecentLoads. This saves reads of the lease key.
func (m *Manager) HolderReported(record lease.Record, revision store.Revision, loads int) {
	now := m.options.Now()
	m.withCore(func(c *core) {
		c.lease.HolderReported(now, record, revision)
		c.reportedLoads = recentLoads{count: loads, at: now}
	})
}

// Release releases the lease, as at the start of a planned stop, so that another instance
// can take over while this one still finishes its requests.
func (m *Manager) Release() {
	m.withCore(func(c *core) { c.lease.Release() })
	m.Wake()
}

// HolderGone records that the holder of the lease seems to be gone or about to stop.
func (m *Manager) HolderGone() {
	m.withCore(func(c *core) { c.lease.ReadNow(m.options.Now()) })
	m.Wake()
}

// Wake makes the manager run a step without waiting for the next period.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run runs steps until ctx ends, then releases the lease. It returns once the lease is
// released, or after releaseTimeout.
func (m *Manager) Run(ctx context.Context) {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	// done is set to nil once the stop has begun.
	done := ctx.Done()
	var releaseExpired <-chan time.Time
	for {
		select {
		case <-done:
			done = nil
			releaseExpired = time.After(releaseTimeout)
			m.withCore(func(c *core) { c.lease.Release() })
		case <-releaseExpired:
			return
		case <-timer.C:
		case <-m.wake:
		case r := <-m.results:
			m.handleResults(r)
		}
		start := time.Now()
		m.step(workCtx, &calls)
		if done == nil && m.leaseReleased() {
			return
		}
		pause.For(workCtx, pauseAfter(time.Since(start)))
		timer.Reset(m.stepPeriod())
	}
}

// pauseAfter returns how long the manager pauses after a step of the given length.
func pauseAfter(step time.Duration) time.Duration { return min(pauseFactor*step, maxStepPause) }

// handleResults handles a result and all others that are ready, so that they share one step.
func (m *Manager) handleResults(r result) {
	for {
		m.withCore(func(c *core) { c.handle(m.options.Now(), r) })
		select {
		case r = <-m.results:
		default:
			return
		}
	}
}

func (m *Manager) stepPeriod() time.Duration {
	if m.Holding() {
		return tickPeriod
	}
	return candidatePeriod
}

func (m *Manager) leaseReleased() (released bool) {
	m.withCore(func(c *core) { released = c.lease.Released() })
	return released
}

func (m *Manager) withCore(f func(c *core)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.core)
}

// step advances the core and carries out its effects.
func (m *Manager) step(ctx context.Context, calls *sync.WaitGroup) {
	byRef, byServer := m.options.RequestCounts()
	servers, now := m.options.KnownServers(), m.options.Now()
	convertTimes(servers, time.Now(), now)
	o := observation{document: m.options.Document(), servers: servers, requestCounts: byRef, requestsByServer: byServer}
	reach := m.reachShare()
	m.mu.Lock()
	m.core.lease.SetReach(now, reach)
	m.core.step(now, o)
	effects, changes, logLines := m.core.effects, m.core.changes, m.core.logLines
	m.core.effects, m.core.changes, m.core.logLines = nil, nil, nil
	m.mu.Unlock()
	for _, l := range logLines {
		m.log(l)
	}
	if len(changes) > 0 {
		m.options.OnResidencyChange(changes)
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

// reachShare returns the share of the servers that this instance reaches: all or none.
func (m *Manager) reachShare() float64 {
	if m.options.ReachesServers == nil || m.options.ReachesServers() {
		return 1
	}
	return 0
}

// convertTimes converts the times of servers, which are of the usual clock, to the clock of
// Options.Now: its zero is another one, so that times of the two clocks can't be compared. from
// and to are the present time of the usual clock and of the other.
func convertTimes(servers []discovery.KnownServer, from, to time.Time) {
	for i := range servers {
		s := &servers[i]
		s.LastAnnouncedAt = to.Add(s.LastAnnouncedAt.Sub(from))
		if !s.PausedUntil.IsZero() {
			s.PausedUntil = to.Add(s.PausedUntil.Sub(from))
		}
	}
}

func (m *Manager) log(line logLine) {
	entry := m.options.Logger.WithFields(line.fields)
	if line.warn {
		entry.Warn(line.message)
		return
	}
	entry.Info(line.message)
}

// perform makes the call of an effect.
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
		r.revision, r.err = m.options.Store.CompareAndSwap(ctx, m.options.Key, e.operation.Record.Encode(), e.operation.Expected, 0)
	case effectReadState:
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		r.state, r.err = m.options.Control.SequencedInventory(ctx, e.server)
	case effectOrder:
		m.performOrder(ctx, &r)
	}
	return r
}

// performOrder sends an order and takes its answer and its times.
func (m *Manager) performOrder(ctx context.Context, r *result) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.times.askedAt = m.options.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { r.times.writtenAt = m.options.Now() },
	})
	maySend := func() error {
		var err error
		r.times.checkedAt, r.times.leaseLeft, err = m.mayOrder(r.effect.term)
		return err
	}
	r.answer, r.err = m.options.Control.SubmitSequenced(ctx, r.effect.server, r.effect.order, maySend)
	r.times.endedAt = m.options.Now()
}

// mayOrder returns an error unless this instance holds the lease in the term in which an order was
// decided on. It also returns the present time, and how long the lease is still valid. It is called
// when the order is about to be sent: until then, the lease may have been released, have run out or
// have passed to another instance.
func (m *Manager) mayOrder(term uint64) (now time.Time, left time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now = m.options.Now()
	left = m.core.lease.ExpiresAt().Sub(now)
	if !m.core.mayOrder(now) || m.core.lease.Term() != term {
		return now, left, errLeaseNotHeld
	}
	return now, left, nil
}
