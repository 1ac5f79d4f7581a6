package quictransport

import (
	"crypto/tls"
	"crypto/x509"
	"testing"

	"limpethub/internal/keys"
)

// authority is a certificate authority for tests.
type authority struct {
	keys *keys.Authority
	pool *x509.CertPool
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	ca, err := keys.NewAuthority("test authority")
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.CertPEM())
	return &authority{keys: ca, pool: pool}
}

// issue returns the TLS configuration of an instance that trusts the authority.
func (a *authority) issue(t testing.TB, name string) *tls.Config {
	t.Helper()
	leaf, err := a.keys.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(leaf.Cert, leaf.Key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: a.pool, ClientCAs: a.pool}
}
