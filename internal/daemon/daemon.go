// Package daemon builds one entry instance, called instance below, from its settings: it
// connects the parts that the other packages provide, starts and stops them in order, and drains
// the instance. Several daemons can run in one process.
//
// An instance is hosted if its settings name a front, which is the plug-in that serves callers
// over a platform's own protocol. A hosted instance discovers its backend servers by their
// announcements, and package residency decides on its placement. Without a front, package
// gateway serves callers, the configuration lists the backend servers, and package placer
// decides on placement.
package daemon

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/cluster"
	"limpethub/internal/confsync"
	"limpethub/internal/connlimit"
	"limpethub/internal/dispatch"
	"limpethub/internal/forward"
	"limpethub/internal/gateway"
	"limpethub/internal/kernel"
	"limpethub/internal/lateness"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/metrics"
	"limpethub/internal/placer"
	"limpethub/internal/scheduling"
	"limpethub/internal/servers"
	"limpethub/internal/settings"
	"limpethub/internal/site"
)

// Daemon is one instance.
type Daemon struct {
	settings  settings.Settings
	logger    *logrus.Logger
	registry  *prometheus.Registry
	seed      uint64
	startedAt time.Time
	// bootNow is a clock that keeps running while the machine is suspended; see bootClock.
	bootNow func() time.Time

	// lateness measures by how much this process is late.
	lateness *lateness.Meter

	configSteps *configSteps

	plugins   plugins
	lifecycle kernel.Lifecycle
	cluster   *cluster.Cluster
	confsync  *confsync.Sync
	// inForce is what the gateway answers by: a request that is admitted needs all parts.
	inForce          configurationInForce
	dispatcher       *dispatch.Dispatcher
	monitor          *servers.Monitor
	forwarder        *forward.Forwarder
	gateway          *gateway.Gateway
	exchange         *exchange
	directory        *callerDirectory
	requestMetrics   *metrics.Requests
	demand           *demandTracker
	placer           *placer.Placer
	connections      *connectionMetrics
	connectionShares connlimit.Shares
	callerListener   *listener
	operatorListener *listener
	metricsListener  *listener
	// hosted holds the parts of an instance with a front; nil without one.
	hosted *hosted

	operatorHandler http.Handler

	loopContext     context.Context
	stopLoops       context.CancelFunc
	backgroundLoops sync.WaitGroup
	drainOnce       sync.Once
	drained         chan struct{}
	drainErr        error
}

// New builds a daemon from its settings. Log lines are written to logs.
func New(s settings.Settings, logs io.Writer) (*Daemon, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, fmt.Errorf("daemon: settings: log.level: %w", err)
	}
	d := &Daemon{
		settings:  s,
		logger:    logging.New(logs, level),
		registry:  prometheus.NewRegistry(),
		seed:      newSeed(s.Instance),
		startedAt: time.Now(),
		drained:   make(chan struct{}),
	}
	d.lateness = lateness.New(d.log(logging.Daemon))
	d.connections = newConnectionMetrics(d.log(logging.Daemon))
	d.configSteps = newConfigSteps()
	d.bootNow = bootClock(d.log(logging.Daemon))
	d.loopContext, d.stopLoops = context.WithCancel(context.Background())
	if d.connectionShares, err = connlimit.SharesOf(s.Descriptors); err != nil {
		return nil, err
	}
	for _, warning := range s.Warnings() {
		d.log(logging.Daemon).Warn(warning)
	}
	return d, d.build()
}

// newSeed returns the seed of an instance's random choices. It differs between instances
// and between starts of one instance.
func newSeed(instance string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", instance, time.Now().UnixNano())
	return h.Sum64()
}

func (d *Daemon) log(part logging.Part) *logrus.Entry {
	return logging.For(d.logger, part, d.settings.Instance)
}

// build builds the parts, each after those that it depends on.
func (d *Daemon) build() error {
	steps := []func() error{d.buildPlugins, d.buildListeners, d.buildCluster, d.buildRequests, d.buildPlacement, d.buildHandlers}
	if d.settings.Hosted() {
		steps = []func() error{d.buildPlugins, d.buildListeners, d.buildCluster, d.buildHosted, d.buildHandlers}
	}
	for _, step := range steps {
		if err := step(); err != nil {
			d.closeListeners()
			return err
		}
	}
	return nil
}

func (d *Daemon) buildCluster() error {
	d.cluster = cluster.New(cluster.Options{
		Self: membership.Identity{
			Name:          d.settings.Instance,
			CallerAddress: d.CallerAddress(),
			PeerAddress:   d.PeerAddress(),
			FailureDomain: d.settings.FailureDomain,
		},
		Transport: d.plugins.peers,
		Lister:    d.plugins.instances,
		Logger:    d.log(logging.Membership),
		Seed:      d.seed,
		BootNow:   d.bootNow,
	})
	d.confsync = confsync.New(confsync.Options{
		Site:      d.settings.Site,
		Store:     d.plugins.storeFor(purposeConfig),
		Transport: d.plugins.peers,
		Members:   d.cluster,
		Logger:    d.log(logging.Config),
		Seed:      d.seed,

		Revocation: d.settings.Revocation(), BootNow: d.bootNow,
		MaxRetryWait: d.settings.Platform.MaxBackOff(),
		ObserveStep:  d.configSteps.observe,
	})
	return nil
}

// Start starts all parts. Until the first configuration is in force, the gateway lets each
// request of a caller wait for at most configurationWait and then refuses it.
func (d *Daemon) Start(ctx context.Context) error {
	d.addParts()
	if err := d.lifecycle.Start(ctx); err != nil {
		d.stopLoops()
		d.closeListeners()
		return err
	}
	d.log(logging.Daemon).WithFields(logrus.Fields{
		"callers": d.CallerAddress(), "operators": d.OperatorAddress(), "peers": d.PeerAddress(),
	}).Info("started")
	return nil
}

// run starts a background loop that ends when the daemon stops.
func (d *Daemon) run(loop func(ctx context.Context)) {
	d.backgroundLoops.Add(1)
	go func() {
		defer d.backgroundLoops.Done()
		loop(d.loopContext)
	}()
}

// measureLateness measures, until ctx ends, by how much this process is late.
func (d *Daemon) measureLateness(ctx context.Context) {
	if err := d.lateness.Run(ctx); err != nil {
		d.log(logging.Daemon).WithError(err).Warn("The lateness of this process isn't measured any more")
	}
}

// followConfiguration applies the current configuration and each later one to all parts.
func (d *Daemon) followConfiguration(ctx context.Context) {
	updates := d.confsync.Subscribe()
	// No request is accepted before a configuration is in force, so what the fleet knows is known
	// here before the first one.
	if err := d.cluster.FetchFacts(ctx); err != nil {
		d.log(logging.Membership).WithError(err).Info("No other instance told what the fleet knows; it comes with the heartbeats")
	}
	d.run(d.cluster.CompleteFacts)
	if d.hosted != nil {
		d.hosted.identities.Announce()
	}
	if accepted, ok := d.confsync.Current(); ok {
		d.putInForce(accepted)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case accepted := <-updates:
			d.putInForce(accepted)
		}
	}
}

// putInForce applies a configuration to the dispatcher, to the parts that follow the backend
// servers, to the budget of store calls, and then to the gateway.
func (d *Daemon) putInForce(accepted site.Accepted) {
	document := &accepted.Document
	began := time.Now()
	d.dispatcher.ApplyEvent(func(now time.Time, s scheduling.Scheduler) []scheduling.Decision {
		return s.SetDocument(now, document)
	})
	d.configSteps.observe(stepDispatcher, time.Since(began))
	if d.hosted != nil {
		d.hosted.putInForce(accepted)
	} else {
		d.monitor.SetDocument(d.loopContext, document)
	}
	d.configSteps.observe(stepAllParts, time.Since(began))
	d.plugins.store.SetCallsPerSecond(document.Budgets.StoreCallsPerSecond)
	d.inForce.set(accepted)
	d.log(logging.Config).WithFields(logrus.Fields{"revision": accepted.Revision, "ms": time.Since(began).Milliseconds()}).Info("configuration in force")
}

// CallerAddress returns the host:port that callers are told to use.
func (d *Daemon) CallerAddress() string {
	if d.callerListener == nil {
		return d.settings.Listeners.Callers.AdvertisedAddress()
	}
	return d.callerListener.advertised(d.settings.Listeners.Callers)
}

// OperatorAddress returns host:port of the operators' listener; empty if it is disabled.
func (d *Daemon) OperatorAddress() string {
	if d.operatorListener == nil {
		return ""
	}
	return d.operatorListener.address()
}

// Reload applies settings that were read again; err says why they couldn't be read. Only
// the log level changes at once. The log line says whether anything else differs, which
// takes effect only after a restart.
func (d *Daemon) Reload(s settings.Settings, err error) {
	log := d.log(logging.Daemon)
	if err != nil {
		log.WithError(err).Error("New settings not applied: reading them failed; the current settings stay in effect")
		return
	}
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		log.WithError(err).Error("New settings not applied: the log level is invalid; the current settings stay in effect")
		return
	}
	d.logger.SetLevel(level)
	log.WithFields(logrus.Fields{"level": level.String(), "restart_needed": d.settings.NeedsRestart(s)}).Info("Settings read again")
}

// Instance returns the instance's name.
func (d *Daemon) Instance() string { return d.settings.Instance }
