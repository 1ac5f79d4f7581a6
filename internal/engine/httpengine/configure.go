package httpengine

import (
	"fmt"
	"os"
	"strings"
	"time"

	"limpethub/internal/plugin"
)

// pluginOptions are the options in a daemon's settings.
type pluginOptions struct {
	// OrderTokenFile holds the token that goes with orders; empty means none.
	OrderTokenFile string `json:"order_token_file"`
	// SilentAfterMillis is how long a stream may bring nothing, in milliseconds.
	SilentAfterMillis int64 `json:"silent_after_ms"`
	// MaxConnAgeMillis is how long a connection takes new requests, in milliseconds.
	MaxConnAgeMillis int64 `json:"max_conn_age_ms"`
}

var _ plugin.Configurable = (*Engine)(nil)

// Configure takes the daemon's settings.
func (e *Engine) Configure(environment plugin.Environment) error {
	var options pluginOptions
	if err := environment.Options.Decode(&options); err != nil {
		return fmt.Errorf("httpengine: options: %w", err)
	}
	e.TLS = environment.TLS
	e.SilentAfter = time.Duration(options.SilentAfterMillis) * time.Millisecond
	e.MaxConnAge = time.Duration(options.MaxConnAgeMillis) * time.Millisecond
	if options.OrderTokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(options.OrderTokenFile)
	if err != nil {
		return fmt.Errorf("httpengine: order token: %w", err)
	}
	e.OrderToken = strings.TrimSpace(string(token))
	return nil
}
