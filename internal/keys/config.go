package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
)

// ClientCertificates says whether a server requests or requires a certificate from its clients.
type ClientCertificates int

const (
	// NoClientCertificate requests no certificate.
	NoClientCertificate ClientCertificates = iota
	// OptionalClientCertificate accepts clients without a certificate, and verifies one
	// that is shown.
	OptionalClientCertificate
	// RequiredClientCertificate refuses clients without a certificate signed by the CA.
	RequiredClientCertificate
)

// Server returns the configuration of a listener. Each handshake uses the keys in force at
// that time. protocols lists the ALPN protocols.
func (s *Source) Server(clients ClientCertificates, protocols ...string) *tls.Config {
	config := s.serverConfig(clients, protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.serverConfig(clients, protocols), nil
	}
	return config
}

// serverConfig returns a listener's configuration with the keys in force.
func (s *Source) serverConfig(clients ClientCertificates, protocols []string) *tls.Config {
	m := s.keysInForce()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// Session tickets would let a client resume with a certificate that is no longer
		// trusted.
		SessionTicketsDisabled: true,
		GetCertificate:         s.getCertificate,
	}
	switch clients {
	case RequiredClientCertificate:
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.clientPool()
	case OptionalClientCertificate:
		config.ClientAuth = tls.VerifyClientCertIfGiven
		config.ClientCAs = m.clientPool()
	}
	return config
}

// getCertificate returns the certificate in force. As a callback it also works in a
// configuration that was built before the files changed.
func (s *Source) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	m := s.keysInForce()
	if m.certificate == nil {
		return nil, errNoCertificate
	}
	return m.certificate, nil
}

// clientPool returns the CA certificates for clients. Without any it returns an empty pool:
// a nil pool would make crypto/tls trust the system's CAs and accept any client that they
// certify.
func (m keyMaterial) clientPool() *x509.CertPool {
	if m.pool == nil {
		return x509.NewCertPool()
	}
	return m.pool
}

// Client returns the configuration for one new connection. It contains the CA in force at
// the time of the call, so long-lived callers must call it for each connection or use
// DialContext. Without a CA file, the system's CAs are trusted. The server's certificate must
// be valid for the address dialed. protocols lists the ALPN protocols.
func (s *Source) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		RootCAs:    s.keysInForce().pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if m := s.keysInForce(); m.certificate != nil {
				return m.certificate, nil
			}
			// An empty certificate means that the client sends none; nil is not allowed.
			return &tls.Certificate{}, nil
		},
	}
}

// DialContext connects over TLS with the keys in force. It can be used as
// http.Transport.DialTLSContext.
func (s *Source) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return TLSConfigFunc(func() *tls.Config { return s.Client() }).DialContext(ctx, network, address)
}
