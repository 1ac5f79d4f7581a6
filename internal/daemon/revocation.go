package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/workspace"
)

// buildAuthorizer builds the part that decides which workspace a request belongs to and whether it may run.
func (d *Daemon) buildAuthorizer(h *hosted) {
	h.authorizer = workspace.NewAuthorizer(workspace.Options{
		Table: h.workspaces, Revocation: d.settings.Revocation(), ProvenAt: d.confsync.ProvenAt, Now: d.bootNow,
	})
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
