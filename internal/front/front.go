// Package front is the seam for adapters that serve callers in a platform's way, in
// place of the product's own callers' interface. Adapters register with the kernel
// under "front.<name>".
package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/gateway"
	"limpethub/internal/site"
)

// Relay passes requests on to backend servers.
type Relay interface {
	// Relay runs a request; see forward.Relay.
	Relay(ctx context.Context, call engine.Call, after int64, sink forward.AnswerSink) (forward.RelayResult, error)
}

// InForce is a configuration with what is derived from it.
type InForce struct {
	site.Accepted
	Routes *site.RouteTable
}

// Services is what a front gets of its daemon.
type Services struct {
	Relay Relay
	// Configuration returns the configuration in force; nil while there is none.
	Configuration func() *InForce
	// Entries lists the instances that callers in a failure domain should use, the best
	// first.
	Entries func(failureDomain string) []gateway.Entry
	// Observe is told how requests end, for metrics.
	Observe func(end gateway.RequestEnd)
	Logger  *logrus.Entry
	Now     func() time.Time
}

// Front serves callers.
type Front interface {
	// Use takes the services. It is called once, before Start.
	Use(services Services)
	// Start opens the listeners.
	Start(ctx context.Context) error
	// Leave tells callers and the platform to use other instances. Whoever still comes is
	// served, but later on only with what surely ends before the instance does.
	Leave(end time.Time)
	// Open is the number of requests in progress.
	Open() int64
	// Cut ends all requests in progress at once, each with an answer where that is still
	// possible.
	Cut()
	// Shutdown takes no new connections and waits for the requests in progress.
	Shutdown(ctx context.Context) error
	// Stop closes everything at once.
	Stop(ctx context.Context) error
}
