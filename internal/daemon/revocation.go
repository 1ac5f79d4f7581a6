package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/gossip"
	"limpethub/internal/logging"
	"limpethub/internal/pause"
	"limpethub/internal/reachability"
	"limpethub/internal/workspace"
)

const (
	// proofCheckPeriod is how often the age of the proof of the configuration is checked.
	proofCheckPeriod = 200 * time.Millisecond
	// outOfTouchNumerator and inTouchNumerator give, in tenths of the bound of a revocation, the age of a proof from
	// which other instances are told to send callers elsewhere, and the age below which they are told the opposite.
	// The two differ so that an instance whose proofs are about as old isn't in turn the one and the other.
	outOfTouchNumerator = 5
	inTouchNumerator    = 4
)

// buildAuthorizer builds the part that decides which workspace a request belongs to and whether it may run.
func (d *Daemon) buildAuthorizer(h *hosted) {
	h.authorizer = workspace.NewAuthorizer(workspace.Options{
		Table: h.workspaces, Revocation: d.settings.Revocation(), ProvenAt: d.confsync.ProvenAt, Now: d.bootNow,
	})
	h.peersInTouch = reachability.NewPeers(d.settings.Instance, gossip.TopicOutOfTouch, d.cluster.Publish, d.log(logging.Config), time.Now)
	d.cluster.OnFact(gossip.TopicOutOfTouch, h.peersInTouch.HandleFact)
}

// watchProof tells the other instances, until ctx ends, whether callers should be sent here as far as the proof of the
// configuration goes. An instance that has just started has time to get its first one.
func (d *Daemon) watchProof(ctx context.Context) {
	told, startedAt := reachability.Direct, d.bootNow()
	for pause.For(ctx, proofCheckPeriod) {
		age, _, needed := d.hosted.authorizer.ProofAge()
		age = min(age, d.bootNow().Sub(startedAt))
		if state := proofState(told, age, d.settings.Revocation(), needed); state != told {
			told = state
			d.logProofState(state, age)
			d.hosted.peersInTouch.Tell(state)
		}
		d.hosted.peersInTouch.Renew()
	}
}

// proofState returns whether callers should be sent here, given what was told last.
func proofState(told reachability.State, age, bound time.Duration, needed bool) reachability.State {
	switch {
	case !needed || age < bound*inTouchNumerator/10:
		return reachability.Direct
	case age >= bound*outOfTouchNumerator/10:
		return reachability.CutOff
	}
	return told
}

func (d *Daemon) logProofState(state reachability.State, age time.Duration) {
	log := d.log(logging.Config).WithField("age_ms", age.Milliseconds())
	if state == reachability.CutOff {
		log.Warn("The configuration isn't proven to be the newest one; callers are sent to other instances")
		return
	}
	log.Info("The configuration is proven to be the newest one again")
}

// workspaces returns the table of keys of the configuration in force; nil while there is none.
func (h *hosted) workspaces() *workspace.Table {
	if inForce := h.inForce.Load(); inForce != nil {
		return inForce.Workspaces
	}
	return nil
}

func (d *Daemon) authorizationMetrics() []prometheus.Collector {
	refusals := func(code string, value func() uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_authorization_refusals_total", Help: "Requests refused since their key isn't valid, or since the configuration isn't proven to be the newest one, by code.",
			ConstLabels: prometheus.Labels{"code": code},
		}, func() float64 { return float64(value()) })
	}
	a := d.hosted.authorizer
	return []prometheus.Collector{
		refusals("unauthorized", a.Unauthorized.Load), refusals("stale_configuration", a.Stale.Load),
		gauge("limpethub_configuration_proven_age_seconds", "Age of the latest proof that no newer configuration exists; 0 if none is needed, -1 if there is none.", func() float64 {
			age, proven, needed := a.ProofAge()
			switch {
			case !needed:
				return 0
			case !proven:
				return -1
			}
			return age.Seconds()
		}),
	}
}
