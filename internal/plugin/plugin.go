// Package plugin creates and configures the plug-ins that a daemon's settings name. The
// registry of implementations is in package kernel; package plugins imports the built-in ones.
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

// Environment is what a daemon provides to a plug-in. Fields that a kind of plug-in doesn't need
// are empty.
type Environment struct {
	// Endpoints lists the addresses to connect to, as host:port.
	Endpoints []string
	// Listen is the address to listen on, for plug-ins that listen.
	Listen string
	// Bounds limits what the listener accepts (connections, requests, headers and bodies), for
	// plug-ins that listen.
	Bounds settings.Bounds
	// TLS returns the configuration for a new connection, of the client's or the server's side;
	// nil means plain text.
	TLS keys.TLSConfigFunc
	// Unauthenticated is for the peer transport: if true, other instances may present any
	// certificate.
	Unauthenticated bool
	// Options holds the plug-in's own settings.
	Options strictjson.Raw
	Logger  *logrus.Entry
	// Store is the key-value store, for plug-ins that use it.
	Store store.Store
	// Instance and FailureDomain name the daemon's own instance and failure domain, for the
	// plug-in that lists the instances.
	Instance, FailureDomain string
	// CallerAddress and PeerAddress are the addresses at which callers and peers reach the
	// daemon, for the plug-in that lists the instances.
	CallerAddress, PeerAddress string
}

// Configurable is a plug-in that receives its settings. Configure is called before
// Provision.
type Configurable interface {
	Configure(environment Environment) error
}

// Load creates the plug-in that the settings name and configures it if it is Configurable.
// The plug-in's endpoints and options replace those of the environment.
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

// Binder is a plug-in that listens. Its listener is opened before other parts are created,
// so that they know its address; it accepts connections from Start on.
type Binder interface {
	// Bind opens the listener and returns its address.
	Bind() (address string, err error)
}
