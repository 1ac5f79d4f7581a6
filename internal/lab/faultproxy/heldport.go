package faultproxy

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// heldPort is a socket that is bound and doesn't listen. Dials of its address are refused, and no other socket, such as
// that of an outgoing connection or another proxy, can take the port meanwhile.
type heldPort struct{ socket int }

// holdPort binds a socket to an address on which nothing listens.
func holdPort(address string) (*heldPort, error) {
	socket, err := boundSocket(address)
	if err != nil {
		return nil, err
	}
	return &heldPort{socket: socket}, nil
}

// end frees the address. It does nothing for nil.
func (h *heldPort) end() {
	if h != nil {
		_ = unix.Close(h.socket)
	}
}

// boundSocket returns a socket that is bound to an address. Another one can be bound there too, with the same option,
// while neither listens.
func boundSocket(address string) (socket int, err error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0, fmt.Errorf("faultproxy: bind: %w", err)
	}
	socket, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, fmt.Errorf("faultproxy: bind: %w", err)
	}
	bound := &unix.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(socket, bound)
	}
	if err != nil {
		_ = unix.Close(socket)
		return 0, fmt.Errorf("faultproxy: bind: %w", err)
	}
	return socket, nil
}
