// Package settings reads the settings file of one daemon: its name and failure
// domain, its listeners, its plug-ins and its key files. What the whole site shares
// stands in the site's configuration instead; see package site.
package settings

import (
	"reflect"
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
	// DrainTimeoutSeconds is the same in seconds, and goes before it if it isn't 0.
	DrainTimeoutSeconds float64 `json:"drain_timeout_s,omitempty" validate:"gte=0"`
	// PlacementLeaseMillis is how long the lease for orders to discovered servers lasts
	// without renewal, in milliseconds; 0 means the default.
	PlacementLeaseMillis int64 `json:"placement_lease_ms,omitempty" validate:"gte=0"`
	// MemoryMB is how much memory the process may take, in MB; 0 means no bound. It
	// works the harder to free memory the nearer it comes.
	MemoryMB int64 `json:"memory_mb,omitempty" validate:"gte=0"`
	// Processor is what the instance has of a processor.
	Processor Processor `json:"processor,omitzero"`
	// EntriesTTLMillis is how long callers may keep an answer of /v1/entries, in
	// milliseconds.
	EntriesTTLMillis int64 `json:"entries_ttl_ms" validate:"gt=0"`
}

// Processor is what an instance has of a processor. Placement is left to instances with
// more of it where one is small.
type Processor struct {
	// Share is the part of one core's time that the process gets; 0 means as much as it
	// asks for.
	Share float64 `json:"share" validate:"gte=0"`
	// Speed is how much faster the core is than a common one; 0 means 1.
	Speed float64 `json:"speed,omitempty" validate:"gte=0"`
}

// Cores is the processor in common cores, and 0 if it isn't bounded.
func (p Processor) Cores() float64 {
	if p.Speed == 0 {
		return p.Share
	}
	return p.Share * p.Speed
}

// Listeners holds the listeners of a daemon.
type Listeners struct {
	// Callers serves callers over HTTP.
	Callers Listener `json:"callers"`
	// Operators serves operators over HTTP.
	Operators Listener `json:"operators"`
	// Peers serves other instances over QUIC.
	Peers Listener `json:"peers"`
	// Metrics serves GET /metrics in plain text to whoever reaches it. It is off unless
	// an address is given.
	Metrics MetricsListener `json:"metrics,omitzero"`
}

// MetricsListener holds the settings of the listener for metrics alone.
type MetricsListener struct {
	// Address is the IP number and port to listen on; empty turns the listener off.
	Address string `json:"address" validate:"omitempty,ip_port"`
}

// Listener holds the settings of one listener.
type Listener struct {
	// Disabled turns the listener off, where an adapter serves in its place.
	Disabled bool `json:"disabled,omitempty"`
	// Address is the IP number and port to listen on; port 0 takes a free one.
	Address string `json:"address" validate:"required_if=Disabled false,omitempty,ip_port"`
	// Advertise is the IP number and port that others are told; empty means Address.
	Advertise string `json:"advertise" validate:"omitempty,ip_port"`
	// Plaintext turns TLS off. The daemon then warns.
	Plaintext bool `json:"plaintext"`
	// Unauthenticated makes each instance use a certificate of its own making, for a
	// network that only instances reach. It is for peers alone. The daemon then warns.
	Unauthenticated bool `json:"unauthenticated,omitempty"`
	// TLS names the key files; unused with Plaintext and Unauthenticated.
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
	// CallTimeoutMillis bounds a call, in milliseconds, and MaxBackOffMillis the wait
	// after calls that failed; 0 means the default. They are for the platform alone.
	CallTimeoutMillis int64 `json:"call_timeout_ms,omitempty" validate:"gte=0"`
	MaxBackOffMillis  int64 `json:"max_back_off_ms,omitempty" validate:"gte=0"`
}

// CallTimeout returns CallTimeoutMillis as a duration.
func (u Upstream) CallTimeout() time.Duration { return millis(u.CallTimeoutMillis) }

// MaxBackOff returns MaxBackOffMillis as a duration.
func (u Upstream) MaxBackOff() time.Duration { return millis(u.MaxBackOffMillis) }

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
	// Front is the adapter that serves callers in the platform's way in place of the
	// callers' listener; an empty name means that there is none.
	Front OptionalPlugin `json:"front,omitzero"`
	// Discovery is the adapter that finds backend servers which announce themselves. It
	// goes with Front.
	Discovery OptionalPlugin `json:"discovery,omitzero"`
}

// OptionalPlugin names a plug-in that may be left out.
type OptionalPlugin struct {
	// Name is the dotted name; empty means none.
	Name string `json:"name"`
	// Options holds the plug-in's own settings, which the plug-in checks.
	Options strictjson.Raw `json:"options"`
}

// Plugin returns the plug-in that is named.
func (p OptionalPlugin) Plugin() Plugin { return Plugin{Name: p.Name, Options: p.Options} }

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

// Hosted reports whether an adapter serves callers in the platform's way.
func (s Settings) Hosted() bool { return s.Plugins.Front.Name != "" }

// DrainTimeout returns the bound of a planned stop.
func (s Settings) DrainTimeout() time.Duration {
	if s.DrainTimeoutSeconds > 0 {
		return time.Duration(s.DrainTimeoutSeconds * float64(time.Second))
	}
	return millis(s.DrainTimeoutMillis)
}

// PlacementLease returns PlacementLeaseMillis as a duration.
func (s Settings) PlacementLease() time.Duration { return millis(s.PlacementLeaseMillis) }

// EntriesTTL returns EntriesTTLMillis as a duration.
func (s Settings) EntriesTTL() time.Duration { return millis(s.EntriesTTLMillis) }

// NeedsRestart reports whether other settings differ in more than the log level.
func (s Settings) NeedsRestart(other Settings) bool {
	other.Log = s.Log
	return !reflect.DeepEqual(s, other)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
