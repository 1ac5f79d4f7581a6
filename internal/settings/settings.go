// Package settings reads the settings file of one daemon: its name and failure
// domain, its listeners, its plug-ins and its key files. What the whole site shares
// stands in the site's configuration instead; see package site.
package settings

import (
	"time"

	"limpethub/internal/strictjson"
)

// Settings holds the settings of one daemon.
type Settings struct {
	// Site is the name of the site, which must be that of the site's configuration.
	Site string `json:"site" validate:"required"`
	// Instance is the daemon's name, unique at the site.
	Instance string `json:"instance" validate:"required"`
	// FailureDomain is where the daemon runs.
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Listeners holds the three listeners, which are never mixed.
	Listeners Listeners `json:"listeners"`
	// Operators says who counts as an operator.
	Operators Operators `json:"operators"`
	// Platform holds how to reach the platform's services.
	Platform Upstream `json:"platform"`
	// Servers holds how to reach backend servers.
	Servers Upstream `json:"servers"`
	// Plugins names the plug-ins.
	Plugins Plugins `json:"plugins"`
	// Log holds the settings of the log.
	Log Log `json:"log"`
	// DrainTimeoutMillis bounds a planned stop, in milliseconds.
	DrainTimeoutMillis int64 `json:"drain_timeout_ms" validate:"gt=0"`
	// EntriesTTLMillis is how long callers may keep an answer of /v1/entries, in
	// milliseconds.
	EntriesTTLMillis int64 `json:"entries_ttl_ms" validate:"gt=0"`
}

// Listeners holds the listeners of a daemon.
type Listeners struct {
	// Callers serves callers over HTTP.
	Callers Listener `json:"callers"`
	// Operators serves operators over HTTP.
	Operators Listener `json:"operators"`
	// Peers serves other instances over QUIC.
	Peers Listener `json:"peers"`
}

// Listener holds the settings of one listener.
type Listener struct {
	// Address is the IP number and port to listen on; port 0 takes a free one.
	Address string `json:"address" validate:"required,ip_port"`
	// Advertise is the IP number and port that others are told; empty means Address.
	Advertise string `json:"advertise" validate:"omitempty,ip_port"`
	// Plaintext turns TLS off. The daemon then warns.
	Plaintext bool `json:"plaintext"`
	// TLS names the key files; unused with Plaintext.
	TLS Files `json:"tls"`
	// Bounds limits what a connection may ask for.
	Bounds Bounds `json:"bounds"`
}

// AdvertisedAddress is the address that others are told to use.
func (l Listener) AdvertisedAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Address
}

// Files names PEM files. All are read again when they change.
type Files struct {
	// Cert holds the certificate chain, the leaf first.
	Cert string `json:"cert_file"`
	// Key holds the private key of the leaf.
	Key string `json:"key_file"`
	// CA holds the certificates that sign the other side's certificates.
	CA string `json:"ca_file"`
}

// Bounds limits what a listener takes.
type Bounds struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gt=0"`
	// MaxHeaderBytes is the most that all headers of a request take, in bytes.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"gt=0"`
	// MaxHeaders is the most headers that a request may have.
	MaxHeaders int `json:"max_headers" validate:"gt=0"`
	// MaxConnections is the most open connections.
	MaxConnections int `json:"max_connections" validate:"gt=0"`
	// MaxStreams is the most requests in progress.
	MaxStreams int `json:"max_streams" validate:"gt=0"`
	// IdleTimeoutMillis is how long a connection may be unused, in milliseconds.
	IdleTimeoutMillis int64 `json:"idle_timeout_ms" validate:"gt=0"`
	// ReadTimeoutMillis is how long headers and body of a request may take to
	// arrive, in milliseconds.
	ReadTimeoutMillis int64 `json:"read_timeout_ms" validate:"gt=0"`
}

// IdleTimeout returns IdleTimeoutMillis as a duration.
func (b Bounds) IdleTimeout() time.Duration { return millis(b.IdleTimeoutMillis) }

// ReadTimeout returns ReadTimeoutMillis as a duration.
func (b Bounds) ReadTimeout() time.Duration { return millis(b.ReadTimeoutMillis) }

// Operators says who counts as an operator. Holders of a certificate signed by the
// operators' listener's CA always do.
type Operators struct {
	// TokenFile holds tokens, one a line, each at least MinTokenLength long; empty
	// turns tokens off. It is read again when it changes.
	TokenFile string `json:"token_file"`
}

// Upstream holds how to connect to the platform or to backend servers.
type Upstream struct {
	// Plaintext turns TLS off. The daemon then warns.
	Plaintext bool `json:"plaintext"`
	// TLS names the key files; unused with Plaintext.
	TLS Files `json:"tls"`
}

// Plugins names the plug-in of each kind.
type Plugins struct {
	// Store is the adapter for the key-value service.
	Store Plugin `json:"store"`
	// Engine is the adapter for backend servers.
	Engine Plugin `json:"engine"`
	// Instances is the adapter for the platform's list of instances.
	Instances Plugin `json:"instances"`
	// Peers is the transport between instances.
	Peers Plugin `json:"peers"`
	// Routing is the routing policy.
	Routing Plugin `json:"routing"`
	// Placement is the placement policy.
	Placement Plugin `json:"placement"`
}

// Plugin names one plug-in.
type Plugin struct {
	// Name is the dotted name, as in "store.etcd".
	Name string `json:"name" validate:"required"`
	// Endpoints lists the addresses to connect to, for plug-ins that connect.
	Endpoints []string `json:"endpoints" validate:"dive,ip_port"`
	// Options holds the plug-in's own settings, which the plug-in checks.
	Options strictjson.Raw `json:"options"`
}

// Log holds the settings of the log, which goes to standard error.
type Log struct {
	// Level is the least level written. Decisions are written at info.
	Level string `json:"level" validate:"oneof=error warning info debug"`
}

// DrainTimeout returns DrainTimeoutMillis as a duration.
func (s Settings) DrainTimeout() time.Duration { return millis(s.DrainTimeoutMillis) }

// EntriesTTL returns EntriesTTLMillis as a duration.
func (s Settings) EntriesTTL() time.Duration { return millis(s.EntriesTTLMillis) }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
