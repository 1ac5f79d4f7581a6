package httpengine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"limpethub/internal/httpanswer"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("httpengine: connection sealed")

// trackedConn counts writes, so that the adapter can prove that no byte of a request was
// handed to the connection. A sealed connection refuses all writes.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool

	// writing is held during a write. It guards writeErr, the error of the last write.
	writing  sync.Mutex
	writeErr error
}

// Write counts the write before it passes the bytes on, so that a write in progress counts
// as handed over.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeErr = err
	return n, err
}

// stopWriting ends a write that is under way, and returns the error of the last one. The connection can't be used any more.
func (c *trackedConn) stopWriting() error {
	// An error means that the connection is closed, which ends the write too.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// writeCount returns the number of writes that have started.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten seals the connection if no write has started since its write count was
// writesBefore, and reports whether it did. If it returns true, nothing was handed over
// since then and nothing can be handed over later.
func (c *trackedConn) sealIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// findTrackedConn returns the trackedConn that conn is or that lies below its TLS layer,
// or nil.
func findTrackedConn(conn net.Conn) *trackedConn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	t, _ := conn.(*trackedConn)
	return t
}

// unframedBody is the body of an answer that ends with its connection. It ends only if the server has closed the connection; see
// httpanswer.IsBroken.
type unframedBody struct {
	io.ReadCloser
	conn *trackedConn
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.conn.stopWriting(); httpanswer.IsBroken(writeErr) {
		return n, fmt.Errorf("httpengine: the connection broke before the end of the answer: %w", writeErr)
	}
	return n, io.EOF
}
