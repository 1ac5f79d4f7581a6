// Package httpengine is the adapter for backend servers that speak the HTTP
// protocol of docs/ENGINES.md. It registers as "engine.http".
//
// Its heart is the verdict rule of docs/VERDICTS.md: a failed request is NotRun
// only when the dial failed, when no byte of the request was handed to a
// connection, or when the server says so itself.
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
	// TLS is the client's side of TLS towards servers; nil means plain text.
	TLS keys.Current `json:"-"`
	// Dialer opens connections; nil means TCP with keepalive and a user timeout.
	Dialer Dialer `json:"-"`
	// OrderToken is sent with orders, for servers that check who gives them.
	OrderToken string `json:"order_token"`
	// SilentAfter is how long a stream may bring nothing, not even a comment,
	// before it fails with the code server_silent.
	SilentAfter time.Duration `json:"silent_after"`
	// MaxConnAge is how long a connection is used for new requests.
	MaxConnAge time.Duration `json:"max_conn_age"`
	// MaxBodyBytes bounds the whole answer of a plain service and of control calls.
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

// Engine is the adapter. It is safe for concurrent use.
type Engine struct {
	// Options may be set until Provision is called.
	Options

	scheme  string
	work    *pool
	control *pool
	fresh   *http.Transport
}

var (
	_ engine.Adapter     = (*Engine)(nil)
	_ kernel.Provisioner = (*Engine)(nil)
	_ kernel.Stopper     = (*Engine)(nil)
)

func init() {
	kernel.Register(kernel.Module{Name: "engine.http", New: func() any { return New(Options{}) }})
}

// New returns an Engine that is ready for use.
func New(o Options) *Engine {
	e := &Engine{Options: o}
	e.build()
	return e
}

// Provision takes the Options as they now are.
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
	e.work = newPool(e.Options)
	e.control = newPool(e.Options)
	e.fresh = newTransport(e.Options, false)
}

// Stop closes idle connections. Streams in progress go on.
func (e *Engine) Stop(context.Context) error {
	e.work.closeIdle()
	e.control.closeIdle()
	return nil
}
