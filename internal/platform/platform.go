// Package platform is the seam towards the platform's lagging list of instances.
// Adapters register with the kernel under "instances.<name>".
package platform

import "context"

// Instance is one entry of the platform's list: an entry instance or a backend server.
type Instance struct {
	// Name is unique at the site.
	Name string `json:"name"`
	// CallerAddress is host:port of the callers' listener; empty for backend servers.
	CallerAddress string `json:"caller_address,omitempty"`
	// PeerAddress is host:port of the peers' listener; empty for backend servers.
	PeerAddress string `json:"peer_address,omitempty"`
	// ServerAddress is host:port of a backend server; empty for entry instances.
	ServerAddress string `json:"server_address,omitempty"`
	// FailureDomain is where the instance runs.
	FailureDomain string `json:"failure_domain"`
	// Leaving is true once the platform is about to remove the instance.
	Leaving bool `json:"leaving"`
}

// Lister reads the list. It lags, and may be wrong.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}
