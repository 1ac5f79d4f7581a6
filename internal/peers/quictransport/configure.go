package quictransport

import (
	"fmt"

	"limpethub/internal/plugin"
)

var (
	_ plugin.Configurable = (*Transport)(nil)
	_ plugin.Binder       = (*Transport)(nil)
)

// Configure applies the daemon's settings. The plug-in has no options of its own.
func (t *Transport) Configure(environment plugin.Environment) error {
	if err := environment.Options.Decode(&struct{}{}); err != nil {
		return fmt.Errorf("quictransport: the peers.quic plug-in takes no options: %w", err)
	}
	t.setOptions(Options{
		Listen:      environment.Listen,
		TLS:         environment.TLS(),
		CurrentTLS:  environment.TLS,
		Logger:      environment.Logger,
		IdleTimeout: environment.Bounds.IdleTimeout(),
		MaxStreams:  environment.Bounds.MaxStreams,

		Unauthenticated: environment.Unauthenticated,
	})
	return nil
}

// Bind opens the UDP socket and returns its address, so that the address is known before
// Start.
func (t *Transport) Bind() (string, error) {
	socket, err := t.bind()
	if err != nil {
		return "", err
	}
	return socket.LocalAddr().String(), nil
}
