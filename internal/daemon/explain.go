package daemon

import (
	"context"
	"fmt"
	"time"

	"limpethub/internal/dispatch"
	"limpethub/internal/operatorapi"
	"limpethub/internal/placer"
	"limpethub/internal/request"
	"limpethub/internal/site"
)

func (c *controller) Drain(ctx context.Context, instance string) error {
	if instance == c.daemon.settings.Instance {
		c.daemon.startDrain()
		return nil
	}
	_, err := c.daemon.callInstance(ctx, instance, remoteRequest{Action: remoteDrain})
	return err
}

func (c *controller) Explain(ctx context.Context, model string) (operatorapi.Explanation, error) {
	d := c.daemon
	unit, err := d.resolve(model)
	if err != nil {
		return operatorapi.Explanation{}, err
	}
	accepted, _ := d.confsync.Current()
	snapshot := d.placementSnapshot(ctx)
	statuses := serverStatuses(d.monitor.Statuses(), snapshot, d.dispatcher.ServerSpeeds())
	return operatorapi.Explanation{
		Asked:  model,
		Status: modelStatus(&accepted.Document, unit, statuses, snapshot),
		// The planner keeps one copy of each version, whatever the demand.
		Floor:     1,
		Placement: placementReasons(d.placementExplanation(ctx, unit.Ref)),
		Request:   d.requestPreview(&accepted.Document, unit),
	}, nil
}

// placementReasons converts the placement holder's explanation to sentences for operators.
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
	if e.Holding && len(out) == 0 {
		out = append(out, fmt.Sprintf("%d copies, none of them ordered by this holder; nothing is planned", len(e.Unit.Copies)))
	}
	if !e.Holding {
		out = append(out, "the placement holder can't be asked; reasons are missing")
	}
	return out
}

// requestPreview predicts what this instance would do with a request for a unit if the request
// arrived now.
func (d *Daemon) requestPreview(document *site.Document, unit site.Unit) operatorapi.RequestPreview {
	now := time.Now()
	timeout := time.Duration(document.Classes[unit.Class].TimeoutMillis) * time.Millisecond
	preview := d.dispatcher.Preview(request.Request{
		ID: previewRequestID, Model: unit.Ref, Class: unit.Class, Arrived: now, Deadline: now.Add(timeout),
		Idempotent: true, MaxTokens: previewTokens,
	})
	out := operatorapi.RequestPreview{Action: dispatch.ActionName(preview.Action), Server: preview.Server, Code: preview.Code, Reason: preview.Reason}
	for _, c := range preview.Candidates {
		out.Candidates = append(out.Candidates, operatorapi.Candidate{
			Server: c.Server, FailureDomain: c.FailureDomain, Outstanding: c.Outstanding,
			PredictedMillis: c.Finish.Milliseconds(), Excluded: c.Excluded,
		})
	}
	return out
}

const (
	// previewRequestID is the id of the request that requestPreview previews. It contains
	// spaces, so it can't be the id of a caller's request.
	previewRequestID = "what would a request do"
	// previewTokens is the answer length that requestPreview assumes.
	previewTokens = 100
)
