// Package settings reads and checks the settings file of one daemon: its name and
// failure domain, listeners, plug-ins, key files and log level. Package site holds the
// configuration that all daemons of a site share.
package settings

import (
	"reflect"
	"time"

	"limpethub/internal/strictjson"
)

// Settings holds the settings of one daemon.
type Settings struct {
	// Site is the name of the site. It must equal the name in the site's configuration.
	Site string `json:"site" validate:"required"`
	// Instance is the daemon's name, unique at the site.
	Instance string `json:"instance" validate:"required"`
	// FailureDomain is the name of the failure domain that the daemon runs in.
	FailureDomain string `json:"failure_domain" validate:"required"`
	// Listeners holds the listeners. Callers, operators and peers each have their own.
	Listeners Listeners `json:"listeners"`
	// Operators says who is accepted as an operator.
	Operators Operators `json:"operators"`
	// Platform says how to connect to the platform's services.
	Platform Upstream `json:"platform"`
	// Servers says how to connect to backend servers.
	Servers Upstream `json:"servers"`
	// Plugins names the plug-in of each kind.
	Plugins Plugins `json:"plugins"`
	// Log sets the log level.
	Log Log `json:"log"`
	// DrainTimeoutMillis bounds the drain of a planned stop, in milliseconds.
	DrainTimeoutMillis int64 `json:"drain_timeout_ms" validate:"gt=0"`
	// DrainTimeoutSeconds is the same bound in seconds. If it isn't 0, it overrides
	// DrainTimeoutMillis.
	DrainTimeoutSeconds float64 `json:"drain_timeout_s,omitempty" validate:"gte=0"`
	// PlacementLeaseMillis is how long the placement lease lasts without renewal, in
	// milliseconds. Its holder gives orders to the servers that Plugins.Discovery finds.
	// 0 means defaultPlacementLease of package daemon.
	PlacementLeaseMillis int64 `json:"placement_lease_ms,omitempty" validate:"gte=0"`
	// MemoryMB is the soft memory limit of the process, in MB; 0 means no limit. The
	// process collects garbage more often the closer it gets to the limit.
	MemoryMB int64 `json:"memory_mb,omitempty" validate:"gte=0"`
	// Descriptors is how many file descriptors the process may have open; 0 means its resource limit. Each listener has a
	// share of them.
	Descriptors int `json:"descriptors,omitempty" validate:"omitempty,gte=400"`
	// Callers bounds what callers make the process hold.
	Callers Callers `json:"callers,omitzero"`
	// Processor is the processor capacity of the instance.
	Processor Processor `json:"processor,omitzero"`
	// EntriesTTLMillis is how long callers may cache an answer of /v1/entries, the list of
	// the instances that they should use, in milliseconds.
	EntriesTTLMillis int64 `json:"entries_ttl_ms" validate:"gt=0"`
	// RevocationMillis is how long after its removal a caller's key may still be accepted, in
	// milliseconds, also by an instance that doesn't reach the key-value store. 0 means that an instance
	// goes by the configuration that it has.
	RevocationMillis int64 `json:"revocation_ms,omitempty" validate:"gte=0"`
	// LeavingBoundMillis is how long after the key-value store has acknowledged that a backend server leaves a
	// request may still reach the server, in milliseconds. 0 means that nobody says, and that an instance
	// takes up to some 3 s.
	LeavingBoundMillis int64 `json:"leaving_bound_ms,omitempty" validate:"gte=0"`
	// InTouchMillis is how long after the end of a cut from the key-value store LeavingBoundMillis holds again, in
	// milliseconds. 0 means that nobody says.
	InTouchMillis int64 `json:"in_touch_ms,omitempty" validate:"gte=0"`
	// ServerSpeed says for which backend servers the speed is learned: "always", "never", or, if empty, those of
	// services whose servers state how long work takes at the moment.
	ServerSpeed string `json:"server_speed,omitempty" validate:"omitempty,oneof=always never"`
	// WorkspaceQuota says how exactly the limits of workspaces have to be kept.
	WorkspaceQuota WorkspaceQuota `json:"workspace_quota,omitzero"`
}

// WorkspaceQuota says how exactly the limits of workspaces have to be kept: within any window, all instances
// together may use (rate * window + burst) * (1 + Over) + Slack. The zero value means the defaults of package
// workspacequota.
type WorkspaceQuota struct {
	// WindowSeconds is the window, in seconds.
	WindowSeconds float64 `json:"window_s" validate:"gte=0"`
	Over          float64 `json:"over" validate:"gte=0"`
	// Slack is in tokens.
	Slack float64 `json:"slack" validate:"gte=0"`
}

// Callers bounds what callers make an instance hold.
type Callers struct {
	// MaxBytes is how many bytes the heads and bodies of requests may take at the same time, with the buffers of their connections; 0
	// means a quarter of Settings.MemoryMB.
	MaxBytes int64 `json:"max_bytes,omitempty" validate:"gte=0"`
}

// callersShare is the part of the memory that callers may make a process hold unless the settings say otherwise.
const callersShare = 4

// CallerBytes returns how many bytes callers may make the process hold; 0 means no limit.
func (s Settings) CallerBytes() int64 {
	if s.Callers.MaxBytes > 0 {
		return s.Callers.MaxBytes
	}
	return s.MemoryMB * mib / callersShare
}

// Processor is the processor capacity of an instance. Instances with little of it
// leave placement to instances with more.
type Processor struct {
	// Share is the processor time that the process may use, in cores (0.5 is half of
	// one core's time); 0 means unlimited.
	Share float64 `json:"share" validate:"gte=0"`
	// Speed is the speed of a core relative to a reference core; 0 means 1.
	Speed float64 `json:"speed,omitempty" validate:"gte=0"`
}

// Cores returns the capacity in reference cores; 0 means unlimited.
func (p Processor) Cores() float64 {
	if p.Speed == 0 {
		return p.Share
	}
	return p.Share * p.Speed
}

type Listeners struct {
	// Callers serves callers over HTTP.
	Callers Listener `json:"callers"`
	// Operators serves operators over HTTP.
	Operators Listener `json:"operators"`
	// Peers serves other instances over QUIC.
	Peers Listener `json:"peers"`
	// Metrics serves GET /metrics in plain text and without authentication. It is off
	// unless an address is given.
	Metrics MetricsListener `json:"metrics,omitzero"`
}

// MetricsListener holds the settings of the listener that serves only metrics.
type MetricsListener struct {
	// Address is the IP address and port to listen on; empty turns the listener off.
	Address string `json:"address" validate:"omitempty,ip_port"`
}

type Listener struct {
	// Disabled turns the listener off, for when an adapter (Plugins.Front) serves
	// callers instead.
	Disabled bool `json:"disabled,omitempty"`
	// Address is the IP address and port to listen on; port 0 picks a free port.
	Address string `json:"address" validate:"required_if=Disabled false,omitempty,ip_port"`
	// Advertise is the IP address and port that others are told to use; empty means
	// Address.
	Advertise string `json:"advertise" validate:"omitempty,ip_port"`
	// Plaintext turns TLS off. Settings.Warnings reports it.
	Plaintext bool `json:"plaintext"`
	// Unauthenticated makes each instance use a self-signed certificate and accept any
	// peer, for a network that only instances can reach. Only the peers' listener uses
	// it, and Settings.Warnings reports it only there; on another listener, its only
	// effect is that Load doesn't require a certificate and key.
	Unauthenticated bool `json:"unauthenticated,omitempty"`
	// TLS names the key files. It is not used with Plaintext or Unauthenticated.
	TLS Files `json:"tls"`
	// Bounds limits connections and requests.
	Bounds Bounds `json:"bounds"`
}

// AdvertisedAddress returns the address that others are told to use.
func (l Listener) AdvertisedAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Address
}

// Files names PEM files. Each file is read again when it changes.
type Files struct {
	// Cert holds the certificate chain, the leaf first.
	Cert string `json:"cert_file"`
	// Key holds the private key of the leaf.
	Key string `json:"key_file"`
	// CA holds the CA certificates that sign the remote side's certificates.
	CA string `json:"ca_file"`
}

// Bounds limits the connections and requests of a listener.
type Bounds struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gt=0"`
	// MaxHeaderBytes is the largest total size of a request's headers, in bytes.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"gt=0"`
	// MaxHeaders is the largest number of headers of a request.
	MaxHeaders int `json:"max_headers" validate:"gt=0"`
	// MaxConnections is the largest number of open connections.
	MaxConnections int `json:"max_connections" validate:"gt=0"`
	// MaxStreams is the largest number of requests in progress.
	MaxStreams int `json:"max_streams" validate:"gt=0"`
	// IdleTimeoutMillis is how long an idle connection stays open, in milliseconds.
	IdleTimeoutMillis int64 `json:"idle_timeout_ms" validate:"gt=0"`
	// ReadTimeoutMillis bounds the time until headers and body of a request have
	// arrived, in milliseconds.
	ReadTimeoutMillis int64 `json:"read_timeout_ms" validate:"gt=0"`
}

func (b Bounds) IdleTimeout() time.Duration { return millis(b.IdleTimeoutMillis) }

func (b Bounds) ReadTimeout() time.Duration { return millis(b.ReadTimeoutMillis) }

// Operators says who is accepted as an operator, besides clients with a certificate
// signed by the CA of the operators' listener, which are always accepted.
type Operators struct {
	// TokenFile holds tokens, one a line, each at least operatorapi.MinTokenLength bytes
	// long; empty turns tokens off. The file is read again when it changes.
	TokenFile string `json:"token_file"`
}

// Upstream says how to connect to the platform or to backend servers.
type Upstream struct {
	// Plaintext turns TLS off. Settings.Warnings reports it.
	Plaintext bool `json:"plaintext"`
	// TLS names the key files. It is not used with Plaintext.
	TLS Files `json:"tls"`
	// CallTimeoutMillis bounds a call to the key-value store, in milliseconds; 0 means
	// storecall.DefaultTimeout. Only the platform's upstream uses it.
	CallTimeoutMillis int64 `json:"call_timeout_ms,omitempty" validate:"gte=0"`
	// MaxBackOffMillis bounds the back-off after failed calls to the key-value store and
	// the wait after a failed read of the configuration, in milliseconds; 0 means the
	// defaults of packages storecall and confsync. Only the platform's upstream uses it.
	MaxBackOffMillis int64 `json:"max_back_off_ms,omitempty" validate:"gte=0"`
}

func (u Upstream) CallTimeout() time.Duration { return millis(u.CallTimeoutMillis) }

func (u Upstream) MaxBackOff() time.Duration { return millis(u.MaxBackOffMillis) }

// Plugins names the plug-in of each kind.
type Plugins struct {
	// Store is the adapter for the key-value store.
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
	// Front is the adapter that serves callers through the platform's own protocol
	// instead of the callers' listener; an empty name means none.
	Front OptionalPlugin `json:"front,omitzero"`
	// Discovery is the adapter that finds backend servers by their announcements. It is
	// set if and only if Front is.
	Discovery OptionalPlugin `json:"discovery,omitzero"`
}

// OptionalPlugin names a plug-in that may be left out.
type OptionalPlugin struct {
	// Name is the dotted name; empty means none.
	Name string `json:"name"`
	// Options holds the plug-in's own settings, which the plug-in checks.
	Options strictjson.Raw `json:"options"`
}

// Plugin converts to the type of a required plug-in, without endpoints.
func (p OptionalPlugin) Plugin() Plugin { return Plugin{Name: p.Name, Options: p.Options} }

type Plugin struct {
	// Name is the kind and the plug-in's own name, as in "store.etcd".
	Name string `json:"name" validate:"required"`
	// Endpoints lists the IP addresses and ports to connect to, for plug-ins that connect.
	Endpoints []string `json:"endpoints" validate:"dive,ip_port"`
	// Options holds the plug-in's own settings, which the plug-in checks.
	Options strictjson.Raw `json:"options"`
}

// Log holds the settings of the log, which is written to standard error.
type Log struct {
	// Level is the lowest severity that is written. Decisions on dispatch and placement
	// are logged at info.
	Level string `json:"level" validate:"oneof=error warning info debug"`
}

// Hosted reports whether an adapter (Plugins.Front) serves callers through the platform's
// own protocol.
func (s Settings) Hosted() bool { return s.Plugins.Front.Name != "" }

// DrainTimeout returns the bound on the drain of a planned stop.
func (s Settings) DrainTimeout() time.Duration {
	if s.DrainTimeoutSeconds > 0 {
		return time.Duration(s.DrainTimeoutSeconds * float64(time.Second))
	}
	return millis(s.DrainTimeoutMillis)
}

func (s Settings) PlacementLease() time.Duration { return millis(s.PlacementLeaseMillis) }

func (s Settings) EntriesTTL() time.Duration { return millis(s.EntriesTTLMillis) }

// Revocation returns how long after its removal a key may still be accepted; 0 means no limit.
func (s Settings) Revocation() time.Duration { return millis(s.RevocationMillis) }

// NeedsRestart reports whether other differs from s in more than the log, which is the
// only part that a running daemon can change.
func (s Settings) NeedsRestart(other Settings) bool {
	other.Log = s.Log
	return !reflect.DeepEqual(s, other)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
