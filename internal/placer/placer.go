// Package placer runs placement for one cell: it holds the lease if it can, keeps
// the ledger, takes inventories, asks the policy for moves and carries them out.
// The decisions are in core, without I/O; Placer makes its calls.
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

// DocumentSource gives the configuration in force; nil while none is known. The
// same configuration is the same pointer.
type DocumentSource interface {
	Document() *site.Document
}

// DemandSource gives the newest counters of all instances, this one's included.
type DemandSource interface {
	Samples() []demand.Sample
}

// Options sets up a Placer.
type Options struct {
	// Instance is unique to this process of this instance.
	Instance string
	// Site and Cell name the keys in the key-value service.
	Site, Cell string
	Store      store.Store
	Engines    engine.ControlPlane
	Documents  DocumentSource
	Demand     DemandSource
	// Leaving lists the servers that are to be emptied; nil means none.
	Leaving func() []string
	// Reach gives the share of servers, 0 to 1, that this instance reaches; nil means all.
	Reach func() float64
	// Policy decides on moves; nil means placement.value.
	Policy placement.Policy
	// Lease sets the lease's times; its zero value means DefaultLease.
	Lease lease.Config
	// Demands sets the time constants of the demand estimates; its zero value means
	// demand.DefaultConfig.
	Demands demand.Config
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds jitter; 0 means one made from Instance.
	Seed uint64
	// Logger gets a line for each decision.
	Logger *logrus.Entry
	// Registerer gets the metrics; nil means none.
	Registerer prometheus.Registerer
}

// DefaultLease returns the usual times of a lease.
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

// Times of the shell.
const (
	tickInterval   = 100 * time.Millisecond
	storeTimeout   = 2 * time.Second
	serverTimeout  = 2 * time.Second
	releaseTimeout = 3 * time.Second
)

// Placer is one instance's part in the placement of one cell.
type Placer struct {
	options Options
	metrics *metrics
	results chan result

	mu   sync.Mutex
	core *core
}

// New makes a Placer. It does nothing until Run.
func New(o Options) (*Placer, error) {
	if o.Instance == "" || o.Site == "" || o.Cell == "" {
		return nil, fmt.Errorf("placer: instance, site and cell must be named")
	}
	if o.Store == nil || o.Engines == nil || o.Documents == nil || o.Demand == nil || o.Logger == nil {
		return nil, fmt.Errorf("placer: store, engines, documents, demand and logger must be set")
	}
	o = withDefaults(o)
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	c := newCore(o.Instance, o.Cell, o.Policy, lease.New(o.Lease, random), demand.New(o.Demands, nil), random)
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
	if o.Demands == (demand.Config{}) {
		o.Demands = demand.DefaultConfig()
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

// Run works until the context ends, then gives the lease up and returns.
func (p *Placer) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	done := ctx.Done()
	var giveUp <-chan time.Time
	for {
		select {
		case <-done:
			done = nil
			giveUp = time.After(releaseTimeout)
			p.resign()
		case <-giveUp:
			return nil
		case <-ticker.C:
			p.start(work, &calls, p.tick())
		case r := <-p.results:
			p.start(work, &calls, p.handle(r))
		}
		if done == nil && p.resigned() {
			return nil
		}
	}
}

func (p *Placer) resign() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.lease.Resign()
}

func (p *Placer) resigned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.lease.Resigned()
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
	if p.options.Reach != nil {
		p.core.lease.SetReach(now, p.options.Reach())
	}
	effects := p.core.tick(now, samples)
	p.publish()
	p.metrics.gauge(p.core)
	return effects
}

func (p *Placer) handle(r result) []effect {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	effects := p.core.handle(now, r)
	p.publish()
	return effects
}

// publish writes the log lines and counts of what just happened.
func (p *Placer) publish() {
	for _, e := range p.core.drainEvents() {
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

// start makes the calls that the core asked for, each on its own.
func (p *Placer) start(ctx context.Context, calls *sync.WaitGroup, effects []effect) {
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

// address returns where a server is; a server that left the configuration has none.
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

// Snapshot returns the present state.
func (p *Placer) Snapshot() Snapshot {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.snapshot(now)
}

// Explain says why a version is where it is. The second result is false when the
// version isn't configured.
func (p *Placer) Explain(ref modelref.Ref) (Explanation, bool) {
	return p.Snapshot().explain(ref)
}
