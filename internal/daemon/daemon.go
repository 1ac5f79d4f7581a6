// Package daemon wires the parts of one entry instance together and runs their life
// cycle. Several daemons can live in one process.
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
	"limpethub/internal/dispatch"
	"limpethub/internal/forward"
	"limpethub/internal/gateway"
	"limpethub/internal/kernel"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/metrics"
	"limpethub/internal/placer"
	"limpethub/internal/scheduling"
	"limpethub/internal/servers"
	"limpethub/internal/settings"
	"limpethub/internal/site"
)

// Daemon is one entry instance.
type Daemon struct {
	settings settings.Settings
	logger   *logrus.Logger
	registry *prometheus.Registry
	seed     uint64
	started  time.Time

	plugins    plugins
	lifecycle  kernel.Lifecycle
	cluster    *cluster.Cluster
	confsync   *confsync.Sync
	dispatcher *dispatch.Dispatcher
	monitor    *servers.Monitor
	forwarder  *forward.Forwarder
	gateway    *gateway.Gateway
	exchange   *exchange
	directory  *callerDirectory
	requests   *metrics.Requests
	demand     *demandBoard
	placer     *placer.Placer
	callers    *listener
	operators  *listener
	metrics    *listener
	// hosted holds the parts for serving in a platform's way; nil without a front.
	hosted *hosted

	operatorHandler http.Handler

	background context.Context
	stop       context.CancelFunc
	running    sync.WaitGroup
	drainOnce  sync.Once
	drained    chan struct{}
	drainErr   error
}

// New makes a daemon from its settings. Log lines go to logs.
func New(s settings.Settings, logs io.Writer) (*Daemon, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, fmt.Errorf("daemon: log level: %w", err)
	}
	d := &Daemon{
		settings: s,
		logger:   logging.New(logs, level),
		registry: prometheus.NewRegistry(),
		seed:     seedOf(s.Instance),
		started:  time.Now(),
		drained:  make(chan struct{}),
	}
	d.background, d.stop = context.WithCancel(context.Background())
	for _, warning := range s.Warnings() {
		d.log(logging.Daemon).Warn(warning)
	}
	return d, d.build()
}

// seedOf gives each instance its own sequence of random choices, which differs from
// one start to the next.
func seedOf(instance string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", instance, time.Now().UnixNano())
	return h.Sum64()
}

func (d *Daemon) log(part logging.Part) *logrus.Entry {
	return logging.For(d.logger, part, d.settings.Instance)
}

// build makes the parts in the order of their dependence.
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
	})
	d.confsync = confsync.New(confsync.Options{
		Site:      d.settings.Site,
		Store:     d.plugins.storeFor(purposeConfig),
		Transport: d.plugins.peers,
		Members:   d.cluster,
		Logger:    d.log(logging.Config),
		Seed:      d.seed,

		MaxRetryWait: d.settings.Platform.MaxBackOff(),
	})
	return nil
}

// Start starts all parts. Callers are served as soon as a configuration is in force.
func (d *Daemon) Start(ctx context.Context) error {
	d.addParts()
	if err := d.lifecycle.Start(ctx); err != nil {
		d.stop()
		d.closeListeners()
		return err
	}
	d.log(logging.Daemon).WithFields(logrus.Fields{
		"callers": d.CallerAddress(), "operators": d.OperatorAddress(), "peers": d.PeerAddress(),
	}).Info("started")
	return nil
}

// run starts a background loop that ends with the daemon.
func (d *Daemon) run(loop func(ctx context.Context)) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		loop(d.background)
	}()
}

// followConfiguration puts each new configuration in force in all parts.
func (d *Daemon) followConfiguration(ctx context.Context) {
	updates := d.confsync.Subscribe()
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

func (d *Daemon) putInForce(accepted site.Accepted) {
	document := &accepted.Document
	d.dispatcher.ApplyEvent(func(now time.Time, s scheduling.Scheduler) []scheduling.Decision {
		return s.SetDocument(now, document)
	})
	if d.hosted != nil {
		d.hosted.putInForce(accepted)
	} else {
		d.monitor.SetDocument(d.background, document)
	}
	d.plugins.store.SetCallsPerSecond(document.Budgets.StoreCallsPerSecond)
	d.log(logging.Config).WithField("revision", accepted.Revision).Info("configuration in force")
}

// CallerAddress is host:port of the callers' listener.
func (d *Daemon) CallerAddress() string {
	if d.callers == nil {
		return d.settings.Listeners.Callers.AdvertisedAddress()
	}
	return d.callers.advertised(d.settings.Listeners.Callers)
}

// OperatorAddress is host:port of the operators' listener.
func (d *Daemon) OperatorAddress() string {
	if d.operators == nil {
		return ""
	}
	return d.operators.address()
}

// Reload takes settings that were read again, or why they couldn't be. The log level
// comes into force at once; all else needs a restart, and is logged.
func (d *Daemon) Reload(s settings.Settings, err error) {
	log := d.log(logging.Daemon)
	if err != nil {
		log.WithError(err).Error("Settings can't be used, the former ones stay")
		return
	}
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		log.WithError(err).Error("Log level can't be used, the former one stays")
		return
	}
	d.logger.SetLevel(level)
	log.WithFields(logrus.Fields{"level": level.String(), "restart_needed": d.settings.NeedsRestart(s)}).Info("Settings read again")
}

// Instance is the daemon's name.
func (d *Daemon) Instance() string { return d.settings.Instance }
