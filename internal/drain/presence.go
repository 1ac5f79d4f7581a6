package drain

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"limpethub/internal/intake"
)

// presenceInterval is the interval of the checks whether a client is still there whose next request was read ahead.
const presenceInterval = 100 * time.Millisecond

type clientKey struct{}

// withClient is the ConnContext hook of the server.
func withClient(ctx context.Context, raw net.Conn) context.Context {
	connection, ok := trackedConn(raw)
	if !ok {
		return ctx
	}
	return intake.WithTurn(context.WithValue(ctx, clientKey{}, &Client{conn: connection}), connection.turn)
}

// Client is the client at the other end of a tracked connection.
type Client struct{ conn *conn }

// ClientOf returns the client that a request came from, by the context of the request; nil if its connection isn't tracked.
func ClientOf(ctx context.Context) *Client {
	client, _ := ctx.Value(clientKey{}).(*Client)
	return client
}

// HasLeft reports whether the client has closed, half-closed or reset its connection, also behind bytes that weren't read yet. A
// server's own notice of it may come later, or not before the answer if another request is behind the present one.
func (c *Client) HasLeft() bool { return c != nil && c.conn.hungUp() }

// TakeTurn waits until the present request may use the processor, if it has no turn: it has none once more of it than its first
// bytes was read from the connection.
func (c *Client) TakeTurn() {
	if c != nil {
		c.conn.turn.Take()
	}
}

// Waited returns how long the present request has waited for its turn.
func (c *Client) Waited() time.Duration {
	if c == nil {
		return 0
	}
	return c.conn.turn.Waited()
}

// CancelWhenLeft calls cancel once the client has left with another request behind the present one, which the server doesn't
// notice by itself. stop must be called at the end of the present request.
func (c *Client) CancelWhenLeft(cancel context.CancelFunc) (stop func()) {
	if c == nil {
		return func() {}
	}
	c.conn.conns.mu.Lock()
	defer c.conn.conns.mu.Unlock()
	w := &presenceWatch{conn: c.conn, cancel: cancel}
	c.conn.watch = w
	if c.conn.readAhead {
		w.start()
	}
	return w.stop
}

// presenceWatch checks whether a client has left. The mutex of the Conns guards timer and ended.
type presenceWatch struct {
	conn   *conn
	cancel context.CancelFunc
	timer  *time.Timer
	ended  bool
}

// start begins the checks. The lock is held.
func (w *presenceWatch) start() {
	if w.timer == nil && !w.ended {
		w.timer = time.AfterFunc(presenceInterval, w.check)
	}
}

func (w *presenceWatch) check() {
	if w.conn.hungUp() {
		w.cancel()
		return
	}
	w.conn.conns.mu.Lock()
	defer w.conn.conns.mu.Unlock()
	if !w.ended {
		w.timer.Reset(presenceInterval)
	}
}

func (w *presenceWatch) stop() {
	w.conn.conns.mu.Lock()
	defer w.conn.conns.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.conn.watch == w {
		w.conn.watch = nil
	}
}

// hungUp reports whether the other side has ended its half of the connection or reset it. A connection of which this can't be
// asked counts as open.
func (c *conn) hungUp() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, pollErr := unix.Poll(polled, 0); pollErr == nil {
			events = polled[0].Revents
		}
	})
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
