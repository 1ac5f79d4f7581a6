// Package quictransport implements peers.Transport over QUIC with mutual TLS 1.3. Datagrams
// carry membership messages and digests, and each call has a stream of its own.
//
// Each outgoing connection has a UDP socket of its own. A new connection therefore also works
// when a device on the path, such as a NAT, lost its state about the old one.
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

// Name is the name under which the plug-in registers with the kernel.
const Name = "peers.quic"

func init() {
	kernel.Register(kernel.Module{Name: Name, New: func() any { return &Transport{} }})
}

// Options configures a Transport.
type Options struct {
	// Listen is the host:port that the transport listens on for peers; port 0 means any
	// unused port.
	Listen string
	// TLS holds the instance's certificate, and the certificate authority of the
	// deployment as RootCAs and ClientCAs. Handlers get the common name of the sender's
	// certificate as the sender's name.
	TLS *tls.Config
	// CurrentTLS returns the current TLS configuration for each new connection, so that
	// renewed keys take effect; nil means that the field TLS is used for all connections.
	CurrentTLS keys.TLSConfigFunc
	// Logger may be nil; the transport then logs nothing.
	Logger *logrus.Entry
	// IdleTimeout is how long an unused connection stays open; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// SilenceTimeout is how long a connection in use may receive no packets before it is
	// closed; 0 means DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// MaxStreams is the most calls and streams that a peer may have in progress on one connection; 0
	// means DefaultMaxStreams.
	MaxStreams int
	// Unauthenticated accepts any certificate of a peer, without verification.
	Unauthenticated bool
}

// Defaults and limits.
const (
	// DefaultIdleTimeout is the default of Options.IdleTimeout.
	DefaultIdleTimeout = 15 * time.Second
	// DefaultSilenceTimeout is the default of Options.SilenceTimeout. It is well above
	// the delays of a busy machine, so that a slow peer isn't taken for silent: a new
	// connection costs far more than keeping the old one. Before the timeout expires,
	// membership checks the peer through other members.
	DefaultSilenceTimeout = 1500 * time.Millisecond
	// MaxCallBytes is the most that the payload of a call or of its answer may hold.
	MaxCallBytes = 1<<20 + 64<<10

	// DefaultMaxStreams is the default of Options.MaxStreams.
	DefaultMaxStreams = 128

	dialTimeout = 3 * time.Second
	// redialDelay is how long after a failed dial the address isn't dialed again.
	redialDelay = 200 * time.Millisecond
	// datagramDialTimeout is shorter than dialTimeout, because queued datagrams soon go
	// out of date.
	datagramDialTimeout = time.Second
	callTimeout         = 10 * time.Second
	// maxQueuedDatagrams is how many datagrams may wait to be sent to one peer.
	maxQueuedDatagrams = 64
	alpn               = "limpethub-peers/1"
	// streamWindowBytes limits what a stream buffers that isn't read, and connectionWindowBytes what all
	// streams of a connection do. Readers that stand still on connectionWindowBytes / streamWindowBytes
	// streams hold up the others.
	streamWindowBytes     = 256 << 10
	connectionWindowBytes = 16 << 20
)

// Errors of the transport.
var (
	// ErrTooLarge means that a payload is larger than MaxCallBytes.
	ErrTooLarge = errors.New("quictransport: payload too large")
	// ErrNotStarted means that the transport isn't running: it hasn't been started, or has
	// been stopped.
	ErrNotStarted = errors.New("quictransport: not running")
)

// Transport implements peers.Transport over QUIC.
type Transport struct {
	options Options
	// listenerTLS is the configuration of the listener. It gives each incoming connection the
	// result of currentTLS, which outgoing connections use directly.
	listenerTLS *tls.Config
	handlers    map[peers.Kind]peers.Handler
	// streamHandlers serve the kinds of streams that aren't calls.
	streamHandlers map[peers.Kind]peers.StreamHandler
	counters       counters
	network        networkCounters

	mu       sync.Mutex
	running  bool
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	links    map[string]*link
	// replacements decides when silent connections are replaced.
	replacements *replacements
	cancel       context.CancelFunc
	ctx          context.Context
	wg           sync.WaitGroup
}

var (
	_ peers.Transport  = (*Transport)(nil)
	_ kernel.Validator = (*Transport)(nil)
	_ kernel.Starter   = (*Transport)(nil)
	_ kernel.Stopper   = (*Transport)(nil)
)

// New returns a transport. It opens its socket in Bind or Start.
func New(options Options) *Transport {
	t := &Transport{}
	t.setOptions(options)
	return t
}

// setOptions stores the options, with defaults for fields that are zero.
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

// Validate checks that there are a listen address and a complete TLS configuration.
func (t *Transport) Validate() error {
	if t.options.Listen == "" {
		return errors.New("quictransport: no listen address for peers is configured (host:port)")
	}
	return validateTLS(t.options.TLS, t.options.Unauthenticated)
}

// Handle sets the handler of a kind. It must be called before Start.
func (t *Transport) Handle(kind peers.Kind, handler peers.Handler) { t.handlers[kind] = handler }

// bind opens the UDP socket if it isn't open yet.
func (t *Transport) bind() (*net.UDPConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.socket != nil {
		return t.socket, nil
	}
	address, err := net.ResolveUDPAddr("udp", t.options.Listen)
	if err != nil {
		return nil, fmt.Errorf("quictransport: resolve the listen address for peers: %w", err)
	}
	t.socket, err = net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("quictransport: open the UDP socket for peers: %w", err)
	}
	return t.socket, nil
}

// Start opens the listener and serves peers until Stop is called.
func (t *Transport) Start(context.Context) error {
	if err := t.Validate(); err != nil {
		return err
	}
	socket, err := t.bind()
	if err != nil {
		return err
	}
	t.listenerTLS = t.currentTLS()
	t.listenerTLS.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.currentTLS(), nil }
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(t.listenerTLS, t.quicConfig())
	if err != nil {
		return errors.Join(fmt.Errorf("quictransport: listen for peers: %w", err), socket.Close())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quic, t.listener = transport, listener
	t.links = map[string]*link{}
	t.replacements = newReplacements()
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.running = true
	t.wg.Add(1)
	go t.acceptLoop(t.ctx, listener)
	return nil
}

// Stop closes all connections and the listener, and waits until all handlers have returned.
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

// LocalAddress returns the host:port of the listener, or "" while the socket isn't open: before
// Bind or Start, and after Stop.
func (t *Transport) LocalAddress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.socket == nil {
		return ""
	}
	return t.socket.LocalAddr().String()
}

// quicConfig is the configuration of connections in both directions. Packets keep their initial
// size, because path MTU discovery is off; a datagram of peers.MaxDatagramBytes fits in one.
func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 t.options.IdleTimeout,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: streamWindowBytes,
		MaxConnectionReceiveWindow:     connectionWindowBytes,
		MaxIncomingStreams:             int64(t.options.MaxStreams),
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
	}
}
