package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"

	"limpethub/internal/connlimit"
	"limpethub/internal/keys"
	"limpethub/internal/settings"
)

// listener is an HTTP listener with limits on connections, streams, headers and times, as the
// settings' Bounds give them.
type listener struct {
	netListener net.Listener
	server      *http.Server
}

// listenOptions is what a listener is made of.
type listenOptions struct {
	settings settings.Listener
	clients  keys.ClientCertificates
	// onError is called when changed key files can't be read.
	onError func(error)
	// limit is the limit of its connections, besides that of the settings.
	limit connlimit.Options
}

// listen opens a listener. Its handler is set later, by serve.
func listen(o listenOptions) (*listener, error) {
	s := o.settings
	opened, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen on %s: %w", s.Address, err)
	}
	if o.limit.MaxConnections == 0 || s.Bounds.MaxConnections < o.limit.MaxConnections {
		o.limit.MaxConnections = s.Bounds.MaxConnections
	}
	wrapped := connlimit.Wrap(opened, o.limit)
	if !s.Plaintext {
		source, err := openKeys(s.TLS, o.onError)
		if err != nil {
			return nil, errors.Join(err, opened.Close())
		}
		wrapped = tls.NewListener(wrapped, source.Server(o.clients, "h2", "http/1.1"))
	}
	return &listener{
		netListener: wrapped,
		server: &http.Server{
			ReadHeaderTimeout: s.Bounds.ReadTimeout(),
			IdleTimeout:       s.Bounds.IdleTimeout(),
			MaxHeaderBytes:    s.Bounds.MaxHeaderBytes,
			ConnContext:       connlimit.Context,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: s.Bounds.MaxStreams},
		},
	}, nil
}

func openKeys(files settings.Files, onError func(error)) (*keys.Source, error) {
	return keys.Open(keys.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}, onError)
}

// serve accepts connections in the background until shutdown or close.
func (l *listener) serve(handler http.Handler, bounds settings.Bounds) {
	l.server.Handler = connlimit.Handler(limitHeaders(handler, bounds.MaxHeaders))
	go func() { _ = l.server.Serve(l.netListener) }()
}

// limitHeaders refuses requests with more than maxHeaders header lines.
func limitHeaders(next http.Handler, maxHeaders int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if countHeaders(r.Header) > maxHeaders {
			http.Error(w, "too many headers", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// countHeaders counts header lines: each value of a repeated header counts.
func countHeaders(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

func (l *listener) address() string { return l.netListener.Addr().String() }

// advertised returns the address that others are told to use.
func (l *listener) advertised(s settings.Listener) string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return l.address()
}

// shutdown accepts no new connections and waits for the requests in progress.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("daemon: shut down the listener on %s: %w", l.address(), err)
	}
	return nil
}

// close closes the listener and all connections at once.
func (l *listener) close() error {
	return errors.Join(l.server.Close(), ignoreClosed(l.netListener.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
