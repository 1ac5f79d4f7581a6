// Package instancelist defines the interface to the list of instances of the platform on which
// a site runs; the list may be out of date. Package platform at the root of the repository and
// package httplist implement it; implementations register with the kernel as
// "instances.<name>".
package instancelist

import "context"

// Instance is one entry of the platform's list. Here, instance also means a backend server;
// the instances of this system are called entry instances. The JSON names are those of the
// format in which the platform serves the list, and may not change.
type Instance struct {
	// Name is unique at the site.
	Name string `json:"name"`
	// CallerAddress is host:port of the callers' listener; empty for backend servers.
	CallerAddress string `json:"caller_address,omitempty"`
	// PeerAddress is host:port of the peers' listener; empty for backend servers.
	PeerAddress string `json:"peer_address,omitempty"`
	// ServerAddress is host:port of a backend server; empty for entry instances.
	ServerAddress string `json:"server_address,omitempty"`
	// FailureDomain is the name of the failure domain that the instance runs in.
	FailureDomain string `json:"failure_domain"`
	// Leaving is true once the platform is about to stop the instance.
	Leaving bool `json:"leaving"`
	// Unconfirmed is true for an instance that is only known from elsewhere than the platform's list, and may
	// have ended long ago.
	Unconfirmed bool `json:"-"`
}

// Lister reads the list. The list lags behind the platform's state and may be wrong.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}
