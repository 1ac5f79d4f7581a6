package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/net/netutil"

	"limpethub/internal/keys"
	"limpethub/internal/settings"
)

// listener is one bounded HTTP listener.
type listener struct {
	net    net.Listener
	server *http.Server
}

// listen opens a listener. The handler is set later, by serve.
func listen(s settings.Listener, clients keys.ClientCertificates, onError func(error)) (*listener, error) {
	opened, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen on %s: %w", s.Address, err)
	}
	bounded := netutil.LimitListener(opened, s.Bounds.MaxConnections)
	if !s.Plaintext {
		source, err := openKeys(s.TLS, onError)
		if err != nil {
			return nil, errors.Join(err, opened.Close())
		}
		bounded = tls.NewListener(bounded, source.Server(clients, "h2", "http/1.1"))
	}
	return &listener{
		net: bounded,
		server: &http.Server{
			ReadHeaderTimeout: s.Bounds.ReadTimeout(),
			IdleTimeout:       s.Bounds.IdleTimeout(),
			MaxHeaderBytes:    s.Bounds.MaxHeaderBytes,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: s.Bounds.MaxStreams},
		},
	}, nil
}

func openKeys(files settings.Files, onError func(error)) (*keys.Source, error) {
	return keys.Open(keys.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}, onError)
}

// serve answers connections until shutdown or close.
func (l *listener) serve(handler http.Handler, bounds settings.Bounds) {
	l.server.Handler = boundHeaders(handler, bounds.MaxHeaders)
	go func() { _ = l.server.Serve(l.net) }()
}

// boundHeaders refuses requests with too many headers.
func boundHeaders(next http.Handler, most int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if countHeaders(r.Header) > most {
			http.Error(w, "too many headers", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// countHeaders counts lines, so that many values of one name count as many.
func countHeaders(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

func (l *listener) address() string { return l.net.Addr().String() }

// advertised is the address that others are told.
func (l *listener) advertised(s settings.Listener) string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return l.address()
}

// shutdown takes no new connections and waits for requests in progress.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("daemon: shut down %s: %w", l.address(), err)
	}
	return nil
}

// close ends all connections at once.
func (l *listener) close() error {
	return errors.Join(l.server.Close(), ignoreClosed(l.net.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
