package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/engine"
	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/pause"
	"limpethub/internal/reachability"
)

// buildReach builds the parts that know whether this instance reaches the servers, and which others do.
func (d *Daemon) buildReach(h *hosted) {
	h.peersReach = reachability.NewPeers(d.settings.Instance, d.cluster.Publish, d.log(logging.Routing), time.Now)
	d.cluster.OnFact(gossip.TopicReach, h.peersReach.HandleFact)
	h.reach = reachability.New(reachability.Options{
		Prober: d.plugins.relayer, Servers: h.probeableServers, OnChange: h.reachChanged,
		PeersReaching: func() int { return len(d.peersThatReach()) },
		Logger:        d.log(logging.Routing), Now: time.Now,
	})
	d.plugins.relayer.SetContactObserver(h.reach)
}

// probeableServers returns the servers that may be asked for a sign of life.
func (h *hosted) probeableServers() []engine.Server {
	now := time.Now()
	var out []engine.Server
	for _, s := range h.watcher.Servers() {
		if !s.Leaving && !s.Paused(now) {
			out = append(out, engine.Server{Name: s.ID, Address: s.Address, StartMillis: s.StartMillis, SoftwareVersion: s.SoftwareVersion})
		}
	}
	return out
}

// reachChanged is called when this instance reaches the servers in another way than before.
func (h *hosted) reachChanged(state reachability.State) { h.peersReach.Tell(state) }

// peersThatReach returns the other instances that are alive and reach the servers, as far as is known.
func (d *Daemon) peersThatReach() []membership.Member {
	var out []membership.Member
	for _, m := range d.cluster.Members() {
		if m.Name != d.settings.Instance && m.State == membership.Alive && d.hosted.peersReach.Reaches(m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// reachRenewPeriod is how often it is checked whether to tell the other instances again that this one doesn't
// reach the servers.
const reachRenewPeriod = 500 * time.Millisecond

// watchReach finds out whether this instance reaches the servers, until ctx ends.
func (d *Daemon) watchReach(ctx context.Context) {
	d.run(func(ctx context.Context) {
		for pause.For(ctx, reachRenewPeriod) {
			d.hosted.peersReach.Renew()
		}
	})
	d.hosted.reach.Run(ctx)
}

func (d *Daemon) reachMetrics() []prometheus.Collector {
	return []prometheus.Collector{
		gauge("limpethub_servers_reach", "How this instance reaches the backend servers: 0 with new connections, 1 with open connections only, 2 not at all.", func() float64 {
			return float64(d.hosted.reach.State())
		}),
		gauge("limpethub_peers_reaching_servers", "Other instances that are alive and haven't said that they don't reach the backend servers.", func() float64 {
			return float64(len(d.peersThatReach()))
		}),
	}
}
