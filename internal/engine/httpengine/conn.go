package httpengine

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes on a connection that was sealed before the
// request's first byte was handed to it.
var errSealed = errors.New("httpengine: connection sealed")

// trackedConn counts writes, so that the adapter can prove that no byte of a
// request was handed to the connection.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the attempt before it hands anything on: a write in progress
// counts as handed over.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// count returns the number of writes begun so far.
func (c *trackedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten bars all later writes if none has begun since the count was
// before. It reports whether it did, which proves that nothing was handed over
// and nothing ever will be.
func (c *trackedConn) sealIfUnwritten(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
		return false
	}
	c.sealed = true
	return true
}

// tracked finds the counting connection below TLS.
func tracked(conn net.Conn) *trackedConn {
	if below, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = below.NetConn()
	}
	t, _ := conn.(*trackedConn)
	return t
}
