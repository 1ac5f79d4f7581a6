package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"limpethub/internal/engine"
	"limpethub/internal/instancelist"
	"limpethub/internal/kernel"
	"limpethub/internal/keys"
	"limpethub/internal/logging"
	"limpethub/internal/operatorapi"
	"limpethub/internal/peers"
	"limpethub/internal/plugin"
	"limpethub/internal/settings"
	"limpethub/internal/store"
	"limpethub/internal/storecall"
)

// Purposes under which calls to the store are counted. All calls for placement count as
// ledger calls, including those for the placement lease.
const (
	purposeConfig = storecall.PurposeConfig
	purposePlacer = storecall.PurposeLedger
	// purposeStreams is for what began streams.
	purposeStreams = storecall.PurposeStreams
)

// plugins holds the plug-ins that the settings name.
type plugins struct {
	// store calls rawStore with timeouts, back-off and a budget, and counts the calls.
	store    *storecall.Store
	rawStore store.Store
	engine   engine.Adapter
	// relayer replaces engine if the settings name a front.
	relayer   engine.PassthroughAdapter
	instances instancelist.Lister
	peers     peers.Transport
	// peerAddress is the host:port that peers are told to use.
	peerAddress string
}

// storeFor returns the store with its calls counted under a purpose.
func (p plugins) storeFor(purpose storecall.Purpose) store.Store { return p.store.For(purpose) }

func (d *Daemon) buildPlugins() error {
	steps := []func() error{d.buildStore, d.buildEngine, d.buildInstances, d.buildPeers}
	for _, step := range steps {
		if err := step(); err != nil {
			return fmt.Errorf("daemon: %w", err)
		}
	}
	return nil
}

func (d *Daemon) buildStore() error {
	environment, err := d.pluginEnvironment(d.settings.Platform, logging.Store)
	if err != nil {
		return err
	}
	d.plugins.rawStore, err = plugin.Load[store.Store](d.settings.Plugins.Store, environment)
	if err != nil {
		return err
	}
	d.plugins.store = storecall.New(storecall.Options{
		Store: d.plugins.rawStore, Registerer: d.registry, Seed: d.seed,
		Timeout: d.settings.Platform.CallTimeout(), MaxBackOff: d.settings.Platform.MaxBackOff(),
	})
	return nil
}

func (d *Daemon) buildEngine() error {
	environment, err := d.pluginEnvironment(d.settings.Servers, logging.Routing)
	if err != nil {
		return err
	}
	if d.settings.Hosted() {
		d.plugins.relayer, err = plugin.Load[engine.PassthroughAdapter](d.settings.Plugins.Engine, environment)
		return err
	}
	d.plugins.engine, err = plugin.Load[engine.Adapter](d.settings.Plugins.Engine, environment)
	return err
}

func (d *Daemon) buildInstances() error {
	environment, err := d.pluginEnvironment(d.settings.Platform, logging.Membership)
	if err != nil {
		return err
	}
	environment.Store = d.plugins.storeFor(storecall.PurposeOther)
	environment.Instance, environment.FailureDomain = d.settings.Instance, d.settings.FailureDomain
	environment.CallerAddress = d.settings.Listeners.Callers.AdvertisedAddress()
	environment.PeerAddress = d.settings.Listeners.Peers.AdvertisedAddress()
	d.plugins.instances, err = plugin.Load[instancelist.Lister](d.settings.Plugins.Instances, environment)
	return err
}

func (d *Daemon) buildPeers() error {
	current, err := d.peerKeys()
	if err != nil {
		return err
	}
	environment := plugin.Environment{
		Listen: d.settings.Listeners.Peers.Address,
		Bounds: d.settings.Listeners.Peers.Bounds,
		TLS:    current,
		Logger: d.log(logging.Peers),

		Unauthenticated: d.settings.Listeners.Peers.Unauthenticated,
	}
	d.plugins.peers, err = plugin.Load[peers.Transport](d.settings.Plugins.Peers, environment)
	if err != nil {
		return err
	}
	d.plugins.peerAddress = d.settings.Listeners.Peers.AdvertisedAddress()
	if binder, ok := d.plugins.peers.(plugin.Binder); ok {
		bound, err := binder.Bind()
		if err != nil {
			return err
		}
		if d.settings.Listeners.Peers.Advertise == "" {
			d.plugins.peerAddress = bound
		}
	}
	return nil
}

// peerKeys returns the source of the TLS configuration for connections between peers. If the
// settings turn authentication off, the configuration has an ephemeral certificate.
func (d *Daemon) peerKeys() (keys.TLSConfigFunc, error) {
	if d.settings.Listeners.Peers.Unauthenticated {
		own, err := keys.Ephemeral(d.settings.Instance)
		return func() *tls.Config { return own }, err
	}
	source, err := openKeys(d.settings.Listeners.Peers.TLS, d.fileError)
	if err != nil {
		return nil, err
	}
	return func() *tls.Config { return peerTLS(source) }, nil
}

// peerTLS returns the TLS configuration for both sides of a connection between peers.
func peerTLS(source *keys.Source) *tls.Config {
	config := source.Server(keys.RequiredClientCertificate)
	// The transport gets a configuration from keys.Current for each connection and adds its
	// ALPN protocol. A configuration from GetConfigForClient would lack that protocol.
	config.GetConfigForClient = nil
	client := source.Client()
	config.RootCAs = client.RootCAs
	config.GetClientCertificate = client.GetClientCertificate
	return config
}

// pluginEnvironment returns the environment of a plug-in that connects to the platform or to
// backend servers.
func (d *Daemon) pluginEnvironment(upstreamSettings settings.Upstream, part logging.Part) (plugin.Environment, error) {
	environment := plugin.Environment{Logger: d.log(part)}
	if upstreamSettings.Plaintext {
		return environment, nil
	}
	source, err := openKeys(upstreamSettings.TLS, d.fileError)
	if err != nil {
		return environment, err
	}
	environment.TLS = func() *tls.Config { return source.Client() }
	return environment, nil
}

// fileError logs that changed key files, or the changed file of operators' tokens, couldn't
// be read. err names the file.
func (d *Daemon) fileError(err error) {
	d.log(logging.Daemon).WithField("error", err.Error()).Error("Changed key or token files not read; those read before stay in use")
}

// PeerAddress returns the host:port that peers are told to use.
func (d *Daemon) PeerAddress() string { return d.plugins.peerAddress }

func (d *Daemon) buildListeners() error {
	shares := d.connectionShares
	listeners := d.settings.Listeners
	var err error
	if !listeners.Callers.Disabled {
		d.callerListener, err = listen(d.listenOptions(listeners.Callers, keys.NoClientCertificate, "callers", shares.Callers))
		if err != nil {
			return err
		}
	}
	if !listeners.Operators.Disabled {
		d.operatorListener, err = listen(d.listenOptions(listeners.Operators, keys.OptionalClientCertificate, "operators", shares.Other))
		if err != nil {
			return err
		}
	}
	if address := d.settings.Listeners.Metrics.Address; address != "" {
		// The settings give no limits for the metrics listener; the defaults of the operators'
		// listener apply, here and in listenersPart.Start.
		plain := settings.Listener{Address: address, Plaintext: true, Bounds: settings.Default().Listeners.Operators.Bounds}
		d.metricsListener, err = listen(d.listenOptions(plain, keys.NoClientCertificate, "metrics", shares.Other))
	}
	return err
}

func (d *Daemon) listenOptions(s settings.Listener, clients keys.ClientCertificates, name string, maxConnections int) listenOptions {
	return listenOptions{settings: s, clients: clients, onError: d.fileError, limit: d.connections.limit(name, maxConnections)}
}

func (d *Daemon) closeListeners() {
	for _, l := range []*listener{d.callerListener, d.operatorListener, d.metricsListener} {
		if l != nil {
			_ = l.close()
		}
	}
}

// buildHandlers registers the metrics and creates the handlers of the operators' interface. Most of
// them use d.monitor, d.placer and d.gateway, which are nil on an instance with a front; there,
// hostedController answers.
func (d *Daemon) buildHandlers() error {
	d.registerMetrics()
	if d.settings.Listeners.Operators.Disabled {
		return nil
	}
	operatorKeys, err := operatorapi.NewAuthenticator(d.settings.Operators.TokenFile, d.fileError)
	if err != nil {
		return fmt.Errorf("daemon: settings: operators.token_file: %w", err)
	}
	bounds := d.settings.Listeners.Operators.Bounds
	d.operatorHandler = operatorapi.NewHandler(
		d.operatorController(), operatorKeys,
		operatorapi.WithMetrics(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})),
		operatorapi.WithLog(d.log(logging.Operator)),
		operatorapi.WithLimits(bounds.MaxBodyBytes, bounds.MaxStreams),
	)
	d.plugins.peers.Handle(peers.KindStatus, &remoteHandler{d})
	return nil
}

func (d *Daemon) operatorController() operatorapi.Controller {
	if d.hosted != nil {
		return &hostedController{controller{d}}
	}
	return &controller{d}
}

// addParts adds the parts to the life cycle in the order in which they start.
func (d *Daemon) addParts() {
	d.lifecycle.Add("store", d.plugins.rawStore)
	if d.settings.Hosted() {
		d.lifecycle.Add("engine", d.plugins.relayer)
	} else {
		d.lifecycle.Add("engine", d.plugins.engine)
	}
	d.lifecycle.Add("instances", d.plugins.instances)
	d.lifecycle.Add("peers", d.plugins.peers)
	d.lifecycle.Add("loops", &loopsPart{d})
	d.lifecycle.Add("listeners", &listenersPart{d})
}

// loopsPart starts and stops the daemon's background loops as one part of the life cycle.
type loopsPart struct{ daemon *Daemon }

var (
	_ kernel.Starter = (*loopsPart)(nil)
	_ kernel.Stopper = (*loopsPart)(nil)
)

func (l *loopsPart) Start(context.Context) error {
	d := l.daemon
	d.run(d.measureLateness)
	d.run(func(ctx context.Context) { _ = d.cluster.Run(ctx) })
	d.run(func(ctx context.Context) { _ = d.confsync.Run(ctx) })
	d.run(d.followConfiguration)
	d.run(d.exchange.loop)
	if d.hosted != nil {
		d.run(d.hosted.watcher.Run)
		d.run(d.watchReach)
		d.run(d.watchProof)
		d.run(d.hosted.manager.Run)
		d.run(d.hosted.streams.Run)
		d.run(d.hosted.quotas.Run)
		return nil
	}
	d.run(d.monitor.Run)
	d.run(func(ctx context.Context) { _ = d.placer.Run(ctx) })
	return nil
}

// Stop implements kernel.Stopper. It ends the loops' context and waits for the loops.
func (l *loopsPart) Stop(context.Context) error {
	l.daemon.stopLoops()
	l.daemon.backgroundLoops.Wait()
	return nil
}

// listenersPart serves and closes the HTTP listeners and, on an instance with a front, starts
// and stops the front, as one part of the life cycle.
type listenersPart struct{ daemon *Daemon }

var (
	_ kernel.Starter = (*listenersPart)(nil)
	_ kernel.Stopper = (*listenersPart)(nil)
)

func (o *listenersPart) Start(ctx context.Context) error {
	d := o.daemon
	if d.callerListener != nil {
		d.callerListener.serve(d.gateway, d.settings.Listeners.Callers.Bounds)
	}
	if d.operatorListener != nil {
		d.operatorListener.serve(d.operatorHandler, d.settings.Listeners.Operators.Bounds)
	}
	if d.metricsListener != nil {
		metrics := promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})
		d.metricsListener.serve(metrics, settings.Default().Listeners.Operators.Bounds)
	}
	if d.hosted != nil {
		return d.hosted.front.Start(ctx)
	}
	return nil
}

func (o *listenersPart) Stop(ctx context.Context) error {
	var errs []error
	for _, l := range []*listener{o.daemon.callerListener, o.daemon.operatorListener, o.daemon.metricsListener} {
		if l != nil {
			errs = append(errs, l.close())
		}
	}
	if o.daemon.hosted != nil {
		errs = append(errs, o.daemon.hosted.front.Stop(ctx))
	}
	return errors.Join(errs...)
}
