// Package rawhttp sends HTTP/1.1 requests byte for byte over connections that it owns.
// Unlike net/http's transport it never sends a request a second time by itself, it
// proves when not one byte of a request was handed over, it recognizes answers that
// belong to other requests, and it returns as soon as a server answers early.
package rawhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of the options.
const (
	// DefaultDialTimeout bounds the making of a connection.
	DefaultDialTimeout = 800 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept where the server
	// names no time of its own.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged.
	DefaultUserTimeout = 3 * time.Second
	// DefaultIdlePerServer is how many unused connections to one server are kept.
	DefaultIdlePerServer = 32

	// keepAliveMargin is by how much a connection is retired before the server would
	// close it, so that no request meets the close on its way.
	keepAliveMargin = 800 * time.Millisecond
	// probePeriod and probeCount tell a connection that went silent within some seconds.
	probePeriod = time.Second
	probeCount  = 3
	// readerBytes holds a usual head, or some events of a stream.
	readerBytes = 4 << 10
)

// Options configures a Client.
type Options struct {
	// IDHeader names the header of a request that servers repeat in their answers; empty
	// means that answers can't be told apart.
	IDHeader string
	// DialTimeout, IdleTimeout and UserTimeout: 0 means the default.
	DialTimeout, IdleTimeout, UserTimeout time.Duration
	// IdlePerServer is how many unused connections are kept; 0 means the default.
	IdlePerServer int
}

// Server addresses one server.
type Server struct {
	// Name keeps the connections of a server apart from those of another one that gets
	// its address later.
	Name string
	// Address is host:port.
	Address string
}

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path with its query, as it goes on the request line.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value of the IDHeader; empty means that the answer isn't checked.
	ID string
}

// Error says why there is no answer.
type Error struct {
	// Sent is false only if not one byte of the request was handed over.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("rawhttp: no answer to a request that was sent: %v", e.Err)
	}
	return fmt.Sprintf("rawhttp: nothing was sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Stats counts what a Client did.
type Stats struct {
	// Foreign counts answers that belonged to other requests.
	Foreign atomic.Uint64
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	// Stats may be read at any time.
	Stats Stats

	mu     sync.Mutex
	idle   map[Server][]*conn
	closed bool
}

// New makes a Client.
func New(options Options) *Client {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.UserTimeout == 0 {
		options.UserTimeout = DefaultUserTimeout
	}
	if options.IdlePerServer == 0 {
		options.IdlePerServer = DefaultIdlePerServer
	}
	return &Client{
		options: options,
		idle:    map[Server][]*conn{},
		dialer:  Dialer(options.DialTimeout, options.UserTimeout),
	}
}

// Dialer makes connections that notice within some seconds that nothing comes through.
func Dialer(timeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	server Server
	reader *bufio.Reader
	// retire is when an unused connection is no longer used.
	retire time.Time
}

// Do sends a request and waits for the head of its answer. When ctx ends, the
// connection is closed, also while the answer is being read. Errors are *Error.
func (c *Client) Do(ctx context.Context, server Server, request *Request) (*Response, error) {
	for {
		connection, reused, err := c.take(ctx, server)
		if err != nil {
			return nil, &Error{Err: err}
		}
		response, err := c.exchange(ctx, connection, request)
		if failed, ok := err.(*Error); ok && reused && !failed.Sent && ctx.Err() == nil {
			continue
		}
		return response, err
	}
}

// take returns an unused connection that is still open and quiet, or a new one.
func (c *Client) take(ctx context.Context, server Server) (connection *conn, reused bool, err error) {
	for {
		kept := c.takeIdle(server)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.retire) && kept.quiet() {
			return kept, true, nil
		}
		_ = kept.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: raw, server: server, reader: bufio.NewReaderSize(raw, readerBytes)}, false, nil
}

// takeIdle takes the connection that was used last.
func (c *Client) takeIdle(server Server) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[server] = list[:len(list)-1]
	return last
}

// quiet reports whether the connection is open and nothing has arrived on it since the
// last answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// put keeps a connection for later.
func (c *Client) put(connection *conn, keep time.Duration) {
	connection.retire = time.Now().Add(keep)
	c.mu.Lock()
	list := c.idle[connection.server]
	full := c.closed || len(list) >= c.options.IdlePerServer
	if !full {
		c.idle[connection.server] = append(list, connection)
	}
	c.mu.Unlock()
	if full {
		_ = connection.Close()
	}
}

// Close closes all unused connections and keeps none from now on.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = map[Server][]*conn{}, true
	c.mu.Unlock()
	for _, list := range idle {
		for _, connection := range list {
			_ = connection.Close()
		}
	}
}

// keepFor returns how long the connection may be kept after an answer.
func (c *Client) keepFor(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := time.ParseDuration(value + "s"); err == nil {
			return min(seconds-keepAliveMargin, c.options.IdleTimeout)
		}
	}
	return c.options.IdleTimeout
}
