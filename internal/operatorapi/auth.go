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
	// MinTokenLength is the least length of a token, in bytes.
	MinTokenLength = 16
	// tokenPollInterval is how often the file of tokens is looked at, at the most.
	tokenPollInterval = time.Second
	bearerPrefix      = "Bearer "
)

// Auth says who counts as an operator.
type Auth interface {
	// Operator returns a name for the log, and whether the request comes from an
	// operator.
	Operator(r *http.Request) (string, bool)
}

// Keys accepts a client certificate that the listener has verified, or a token from a
// file. It is safe for concurrent use.
type Keys struct {
	path    string
	onError func(error)
	now     func() time.Time

	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	size     int64
	tokens   [][sha256.Size]byte
}

var _ Auth = (*Keys)(nil)

// NewKeys reads the file of tokens, one a line; lines that start with "#" are
// comments. With an empty path only certificates count. onError, which may be nil, is
// told when a changed file can't be read. The former tokens then stay valid.
func NewKeys(path string, onError func(error)) (*Keys, error) {
	if onError == nil {
		onError = func(error) {}
	}
	k := &Keys{path: path, onError: onError, now: time.Now}
	if path == "" {
		return k, nil
	}
	k.checked = k.now()
	if err := k.refresh(); err != nil {
		return nil, err
	}
	return k, nil
}

// Operator implements Auth.
func (k *Keys) Operator(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName, true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || !k.valid(token) {
		return "", false
	}
	return "token", true
}

// valid compares the token with each known one in constant time. Hashes are compared,
// so that the time doesn't tell the length either.
func (k *Keys) valid(token string) bool {
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, known := range k.current() {
		match |= subtle.ConstantTimeCompare(sum[:], known[:])
	}
	return match == 1
}

// current returns the hashes of the tokens in force.
func (k *Keys) current() [][sha256.Size]byte {
	if k.path == "" {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.now(); now.Sub(k.checked) >= tokenPollInterval {
		k.checked = now
		if err := k.refresh(); err != nil {
			k.onError(err)
		}
	}
	return k.tokens
}

// refresh reads the file if it has changed.
func (k *Keys) refresh() error {
	info, err := os.Stat(k.path)
	if err != nil {
		return fmt.Errorf("operatorapi: tokens: %w", err)
	}
	if info.ModTime().Equal(k.modified) && info.Size() == k.size && k.tokens != nil {
		return nil
	}
	data, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("operatorapi: tokens: %w", err)
	}
	tokens, err := parseTokens(data)
	if err != nil {
		return fmt.Errorf("operatorapi: tokens: %s: %w", k.path, err)
	}
	k.tokens, k.modified, k.size = tokens, info.ModTime(), info.Size()
	return nil
}

func parseTokens(data []byte) ([][sha256.Size]byte, error) {
	var out [][sha256.Size]byte
	for i, line := range bytes.Split(data, []byte("\n")) {
		token := bytes.TrimSpace(line)
		if len(token) == 0 || token[0] == '#' {
			continue
		}
		if len(token) < MinTokenLength {
			return nil, fmt.Errorf("the token on line %d has fewer than %d characters", i+1, MinTokenLength)
		}
		out = append(out, sha256.Sum256(token))
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("it holds no token")
	}
	return out, nil
}
