// Package entry starts entry instances for the lab, in its own process or as
// processes of their own, with keys made for the occasion.
package entry

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"limpethub/internal/keys"
	"limpethub/internal/lab/bench"
	"limpethub/internal/operatorapi"
	"limpethub/internal/settings"
	"limpethub/internal/site"
	"limpethub/internal/strictjson"
)

const (
	loopback = "127.0.0.1:0"
	// OperatorToken is what the lab shows as an operator.
	OperatorToken = "lab-operator-token-0001"
	keyFileMode   = 0o600
	// entriesTTLMillis is short, so that a planned stop in the lab is.
	entriesTTLMillis = 1000
)

// Options are what the instances of one host share.
type Options struct {
	// Directory takes key and settings files.
	Directory string
	// LogLevel is the least level logged.
	LogLevel string
	// Change alters the settings of each instance before it starts; nil means no change.
	Change func(*settings.Settings)
}

// host makes settings for instances that trust each other.
type host struct {
	options   Options
	authority *keys.Authority
	// accepted is set once the first instance has put the configuration in force.
	accepted bool
}

func newHost(o Options) (host, error) {
	authority, err := keys.NewAuthority("limpethub lab")
	if err != nil {
		return host{}, fmt.Errorf("entry: %w", err)
	}
	return host{options: o, authority: authority}, nil
}

// applyOnce gives the first instance the configuration, which the others learn from it
// and from the key-value service.
func (h *host) applyOnce(ctx context.Context, operator *operatorapi.Client, document *site.Document) error {
	if h.accepted {
		return nil
	}
	_, err := operator.Apply(ctx, operatorapi.ApplyRequest{ChangeID: "lab-first", Document: *document})
	if err != nil {
		return fmt.Errorf("entry: apply the configuration: %w", err)
	}
	h.accepted = true
	return nil
}

// settings builds what a settings file would hold.
func (h *host) settings(o bench.DaemonOptions) (settings.Settings, error) {
	s := settings.Default()
	peerFiles, err := h.keyFiles(o.Name)
	if err != nil {
		return s, err
	}
	tokens, err := h.write("operators", OperatorToken)
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
	s.Log.Level = h.options.LogLevel
	s.EntriesTTLMillis = entriesTTLMillis
	if o.Policy != "" {
		s.Plugins.Routing.Name = o.Policy
	}
	s.Plugins.Engine.Options, err = engineOptions(orders)
	if h.options.Change != nil {
		h.options.Change(&s)
	}
	return s, err
}

func (h *host) keyFiles(name string) (settings.Files, error) {
	leaf, err := h.authority.Issue(name, "127.0.0.1")
	if err != nil {
		return settings.Files{}, fmt.Errorf("entry: %w", err)
	}
	files, err := h.authority.WriteFiles(h.options.Directory, name, leaf)
	if err != nil {
		return settings.Files{}, fmt.Errorf("entry: %w", err)
	}
	return settings.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}, nil
}

func (h *host) write(name, content string) (string, error) {
	path := filepath.Join(h.options.Directory, name)
	if err := os.WriteFile(path, []byte(content+"\n"), keyFileMode); err != nil {
		return "", fmt.Errorf("entry: %w", err)
	}
	return path, nil
}

// engineOptions are the options of the engine plug-in.
func engineOptions(orderTokenFile string) (strictjson.Raw, error) {
	var raw strictjson.Raw
	text := fmt.Sprintf(`{"order_token_file": %q}`, orderTokenFile)
	if err := raw.UnmarshalJSON([]byte(text)); err != nil {
		return raw, fmt.Errorf("entry: %w", err)
	}
	return raw, nil
}
