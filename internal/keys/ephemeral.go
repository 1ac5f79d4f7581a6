package keys

import (
	"crypto/tls"
	"fmt"
)

// Ephemeral makes a TLS configuration with a certificate that nobody else signed and
// that ends with the process. It proves nothing but the name that its holder chose.
func Ephemeral(name string) (*tls.Config, error) {
	authority, err := NewAuthority(name)
	if err != nil {
		return nil, err
	}
	leaf, err := authority.Issue(name)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(leaf.Cert, leaf.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: own certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}
