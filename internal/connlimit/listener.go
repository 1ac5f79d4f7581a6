package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// acceptPoll is the interval of the checks whether a new connection has room while no other one is closed.
const acceptPoll = 5 * time.Millisecond

// Options configures the limit of one listener.
type Options struct {
	// Name names the listener in metrics and logs.
	Name string
	// MaxConnections is how many connections may be open; 0 means no limit.
	MaxConnections int
	// Observer is told of connections; nil means that nobody is.
	Observer Observer
}

// Observer is told what becomes of the connections of a listener. It is called concurrently.
type Observer interface {
	// Opened and Closed count the open connections.
	Opened(listener string)
	Closed(listener string)
	// Yielded counts connections that are closed for new ones, and Refused new ones that are closed at once.
	Yielded(listener string, n int)
	Refused(listener string)
}

// Attach limits the connections of a server and returns the listener on which the server must serve. It replaces the server's
// Handler and wraps its ConnContext, so that both must be set before.
func Attach(server *http.Server, l net.Listener, options Options) net.Listener {
	if options.MaxConnections <= 0 {
		return l
	}
	if options.Observer == nil {
		options.Observer = noObserver{}
	}
	limited := Wrap(l, options)
	server.Handler = Handler(server.Handler)
	server.ConnContext = withConn(server.ConnContext)
	return limited
}

// Wrap returns a listener that keeps to the limit. Handler and Context must be used with it.
func Wrap(l net.Listener, options Options) net.Listener {
	return &listener{Listener: l, options: options, bound: newBound(options.MaxConnections), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	options   Options
	bound     *bound
	closeOnce sync.Once
	closed    chan struct{}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener. A new connection for which there is no room is closed if all others have requests in progress,
// and otherwise waits until one that has none has been closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		c.entry = &entry{waitingSince: time.Now(), interrupt: c.interrupt}
		l.bound.add(c.entry)
		l.options.Observer.Opened(l.options.Name)
		if l.waitForRoom(c) {
			return c, nil
		}
		l.options.Observer.Refused(l.options.Name)
		// The connection is closed whatever the error.
		_ = c.Close()
	}
}

// waitForRoom makes room for a connection, and reports whether it may stay.
func (l *listener) waitForRoom(c *Conn) bool {
	for {
		yielded, r := l.bound.makeRoom(time.Now(), c.entry)
		if yielded > 0 {
			l.options.Observer.Yielded(l.options.Name, yielded)
		}
		if r != waitsForRoom {
			return r == hasRoom
		}
		select {
		case <-l.closed:
			return true
		case <-l.bound.removed:
		case <-time.After(acceptPoll):
		}
	}
}

// Conn is a connection of a listener with a limit.
type Conn struct {
	net.Conn
	listener  *listener
	entry     *entry
	closeOnce sync.Once

	// mu guards what follows. reading is true while a read waits for the bytes of a request, and interrupted once it was ended.
	mu                   sync.Mutex
	reading, interrupted bool
	// handlers is the number of requests whose handler runs. answers is true from the start of a handler until the next request
	// begins, while something may be written.
	handlers int
	answers  bool
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetLinger is net.TCPConn.SetLinger.
func (c *Conn) SetLinger(seconds int) error {
	below, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return below.SetLinger(seconds)
}

// yieldedError says that a connection is closed for another one. It counts as a timeout, so that an HTTP server closes the
// connection without an answer if it waits for a head.
type yieldedError struct{}

// ErrYielded is the error of reads of a connection that is closed for another one.
var ErrYielded net.Error = yieldedError{}

func (yieldedError) Error() string   { return "connlimit: the connection is closed for a new one" }
func (yieldedError) Timeout() bool   { return true }
func (yieldedError) Temporary() bool { return false }

// Read implements net.Conn. An HTTP server reads a single byte only to notice that the client of a whole request has gone: such a
// read goes on while the connection yields.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) <= 1 {
		return c.Conn.Read(b)
	}
	if !c.beginRead() {
		return 0, ErrYielded
	}
	n, err := c.Conn.Read(b)
	interrupted := c.endRead()
	if n > 0 {
		c.listener.bound.begins(time.Now(), c.entry)
		c.requestGoesOn()
		return n, nil
	}
	if interrupted {
		return 0, ErrYielded
	}
	return n, err
}

// beginRead reports whether the connection may read. It doesn't once it yields.
func (c *Conn) beginRead() bool {
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	if !c.listener.bound.yields(c.entry) {
		return true
	}
	c.endRead()
	return false
}

// endRead reports whether the read was interrupted, and takes the deadline back that did so.
func (c *Conn) endRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := c.interrupted
	if interrupted {
		// It fails only on a connection that is closed.
		_ = c.SetReadDeadline(time.Time{})
	}
	c.reading, c.interrupted = false, false
	return interrupted
}

// interrupt ends the read that waits for the bytes of a request. Without one, the next one fails.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.interrupted = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// requestGoesOn records that bytes of a request came. They begin a new one unless a handler runs.
func (c *Conn) requestGoesOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = c.answers && c.handlers > 0
}

func (c *Conn) handlerBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers++
	c.answers = true
}

func (c *Conn) handlerEnds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers--
}

// Write implements net.Conn. An HTTP server answers half a head with a failure that tells its client not to come again. Nothing is
// written in place of it if the connection yields.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	answers := c.answers
	c.mu.Unlock()
	if !answers && c.listener.bound.yields(c.entry) {
		return 0, ErrYielded
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.bound.remove(c.entry)
		c.listener.options.Observer.Closed(c.listener.options.Name)
	})
	return c.Conn.Close()
}

type connKey struct{}

// withConn returns a ConnContext hook that adds the connection to the context, after the one given, which may be nil.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, raw net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, raw)
		}
		return Context(ctx, raw)
	}
}

// Context adds a connection, or the one below it, to the context of its requests.
func Context(ctx context.Context, raw net.Conn) context.Context {
	for raw != nil {
		if c, ok := raw.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		below, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		raw = below.NetConn()
	}
	return ctx
}

// Handler records which requests were read whole. Requests without a connection with a limit are passed on as they are.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.handlerBegins()
		defer c.handlerEnds()
		whole := &wholeRequest{conn: c}
		defer whole.end()
		if r.Body == nil || r.Body == http.NoBody {
			whole.begin()
		} else {
			// The server looks at the type of the body that it made, so that its own request stays as it is.
			read := *r
			read.Body = &body{ReadCloser: r.Body, whole: whole}
			r = &read
		}
		next.ServeHTTP(w, r)
	})
}

// wholeRequest records once that a request was read whole, and its end.
type wholeRequest struct {
	conn  *Conn
	begun atomic.Bool
}

func (w *wholeRequest) begin() {
	if w.begun.CompareAndSwap(false, true) {
		w.conn.listener.bound.requestWhole(w.conn.entry)
	}
}

func (w *wholeRequest) end() {
	if w.begun.Load() {
		w.conn.listener.bound.requestEnded(time.Now(), w.conn.entry)
	}
}
