package request

import (
	"encoding/binary"
	"fmt"
	"hash"
	"strconv"

	"golang.org/x/crypto/blake2b"
)

// Identity is the same for each repeat of a request, which has a new ID each time, and differs for
// other requests. It is a hash of what the caller asks for. Zero means that it is unknown.
type Identity uint64

// String returns the identity as 16 hexadecimal digits, as it stands in logs.
func (i Identity) String() string { return hexDigits(uint64(i)) }

// ParseIdentity parses what String returns.
func ParseIdentity(text string) (Identity, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Identity(n), err
}

// IdentityHasher computes identities. All instances of a site must use the same key, or they don't
// recognize each other's requests. Callers must not know it: whoever does can look for two requests
// with the same identity.
type IdentityHasher struct{ key [blake2b.Size]byte }

// NewIdentityHasher returns a hasher with the given key, which may have any length.
func NewIdentityHasher(key string) *IdentityHasher {
	return &IdentityHasher{key: blake2b.Sum512([]byte(key))}
}

// IdentityWriter computes one identity. It is an io.Writer for the body of the request.
type IdentityWriter struct{ hash hash.Hash }

// Begin begins an identity with the fields of a request other than its body, in a fixed order.
func (h *IdentityHasher) Begin(fields ...string) *IdentityWriter {
	keyed, err := blake2b.New256(h.key[:])
	if err != nil { // Only a key that is too long gives an error.
		panic(fmt.Errorf("request: %w", err))
	}
	w := &IdentityWriter{hash: keyed}
	for _, field := range fields {
		// The length keeps the end of a field apart from the start of the next one.
		_, _ = w.Write(binary.AppendUvarint(nil, uint64(len(field))))
		_, _ = w.Write([]byte(field))
	}
	return w
}

// Write adds a part of the body. It never returns an error.
func (w *IdentityWriter) Write(p []byte) (int, error) { return w.hash.Write(p) }

// Identity returns the identity of what was written.
func (w *IdentityWriter) Identity() Identity {
	return Identity(max(1, binary.LittleEndian.Uint64(w.hash.Sum(nil))))
}

// hexDigits returns a hash as 16 hexadecimal digits.
func hexDigits(n uint64) string {
	text := strconv.FormatUint(n, 16)
	const digits = "0000000000000000"
	return digits[len(text):] + text
}
