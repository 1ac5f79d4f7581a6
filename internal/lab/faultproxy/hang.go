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
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: hang: %w", err)
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: hang: %w", err)
	}
	h := &hang{socket: socket}
	bound := &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}
	for _, step := range []func() error{
		func() error { return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) },
		func() error { return unix.Bind(socket, bound) },
		func() error { return unix.Listen(socket, 0) },
	} {
		if err := step(); err != nil {
			h.end()
			return nil, fmt.Errorf("faultproxy: hang: %w", err)
		}
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
