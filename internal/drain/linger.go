package drain

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime limits how long a connection waits, after its last answer, for the client to get all of it.
	lingerTime = 5 * time.Second
	// minLingerPoll and maxLingerPoll bound the interval of the checks whether the client has all of it. It doubles with each.
	minLingerPoll = 5 * time.Millisecond
	maxLingerPoll = 80 * time.Millisecond
)

// Close implements net.Conn. If a part of the answer is still on its way, it ends the direction to the client and
// closes the connection once the client has acknowledged everything, as RFC 9112 asks in section 9.6: a connection that is closed with
// unread bytes, such as those of a further request, is reset, and what is still to be sent is lost. A second call closes at once. If
// the drain closes the connection already, the first call leaves that to it.
func (c *conn) Close() error {
	if c.leavesCloseToDrain() {
		return nil
	}
	return c.closeOnceReceived()
}

// leavesCloseToDrain reports whether the server calls Close for the first time after the drain has begun to close the connection, of
// which it learns by the end of its read.
func (c *conn) leavesCloseToDrain() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	leaves := c.closed && !c.serverCloses
	c.serverCloses = true
	return leaves
}

// end closes the connection for the drain, as Close does. It ends the server's read first, which would otherwise take the bytes of a
// further request from the connection.
func (c *conn) end() {
	c.endOnce.Do(func() {
		// Both calls fail only on a connection that is closed.
		_ = c.SetReadDeadline(time.Now())
		_ = c.closeOnceReceived()
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.busy = false
	})
}

// closeOnceReceived closes the connection once its client has acknowledged everything.
func (c *conn) closeOnceReceived() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || unacknowledged(tcp) == 0 || !c.beginLinger() {
		return c.Conn.Close()
	}
	if err := tcp.CloseWrite(); err != nil {
		c.endLinger()
		return c.Conn.Close()
	}
	go func() {
		defer c.endLinger()
		poll := minLingerPoll
		for end := time.Now().Add(lingerTime); time.Now().Before(end) && unacknowledged(tcp) > 0 && !isBroken(tcp); {
			time.Sleep(poll)
			poll = min(2*poll, maxLingerPoll)
		}
		_ = c.Conn.Close()
	}()
	return nil
}

// beginLinger records that the connection waits for its client. It reports false if the connection is to be closed at once.
func (c *conn) beginLinger() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.closesAtOnce {
		return false
	}
	c.closesAtOnce = true
	c.conns.lingering++
	return true
}

func (c *conn) endLinger() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.lingering--
}

// isBroken reports whether the connection was reset, so that nothing more of it is acknowledged.
func isBroken(tcp *net.TCPConn) (broken bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		// POLLERR is reported without being asked for. POLLHUP alone also follows a close by both sides.
		polled := []unix.PollFd{{Fd: int32(fd)}}
		_, pollErr := unix.Poll(polled, 0)
		broken = pollErr == nil && polled[0].Revents&unix.POLLERR != 0
	})
	return broken || err != nil
}

// unacknowledged returns how many bytes were written and not acknowledged by the other side; 0 if that isn't known.
func unacknowledged(tcp *net.TCPConn) (n int) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil || err != nil {
		return 0
	}
	return n
}
