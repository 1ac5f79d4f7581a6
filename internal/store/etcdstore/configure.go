package etcdstore

import (
	"fmt"

	"limpethub/internal/plugin"
)

var _ plugin.Configurable = (*Store)(nil)

// Configure takes endpoints and TLS from the daemon's settings. The plug-in has no
// options of its own.
func (s *Store) Configure(environment plugin.Environment) error {
	if err := environment.Options.Decode(&struct{}{}); err != nil {
		return fmt.Errorf("etcdstore: options: %w", err)
	}
	s.Endpoints = environment.Endpoints
	s.TLS = environment.TLS
	return nil
}
