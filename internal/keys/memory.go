package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateLifetime is the validity of the certificates created here. A process may use an
// ephemeral certificate for longer: peers that don't authenticate each other also accept an
// expired one.
const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority whose key exists only in memory, for tests, the lab
// and ephemeral certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// Leaf is a certificate with its private key, both in PEM.
type Leaf struct {
	Cert []byte
	Key  []byte
}

// NewAuthority creates an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: generate the authority's key: %w", err)
	}
	template := newTemplate(1, name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("keys: create the authority's certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys: parse the authority's certificate: %w", err)
	}
	return &Authority{certificate: certificate, key: key, serial: 1}, nil
}

// CertPEM returns the authority's certificate in PEM.
func (a *Authority) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Issue creates a certificate for a server or client, valid for the given IP addresses.
func (a *Authority) Issue(name string, addresses ...string) (Leaf, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Leaf{}, fmt.Errorf("keys: generate the key of a leaf certificate: %w", err)
	}
	a.serial++
	template := newTemplate(a.serial, name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(address))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Leaf{}, fmt.Errorf("keys: create the leaf certificate %s: %w", name, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Leaf{}, fmt.Errorf("keys: marshal key of %s: %w", name, err)
	}
	return Leaf{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func newTemplate(serial int64, name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		// Peers whose clocks are up to an hour behind accept the certificate.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(certificateLifetime),
	}
}

// WriteFiles writes a leaf certificate, its key and the authority's certificate into a
// directory as <name>.crt, <name>.key and <name>-ca.crt, and returns their paths.
func (a *Authority) WriteFiles(directory, name string, leaf Leaf) (Files, error) {
	files := Files{
		Cert: filepath.Join(directory, name+".crt"),
		Key:  filepath.Join(directory, name+".key"),
		CA:   filepath.Join(directory, name+"-ca.crt"),
	}
	contents := []struct {
		path string
		data []byte
	}{{files.Cert, leaf.Cert}, {files.Key, leaf.Key}, {files.CA, a.CertPEM()}}
	for _, c := range contents {
		if err := os.WriteFile(c.path, c.data, 0o600); err != nil {
			return Files{}, fmt.Errorf("keys: %w", err)
		}
	}
	return files, nil
}
