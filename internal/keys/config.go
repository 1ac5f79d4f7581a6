package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
)

// ClientCertificates says what a server asks of its clients.
type ClientCertificates int

const (
	// ClientsNeedNone asks for no certificate.
	ClientsNeedNone ClientCertificates = iota
	// ClientsMayShow verifies a certificate if the client shows one.
	ClientsMayShow
	// ClientsMustShow refuses clients without a certificate signed by the CA.
	ClientsMustShow
)

// Server returns the configuration of a listener. Each handshake uses the keys then
// in force.
func (s *Source) Server(clients ClientCertificates, protocols ...string) *tls.Config {
	outer := s.serverNow(clients, protocols)
	outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.serverNow(clients, protocols), nil
	}
	return outer
}

// serverNow builds the configuration from the keys in force.
func (s *Source) serverNow(clients ClientCertificates, protocols []string) *tls.Config {
	m := s.get()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// Tickets would let a client resume with a certificate no longer trusted.
		SessionTicketsDisabled: true,
		GetCertificate:         s.certificate,
	}
	switch clients {
	case ClientsMustShow:
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.clientPool()
	case ClientsMayShow:
		config.ClientAuth = tls.VerifyClientCertIfGiven
		config.ClientCAs = m.clientPool()
	}
	return config
}

// certificate returns the certificate in force, also in a configuration that outlives
// a change of files.
func (s *Source) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	m := s.get()
	if m.certificate == nil {
		return nil, errNoCertificate
	}
	return m.certificate, nil
}

// clientPool returns the CA for clients. Without one it is empty, since a nil pool
// would stand for the machine's public authorities and let in anyone they certify.
func (m material) clientPool() *x509.CertPool {
	if m.pool == nil {
		return x509.NewCertPool()
	}
	return m.pool
}

// Client returns a configuration for one new connection. The CA in it is the one now
// in force, so callers that live long ask again for each connection, or use
// DialContext. The server's certificate must be good for the address dialed.
func (s *Source) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		RootCAs:    s.get().pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if m := s.get(); m.certificate != nil {
				return m.certificate, nil
			}
			// An empty certificate tells the server that there is none.
			return &tls.Certificate{}, nil
		},
	}
}

// DialContext connects over TLS with the keys then in force. It fits
// http.Transport.DialTLSContext.
func (s *Source) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return Current(func() *tls.Config { return s.Client() }).DialContext(ctx, network, address)
}
