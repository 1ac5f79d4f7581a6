// Package entry starts entry instances in the lab's own process, with keys made for
// the occasion.
package entry

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"limpethub/internal/daemon"
	"limpethub/internal/keys"
	"limpethub/internal/lab/bench"
	"limpethub/internal/operatorapi"
	"limpethub/internal/settings"
	"limpethub/internal/site"

	_ "limpethub/internal/plugins" // The daemon's plug-ins.
)

const (
	loopback = "127.0.0.1:0"
	// operatorToken is what the lab shows as an operator.
	operatorToken = "lab-operator-token-0001"
	keyFileMode   = 0o600
)

// Host starts instances that trust each other.
type Host struct {
	directory string
	authority *keys.Authority
	logs      io.Writer
	level     string
	// accepted is set once the first instance has put the configuration in force.
	accepted bool
}

// NewHost makes a host whose key files go below directory. Log lines of the given
// level go to logs.
func NewHost(directory string, logs io.Writer, level string) (*Host, error) {
	authority, err := keys.NewAuthority("limpethub lab")
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	return &Host{directory: directory, authority: authority, logs: logs, level: level}, nil
}

// Instance is a running daemon with an operator's client to it.
type Instance struct {
	*daemon.Daemon
	Operator *operatorapi.Client
}

var _ bench.Daemon = (*Instance)(nil)

// Start implements bench.Factory. The first instance is given the configuration, which
// the others learn from it and from the key-value service.
func (h *Host) Start(ctx context.Context, o bench.DaemonOptions) (bench.Daemon, error) {
	s, err := h.settings(o)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(s, h.logs)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if err := d.Start(ctx); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	instance := &Instance{Daemon: d, Operator: operatorapi.NewClient("http://"+d.OperatorAddress(), operatorToken, nil)}
	if !h.accepted {
		if err := h.apply(ctx, instance, o.Document); err != nil {
			d.Kill()
			return nil, err
		}
		h.accepted = true
	}
	return instance, nil
}

func (h *Host) apply(ctx context.Context, instance *Instance, document *site.Document) error {
	_, err := instance.Operator.Apply(ctx, operatorapi.ApplyRequest{ChangeID: "lab-first", Document: *document})
	if err != nil {
		return fmt.Errorf("entry: apply the configuration: %w", err)
	}
	return nil
}

// settings builds what a settings file would hold.
func (h *Host) settings(o bench.DaemonOptions) (settings.Settings, error) {
	s := settings.Default()
	peerFiles, err := h.keyFiles(o.Name)
	if err != nil {
		return s, err
	}
	tokens, err := h.write("operators", operatorToken)
	if err != nil {
		return s, err
	}
	orders, err := h.write("orders", o.OrderToken)
	if err != nil {
		return s, err
	}
	s.Site = o.Document.Site
	s.Instance = o.Name
	s.FailureDomain = o.FailureDomain
	s.Listeners.Callers.Address, s.Listeners.Callers.Plaintext = loopback, true
	s.Listeners.Operators.Address, s.Listeners.Operators.Plaintext = loopback, true
	s.Listeners.Peers.Address, s.Listeners.Peers.TLS = loopback, peerFiles
	s.Operators.TokenFile = tokens
	s.Platform.Plaintext, s.Servers.Plaintext = true, true
	s.Plugins.Store.Endpoints = []string{o.StoreAddress}
	s.Plugins.Instances.Endpoints = []string{o.ListAddress}
	s.Log.Level = h.level
	s.EntriesTTLMillis = entriesTTLMillis
	if o.Policy != "" {
		s.Plugins.Routing.Name = o.Policy
	}
	s.Plugins.Engine.Options, err = engineOptions(orders)
	return s, err
}

// entriesTTLMillis is short, so that a planned stop in the lab is.
const entriesTTLMillis = 1000

func (h *Host) keyFiles(name string) (settings.Files, error) {
	leaf, err := h.authority.Issue(name, "127.0.0.1")
	if err != nil {
		return settings.Files{}, fmt.Errorf("entry: %w", err)
	}
	files, err := h.authority.WriteFiles(h.directory, name, leaf)
	if err != nil {
		return settings.Files{}, fmt.Errorf("entry: %w", err)
	}
	return settings.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}, nil
}

func (h *Host) write(name, content string) (string, error) {
	path := filepath.Join(h.directory, name)
	if err := os.WriteFile(path, []byte(content+"\n"), keyFileMode); err != nil {
		return "", fmt.Errorf("entry: %w", err)
	}
	return path, nil
}
