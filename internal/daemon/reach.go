package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/engine"
	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/membership"
	"limpethub/internal/pause"
	"limpethub/internal/peerrelay"
	"limpethub/internal/peers"
	"limpethub/internal/reachability"
	"limpethub/internal/verdict"
)

// buildReach builds the parts that know whether this instance reaches the servers, and which others do.
func (d *Daemon) buildReach(h *hosted) error {
	h.peersReach = reachability.NewPeers(d.settings.Instance, gossip.TopicReach, d.cluster.Publish, d.log(logging.Routing), time.Now)
	d.cluster.OnFact(gossip.TopicReach, h.peersReach.HandleFact)
	h.reach = reachability.New(reachability.Options{
		Prober: d.plugins.relayer, Servers: h.probeableServers, OnChange: d.reachChanged,
		Self: d.settings.Instance, Instances: d.sharingInstances,
		OnSilent: d.serverIsSilent, OnHeard: d.serverIsHeard,
		PeersReaching: func() int { return len(d.peersThatReach()) },
		Logger:        d.log(logging.Routing), Now: time.Now,
	})
	d.plugins.relayer.SetContactObserver(h.reach)
	streamer, ok := d.plugins.peers.(peers.Streamer)
	if !ok {
		return fmt.Errorf("daemon: the peers plug-in %s carries no streams", d.settings.Plugins.Peers.Name)
	}
	h.passedOn = peerrelay.NewClient(peerrelay.ClientOptions{
		Self: d.settings.Instance, Transport: streamer, Peers: d.helpers,
		Logger: d.log(logging.Routing), Now: time.Now, Seed: d.seed,
	})
	h.takenIn = peerrelay.NewServer(peerrelay.ServerOptions{
		Runner: h.front, MayTakeIn: h.mayTakeIn, Lateness: d.lateness, CallerLoad: h.callerLoad, Logger: d.log(logging.Routing), Now: time.Now,
	})
	streamer.HandleStreams(peers.KindRelay, h.takenIn)
	return nil
}

// serverIsSilent keeps requests away from a server that takes no connection and sends nothing.
func (d *Daemon) serverIsSilent(name string) {
	d.log(logging.Routing).WithField("server", name).Info("Server takes no connections, it gets no requests until it answers")
	d.dispatcher.ObserveUnreachable(name)
}

// serverIsHeard ends what serverIsSilent began.
func (d *Daemon) serverIsHeard(name string) {
	d.log(logging.Routing).WithField("server", name).Info("Server gets requests again")
	d.dispatcher.ObserveReachable(name)
}

// helpers returns the instances to which requests may be passed on.
func (d *Daemon) helpers() []peerrelay.Peer {
	var out []peerrelay.Peer
	for _, m := range d.peersThatReach() {
		out = append(out, peerrelay.Peer{Name: m.Name, Address: m.PeerAddress, Near: m.FailureDomain == d.settings.FailureDomain})
	}
	return out
}

// mayTakeIn returns why this instance can't run requests of peers; nil if it can.
func (h *hosted) mayTakeIn() *verdict.Error {
	if h.reach.State() == reachability.CutOff {
		return verdict.Refused(verdict.CodeCutOff, "this instance reaches no server either")
	}
	return nil
}

// probeableServers returns the servers that may be asked for a sign of life. Probes count against the limit that a
// server names, and most of them come while nothing else can be sent.
func (h *hosted) probeableServers() []engine.Server {
	now := time.Now()
	var out []engine.Server
	for _, s := range h.watcher.Servers() {
		server := engine.Server{Name: s.ID, Address: s.Address, StartMillis: s.StartMillis, SoftwareVersion: s.SoftwareVersion}
		if !s.Leaving && !s.Paused(now) && !h.limits.InForce(server) && !h.brittle.InForce(server) {
			out = append(out, server)
		}
	}
	return out
}

// reachChanged is called when this instance reaches the servers in another way than before.
func (d *Daemon) reachChanged(state reachability.State) {
	d.hosted.peersReach.Tell(state)
	if state == reachability.CutOff {
		// They may have ended at the other side meanwhile.
		d.plugins.relayer.DropIdle()
	}
}

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
	passedOn := newRelayCollectors("limpethub_requests_passed_on_total", "Requests that this instance passed on to another one, by outcome.", &d.hosted.passedOn.Counts)
	takenIn := newRelayCollectors("limpethub_requests_taken_in_total", "Requests that another instance passed on to this one, by outcome.", &d.hosted.takenIn.Counts)
	probes := []prometheus.Collector{
		probeCounter("answered", func() uint64 { return d.hosted.reach.Probes().Answered }),
		probeCounter("silent", func() uint64 { return d.hosted.reach.Probes().Silent }),
		probeCounter("unsent", func() uint64 { return d.hosted.reach.Probes().Unsent }),
	}
	return append(slices.Concat(passedOn, takenIn, probes),
		gauge("limpethub_requests_taken_in_open", "Requests that another instance passed on to this one and that are in progress.", func() float64 {
			return float64(d.hosted.takenIn.InProgress())
		}),
		gauge("limpethub_servers_reach", "How this instance reaches the backend servers: 0 with new connections, 1 with open connections only, 2 not at all.", func() float64 {
			return float64(d.hosted.reach.State())
		}),
		gauge("limpethub_servers_silent", "Announced backend servers that take no connection of this instance and send nothing; they get no requests until they answer.", func() float64 {
			return float64(d.hosted.reach.Silent())
		}),
		gauge("limpethub_peers_reaching_servers", "Other instances that are alive and haven't said that they don't reach the backend servers.", func() float64 {
			return float64(len(d.peersThatReach()))
		}),
	)
}

// probeCounter returns the counter of probes with an outcome.
func probeCounter(outcome string, value func() uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "limpethub_server_probes_total", Help: "Probes by which this instance found out which servers it reaches, by outcome.",
		ConstLabels: prometheus.Labels{"outcome": outcome},
	}, func() float64 { return float64(value()) })
}

// newRelayCollectors returns a counter for each outcome.
func newRelayCollectors(name, help string, counts *peerrelay.Counts) []prometheus.Collector {
	counter := func(outcome string, value func() uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"outcome": outcome},
		}, func() float64 { return float64(value()) })
	}
	return []prometheus.Collector{
		counter("answered", counts.Answered.Load), counter("refused", counts.Refused.Load), counter("failed", counts.Failed.Load),
	}
}
