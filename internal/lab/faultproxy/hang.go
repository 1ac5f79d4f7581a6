package faultproxy

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// hang is a listening socket that accepts nothing and whose queue is full, so that the kernel doesn't
// answer further attempts to connect.
type hang struct {
	socket int
	// queued are the connections that fill the queue.
	queued []net.Conn
}

const (
	// queueFillers is how many connections fill a queue of length 0, with some to spare.
	queueFillers = 3
	// fillTimeout limits how long one of them may take; those that find the queue full get no answer.
	fillTimeout = 20 * time.Millisecond
)

func newHang(address string) (*hang, error) {
	socket, err := boundSocket(address)
	if err != nil {
		return nil, err
	}
	h := &hang{socket: socket}
	if err := unix.Listen(socket, 0); err != nil {
		h.end()
		return nil, fmt.Errorf("faultproxy: hang: %w", err)
	}
	for range queueFillers {
		if conn, err := net.DialTimeout("tcp4", address, fillTimeout); err == nil {
			h.queued = append(h.queued, conn)
		}
	}
	return h, nil
}

// end frees the address. It does nothing for nil.
func (h *hang) end() {
	if h == nil {
		return
	}
	_ = unix.Close(h.socket)
	for _, conn := range h.queued {
		_ = conn.Close()
	}
}
