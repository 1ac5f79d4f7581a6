package daemon

import (
	"sync/atomic"

	"limpethub/internal/gateway"
	"limpethub/internal/site"
)

// configurationInForce holds the configuration that all parts of the daemon have. It lags behind the one that was accepted while
// that is being applied. It is safe for concurrent use.
type configurationInForce struct {
	accepted atomic.Pointer[site.Accepted]
}

var _ gateway.Configuration = (*configurationInForce)(nil)

func (c *configurationInForce) set(accepted site.Accepted) { c.accepted.Store(&accepted) }

// Current implements gateway.Configuration.
func (c *configurationInForce) Current() (site.Accepted, bool) {
	accepted := c.accepted.Load()
	if accepted == nil {
		return site.Accepted{}, false
	}
	return *accepted, true
}
