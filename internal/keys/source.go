// Package keys builds TLS configurations from certificate and key files and reloads the
// files when they change. It also issues short-lived certificates for tests and for
// connections without authentication.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// PollInterval is the minimum time between two checks of the files for changes.
const PollInterval = time.Second

// Files names PEM files. Cert and Key must be set together.
type Files struct {
	// Cert is the file with the certificate chain, the leaf certificate first.
	Cert string
	// Key is the file with the private key of the leaf certificate.
	Key string
	// CA is the file with the CA certificates that sign the other side's certificates.
	CA string
}

// Source holds the keys of one listener, or of the connections to one kind of remote side, such
// as the peers or the key-value store. It is safe for concurrent use.
type Source struct {
	files   Files
	onError func(error)
	now     func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	// versions holds the versions of the files Cert, Key and CA, in this order.
	versions [3]fileVersion
	// current is the key material in force.
	current keyMaterial
}

// keyMaterial is the content of the files when they were last read without an error.
type keyMaterial struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Open reads the files. If changed files later can't be read, the keys in force stay and
// onError, which may be nil, is called with the error.
func Open(files Files, onError func(error)) (*Source, error) {
	return open(files, onError, time.Now)
}

func open(files Files, onError func(error), now func() time.Time) (*Source, error) {
	if onError == nil {
		onError = func(error) {}
	}
	s := &Source{files: files, onError: onError, now: now}
	versions, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	s.versions, s.lastCheck = versions, now()
	s.current, err = readFiles(files)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// keysInForce returns the keys in force. If PollInterval has passed since the last check,
// it checks the files for changes before.
func (s *Source) keysInForce() keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.lastCheck) >= PollInterval {
		s.lastCheck = now
		if err := s.reloadIfChanged(); err != nil {
			s.onError(err)
		}
	}
	return s.current
}

// reloadIfChanged reads the files if they have changed. After an error it tries again at
// the next check, since a certificate and its key are usually replaced one after the other.
func (s *Source) reloadIfChanged() error {
	versions, err := s.statFiles()
	if err != nil {
		return err
	}
	if versions == s.versions {
		return nil
	}
	loaded, err := readFiles(s.files)
	if err != nil {
		return err
	}
	s.current, s.versions = loaded, versions
	return nil
}

// statFiles returns the versions of the files Cert, Key and CA, in this order.
func (s *Source) statFiles() ([3]fileVersion, error) {
	var out [3]fileVersion
	for i, path := range [3]string{s.files.Cert, s.files.Key, s.files.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return out, fmt.Errorf("keys: %w", err)
		}
		out[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

func readFiles(files Files) (keyMaterial, error) {
	var m keyMaterial
	if files.Cert != "" || files.Key != "" {
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return m, fmt.Errorf("keys: load certificate %s with key %s: %w", files.Cert, files.Key, err)
		}
		m.certificate = &certificate
	}
	if files.CA != "" {
		pool, err := readPool(files.CA)
		if err != nil {
			return m, err
		}
		m.pool = pool
	}
	return m, nil
}

func readPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("keys: CA file %s holds no PEM certificate that can be parsed", path)
	}
	return pool, nil
}

// errNoCertificate is returned in a handshake that needs a certificate if the settings name
// none.
var errNoCertificate = errors.New("keys: no certificate is set")
