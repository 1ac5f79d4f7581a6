// Package rawhttp is an HTTP/1.1 client for requests to backend servers that gives callers
// control of retries. Unlike net/http's transport it never sends a request a second time
// by itself, it reports whether any byte of a failed request was sent, it detects answers
// that belong to other requests, and it returns as soon as a server answers, even before
// the request is fully sent. It sends headers and body unchanged.
package rawhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"limpethub/internal/intake"
)

// Defaults of Options.
const (
	// DefaultDialTimeout bounds the time to open a connection.
	DefaultDialTimeout = 800 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the server announces no
	// keep-alive timeout or a longer one.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	DefaultUserTimeout = 3 * time.Second
	// DefaultIdlePerServer is how many idle connections are kept per server.
	DefaultIdlePerServer = 32

	// keepAliveMargin is how long before the server's keep-alive timeout an idle connection
	// expires, so that no request is sent while the server closes the connection.
	keepAliveMargin = 800 * time.Millisecond
	// probeInterval and probeCount make TCP keep-alive detect a dead connection within a few
	// seconds.
	probeInterval = time.Second
	probeCount    = 3
	// maxHeadBytes bounds what is read from a server for the head of an answer, with the answers
	// before it that are skipped, but not their bodies.
	maxHeadBytes = 64 << 10
	// DefaultMaxBufferedBytes is the default of Options.MaxBufferedBytes.
	DefaultMaxBufferedBytes = 64 << 20
	// readerBytes is the read buffer of a connection: enough for a typical response head or
	// several events of a stream.
	readerBytes = 4 << 10
)

// Options configures a Client.
type Options struct {
	// IDHeader is the request header whose value servers repeat in their answers. If it is
	// empty, answers to other requests are not detected.
	IDHeader string
	// DialTimeout, IdleTimeout and UserTimeout override the defaults; 0 means the default.
	DialTimeout, IdleTimeout, UserTimeout time.Duration
	// IdlePerServer is how many idle connections are kept per server; 0 means the default.
	IdlePerServer int
	// MaxBufferedBytes bounds the bodies that are being read as a whole, all together; 0 means the
	// default.
	MaxBufferedBytes int64
}

// Server identifies one backend server.
type Server struct {
	// Name distinguishes a server from another one that gets the same address later, so
	// that their connections are not mixed up.
	Name string
	// Address is host:port.
	Address string
}

// Request is a request as it is sent.
type Request struct {
	Method string
	// Target is the path and query as written on the request line.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// ID is the expected value of IDHeader in the answer; if empty, the answer must have none.
	ID string
	// Connections says on which connections the request may be sent.
	Connections Connections
	// MaySend is called once there is a connection, right before the first byte is written to it. If it returns an
	// error, nothing is sent and the cause of the Error is a HeldBackError. nil means that the request may be sent. It may set
	// headers.
	MaySend func() error
}

// Connections says which connections may carry a request.
type Connections uint8

const (
	// AnyConnection means an idle connection, or else a new one.
	AnyConnection Connections = iota
	// OnlyIdle means that no connection is opened. Without an idle one, the error is ErrNoIdle.
	OnlyIdle
	// OnlyNew means a new connection, which is closed after the answer.
	OnlyNew
)

// ErrNoIdle means that there was no idle connection for a request that may use no other.
var ErrNoIdle = errors.New("no connection to the server is open and idle")

// DialError is the cause of an Error if no connection could be opened.
type DialError struct{ Err error }

func (e *DialError) Error() string { return e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// HeldBackError is the cause of an Error if Request.MaySend has returned an error.
type HeldBackError struct{ Err error }

func (e *HeldBackError) Error() string { return e.Err.Error() }

func (e *HeldBackError) Unwrap() error { return e.Err }

// Error reports why a request got no complete answer.
type Error struct {
	// Sent is false only if no byte of the request was written to a connection, so that the
	// request can't have run.
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("rawhttp: no answer to a request that was sent: %v", e.Err)
	}
	return fmt.Sprintf("rawhttp: nothing was sent: %v", e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Stats holds counters of a Client.
type Stats struct {
	// ForeignAnswers counts received answers that belonged to other requests.
	ForeignAnswers atomic.Uint64
}

// Client sends requests and keeps idle connections for reuse. It is safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer
	// Stats may be read concurrently.
	Stats Stats
	// buffered is how many bytes of bodies are being read as a whole.
	buffered atomic.Int64

	mu     sync.Mutex
	idle   map[Server][]*conn
	closed bool
}

// New returns a Client, with defaults for the options that are 0.
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
	if options.MaxBufferedBytes == 0 {
		options.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	return &Client{
		options: options,
		idle:    map[Server][]*conn{},
		dialer:  Dialer(options.DialTimeout, options.UserTimeout),
	}
}

// Dialer returns a dialer whose connections fail within a few seconds once the network
// path or the other side is dead. It sets TCP keep-alive probes for idle connections and
// userTimeout as the limit for unacknowledged data.
func Dialer(timeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	server Server
	reader *bufio.Reader
	// bounded is what reader reads from.
	bounded *boundedReader
	// expires is the time from which an idle connection must not be reused.
	expires time.Time
	// failed holds the IDs of the last requests that got no success on the connection.
	failed []string
}

// maxFailedIDs is how many IDs a connection remembers. It isn't used for any request after more failures.
const maxFailedIDs = 64

// rememberFailed records that a request got no success. Another attempt of it, with the same ID, mustn't be sent on the
// connection: a faulty server may write the earlier answer once more, and the ID wouldn't tell them apart.
func (c *conn) rememberFailed(id string) {
	if id != "" {
		c.failed = append(c.failed, id)
	}
}

// mayCarry reports whether no earlier answer on the connection can be taken for that to a request with the ID.
func (c *conn) mayCarry(id string) bool {
	return len(c.failed) <= maxFailedIDs && !slices.Contains(c.failed, id)
}

// Do sends a request and waits for the head of its answer. If ctx ends, also while the
// body of the answer is being read, the connection is closed. Errors are *Error. If no byte
// could be sent on a reused connection, Do takes another idle connection or opens a new one.
// This isn't a second sending of the request, since no byte of it was sent before.
func (c *Client) Do(ctx context.Context, server Server, request *Request) (*Response, error) {
	for {
		connection, reused, err := c.getConn(ctx, server, request)
		if err != nil {
			return nil, &Error{Err: err}
		}
		if err := request.maySend(); err != nil {
			c.putBack(connection)
			return nil, &Error{Err: &HeldBackError{Err: err}}
		}
		response, err := c.exchange(ctx, connection, request)
		if sendErr, ok := err.(*Error); ok && reused && !sendErr.Sent && ctx.Err() == nil {
			continue
		}
		return response, err
	}
}

// getConn returns a reusable idle connection, or opens a new one.
func (c *Client) getConn(ctx context.Context, server Server, request *Request) (connection *conn, reused bool, err error) {
	for request.Connections != OnlyNew {
		kept := c.takeIdle(server)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.expires) && kept.mayCarry(request.ID) && kept.reusable() {
			return kept, true, nil
		}
		_ = kept.Close()
	}
	if request.Connections == OnlyIdle {
		return nil, false, ErrNoIdle
	}
	intake.Leave(ctx)
	raw, err := c.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, false, &DialError{Err: err}
	}
	bounded := &boundedReader{source: raw, left: noBound}
	return &conn{
		Conn: raw, server: server, bounded: bounded, reader: bufio.NewReaderSize(bounded, readerBytes),
		expires: time.Now().Add(c.options.IdleTimeout),
	}, false, nil
}

func (r *Request) maySend() error {
	if r.MaySend == nil {
		return nil
	}
	return r.MaySend()
}

// putBack keeps a connection on which nothing was sent.
func (c *Client) putBack(connection *conn) { c.putIdle(connection, time.Until(connection.expires)) }

// noBound is a bound that is never reached.
const noBound = math.MaxInt64

var errHeadTooLong = errors.New("the head of the answer is longer than 64 KiB")

// boundedReader reads from a connection until a number of bytes is reached.
type boundedReader struct {
	source io.Reader
	left   int64
	// copied gets what is read; nil if that isn't needed.
	copied *bytes.Buffer
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.copied != nil {
		r.copied.Write(p[:n])
	}
	return n, err
}

// takeIdle removes and returns the idle connection that was used last, or nil.
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

// reusable reports whether the connection is open and no byte has arrived on it since the
// last answer. Unexpected bytes would be read as the answer to the next request.
func (c *conn) reusable() bool {
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
	nothingArrived := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingArrived = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && nothingArrived
}

// putIdle keeps a connection for reuse during the time given, or closes it if the server
// has IdlePerServer idle connections or the client is closed.
func (c *Client) putIdle(connection *conn, keep time.Duration) {
	connection.expires = time.Now().Add(keep)
	c.mu.Lock()
	list := c.idle[connection.server]
	closeNow := c.closed || len(list) >= c.options.IdlePerServer
	if !closeNow {
		c.idle[connection.server] = append(list, connection)
	}
	c.mu.Unlock()
	if closeNow {
		_ = connection.Close()
	}
}

// Close closes all idle connections. Connections in use are closed after their answer.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.DropIdle()
}

// DropIdle closes all idle connections.
func (c *Client) DropIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[Server][]*conn{}
	c.mu.Unlock()
	for _, list := range idle {
		for _, connection := range list {
			_ = connection.Close()
		}
	}
}

// keepAliveDuration returns how long the connection may stay idle after an answer with the
// given header. A duration of 0 or less means that it must not be kept: the server's timeout
// is not longer than keepAliveMargin.
func (c *Client) keepAliveDuration(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if timeout, err := time.ParseDuration(value + "s"); err == nil {
			return min(timeout-keepAliveMargin, c.options.IdleTimeout)
		}
	}
	return c.options.IdleTimeout
}
