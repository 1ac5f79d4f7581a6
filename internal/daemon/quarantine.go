package daemon

import (
	"context"

	"limpethub/internal/operatorapi"
	"limpethub/internal/quarantine"
	"limpethub/internal/request"
	"limpethub/internal/site"
)

// Quarantine implements operatorapi.Controller. Only an instance with a front keeps requests away from
// servers that end under them.
func (c *controller) Quarantine(context.Context) (operatorapi.Quarantine, error) {
	var out operatorapi.Quarantine
	if c.daemon.hosted == nil {
		return out, nil
	}
	for _, f := range c.daemon.hosted.guard.Quarantined() {
		found := operatorapi.Quarantined{Crashes: f.Crashes, First: f.First, Last: f.Last, Until: f.Until}
		if f.Subject.Kind == quarantine.WholeRequest {
			found.Request = f.Subject.String()
			out.Requests = append(out.Requests, found)
			continue
		}
		found.Part = f.Subject.String()
		out.Parts = append(out.Parts, found)
	}
	return out, nil
}

// Release implements operatorapi.Controller. A part and a request may have the same hash; then both are
// released.
func (c *controller) Release(_ context.Context, name string) error {
	notFound := &operatorapi.NotFoundError{Kind: "part or request in quarantine", Name: name}
	identity, err := request.ParseIdentity(name)
	if err != nil || c.daemon.hosted == nil {
		return notFound
	}
	guard := c.daemon.hosted.guard
	isPart := guard.Release(quarantine.PartSubject(request.Part(identity)))
	isRequest := guard.Release(quarantine.RequestSubject(identity))
	if !isPart && !isRequest {
		return notFound
	}
	return nil
}

// countQuarantined returns how many subjects of a kind are held back, or are tried again.
func (h *hosted) countQuarantined(kind quarantine.Kind) int {
	count := 0
	for _, f := range h.guard.Quarantined() {
		if f.Subject.Kind == kind {
			count++
		}
	}
	return count
}

// hostedController answers operators on an instance with a front, which lacks the parts that the
// rest of the operators' interface describes.
type hostedController struct{ controller }

var _ operatorapi.Controller = (*hostedController)(nil)

func errHosted() error {
	return &operatorapi.UnavailableError{Reason: "an instance that serves callers over a platform's interface only answers for prompts and requests in quarantine, the configuration and drains"}
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
