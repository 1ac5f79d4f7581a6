// Package front defines the interface of adapters that serve callers over a platform's own
// protocol, in place of the callers' interface of package gateway. Adapters register with
// package kernel under "front.<name>"; limpethubd includes the one in the folder platform/ at
// the root.
package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/callerload"
	"limpethub/internal/connlimit"
	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/gateway"
	"limpethub/internal/metrics"
	"limpethub/internal/peerrelay"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
	"limpethub/internal/workspace"
)

// Relay forwards requests to backend servers.
type Relay interface {
	// Relay runs a request and passes its answer to the sink. The caller already has the events
	// up to lastEventID; -1 means none. See forward.Relay.
	Relay(ctx context.Context, call engine.Call, lastEventID int64, sink forward.AnswerSink) (forward.RelayResult, error)
}

// ConfigurationInForce is the configuration in force, with the routes and the table of keys derived from it.
type ConfigurationInForce struct {
	site.Accepted
	Routes     *site.RouteTable
	Workspaces *workspace.Table
	// Since is when it was put in force here.
	Since time.Time
}

// Admitter keeps the limits of workspaces.
type Admitter interface {
	// Admit counts a request against the limit of its workspace. The error is a *verdict.Error if the limit
	// doesn't allow it.
	Admit(r *request.Request) error
	// Return takes back a request that was admitted and not sent to a server.
	Return(r *request.Request)
}

// Services is what a daemon provides to its front.
type Services struct {
	Relay Relay
	// Admitter is nil if workspaces have no limits.
	Admitter Admitter
	// Configuration returns the configuration in force, or nil while there is none.
	Configuration func() *ConfigurationInForce
	// NewerConfigurationExists reports whether another instance says that it holds a newer configuration than the given
	// revision.
	NewerConfigurationExists func(revision uint64) bool
	// Entries returns the instances that callers in a failure domain should use, best
	// first.
	Entries func(failureDomain string) []gateway.Entry
	// Identities returns what computes the identities of requests now.
	Identities func() *request.IdentityHasher
	// Authorizer decides which workspace a request belongs to and whether it may run, where the configuration
	// requires keys.
	Authorizer *workspace.Authorizer
	// CallerLoad bounds what callers make this instance hold; nil means no bound.
	CallerLoad *callerload.Budget
	// Observe reports the end of a request, for metrics.
	Observe func(end gateway.RequestOutcome)
	// ObserveService reports whether a request was served, for what is known of versions and prompts that aren't: cause is
	// empty if a server answered it with success. It may be nil.
	ObserveService func(r *request.Request, cause verdict.Code)
	// Cuts counts connections that end without a complete answer; nil if that isn't needed.
	Cuts *metrics.Cuts
	// Connections limits the connections of the listeners.
	Connections ConnectionLimits
	Logger      *logrus.Entry
	Now         func() time.Time
}

// ConnectionLimits are the limits of the connections of a front's listeners.
type ConnectionLimits struct {
	Callers, Directory, Ready connlimit.Options
}

// Front serves callers over a platform's protocol.
type Front interface {
	// SetServices sets the services. It is called once, before Start.
	SetServices(services Services)
	// Start opens the listeners and serves callers.
	Start(ctx context.Context) error
	// StartDrain tells callers and the platform to use other instances, because this one
	// stops at end. Requests that still arrive are served for a time that the
	// implementation sets; after that, only if their deadline is before end.
	StartDrain(end time.Time)
	// MayStart reports whether a request may still begin to run at a server. Its error is a *verdict.Error
	// with NotRun: while this instance stops, one that isn't idempotent may not if it may end after the stop.
	MayStart(r *request.Request) error
	RequestsInProgress() int64
	// RunForPeer runs a request that another instance has passed on to this one.
	peerrelay.Runner
	// CancelRequests ends all requests in progress immediately. Each gets an answer if that
	// is still possible.
	CancelRequests()
	// Shutdown waits for the requests in progress and then stops accepting connections. Until
	// then a new connection may be accepted and closed after one answer.
	Shutdown(ctx context.Context) error
	// Stop closes all listeners and connections immediately.
	Stop(ctx context.Context) error
}
