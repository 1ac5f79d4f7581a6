// Package keys makes TLS configurations from key files, which are read again when
// they change.
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

// PollInterval is how often the files are looked at, at the most.
const PollInterval = time.Second

// Files names PEM files. Cert and Key go together.
type Files struct {
	// Cert holds the certificate chain, the leaf first.
	Cert string
	// Key holds the private key of the leaf.
	Key string
	// CA holds the certificates that sign the other side's certificates.
	CA string
}

// Source holds the keys of one listener or of one direction of connections. It is
// safe for concurrent use.
type Source struct {
	files   Files
	onError func(error)
	now     func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current material
}

// material is what the files held when they were last read without error.
type material struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// Open reads the files. onError, which may be nil, is told when changed files can't
// be read; the former keys then stay in use.
func Open(files Files, onError func(error)) (*Source, error) {
	return open(files, onError, time.Now)
}

func open(files Files, onError func(error), now func() time.Time) (*Source, error) {
	if onError == nil {
		onError = func(error) {}
	}
	s := &Source{files: files, onError: onError, now: now}
	stamps, err := s.stat()
	if err != nil {
		return nil, err
	}
	s.stamps, s.checked = stamps, now()
	s.current, err = read(files)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// get returns the keys in force, after a look at the files when one is due.
func (s *Source) get() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.checked) >= PollInterval {
		s.checked = now
		if err := s.refresh(); err != nil {
			s.onError(err)
		}
	}
	return s.current
}

// refresh reads the files if they have changed. A failed try is repeated at the next
// look, since certificate and key are seldom replaced in one step.
func (s *Source) refresh() error {
	stamps, err := s.stat()
	if err != nil {
		return err
	}
	if stamps == s.stamps {
		return nil
	}
	fresh, err := read(s.files)
	if err != nil {
		return err
	}
	s.current, s.stamps = fresh, stamps
	return nil
}

func (s *Source) stat() ([3]stamp, error) {
	var out [3]stamp
	for i, path := range [3]string{s.files.Cert, s.files.Key, s.files.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return out, fmt.Errorf("keys: %w", err)
		}
		out[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

func read(files Files) (material, error) {
	var m material
	if files.Cert != "" || files.Key != "" {
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return m, fmt.Errorf("keys: certificate %s with key %s: %w", files.Cert, files.Key, err)
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
		return nil, fmt.Errorf("keys: %s holds no certificate", path)
	}
	return pool, nil
}

// errNoCertificate is returned in a handshake that needs a certificate that the
// settings don't name.
var errNoCertificate = errors.New("keys: no certificate is set")
