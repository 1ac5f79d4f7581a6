package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"limpethub/internal/membership"
	"limpethub/internal/quarantine"
	"limpethub/internal/scheduling"
)

// collectorProvider is a part that has its own metrics.
type collectorProvider interface {
	Collectors() []prometheus.Collector
}

// registerMetrics registers the metrics of the daemon as a whole and of its plug-ins.
func (d *Daemon) registerMetrics() {
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registry.MustRegister(
		gauge("limpethub_configuration_revision", "Revision of the configuration in force; 0 while there is none.", func() float64 {
			accepted, _ := d.confsync.Current()
			return float64(accepted.Revision)
		}),
		gauge("limpethub_configuration_heard_revision", "Highest revision of the configuration that this instance has heard of.", func() float64 {
			return float64(d.confsync.Freshness().Heard)
		}),
		gauge("limpethub_configuration_confirmed_age_seconds", "Seconds since the store last said, to this instance or to a peer that passed it on, that there is no newer configuration; since the start if it never has.", d.configurationAge),
		gauge("limpethub_configuration_watching", "1 while this instance watches the store for a newer configuration, otherwise 0.", func() float64 {
			if d.confsync.Freshness().Watching {
				return 1
			}
			return 0
		}),
		gauge("limpethub_requests_open", "Callers' requests that are in progress or waiting on this instance.", func() float64 { return float64(d.openRequests()) }),
		gauge("limpethub_instances_alive", "Instances that this instance considers alive, itself included.", func() float64 { return float64(d.aliveInstances()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_attempts_total", Help: "Attempts sent to backend servers, including retries.",
		}, func() float64 { return float64(d.attempts()) }),
	)
	d.registry.MustRegister(d.configSteps.seconds)
	d.registry.MustRegister(d.lateness.Collectors()...)
	d.registry.MustRegister(d.connections.Collectors()...)
	for _, part := range []collectorProvider{d.dispatcher, d.confsync, d.cluster} {
		d.registry.MustRegister(part.Collectors()...)
	}
	d.registry.MustRegister(d.exchange.traffic.Collectors()...)
	d.registerSpeedMetrics()
	d.registry.MustRegister(newWaitingCollector(d.dispatcher.WorkspacesWaiting))
	d.registerLogAndHostedMetrics()
	if c, ok := d.plugins.peers.(collectorProvider); ok {
		d.registry.MustRegister(c.Collectors()...)
	}
}

// registerSpeedMetrics registers the metrics of the servers' speed. They have no label for the server, since there
// may be thousands.
func (d *Daemon) registerSpeedMetrics() {
	ofSpeeds := func(value func(scheduling.SpeedSummary) float64) func() float64 {
		return func() float64 { return value(scheduling.SummarizeSpeeds(d.dispatcher.ServerSpeeds())) }
	}
	d.registry.MustRegister(
		gauge("limpethub_servers_slow", "Backend servers that take longer than usual in their service.", ofSpeeds(func(s scheduling.SpeedSummary) float64 { return float64(s.Slow) })),
		gauge("limpethub_servers_fast", "Backend servers that take less time than usual in their service.", ofSpeeds(func(s scheduling.SpeedSummary) float64 { return float64(s.Fast) })),
		gauge("limpethub_servers_crowding", "Backend servers that get fewer requests than they have slots, since they slow down with more.", ofSpeeds(func(s scheduling.SpeedSummary) float64 { return float64(s.Limited) })),
		gauge("limpethub_server_slowdown_max", "Time that the slowest backend server takes, as a multiple of what is usual in its service.", ofSpeeds(func(s scheduling.SpeedSummary) float64 { return s.Max })),
		gauge("limpethub_server_slowdown_min", "Time that the fastest backend server takes, as a multiple of what is usual in its service.", ofSpeeds(func(s scheduling.SpeedSummary) float64 { return s.Min })),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_slow_server_probes_total", Help: "Requests sent to a slow server only to see whether it still is.",
		}, func() float64 { return float64(d.dispatcher.SlowProbes()) }),
	)
}

func (d *Daemon) configurationAge() float64 {
	since := d.startedAt
	if confirmed := d.confsync.Freshness().ConfirmedAt; !confirmed.IsZero() {
		since = confirmed
	}
	return time.Since(since).Seconds()
}

// dropCounter is a log that drops lines instead of blocking, and counts them.
type dropCounter interface{ Dropped() uint64 }

// registerLogAndHostedMetrics registers the log's metric and, on an instance with a front, the
// metrics of placement and discovered servers.
func (d *Daemon) registerLogAndHostedMetrics() {
	if log, ok := d.logger.Out.(dropCounter); ok {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_log_lines_dropped_total", Help: "Log lines dropped because the log's buffer was full.",
		}, func() float64 { return float64(log.Dropped()) }))
	}
	if d.hosted == nil {
		return
	}
	d.registry.MustRegister(d.reachMetrics()...)
	d.registry.MustRegister(d.callerLoadMetrics()...)
	d.registry.MustRegister(d.authorizationMetrics()...)
	d.registry.MustRegister(d.hosted.quotas, d.hosted.unserved)
	d.registry.MustRegister(d.hosted.watcher.Collectors()...)
	d.registry.MustRegister(
		gauge("limpethub_residency_holding", "1 while this instance holds the placement lease and sends load and unload orders to discovered servers, otherwise 0.", func() float64 {
			if d.hosted.manager.Holding() {
				return 1
			}
			return 0
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_servers_ended_total", Help: "Server processes that ended while requests of this instance ran on them.",
		}, func() float64 { return float64(d.hosted.crashes.EndedCount()) }),
		gauge("limpethub_brittle_servers", "Backend servers that say, in their answers, how many requests they may turn away in a second without falling over.", func() float64 {
			return float64(d.hosted.brittle.Count())
		}),
		gauge("limpethub_limited_servers", "Backend servers that name, in their answers, how many requests a second they take.", func() float64 {
			return float64(d.hosted.limits.Count())
		}),
		gauge("limpethub_prompt_parts_quarantined", "Parts of prompts that no server gets for a while, or that one instance tries again, because servers ended with them.", func() float64 {
			return float64(d.hosted.countQuarantined(quarantine.PromptPart))
		}),
		gauge("limpethub_requests_quarantined", "Requests that no server gets for a while when they come again, or that one instance tries again, because servers ended under them.", func() float64 {
			return float64(d.hosted.countQuarantined(quarantine.WholeRequest))
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_prompt_refusals_total", Help: "Requests that were refused or ended because a part of their prompt is in quarantine.",
		}, func() float64 { return float64(d.hosted.guard.Refusals(quarantine.PromptPart)) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_request_refusals_total", Help: "Requests that were refused or ended because servers ended under them each time that they came.",
		}, func() float64 { return float64(d.hosted.guard.Refusals(quarantine.WholeRequest)) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_streams_of_unknown_version_total", Help: "Streams that callers took up again here and that couldn't go on, because nobody knew which software version began them.",
		}, func() float64 { return float64(d.hosted.streams.Unknown()) }),
		gauge("limpethub_discovered_servers", "Backend servers that this instance discovered and that are not leaving.", func() float64 {
			count := 0
			for _, s := range d.hosted.watcher.Servers() {
				if !s.Leaving {
					count++
				}
			}
			return float64(count)
		}),
	)
}

// openRequests returns the number of requests in progress or waiting.
func (d *Daemon) openRequests() int64 {
	if d.hosted != nil {
		return d.hosted.front.RequestsInProgress()
	}
	return d.gateway.RequestsInProgress()
}

func (d *Daemon) attempts() uint64 {
	if d.hosted != nil {
		return d.hosted.relay.Attempts()
	}
	return d.forwarder.Attempts()
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

func (d *Daemon) aliveInstances() int {
	alive := 0
	for _, m := range d.cluster.Members() {
		if m.State == membership.Alive {
			alive++
		}
	}
	return alive
}
