package httplist

import (
	"errors"
	"fmt"

	"limpethub/internal/plugin"
)

var _ plugin.Configurable = (*Lister)(nil)

var errEndpointCount = errors.New("httplist: plugins.instances.endpoints must list exactly one address")

// Configure takes the endpoint and TLS from the daemon's settings. The plug-in has no
// options of its own.
func (l *Lister) Configure(environment plugin.Environment) error {
	if err := environment.Options.Decode(&struct{}{}); err != nil {
		return fmt.Errorf("httplist: options: %w", err)
	}
	if len(environment.Endpoints) != 1 {
		return errEndpointCount
	}
	l.Address = environment.Endpoints[0]
	l.TLS = environment.TLS
	return nil
}
