package httpengine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections to backend servers.
const (
	dialTimeout       = 1 * time.Second
	idleTimeout       = 15 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	// userTimeout is how long written bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout        = 5 * time.Second
	maxIdlePerServer   = 128
	maxHeaderBytes     = 64 << 10
	connReadBufferSize = 8 << 10
)

// newDialer returns the dialer used when Options has none.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout bounds how long written bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// newTransport returns a transport whose connections count their writes. It speaks HTTP/1.1
// only: the write count proves that a request wasn't handed over only if each connection
// carries one request at a time.
func newTransport(o Options, reuse bool) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := o.Dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	return &http.Transport{
		DialContext: dial,
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return handshake(ctx, conn, o.TLS(), address)
		},
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         connReadBufferSize,
	}
}

func handshake(ctx context.Context, conn net.Conn, config *tls.Config, address string) (net.Conn, error) {
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// pool is a set of reusable connections. It is replaced after MaxConnAge, so that no
// connection gets new requests for longer than that.
type pool struct {
	options Options

	mu        sync.Mutex
	current   *http.Transport
	createdAt time.Time
}

func newPool(o Options) *pool {
	return &pool{options: o, current: newTransport(o, true), createdAt: time.Now()}
}

// RoundTrip implements http.RoundTripper.
func (p *pool) RoundTrip(r *http.Request) (*http.Response, error) {
	return p.transport(time.Now()).RoundTrip(r)
}

// transport returns the current set of connections, after replacing it if it is too old.
// The connections of a replaced set close when their last requests end.
func (p *pool) transport(now time.Time) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.createdAt) >= p.options.MaxConnAge {
		p.current.CloseIdleConnections()
		p.current = newTransport(p.options, true)
		p.createdAt = now
	}
	return p.current
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.CloseIdleConnections()
}
