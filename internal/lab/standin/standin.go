// Package standin serves the lab's stand-ins for outside systems on loopback.
package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout bounds how long a client may take for a request's head.
const readHeaderTimeout = 10 * time.Second

// Host serves one stand-in on one address. It can be killed and started again
// there, as a process can.
type Host struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// Listen serves handler on a free loopback port.
func Listen(handler http.Handler) (*Host, error) { return ListenAt("127.0.0.1:0", handler) }

// ListenAt serves handler on the given address.
func ListenAt(address string, handler http.Handler) (*Host, error) {
	h := &Host{handler: handler, address: address}
	if err := h.Start(); err != nil {
		return nil, err
	}
	return h, nil
}

// Address is the host:port served.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Start serves again after Kill. It does nothing while the host is serving.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return fmt.Errorf("standin: listen: %w", err)
	}
	h.address = listener.Addr().String()
	h.server = &http.Server{Handler: h.handler, ReadHeaderTimeout: readHeaderTimeout}
	go func(s *http.Server) { _ = s.Serve(listener) }(h.server)
	return nil
}

// Kill closes the listener and all connections at once.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}
