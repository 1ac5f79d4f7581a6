package daemon

import (
	"fmt"
	"time"

	"limpethub/internal/atmostonce"
	"limpethub/internal/dispatch"
	"limpethub/internal/forward"
	"limpethub/internal/gateway"
	"limpethub/internal/logging"
	"limpethub/internal/metrics"
	"limpethub/internal/repeats"
	"limpethub/internal/scheduling"
	"limpethub/internal/servers"
	"limpethub/internal/site"
)

const (
	// maxTimeout limits the time that a caller may allow for a request.
	maxTimeout = 24 * time.Hour
	// repeatRetention is how long a non-idempotent request is remembered after its end.
	// Requests in progress are never forgotten.
	repeatRetention = 6 * time.Hour
	// repeatCapacity limits the number of remembered requests, at some 230 bytes each. With
	// repeatRetention it allows 23 non-idempotent requests a second. Beyond it, further
	// non-idempotent requests are refused.
	repeatCapacity = 500_000
	// callerWriteTimeout limits one write to a caller that reads slowly.
	callerWriteTimeout = 10 * time.Second
	// configurationWait is how long a request waits for the first configuration of an instance
	// that just started, before it is refused. Reading the configuration from the store or a
	// peer takes some tens of milliseconds.
	configurationWait = 2 * time.Second
	// callerKeepAlive is the time between two keep-alive comments on an idle event stream.
	callerKeepAlive = 5 * time.Second
)

func (d *Daemon) buildRequests() error {
	scheduler, err := scheduling.New(scheduling.Options{
		Instance:      d.settings.Instance,
		FailureDomain: d.settings.FailureDomain,
		Seed:          d.seed,
		Policy:        d.settings.Plugins.Routing.Name,
		Document:      initialDocument(),
	})
	if err != nil {
		return fmt.Errorf("daemon: create the scheduler: %w", err)
	}
	d.requestMetrics = metrics.NewRequests(d.registry)
	d.demand = newDemandTracker(d.processName())
	d.directory = &callerDirectory{cluster: d.cluster, configuration: d.confsync, failureDomain: d.settings.FailureDomain, seed: d.seed}
	d.dispatcher = dispatch.New(dispatch.Options{
		Scheduler: scheduler, Observer: &demandObserver{Requests: d.requestMetrics, demand: d.demand}, Logger: d.log(logging.Routing), Now: time.Now,
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
		Repeats:       d.newRepeatGuard(),
		Configuration: &d.inForce,
		Directory:     d.directory,
		Observer:      d.requestMetrics,
		Limits:        d.gatewayLimits(),
		Logger:        d.log(logging.Gateway),
		Now:           time.Now,
	})
	d.exchange = newExchange(d.processName(), d.dispatcher, d.cluster, d.plugins.peers, d.log(logging.Peers))
	return nil
}

// initialDocument returns the document that the scheduler has until a configuration is in
// force. It has one class, because a scheduler needs at least one. Until then, the gateway lets
// requests wait for at most configurationWait and then refuses them.
func initialDocument() *site.Document {
	return &site.Document{Classes: []site.Class{{Name: "none", TimeoutMillis: 1, Weight: 1, QueueLimit: 1}}}
}

func (d *Daemon) newRepeatGuard() *repeats.Guard {
	return repeats.New(repeats.Options{
		Registry: atmostonce.New(atmostonce.Options{
			Instance:    d.settings.Instance,
			Incarnation: d.incarnation(),
			Retention:   repeatRetention,
			Capacity:    repeatCapacity,
		}),
		Transport: d.plugins.peers,
		Directory: &peerAddresses{cluster: d.cluster},
		Logger:    d.log(logging.Gateway),
		Now:       time.Now,
	})
}

// incarnation returns this instance's incarnation at its start, the only one that the registry
// knows. Entries tell callers the current incarnation, and a repeat names it. If peers wrongly
// declare the instance dead later, it raises its incarnation. A repeat that names the higher
// one doesn't match the registry, so the caller gets no proof whether the first attempt ran.
// This is safe but less useful to the caller.
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
		// MaxStreams limits the open requests of the instance; the listener also sets it as the
		// limit of streams on one HTTP/2 connection.
		MaxRequestsInProgress: int64(bounds.MaxStreams),

		ConfigurationWait: configurationWait,
	}
}
