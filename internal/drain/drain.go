// Package drain closes the connections of an HTTP server without losing a request of which
// any byte was read. http.Server.Shutdown can lose one: it closes idle connections, and the
// server counts a connection as idle until some time after it has read the head of the next
// request. The drain of a whole instance is a different thing; see package daemon.
package drain

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"limpethub/internal/callerload"
	"limpethub/internal/intake"
)

// Conns tracks the connections of one server. It is safe for concurrent use.
type Conns struct {
	mu     sync.Mutex
	open   map[*conn]struct{}
	ending bool
	// lingering is the number of connections that are closed once their clients have the whole answer.
	lingering int
	// gate limits how many new connections and requests use the processor at once.
	gate *intake.Gate
	// budget bounds what the connections hold; nil means no bound.
	budget *callerload.Budget
}

// Attach makes c track the connections of a server and returns the listener on which the
// server must serve. It is called once, before the server starts.
func (c *Conns) Attach(server *http.Server, listener net.Listener) net.Listener {
	c.open, c.gate = map[*conn]struct{}{}, intake.New()
	server.ConnState = c.onStateChange
	server.ConnContext = withClient
	return &trackedListener{Listener: listener, conns: c, turn: c.gate.NewTurn()}
}

// End closes all connections on which no request is being read or answered, and closes
// each other connection after its answer. An answer whose client still reads it reaches the
// client, as with Close. Until the listener is closed, new connections are accepted and closed
// after one answer.
func (c *Conns) End() {
	c.mu.Lock()
	c.ending = true
	var idle []*conn
	for connection := range c.open {
		if !connection.busy {
			connection.closed = true
			idle = append(idle, connection)
		}
	}
	c.mu.Unlock()
	for _, connection := range idle {
		connection.end()
	}
}

// Ending reports whether End was called. Handlers should then set the header
// "Connection: close" on their answers.
func (c *Conns) Ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// BusyCount returns the number of connections on which a request is being read or answered, or the end of an answer is
// on its way.
func (c *Conns) BusyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.lingering
	for connection := range c.open {
		if connection.busy {
			n++
		}
	}
	return n
}

// onStateChange is the ConnState hook of the server. After an answer the server reports the
// connection as idle, also if it has read the next request already. It then begins with that
// one, and without one it reads on.
func (c *Conns) onStateChange(raw net.Conn, state http.ConnState) {
	connection, ok := trackedConn(raw)
	if !ok {
		return
	}
	if state == http.StateIdle || state == http.StateClosed || state == http.StateHijacked {
		connection.turn.End()
	}
	connection.account(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		connection.answered = true
	case http.StateActive:
		connection.answered, connection.readAhead = false, false
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
	}
}

// trackedConn returns the tracked connection that a connection is or wraps.
func trackedConn(raw net.Conn) (*conn, bool) {
	for {
		if connection, ok := raw.(*conn); ok {
			return connection, true
		}
		wrapping, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		raw = wrapping.NetConn()
	}
}

type trackedListener struct {
	net.Listener
	conns     *Conns
	closeOnce sync.Once
	closeErr  error
	turn      *intake.Turn
	// accepted is the number of connections that were accepted.
	accepted uint64
}

// acceptsPerTurn is how many connections are accepted for each turn of the listener.
const acceptsPerTurn = 8

// Close implements net.Listener. A second call returns the result of the first, because
// the server closes its listener again after its owner has closed it.
func (l *trackedListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept implements net.Listener. The server calls it from one goroutine.
func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &conn{Conn: raw, conns: l.conns, turn: l.conns.gate.NewTurn()}
	l.conns.mu.Lock()
	l.conns.open[connection] = struct{}{}
	l.conns.mu.Unlock()
	l.accepted++
	if l.accepted%acceptsPerTurn == 0 {
		l.turn.Pass()
	}
	return connection, nil
}

// conn is a tracked connection. The mutex of its Conns guards all fields but Conn, conns, turn, load and endOnce.
type conn struct {
	net.Conn
	conns *Conns
	turn  *intake.Turn
	// load is the account of what the connection holds; nil if there is no bound.
	load *callerload.Account
	// yields is true once the connection has to yield: nothing more is read from it. With yieldsAnswer, nothing more is written
	// either.
	yields, yieldsAnswer bool
	// busy is true from the first byte of a request until the server reads on after its answer.
	// Once closed is true, the drain closes the connection, and no more bytes are passed to the server.
	busy, closed bool
	// endOnce makes the drain close the connection once, and serverCloses is true once the server has called Close because of it.
	endOnce      sync.Once
	serverCloses bool
	// closesAtOnce is true if Close doesn't wait for the client: a call of it waits already, or the connection is to be reset.
	closesAtOnce bool
	// answered is true from the end of an answer until the next request is known to have begun.
	answered bool
	// readAhead is true if the server has read the first byte of the next request during the
	// present one, as it does to notice that the client has gone.
	readAhead bool
	// watch checks whether the client of the present request has left; nil if nobody asked for that.
	watch *presenceWatch
}

// SetLinger is net.TCPConn.SetLinger. Close then closes the connection at once.
func (c *conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	if err := tcp.SetLinger(seconds); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.closesAtOnce = true
	return nil
}

// Read implements net.Conn. It is atomic with respect to End: either the server gets the
// bytes and the connection counts as busy, or End has closed the connection and the server
// gets no bytes. A connection has no turn while it waits for bytes, and waits for its turn with the first ones of a request.
func (c *conn) Read(b []byte) (int, error) {
	if c.endsBeforeRead() {
		c.end()
		return 0, io.EOF
	}
	if len(b) > 1 {
		c.turn.Leave()
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	begins, closed := c.recordRead(b)
	if closed {
		return 0, io.EOF
	}
	if loadErr := c.received(n, begins); loadErr != nil {
		return 0, loadErr
	}
	if begins {
		c.turn.Take()
	}
	return n, err
}

// recordRead records that bytes were read into b. It reports whether they are the first ones of a request, and whether the connection
// is closed. The server reads a single byte only to notice that the client has gone.
func (c *conn) recordRead(b []byte) (begins, closed bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.closed {
		return false, true
	}
	begins = len(b) > 1 && (!c.busy || c.answered)
	if c.busy && !c.answered && len(b) == 1 {
		c.readAhead = true
		if c.watch != nil {
			c.watch.start()
		}
	}
	c.busy, c.answered = true, false
	return begins, false
}

// endsBeforeRead records that the server reads on. After an answer it does so only if it has
// nothing of another request, and the connection is then idle: it is closed if End was
// called. It reports whether the connection is closed.
func (c *conn) endsBeforeRead() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.answered && !c.readAhead {
		c.closed = c.closed || c.conns.ending
		// While the drain closes the connection, it counts as busy until end has begun to wait for the client.
		c.busy = c.closed && c.busy
	}
	return c.closed
}
