package keys

import (
	"crypto/tls"
	"fmt"
)

// Ephemeral returns a TLS configuration with a new certificate that is signed by a CA of
// its own and lost when the process ends. Peers can't authenticate it: anyone can create
// one with the same name.
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
		return nil, fmt.Errorf("keys: load the new ephemeral certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}
