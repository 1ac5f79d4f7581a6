package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"limpethub/internal/membership"
)

// collected is a plug-in with metrics of its own.
type collected interface {
	Collectors() []prometheus.Collector
}

// registerMetrics adds the metrics of the daemon as a whole and of its plug-ins.
func (d *Daemon) registerMetrics() {
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registry.MustRegister(
		gauge("limpethub_configuration_revision", "Revision of the configuration in force; 0 while there is none.", func() float64 {
			accepted, _ := d.confsync.Current()
			return float64(accepted.Revision)
		}),
		gauge("limpethub_requests_open", "Requests in progress or waiting.", func() float64 { return float64(d.openRequests()) }),
		gauge("limpethub_instances_alive", "Instances that this one holds alive, itself included.", func() float64 { return float64(d.aliveInstances()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_attempts_total", Help: "Attempts sent to backend servers, retries included.",
		}, func() float64 { return float64(d.attempts()) }),
	)
	d.registerHostedMetrics()
	if c, ok := d.plugins.peers.(collected); ok {
		d.registry.MustRegister(c.Collectors()...)
	}
}

// droppingLog is a log that drops lines rather than block.
type droppingLog interface{ Dropped() uint64 }

// registerHostedMetrics adds the metrics of discovered servers and of the log.
func (d *Daemon) registerHostedMetrics() {
	if log, ok := d.logger.Out.(droppingLog); ok {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_log_lines_dropped_total", Help: "Log lines that found the buffer full.",
		}, func() float64 { return float64(log.Dropped()) }))
	}
	if d.hosted == nil {
		return
	}
	d.registry.MustRegister(
		gauge("limpethub_residency_holding", "1 on the instance that gives orders to discovered servers.", func() float64 {
			if d.hosted.manager.Holding() {
				return 1
			}
			return 0
		}),
		gauge("limpethub_discovered_servers", "Servers that announce themselves and aren't leaving.", func() float64 {
			staying := 0
			for _, s := range d.hosted.watcher.Servers() {
				if !s.Leaving {
					staying++
				}
			}
			return float64(staying)
		}),
	)
}

// openRequests is the number of requests in progress or waiting.
func (d *Daemon) openRequests() int64 {
	if d.hosted != nil {
		return d.hosted.front.Open()
	}
	return d.gateway.Open()
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
