package quictransport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// validateTLS checks that the TLS configuration has a certificate, and the authorities to
// verify peers with unless unauthenticated is set.
func validateTLS(config *tls.Config, unauthenticated bool) error {
	switch {
	case config == nil:
		return errors.New("quictransport: no TLS configuration; connections between instances need TLS")
	case len(config.Certificates) == 0 && config.GetCertificate == nil:
		return errors.New("quictransport: the TLS configuration has no certificate of this instance")
	case !unauthenticated && (config.ClientCAs == nil || config.RootCAs == nil):
		return errors.New("quictransport: the TLS configuration has no certificate authority to verify peers with (ClientCAs and RootCAs)")
	}
	return nil
}

// currentTLS returns the TLS configuration for a new connection.
func (t *Transport) currentTLS() *tls.Config {
	base := t.options.TLS
	if t.options.CurrentTLS != nil {
		base = t.options.CurrentTLS()
	}
	if t.options.Unauthenticated {
		return unauthenticatedTLS(base)
	}
	return peerTLS(base)
}

// unauthenticatedTLS accepts any certificate of the peer. It is for a network that only
// instances can reach.
func unauthenticatedTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.MinVersion = tls.VersionTLS13
	config.NextProtos = []string{alpn}
	config.ClientAuth = tls.RequireAnyClientCert
	config.InsecureSkipVerify = true
	return config
}

// peerTLS requires a certificate of the configured authority from both sides. Instances are
// replaced at any time and dialed by address, so the chain is verified but the host name
// isn't, unless ServerName is set.
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

// verifyChain verifies the peer's certificate chain against roots.
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

// peerName returns the common name of the peer's certificate, or "" if there is none.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}
