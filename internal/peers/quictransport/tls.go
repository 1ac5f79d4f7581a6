package quictransport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

func validateTLS(config *tls.Config, unauthenticated bool) error {
	switch {
	case config == nil:
		return errors.New("quictransport: no TLS settings")
	case len(config.Certificates) == 0 && config.GetCertificate == nil:
		return errors.New("quictransport: no certificate")
	case !unauthenticated && (config.ClientCAs == nil || config.RootCAs == nil):
		return errors.New("quictransport: no certificate authority")
	}
	return nil
}

// currentTLS is the configuration for one new connection.
func (t *Transport) currentTLS() *tls.Config {
	base := t.options.TLS
	if t.options.Current != nil {
		base = t.options.Current()
	}
	if t.options.Unauthenticated {
		return openTLS(base)
	}
	return peerTLS(base)
}

// openTLS takes whatever certificate the other side shows, on a network that only
// instances reach.
func openTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.MinVersion = tls.VersionTLS13
	config.NextProtos = []string{alpn}
	config.ClientAuth = tls.RequireAnyClientCert
	config.InsecureSkipVerify = true
	return config
}

// peerTLS makes both ends show a certificate of our own authority. Instances are
// replaced at any time and named by address, so that the authority is checked and
// the host name isn't, unless ServerName is set.
func peerTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.MinVersion = tls.VersionTLS13
	config.NextProtos = []string{alpn}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ServerName == "" {
		roots := config.RootCAs
		config.InsecureSkipVerify = true // The chain is verified below.
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return verifyChain(state, roots)
		}
	}
	return config
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("quictransport: peer shows no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("quictransport: peer's certificate: %w", err)
	}
	return nil
}

// peerName returns the common name of the peer's certificate.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}
