package daemon

import (
	"context"
	"fmt"
	"slices"

	"limpethub/internal/operatorapi"
	"limpethub/internal/placer"
	"limpethub/internal/servers"
	"limpethub/internal/site"
)

// Drain implements operatorapi.Controller.
func (c *controller) Drain(ctx context.Context, instance string) error {
	if instance == c.daemon.settings.Instance {
		c.daemon.startDrain()
		return nil
	}
	_, err := c.daemon.askInstance(ctx, instance, remoteRequest{Action: remoteDrain})
	return err
}

// Explain implements operatorapi.Controller.
func (c *controller) Explain(ctx context.Context, model string) (operatorapi.Explanation, error) {
	d := c.daemon
	unit, err := d.resolve(model)
	if err != nil {
		return operatorapi.Explanation{}, err
	}
	accepted, _ := d.confsync.Current()
	snapshot := d.placementSnapshot(ctx)
	known := serverStatuses(d.monitor.Statuses(), snapshot)
	return operatorapi.Explanation{
		Asked:     model,
		Status:    modelStatus(&accepted.Document, unit, known, snapshot),
		Floor:     1,
		Placement: placementReasons(d.placementExplanation(ctx, unit.Ref)),
		Request:   d.outlook(unit),
	}, nil
}

// placementReasons turns the holder's explanation into sentences.
func placementReasons(e placer.Explanation) []string {
	var out []string
	for _, c := range e.Unit.Copies {
		if c.Reason != "" {
			out = append(out, fmt.Sprintf("%s on %s: %s", c.State, c.Server, c.Reason))
		}
	}
	for _, p := range e.Pending {
		out = append(out, fmt.Sprintf("pending on a server: %s %s", p.Order.Action, p.Order.Ref))
	}
	for _, m := range e.Moves {
		out = append(out, fmt.Sprintf("planned: %s on %s: %s", m.Action, m.Server, m.Reason))
	}
	for _, s := range e.Shortfalls {
		out = append(out, fmt.Sprintf("not met: %s", s.Reason))
	}
	if !e.Holding {
		out = append(out, "the placement holder can't be asked; reasons are missing")
	}
	return out
}

// outlook says what a request for a unit would do now on this instance.
func (d *Daemon) outlook(unit site.Unit) operatorapi.RequestOutlook {
	var outlook operatorapi.RequestOutlook
	for _, s := range d.monitor.Statuses() {
		if s.Config.Kind != site.KindEngine {
			continue
		}
		outlook.Candidates = append(outlook.Candidates, operatorapi.Candidate{
			Server:        s.Config.Name,
			FailureDomain: s.Config.FailureDomain,
			Outstanding:   s.Report.Running + s.Report.Waiting,
			Excluded:      exclusion(s, unit),
		})
	}
	outlook.Action, outlook.Reason = "queue", "no live server has the version resident; a request waits until its deadline can't be met"
	for _, candidate := range outlook.Candidates {
		if candidate.Excluded == "" {
			outlook.Action, outlook.Server = "dispatch", candidate.Server
			outlook.Reason = "a live server has the version resident"
			break
		}
	}
	return outlook
}

// exclusion says why a server can't take a request for the unit; empty if it can.
func exclusion(s servers.Status, unit site.Unit) string {
	switch {
	case s.Unreachable:
		return "unreachable"
	case s.Leaving:
		return "leaving"
	case !slices.Contains(s.Report.Resident, unit.Ref):
		return "not resident"
	}
	return ""
}
