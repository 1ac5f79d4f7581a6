// Package placer runs the placement of models and adapters for one cell, the group of
// servers that one lease holder places on. It competes for the cell's lease and, while it
// holds the lease, takes the servers' inventories, keeps the ledger, asks a
// placement.Policy for moves and sends the resulting orders to the servers. Package
// placement makes the plans; this package carries them out. Within it, core decides what
// to do and does no I/O; Placer makes the calls that core asks for.
package placer

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/lease"
	"limpethub/internal/modelref"
	"limpethub/internal/placement"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// DocumentSource provides the configuration in force; nil while none is known. The
// pointer stays the same as long as the configuration does.
type DocumentSource interface {
	Document() *site.Document
}

// DemandSource provides the newest demand counters of all instances, including this one.
type DemandSource interface {
	Samples() []demand.Sample
}

// Options configures a Placer.
type Options struct {
	// Instance names this candidate for the lease. It must be unique per process: a restarted
	// process of the same instance needs another name.
	Instance string
	// Site and Cell are part of the keys in the store.
	Site, Cell string
	Store      store.Store
	// Engines makes the calls to the servers.
	Engines engine.ControlPlane
	// Documents provides the configuration, Demand the demand counters.
	Documents DocumentSource
	Demand    DemandSource
	// Leaving lists the servers that are about to stop; nil means none.
	Leaving func() []string
	// ReachableShare returns the share of servers, 0 to 1, that this instance can reach;
	// nil means all. An instance with too low a share gives the lease up.
	ReachableShare func() float64
	// Policy decides on moves; nil means placement.Value.
	Policy placement.Policy
	// Lease configures the lease; the zero value means DefaultLease.
	Lease lease.Config
	// DemandConfig configures how estimates are made from the counters that Demand
	// provides; the zero value means demand.DefaultConfig.
	DemandConfig demand.Config
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random source of delays and write ids; 0 means a seed derived from
	// Instance.
	Seed uint64
	// Logger receives one entry for each event, such as an order, a takeover or an
	// unexpected change; it must be set.
	Logger *logrus.Entry
	// Registerer registers the metrics; nil means that they aren't exported.
	Registerer prometheus.Registerer
}

// DefaultLease returns the default lease configuration; lease.Config explains the fields.
// ReachDelay is two TTLs.
func DefaultLease(instance string) lease.Config {
	return lease.Config{
		Instance: instance,
		TTL:      9 * time.Second,
		Margin:   2 * time.Second,
		Jitter:   2 * time.Second,

		ReachDelay:    18 * time.Second,
		StepDownReach: 0.5,
	}
}

// Interval of the core's ticks, and timeouts of calls.
const (
	tickInterval   = 100 * time.Millisecond
	storeTimeout   = 2 * time.Second
	serverTimeout  = 2 * time.Second
	releaseTimeout = 3 * time.Second
)

// Placer takes part in the placement of one cell on behalf of one instance.
type Placer struct {
	options Options
	metrics *metrics
	results chan result

	mu   sync.Mutex
	core *core
}

// New returns a Placer that does nothing until Run is called.
func New(o Options) (*Placer, error) {
	if o.Instance == "" || o.Site == "" || o.Cell == "" {
		return nil, fmt.Errorf("placer: Options.Instance, Site or Cell is empty; all three must be set")
	}
	if o.Store == nil || o.Engines == nil || o.Documents == nil || o.Demand == nil || o.Logger == nil {
		return nil, fmt.Errorf("placer: Options.Store, Engines, Documents, Demand or Logger is nil; all must be set")
	}
	o = withDefaults(o)
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	c := newCore(o.Instance, o.Cell, o.Policy, lease.New(o.Lease, random), demand.New(o.DemandConfig, nil), random)
	return &Placer{options: o, metrics: m, core: c, results: make(chan result)}, nil
}

func withDefaults(o Options) Options {
	if o.Policy == nil {
		o.Policy = placement.NewValue()
	}
	if o.Lease.TTL == 0 {
		o.Lease = DefaultLease(o.Instance)
	}
	o.Lease.Instance = o.Instance
	if o.DemandConfig == (demand.Config{}) {
		o.DemandConfig = demand.DefaultConfig()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		h := fnv.New64a()
		h.Write([]byte(o.Instance))
		o.Seed = h.Sum64()
	}
	return o
}

// Run works until the context ends, then releases the lease and returns nil. If the lease
// can't be released within releaseTimeout, Run returns nil all the same, and the lease is
// left to expire.
func (p *Placer) Run(ctx context.Context) error {
	callsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	done := ctx.Done()
	var releaseDeadline <-chan time.Time
	for {
		select {
		case <-done:
			done = nil
			releaseDeadline = time.After(releaseTimeout)
			p.release()
		case <-releaseDeadline:
			return nil
		case <-ticker.C:
			p.startCalls(callsCtx, &calls, p.tick())
		case r := <-p.results:
			p.startCalls(callsCtx, &calls, p.handle(r))
		}
		if done == nil && p.released() {
			return nil
		}
	}
}

func (p *Placer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.lease.Release()
}

func (p *Placer) released() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.lease.Released()
}

func (p *Placer) tick() []effect {
	doc := p.options.Documents.Document()
	samples := p.options.Demand.Samples()
	var leaving []string
	if p.options.Leaving != nil {
		leaving = p.options.Leaving()
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if doc != nil {
		p.core.configure(doc, leaving)
	}
	if p.options.ReachableShare != nil {
		p.core.lease.SetReach(now, p.options.ReachableShare())
	}
	effects := p.core.tick(now, samples)
	p.publishEvents()
	p.metrics.updateGauges(p.core)
	return effects
}

func (p *Placer) handle(r result) []effect {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	effects := p.core.handle(now, r)
	p.publishEvents()
	return effects
}

// publishEvents logs and counts the core's new events.
func (p *Placer) publishEvents() {
	for _, e := range p.core.takeEvents() {
		p.metrics.count(e)
		logEvent(p.options.Logger, e)
	}
}

func logEvent(logger *logrus.Entry, e event) {
	fields := logrus.Fields{"event": string(e.kind)}
	if e.server != "" {
		fields["server"] = e.server
	}
	if e.ref != "" {
		fields["ref"] = string(e.ref)
	}
	if e.order.ID != "" {
		fields["order"], fields["fence"] = e.order.ID, e.order.Fence
	}
	if e.reason != "" {
		fields["reason"] = e.reason
	}
	if e.warn {
		logger.WithFields(fields).Warn(e.message)
		return
	}
	logger.WithFields(fields).Info(e.message)
}

// startCalls makes the calls that the core asked for, each in its own goroutine.
func (p *Placer) startCalls(ctx context.Context, calls *sync.WaitGroup, effects []effect) {
	for _, e := range effects {
		address := p.address(e.server)
		calls.Go(func() {
			r := p.perform(ctx, e, address)
			select {
			case p.results <- r:
			case <-ctx.Done():
			}
		})
	}
}

// address returns a server's address; empty if the server is no longer configured.
func (p *Placer) address(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.document == nil {
		return ""
	}
	for _, s := range p.core.document.Servers {
		if s.Name == server {
			return s.Address
		}
	}
	return ""
}

// Snapshot returns the current state.
func (p *Placer) Snapshot() Snapshot {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.snapshot(now)
}

// Explain returns the state, pending orders and planned moves of a version. The second
// result is false if this instance holds the lease and the version isn't configured.
func (p *Placer) Explain(ref modelref.Ref) (Explanation, bool) {
	return p.Snapshot().explain(ref)
}
