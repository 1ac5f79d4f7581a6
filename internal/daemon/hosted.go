package daemon

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"limpethub/internal/discovery"
	"limpethub/internal/dispatch"
	"limpethub/internal/forward"
	"limpethub/internal/front"
	"limpethub/internal/gateway"
	"limpethub/internal/lease"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/metrics"
	"limpethub/internal/modelref"
	"limpethub/internal/plugin"
	"limpethub/internal/request"
	"limpethub/internal/residency"
	"limpethub/internal/scheduling"
	"limpethub/internal/site"
	"limpethub/internal/storecall"
)

const (
	// defaultPlacementLease is how long the lease for orders lasts without renewal.
	defaultPlacementLease = 3 * time.Second
	// placementMarginShare and placementJitterShare are parts of that time: by how much
	// a holder stops earlier, and by how much candidates spread their claims.
	placementMarginShare = 6
	placementJitterShare = 10
	// candidateReads times that is the mean time between two looks of a candidate. One
	// looks at once when the holder seems to be gone.
	candidateReads = 2
	// amplePlacementCores is the processor from which on a holder carries some hundred
	// servers beside its requests. A smaller instance claims the lease later, by up to
	// smallClaimDelay, so that a larger one gets it if there is any.
	amplePlacementCores = 0.4
	smallClaimDelay     = 400 * time.Millisecond
)

// claimDelay is how long an instance leaves a free lease to larger ones.
func claimDelay(cores float64) time.Duration {
	if cores <= 0 || cores >= amplePlacementCores {
		return 0
	}
	return time.Duration((1 - cores/amplePlacementCores) * float64(smallClaimDelay))
}

// hosted holds the parts of an instance whose callers and servers follow a platform's
// way: servers announce themselves, requests are passed on unchanged.
type hosted struct {
	front   front.Front
	relay   *forward.Relay
	watcher *discovery.Watcher
	manager *residency.Manager
	feed    *residencyFeed
	inForce atomic.Pointer[front.InForce]
}

// buildHosted makes the parts in place of those for the product's own interfaces.
func (d *Daemon) buildHosted() error {
	environment := plugin.Environment{Logger: d.log(logging.Gateway), Store: d.plugins.storeFor(storecall.PurposeOther)}
	source, err := plugin.Load[discovery.Source](d.settings.Plugins.Discovery.Plugin(), environment)
	if err != nil {
		return err
	}
	h := &hosted{feed: newResidencyFeed()}
	if h.front, err = plugin.Load[front.Front](d.settings.Plugins.Front.Plugin(), environment); err != nil {
		return err
	}
	d.hosted = h
	if err := d.buildHostedRequests(h, source); err != nil {
		return err
	}
	d.buildResidency(h)
	return nil
}

func (d *Daemon) buildHostedRequests(h *hosted, source discovery.Source) error {
	scheduler, err := scheduling.New(scheduling.Options{
		Instance: d.settings.Instance, FailureDomain: d.settings.FailureDomain,
		Seed: d.seed, Policy: d.settings.Plugins.Routing.Name, Document: emptyDocument(),
	})
	if err != nil {
		return fmt.Errorf("daemon: routing: %w", err)
	}
	d.requests = metrics.NewRequests(d.registry)
	d.dispatcher = dispatch.New(dispatch.Options{
		Scheduler: scheduler, Observer: &hostedArrivals{Requests: d.requests, waits: d.requestWaits},
		Logger: d.log(logging.Routing), Now: time.Now,
		OnUrgentUpdates: func(servers []string) { d.exchange.HurryLoad(servers) },
	})
	h.watcher = discovery.New(discovery.Options{
		FailureDomain:    d.settings.FailureDomain,
		Source:           source,
		Sink:             d.dispatcher,
		Pooled:           h.pooled,
		Instances:        func() int { return len(d.cluster.Members()) },
		DecidesPlacement: func() bool { return h.manager.Holding() },
		OnLeaving:        h.feed.ServerLeaves,
		Logger:           d.log(logging.Routing),
	})
	h.relay = forward.NewRelay(forward.RelayOptions{
		Dispatcher: d.dispatcher, Plane: d.plugins.relayer, Directory: h.watcher,
		Logger: d.log(logging.Routing), Now: time.Now,
	})
	d.directory = &callerDirectory{cluster: d.cluster, configuration: d.confsync, domain: d.settings.FailureDomain, seed: d.seed}
	h.front.Use(front.Services{
		Relay:         h.relay,
		Configuration: h.inForce.Load,
		Entries:       d.hostedEntries,
		Observe:       d.requests.ObserveRequest,
		Logger:        d.log(logging.Gateway),
		Now:           time.Now,
	})
	d.exchange = newExchange(d.processName(), d.dispatcher, d.cluster, d.plugins.peers, d.log(logging.Peers))
	d.exchange.feed, d.exchange.every = h.feed, 1
	d.exchange.holder = func() string { return h.manager.Holder() }
	h.feed.watcher = h.watcher
	return nil
}

func (d *Daemon) buildResidency(h *hosted) {
	ttl := d.settings.PlacementLease()
	if ttl == 0 {
		ttl = defaultPlacementLease
	}
	h.manager = residency.New(residency.Options{
		Instance:      d.settings.Instance,
		Key:           "/limpethub/" + d.settings.Site + "/residency-lease",
		Store:         d.plugins.storeFor(purposePlacer),
		Control:       d.plugins.relayer,
		Document:      h.document,
		KnownServers:  h.watcher.Servers,
		RequestCounts: d.gauges,
		OnResidencyChange: func(moved []residency.ResidencyChange) {
			h.feed.Tell(moved)
			d.exchange.Hurry()
		},
		Lease: lease.Config{
			TTL: ttl, Margin: ttl / placementMarginShare, Jitter: ttl / placementJitterShare,
			ReadPeriod: candidateReads * ttl, TrustUnchanged: true,
			ClaimDelay: claimDelay(d.settings.Processor.Cores()),
		},
		Now:    bootClock(d.log(logging.Placement)),
		Seed:   d.seed,
		Logger: d.log(logging.Placement),
	})
	h.feed.load, h.feed.manager = d.dispatcher.RefLoads, h.manager
	d.cluster.OnChange(func(t membership.Transition) {
		if t.Member.State != membership.Alive && t.Member.Name == h.manager.Holder() {
			h.manager.HolderGone()
		}
	})
}

// leastEntries is how many instances callers should know, so that they have another one
// when one fails.
const leastEntries = 2

// hostedEntries lists the instances that callers in a failure domain should use: those
// of their own domain if there are enough, or else all that are alive.
func (d *Daemon) hostedEntries(domain string) []gateway.Entry {
	all := d.directory.Entries("", domain)
	alive := slices.DeleteFunc(slices.Clone(all), func(e gateway.Entry) bool { return !d.aliveInstance(e.Instance) })
	near := slices.DeleteFunc(slices.Clone(alive), func(e gateway.Entry) bool { return e.FailureDomain != domain })
	switch {
	case len(near) >= leastEntries:
		return near
	case len(alive) > 0:
		return alive
	}
	return all
}

func (d *Daemon) aliveInstance(name string) bool {
	member, ok := d.cluster.Member(name)
	return ok && member.State == membership.Alive
}

// requestWaits is called when a request waits because no server holds what it needs.
func (d *Daemon) requestWaits() {
	if d.hosted.manager.Holding() {
		d.hosted.manager.Wake()
		return
	}
	d.exchange.Hurry()
}

// gauges gathers the requests of all instances.
func (d *Daemon) gauges() (map[modelref.Ref]residency.RequestCounts, map[string]int) {
	return d.hosted.feed.Gauges(time.Now()), d.dispatcher.ServerLoads()
}

// bootClock is a clock that also runs while the machine is suspended. Without one the
// usual clock is taken, on which a lease outlives a suspension by up to its margin.
func bootClock(logger *logrus.Entry) func() time.Time {
	read := func() (time.Time, error) {
		var now unix.Timespec
		err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
		return time.Unix(now.Unix()), err
	}
	if _, err := read(); err != nil {
		logger.WithError(err).Warn("No clock runs through a suspension, the usual one is taken")
		return time.Now
	}
	return func() time.Time {
		now, err := read()
		if err != nil { // It was there at the start.
			panic(fmt.Errorf("daemon: read the boot clock: %w", err))
		}
		return now
	}
}

// putInForce takes a new configuration.
func (h *hosted) putInForce(accepted site.Accepted) {
	inForce := &front.InForce{Accepted: accepted}
	inForce.Routes = site.NewRouteTable(&inForce.Document)
	h.inForce.Store(inForce)
	h.watcher.Refresh()
	h.manager.Wake()
}

func (h *hosted) document() *site.Document {
	if inForce := h.inForce.Load(); inForce != nil {
		return &inForce.Document
	}
	return nil
}

// pooled reports whether a service's servers are model engines.
func (h *hosted) pooled(service string) bool {
	document := h.document()
	if document == nil {
		return false
	}
	_, ok := document.Pool(service)
	return ok
}

// hostedArrivals passes what the dispatcher observes to the metrics.
type hostedArrivals struct {
	*metrics.Requests
	// waits is called when a request has to wait.
	waits func()
}

var _ dispatch.Observer = (*hostedArrivals)(nil)

// ObserveArrival implements dispatch.Observer.
func (a *hostedArrivals) ObserveArrival(request.Request) {}

// ObserveDecision implements dispatch.Observer.
func (a *hostedArrivals) ObserveDecision(r request.Request, d scheduling.Decision, waited time.Duration) {
	a.Requests.ObserveDecision(r, d, waited)
	if d.Action == scheduling.Queue && r.Model != "" {
		a.waits()
	}
}

// residencyFeed carries what instances tell each other about models on discovered
// servers: who needs what, what changed on a server, which servers leave.
type residencyFeed struct {
	watcher *discovery.Watcher
	manager *residency.Manager
	load    func() map[modelref.Ref]scheduling.RefLoad

	mu      sync.Mutex
	peers   map[string]peerLoads
	told    []toldNews
	leaving []leavingNews
}
