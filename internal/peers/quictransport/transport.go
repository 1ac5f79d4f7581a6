// Package quictransport carries messages between instances over QUIC with mutual
// TLS 1.3: datagrams for heartbeats and digests, a stream for each call.
//
// Each outgoing connection has a UDP socket of its own, so that a new connection
// also passes where something on the way lost track of the old one.
package quictransport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"limpethub/internal/kernel"
	"limpethub/internal/keys"
	"limpethub/internal/logging"
	"limpethub/internal/peers"
)

// Name is the plug-in's name.
const Name = "peers.quic"

func init() {
	kernel.Register(kernel.Module{Name: Name, New: func() any { return &Transport{} }})
}

// Options are the settings of a Transport.
type Options struct {
	// Listen is host:port of the peers' listener; port 0 takes a free one.
	Listen string
	// TLS holds the instance's certificate, and the project's own certificate
	// authority as RootCAs and ClientCAs. The certificate's common name is what
	// handlers get as the sender.
	TLS *tls.Config
	// Current gives TLS anew for each connection, with the keys then in force; nil means
	// that TLS stays as it is.
	Current keys.Current
	// Logger may be nil.
	Logger *logrus.Entry
	// IdleTimeout is how long an unused connection is kept; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// SilenceTimeout is how long a connection in use may bring nothing back before
	// it is given up; 0 means DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// MaxStreams is how many calls one peer may have open; 0 means DefaultMaxStreams.
	MaxStreams int
	// Unauthenticated takes any certificate of a peer.
	Unauthenticated bool
}

// Defaults and bounds.
const (
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 15 * time.Second
	// DefaultSilenceTimeout is well above the delays of a busy machine: a new connection
	// costs far more than the old one. Membership asks others meanwhile.
	DefaultSilenceTimeout = 1500 * time.Millisecond
	// MaxCallBytes is the most that a call or its answer may hold.
	MaxCallBytes = 1<<20 + 64<<10

	// DefaultMaxStreams is how many calls one peer may have open.
	DefaultMaxStreams = 32

	dialTimeout = 3 * time.Second
	// redialPause is how long an address that didn't answer isn't dialed again.
	redialPause = 200 * time.Millisecond
	// datagramDialTimeout is shorter: what waits for it soon is of no use.
	datagramDialTimeout = time.Second
	callTimeout         = 10 * time.Second
	datagramQueue       = 64
	alpn                = "limpethub-peers/1"
	streamWindowBytes   = 256 << 10
)

// Errors of the transport.
var (
	// ErrTooLarge means that a payload is above its bound.
	ErrTooLarge = errors.New("quictransport: payload too large")
	// ErrNotStarted means that the transport isn't running.
	ErrNotStarted = errors.New("quictransport: not running")
)

// Transport is a peers.Transport over QUIC.
type Transport struct {
	options  Options
	tls      *tls.Config
	handlers map[peers.Kind]peers.Handler
	counters counters
	wire     wire

	mu       sync.Mutex
	running  bool
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	links    map[string]*link
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
}

var (
	_ peers.Transport  = (*Transport)(nil)
	_ kernel.Validator = (*Transport)(nil)
	_ kernel.Starter   = (*Transport)(nil)
	_ kernel.Stopper   = (*Transport)(nil)
)

// New makes a transport. It opens its socket in Start.
func New(options Options) *Transport {
	t := &Transport{}
	t.setOptions(options)
	return t
}

// setOptions takes the options, with defaults where they are zero.
func (t *Transport) setOptions(options Options) {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxStreams == 0 {
		options.MaxStreams = DefaultMaxStreams
	}
	if options.SilenceTimeout == 0 {
		options.SilenceTimeout = DefaultSilenceTimeout
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	t.options = options
	if t.handlers == nil {
		t.handlers = map[peers.Kind]peers.Handler{}
	}
}

// Validate checks the options.
func (t *Transport) Validate() error {
	if t.options.Listen == "" {
		return errors.New("quictransport: no listen address")
	}
	return validateTLS(t.options.TLS, t.options.Unauthenticated)
}

// Handle sets the handler of a kind. It is called before Start.
func (t *Transport) Handle(kind peers.Kind, handler peers.Handler) { t.handlers[kind] = handler }

// bind opens the socket unless it is open.
func (t *Transport) bind() (*net.UDPConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.socket != nil {
		return t.socket, nil
	}
	address, err := net.ResolveUDPAddr("udp", t.options.Listen)
	if err != nil {
		return nil, fmt.Errorf("quictransport: listen address: %w", err)
	}
	t.socket, err = net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("quictransport: listen: %w", err)
	}
	return t.socket, nil
}

// Start opens the listener and serves peers until Stop.
func (t *Transport) Start(context.Context) error {
	if err := t.Validate(); err != nil {
		return err
	}
	socket, err := t.bind()
	if err != nil {
		return err
	}
	t.tls = t.currentTLS()
	t.tls.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.currentTLS(), nil }
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(t.tls, t.quicConfig())
	if err != nil {
		return errors.Join(fmt.Errorf("quictransport: listen: %w", err), socket.Close())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quic, t.listener = transport, listener
	t.links = map[string]*link{}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.running = true
	t.wg.Add(1)
	go t.acceptLoop(t.ctx, listener)
	return nil
}

// Stop closes all connections and the listener, and waits for handlers to end.
func (t *Transport) Stop(context.Context) error {
	t.mu.Lock()
	if !t.running {
		t.mu.Unlock()
		return nil
	}
	t.running = false
	t.cancel()
	listener, transport, socket := t.listener, t.quic, t.socket
	t.socket = nil
	t.mu.Unlock()

	err := listener.Close()
	t.wg.Wait()
	return errors.Join(err, transport.Close(), socket.Close())
}

// LocalAddress returns host:port of the listener, or "" before Start.
func (t *Transport) LocalAddress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.socket == nil {
		return ""
	}
	return t.socket.LocalAddr().String()
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 t.options.IdleTimeout,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         MaxCallBytes + streamWindowBytes,
		InitialConnectionReceiveWindow: streamWindowBytes,
		MaxConnectionReceiveWindow:     4 * MaxCallBytes,
		MaxIncomingStreams:             int64(t.options.MaxStreams),
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
	}
}
