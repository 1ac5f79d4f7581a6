// Package plugin makes plug-ins from a daemon's settings.
package plugin

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"limpethub/internal/kernel"
	"limpethub/internal/keys"
	"limpethub/internal/settings"
	"limpethub/internal/store"
	"limpethub/internal/strictjson"
)

// Environment is what a plug-in gets of its daemon.
type Environment struct {
	// Endpoints lists the addresses to connect to, host:port.
	Endpoints []string
	// Listen is the address to listen on, for plug-ins that listen.
	Listen string
	// Bounds limits what a connection may ask for, for plug-ins that listen.
	Bounds settings.Bounds
	// TLS gives the configuration for a new connection; nil means plain text.
	TLS keys.Current
	// Unauthenticated is true where any certificate of a peer is taken.
	Unauthenticated bool
	// Options holds the plug-in's own settings.
	Options strictjson.Raw
	Logger  *logrus.Entry
	// Store is the key-value service, for plug-ins that build on it.
	Store store.Store
	// Instance and FailureDomain are the daemon's.
	Instance, FailureDomain string
	// CallerAddress and PeerAddress are where the daemon is reached.
	CallerAddress, PeerAddress string
}

// Configurable is a plug-in that takes its settings before Provision.
type Configurable interface {
	Configure(environment Environment) error
}

// Load makes the plug-in that the settings name and configures it.
func Load[T any](named settings.Plugin, environment Environment) (T, error) {
	loaded, err := kernel.New[T](named.Name)
	if err != nil {
		return loaded, fmt.Errorf("plugin: %w", err)
	}
	environment.Endpoints = named.Endpoints
	environment.Options = named.Options
	if c, ok := any(loaded).(Configurable); ok {
		if err := c.Configure(environment); err != nil {
			return loaded, fmt.Errorf("plugin: configure %s: %w", named.Name, err)
		}
	}
	return loaded, nil
}

// Binder is a plug-in that listens. It is bound before other parts are made, so that
// its address is known; it serves from Start on.
type Binder interface {
	// Bind opens the listener and returns its address.
	Bind() (address string, err error)
}
