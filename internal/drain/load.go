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

// yield ends the connection if no request is being read on it, and else what is being read. The server closes the connection then.
func (c *conn) yield() {
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
