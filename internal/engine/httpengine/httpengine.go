// Package httpengine implements engine.Adapter for backend servers that speak the HTTP
// protocol of docs/ENGINES.md. It registers as "engine.http".
//
// Each failed request gets a verdict (docs/VERDICTS.md) that says whether the server may
// have run it. The verdict is NotRun only when the request couldn't be formed, when the dial
// failed, when no byte of the request was handed to a connection, or when the server states
// that it didn't run the request.
package httpengine

import (
	"context"
	"net"
	"net/http"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/kernel"
	"limpethub/internal/keys"
)

// Defaults of Options.
const (
	DefaultSilentAfter  = 2 * time.Second
	DefaultMaxConnAge   = 60 * time.Second
	DefaultMaxBodyBytes = 16 << 20
)

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options configures an Engine. The zero value is usable.
type Options struct {
	// TLS gives the client configuration for TLS to servers; nil means plain HTTP.
	TLS keys.TLSConfigFunc `json:"-"`
	// Dialer opens connections; nil means TCP with keep-alive and a limit on how long sent
	// data may stay unacknowledged (TCP_USER_TIMEOUT).
	Dialer Dialer `json:"-"`
	// OrderToken is the bearer token sent with orders, for servers that authenticate
	// orders; empty means none.
	OrderToken string `json:"order_token"`
	// SilentAfter is how long a stream may stay without any data, including comments,
	// before it fails with the code server_silent.
	SilentAfter time.Duration `json:"silent_after"`
	// MaxConnAge is how long a connection is used for new requests.
	MaxConnAge time.Duration `json:"max_conn_age"`
	// MaxBodyBytes is the most that the answer of a plain service, a report or an
	// inventory may hold.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

func (o Options) withDefaults() Options {
	if o.Dialer == nil {
		o.Dialer = newDialer()
	}
	if o.SilentAfter <= 0 {
		o.SilentAfter = DefaultSilentAfter
	}
	if o.MaxConnAge <= 0 {
		o.MaxConnAge = DefaultMaxConnAge
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return o
}

// Engine is the engine adapter: it implements engine.Adapter over HTTP/1.1. It is safe for
// concurrent use.
type Engine struct {
	// Options may be set until Provision is called.
	Options

	scheme string
	// dataPool carries requests, and controlPool carries reports, inventories and orders.
	dataPool    *pool
	controlPool *pool
	// unpooled opens a new connection for each request. It carries queries about earlier
	// requests, which must not depend on a connection that may have failed.
	unpooled *http.Transport
}

var (
	_ engine.Adapter     = (*Engine)(nil)
	_ kernel.Provisioner = (*Engine)(nil)
	_ kernel.Stopper     = (*Engine)(nil)
)

func init() {
	kernel.Register(kernel.Module{Name: "engine.http", New: func() any { return New(Options{}) }})
}

// New returns an Engine that is ready to use.
func New(o Options) *Engine {
	e := &Engine{Options: o}
	e.build()
	return e
}

// Provision applies the current Options.
func (e *Engine) Provision(context.Context) error {
	e.build()
	return nil
}

func (e *Engine) build() {
	e.Options = e.Options.withDefaults()
	e.scheme = "http"
	if e.TLS != nil {
		e.scheme = "https"
	}
	e.dataPool = newPool(e.Options)
	e.controlPool = newPool(e.Options)
	e.unpooled = newTransport(e.Options, false)
}

// Stop closes idle connections. Streams in progress continue.
func (e *Engine) Stop(context.Context) error {
	e.dataPool.closeIdle()
	e.controlPool.closeIdle()
	return nil
}
