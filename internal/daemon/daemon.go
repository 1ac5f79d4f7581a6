// Package daemon wires the parts of one entry instance together and runs their life
// cycle. Several daemons can live in one process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"limpethub/internal/atmostonce"
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
	"limpethub/internal/repeats"
	"limpethub/internal/scheduling"
	"limpethub/internal/servers"
	"limpethub/internal/settings"
	"limpethub/internal/site"
)

const (
	// maxTimeout is the longest deadline that callers may ask for.
	maxTimeout = 24 * time.Hour
	// repeatRetention is how long an ended non-idempotent request is remembered. Those
	// in progress are never forgotten.
	repeatRetention = 6 * time.Hour
	// repeatCapacity bounds the remembered requests, at some 230 bytes each. Together
	// with the retention it carries 23 non-idempotent requests a second.
	repeatCapacity = 500_000
	// callerWriteTimeout bounds one write to a slow reader.
	callerWriteTimeout = 10 * time.Second
	// callerKeepAlive is the time between comments on a quiet stream.
	callerKeepAlive = 5 * time.Second
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
			CallerAddress: d.callers.advertised(d.settings.Listeners.Callers),
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
	})
	return nil
}

func (d *Daemon) buildRequests() error {
	scheduler, err := scheduling.New(scheduling.Options{
		Instance:      d.settings.Instance,
		FailureDomain: d.settings.FailureDomain,
		Seed:          d.seed,
		Policy:        d.settings.Plugins.Routing.Name,
		Document:      emptyDocument(),
	})
	if err != nil {
		return fmt.Errorf("daemon: routing: %w", err)
	}
	d.requests = metrics.NewRequests(d.registry)
	d.demand = newDemandBoard(d.processName())
	d.directory = &callerDirectory{cluster: d.cluster, configuration: d.confsync, domain: d.settings.FailureDomain, seed: d.seed}
	d.dispatcher = dispatch.New(dispatch.Options{
		Scheduler: scheduler, Observer: &arrivals{Requests: d.requests, demand: d.demand}, Logger: d.log(logging.Routing), Now: time.Now,
	})
	d.monitor = servers.New(servers.Options{
		FailureDomain: d.settings.FailureDomain,
		Reporter:      d.plugins.engine,
		Lister:        d.plugins.instances,
		Sink:          d.dispatcher,
		Intervals:     servers.DefaultIntervals,
		Logger:        d.log(logging.Routing),
	})
	d.forwarder = forward.New(forward.Options{
		Dispatcher: d.dispatcher, Plane: d.plugins.engine, Directory: d.monitor, Logger: d.log(logging.Routing), Now: time.Now,
	})
	d.gateway = gateway.New(gateway.Options{
		Instance:      d.settings.Instance,
		Forwarder:     d.forwarder,
		Repeats:       d.newRepeats(),
		Configuration: d.confsync,
		Directory:     d.directory,
		Observer:      d.requests,
		Limits:        d.gatewayLimits(),
		Logger:        d.log(logging.Gateway),
		Now:           time.Now,
	})
	d.exchange = newExchange(d.processName(), d.dispatcher, d.cluster, d.plugins.peers, d.log(logging.Peers))
	return nil
}

// emptyDocument stands until a configuration is in force; callers are refused until then.
func emptyDocument() *site.Document {
	return &site.Document{Classes: []site.Class{{Name: "none", TimeoutMillis: 1, Weight: 1, QueueLimit: 1}}}
}

func (d *Daemon) newRepeats() *repeats.Guard {
	return repeats.New(repeats.Options{
		Registry: atmostonce.New(atmostonce.Options{
			Instance:    d.settings.Instance,
			Incarnation: d.incarnation(),
			Retention:   repeatRetention,
			Capacity:    repeatCapacity,
		}),
		Transport: d.plugins.peers,
		Directory: &peerDirectory{cluster: d.cluster},
		Logger:    d.log(logging.Gateway),
		Now:       time.Now,
	})
}

// incarnation is what entries tell callers of this process. Should the instance have to
// refute its death, entries tell a higher one, and a repeat that names that one gets no
// proof: safe, though less helpful.
func (d *Daemon) incarnation() uint64 {
	self, _ := d.cluster.Member(d.settings.Instance)
	return self.Incarnation
}

func (d *Daemon) gatewayLimits() gateway.Limits {
	bounds := d.settings.Listeners.Callers.Bounds
	return gateway.Limits{
		BodyBytes:    bounds.MaxBodyBytes,
		ReadTimeout:  bounds.ReadTimeout(),
		WriteTimeout: callerWriteTimeout,
		KeepAlive:    callerKeepAlive,
		EntriesTTL:   d.settings.EntriesTTL(),
		MaxTimeout:   maxTimeout,
		OpenRequests: int64(bounds.MaxStreams),
	}
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
	d.dispatcher.Do(func(now time.Time, s scheduling.Scheduler) []scheduling.Decision {
		return s.SetDocument(now, document)
	})
	d.monitor.SetDocument(d.background, document)
	d.log(logging.Config).WithField("revision", accepted.Revision).Info("configuration in force")
}

// CallerAddress is host:port of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.callers.address() }

// OperatorAddress is host:port of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.operators.address() }

// Instance is the daemon's name.
func (d *Daemon) Instance() string { return d.settings.Instance }

// Drain makes the planned stop: it leaves the answers to callers, waits out the time
// that callers may keep an answer, finishes every request in progress, hands over its
// leases and stops. It may be called more than once; all calls return when it is done.
// Work that the drain timeout cuts off is reported in the error.
func (d *Daemon) Drain(ctx context.Context) error {
	d.drainOnce.Do(func() {
		defer close(d.drained)
		d.drainErr = d.drain(ctx)
	})
	<-d.drained
	return d.drainErr
}

// Drained is closed when a planned stop is done.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

func (d *Daemon) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout())
	defer cancel()
	log := d.log(logging.Daemon)
	log.Info("drain started")
	d.gateway.Leave()
	leaveErr := d.cluster.Leave(ctx)
	sleep(ctx, d.settings.EntriesTTL())
	idleErr := d.finishRequests(ctx)
	stopErr := d.Stop(context.WithoutCancel(ctx))
	err := errors.Join(leaveErr, idleErr, stopErr)
	log.WithField("error", errorText(err)).Info("drain ended")
	return err
}

// finishRequests closes the callers' listener and waits for the requests in progress.
func (d *Daemon) finishRequests(ctx context.Context) error {
	shutdownErr := d.callers.shutdown(ctx)
	idleErr := d.gateway.WaitIdle(ctx)
	if idleErr != nil {
		return fmt.Errorf("daemon: drain timeout cut off %d requests: %w", d.gateway.Open(), idleErr)
	}
	return shutdownErr
}

// Stop ends the daemon at once; a planned stop is Drain.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stop()
	err := d.lifecycle.Stop(ctx)
	d.running.Wait()
	d.dispatcher.Close()
	return err
}

// Kill ends the daemon as a process that dies: connections break, and nothing is
// handed over.
func (d *Daemon) Kill() {
	d.plugins.store.Close()
	d.closeListeners()
	_ = d.Stop(context.Background())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
