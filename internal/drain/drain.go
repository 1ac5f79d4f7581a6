// Package drain ends the connections of an HTTP server without losing a request that was
// read. The server's own way closes what counts as idle, and a connection counts as that
// until some time after the head of its next request was read.
package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// Conns are the connections of one server. It is safe for concurrent use.
type Conns struct {
	mu     sync.Mutex
	open   map[*conn]struct{}
	ending bool
}

// Attach makes a server and its listener keep track of connections. It is called once,
// before the server serves the listener that it returns.
func (c *Conns) Attach(server *http.Server, listener net.Listener) net.Listener {
	c.open = map[*conn]struct{}{}
	server.ConnState = c.changed
	return &tracked{Listener: listener, conns: c}
}

// End closes all connections on which no request is being read or answered, and from now
// on each other one after its answer. New ones may still come until their listener is
// closed; they get one answer.
func (c *Conns) End() {
	c.mu.Lock()
	c.ending = true
	var idle []*conn
	for connection := range c.open {
		if !connection.busy {
			connection.gone = true
			idle = append(idle, connection)
		}
	}
	c.mu.Unlock()
	for _, connection := range idle {
		_ = connection.Conn.Close()
	}
}

// Ending reports whether End was called: answers should say that they are the last.
func (c *Conns) Ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// Busy is the number of connections on which a request is being read or answered.
func (c *Conns) Busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for connection := range c.open {
		if connection.busy {
			n++
		}
	}
	return n
}

// changed follows the server's view: after an answer a connection is idle.
func (c *Conns) changed(raw net.Conn, state http.ConnState) {
	connection, ok := raw.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	closeNow := false
	switch state {
	case http.StateIdle:
		connection.busy = false
		connection.gone = c.ending
		closeNow = c.ending
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
	}
	c.mu.Unlock()
	if closeNow {
		_ = connection.Conn.Close()
	}
}

// tracked is a listener whose connections are followed.
type tracked struct {
	net.Listener
	conns *Conns
	once  sync.Once
	err   error
}

// Close implements net.Listener. The server closes its listener too, so that a second
// close is no failure.
func (l *tracked) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Accept implements net.Listener.
func (l *tracked) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &conn{Conn: raw, conns: l.conns}
	l.conns.mu.Lock()
	l.conns.open[connection] = struct{}{}
	l.conns.mu.Unlock()
	return connection, nil
}

// conn is a connection of the server. The lock of its Conns guards busy and gone.
type conn struct {
	net.Conn
	conns *Conns
	// busy is true from the first byte of a request to the end of its answer. Once gone
	// is true no byte is read any more.
	busy, gone bool
}

// Read implements net.Conn. Either the server gets the bytes and the connection is busy,
// or the connection was closed before and the server gets none.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.gone {
		return 0, io.EOF
	}
	c.busy = true
	return n, err
}
