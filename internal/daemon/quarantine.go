package daemon

import (
	"context"

	"limpethub/internal/operatorapi"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
	"limpethub/internal/site"
)

// Quarantine implements operatorapi.Controller. Only an instance with a front reads the parts of
// prompts.
func (c *controller) Quarantine(context.Context) (operatorapi.Quarantine, error) {
	var out operatorapi.Quarantine
	if c.daemon.hosted == nil {
		return out, nil
	}
	for _, f := range c.daemon.hosted.guard.Quarantined() {
		out.Parts = append(out.Parts, operatorapi.QuarantinedPart{
			Part: f.Subject.String(), Crashes: f.Crashes, First: f.First, Last: f.Last, Until: f.Until,
		})
	}
	return out, nil
}

// Release implements operatorapi.Controller.
func (c *controller) Release(_ context.Context, part string) error {
	parsed, err := request.ParsePart(part)
	if err != nil || c.daemon.hosted == nil || !c.daemon.hosted.guard.Release(quarantine.PartSubject(parsed)) {
		return &operatorapi.NotFoundError{Kind: "part in quarantine", Name: part}
	}
	return nil
}

// hostedController answers operators on an instance with a front, which lacks the parts that the
// rest of the operators' interface describes.
type hostedController struct{ controller }

var _ operatorapi.Controller = (*hostedController)(nil)

func errHosted() error {
	return &operatorapi.UnavailableError{Reason: "an instance that serves callers over a platform's interface only answers for prompts in quarantine, the configuration and drains"}
}

func (c *hostedController) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{}, errHosted()
}

func (c *hostedController) Apply(context.Context, operatorapi.ApplyRequest) (site.Accepted, error) {
	return site.Accepted{}, errHosted()
}

func (c *hostedController) Explain(context.Context, string) (operatorapi.Explanation, error) {
	return operatorapi.Explanation{}, errHosted()
}

func (c *hostedController) Locate(context.Context, string) (operatorapi.Location, error) {
	return operatorapi.Location{}, errHosted()
}
