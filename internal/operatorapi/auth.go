package operatorapi

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// MinTokenLength is the minimum length of a token, in bytes.
	MinTokenLength = 16
	// tokenPollInterval is the minimum time between two checks of the token file for
	// changes.
	tokenPollInterval = time.Second
	bearerPrefix      = "Bearer "
)

// Auth decides whether an HTTP request comes from an operator.
type Auth interface {
	// Operator reports whether the request comes from an operator, and returns a name of
	// the operator for the log.
	Operator(r *http.Request) (string, bool)
}

// Authenticator is the Auth of an instance. It accepts two kinds of credentials: a client
// certificate that the TLS listener has verified, or a bearer token from the token file. It is
// safe for concurrent use. Package keys provides the certificates of the listener itself.
type Authenticator struct {
	path    string
	onError func(error)
	now     func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	fileSize  int64
	hashes    [][sha256.Size]byte
}

var _ Auth = (*Authenticator)(nil)

// NewAuthenticator reads the token file at path: one token a line; empty lines and lines that
// start with "#" are skipped. If path is empty, only certificates are accepted. The file is
// read again when it changes; if that fails, the tokens read before stay valid and onError,
// which may be nil, is called with the error.
func NewAuthenticator(path string, onError func(error)) (*Authenticator, error) {
	if onError == nil {
		onError = func(error) {}
	}
	k := &Authenticator{path: path, onError: onError, now: time.Now}
	if path == "" {
		return k, nil
	}
	k.lastCheck = k.now()
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Operator implements Auth. The returned name is the common name of the certificate, or the
// text "token" for a bearer token.
func (k *Authenticator) Operator(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName, true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || !k.validToken(token) {
		return "", false
	}
	return "token", true
}

// validToken compares the token with every accepted one in constant time, so that the
// response time reveals nothing about the tokens. Comparing hashes of equal length hides
// the tokens' lengths too.
func (k *Authenticator) validToken(token string) bool {
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, hash := range k.tokenHashes() {
		match |= subtle.ConstantTimeCompare(sum[:], hash[:])
	}
	return match == 1
}

// tokenHashes returns the hashes of the accepted tokens. It checks the file for changes
// at most once per tokenPollInterval.
func (k *Authenticator) tokenHashes() [][sha256.Size]byte {
	if k.path == "" {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.now(); now.Sub(k.lastCheck) >= tokenPollInterval {
		k.lastCheck = now
		if err := k.reload(); err != nil {
			k.onError(err)
		}
	}
	return k.hashes
}

// reload reads the token file if its modification time or size has changed. After an
// error the hashes stay as they were.
func (k *Authenticator) reload() error {
	info, err := os.Stat(k.path)
	if err != nil {
		return fmt.Errorf("operatorapi: token file: %w", err)
	}
	if info.ModTime().Equal(k.modTime) && info.Size() == k.fileSize && k.hashes != nil {
		return nil
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("operatorapi: token file: %w", err)
	}
	hashes, err := parseTokens(data)
	if err != nil {
		return fmt.Errorf("operatorapi: token file %s: %w", k.path, err)
	}
	k.hashes, k.modTime, k.fileSize = hashes, info.ModTime(), info.Size()
	return nil
}

// parseTokens returns the SHA-256 hashes of the tokens in the content of a token file.
func parseTokens(data []byte) ([][sha256.Size]byte, error) {
	var out [][sha256.Size]byte
	for i, line := range bytes.Split(data, []byte("\n")) {
		token := bytes.TrimSpace(line)
		if len(token) == 0 || token[0] == '#' {
			continue
		}
		if len(token) < MinTokenLength {
			return nil, fmt.Errorf("the token on line %d is shorter than %d bytes", i+1, MinTokenLength)
		}
		out = append(out, sha256.Sum256(token))
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("the file contains no token")
	}
	return out, nil
}
