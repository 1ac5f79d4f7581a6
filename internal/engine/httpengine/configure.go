package httpengine

import (
	"fmt"
	"os"
	"strings"
	"time"

	"limpethub/internal/plugin"
)

// pluginOptions are the plug-in's options in a daemon's settings.
type pluginOptions struct {
	// OrderTokenFile is the file with the token that is sent with orders; empty means no
	// token.
	OrderTokenFile string `json:"order_token_file"`
	// SilentAfterMillis is how long a stream may stay without any data, in milliseconds;
	// 0 means DefaultSilentAfter.
	SilentAfterMillis int64 `json:"silent_after_ms"`
	// MaxConnAgeMillis is how long a connection is used for new requests, in
	// milliseconds; 0 means DefaultMaxConnAge.
	MaxConnAgeMillis int64 `json:"max_conn_age_ms"`
}

var _ plugin.Configurable = (*Engine)(nil)

// Configure reads the plug-in's options and the order token. The options take effect in
// Provision.
func (e *Engine) Configure(environment plugin.Environment) error {
	var options pluginOptions
	if err := environment.Options.Decode(&options); err != nil {
		return fmt.Errorf("httpengine: invalid options of the plug-in engine.http: %w", err)
	}
	e.TLS = environment.TLS
	e.SilentAfter = time.Duration(options.SilentAfterMillis) * time.Millisecond
	e.MaxConnAge = time.Duration(options.MaxConnAgeMillis) * time.Millisecond
	if options.OrderTokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(options.OrderTokenFile)
	if err != nil {
		return fmt.Errorf("httpengine: read the file in option order_token_file: %w", err)
	}
	e.OrderToken = strings.TrimSpace(string(token))
	return nil
}
