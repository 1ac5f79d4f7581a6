package drain

import (
	"net"
	"net/http"
	"os"
	"time"

	"limpethub/internal/callerload"
)

// SetBudget sets the budget that the connections draw on; nil means no limit. It is called before Attach.
func (c *Conns) SetBudget(budget *callerload.Budget) { c.budget = budget }

// account keeps the account of a connection in step with its state.
func (c *conn) account(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.load = c.conns.budget.Open(c.yield)
	case http.StateIdle:
		c.load.EndRequest()
	case http.StateClosed, http.StateHijacked:
		c.load.Close()
	}
}

// Account returns the account of the client's connection; nil if there is no budget.
func (c *Client) Account() *callerload.Account {
	if c == nil {
		return nil
	}
	return c.conn.load
}

// CloseUnread closes the connection once the client has acknowledged what was written to it, and returns what it holds. It is called
// after the answer to a request that isn't read on: the server itself would wait a while for the client's other bytes.
func (c *Client) CloseUnread() {
	if c == nil {
		return
	}
	// This fails only on a connection that is closed.
	_ = c.conn.closeOnceReceived()
	c.conn.load.Close()
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// yield ends what the account says. The server closes the connection then.
func (c *conn) yield(ends callerload.Yield) {
	if ends == callerload.YieldAnswer {
		c.yieldAnswer()
		return
	}
	c.yieldReading()
}

// yieldReading ends the connection if no request is being read on it, and else what is being read.
func (c *conn) yieldReading() {
	c.conns.mu.Lock()
	c.yields = true
	idle := !c.busy
	c.closed = c.closed || idle
	c.conns.mu.Unlock()
	if idle {
		c.end()
		return
	}
	// This fails only on a connection that is closed.
	_ = c.Conn.SetReadDeadline(longAgo)
}

// yieldAnswer ends the answer that is being written. The connection is reset, as what is still to be sent takes memory too.
func (c *conn) yieldAnswer() {
	c.conns.mu.Lock()
	c.yields, c.yieldsAnswer = true, true
	c.conns.mu.Unlock()
	// Both fail only on a connection that is closed, or that is none of TCP.
	_ = c.SetLinger(0)
	_ = c.Conn.SetWriteDeadline(longAgo)
}

// SetWriteDeadline implements net.Conn. No deadline lets an answer that yields go on.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.yieldsAnswer {
		t = longAgo
	}
	return c.Conn.SetWriteDeadline(t)
}

// writeBytes is how much is written at once, so that the account knows how fast a client reads.
const writeBytes = 64 << 10

// Write implements net.Conn.
func (c *conn) Write(b []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		written += n
		c.load.Sent(n)
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. No deadline lets a connection that yields read on.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.yields {
		t = longAgo
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// received charges what was read. The server takes the error for that of a read that has taken too long, and closes the connection
// without an answer.
func (c *conn) received(n int, begins bool) error {
	if err := c.load.Received(n, begins); err != nil {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	return nil
}
