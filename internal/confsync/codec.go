package confsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"limpethub/internal/site"
	"limpethub/internal/store"
)

// Change identifies an accepted change.
type Change struct {
	// Revision is the revision that the change produced.
	Revision uint64 `json:"revision"`
	// ChangeID is the id that the change was applied with.
	ChangeID string `json:"change_id"`
}

// Stored is the value of the configuration key in the store.
type Stored struct {
	Accepted site.Accepted `json:"accepted"`
	// Recent lists the latest accepted changes, the newest last. It shows whether a write
	// whose answer was lost took effect, even if other changes followed.
	Recent []Change `json:"recent"`
}

const (
	// maxRecentChanges is the largest number of changes in Stored.Recent.
	maxRecentChanges = 64
	// maxUncompressedBytes is the largest value that is stored without compression.
	maxUncompressedBytes = 64 << 10
	// maxDecodedBytes limits the decompressed size of a value.
	maxDecodedBytes = 64 << 20
)

var gzipMagic = []byte{0x1f, 0x8b}

// next returns the value that follows s when the given change is accepted.
func (s Stored) next(changeID string, document site.Document) Stored {
	revision := s.Accepted.Revision + 1
	recent := append([]Change(nil), s.Recent...)
	recent = append(recent, Change{Revision: revision, ChangeID: changeID})
	if len(recent) > maxRecentChanges {
		recent = recent[len(recent)-maxRecentChanges:]
	}
	return Stored{
		Accepted: site.Accepted{Revision: revision, ChangeID: changeID, Document: document},
		Recent:   recent,
	}
}

// findChange returns the revision that a change produced, if the change is still listed.
func (s Stored) findChange(changeID string) (uint64, bool) {
	for _, change := range s.Recent {
		if change.ChangeID == changeID {
			return change.Revision, true
		}
	}
	return 0, false
}

// reachesBackTo reports whether Recent goes back to the change that produced a revision.
func (s Stored) reachesBackTo(revision uint64) bool {
	return len(s.Recent) > 0 && s.Recent[0].Revision <= revision
}

// Encode returns the stored form: JSON, compressed above maxUncompressedBytes.
func (s Stored) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("confsync: encode configuration: %w", err)
	}
	if len(data) > maxUncompressedBytes {
		if data, err = compress(data); err != nil {
			return nil, err
		}
	}
	if len(data) > store.MaxValueBytes {
		return nil, &TooLargeError{Bytes: len(data), Limit: store.MaxValueBytes}
	}
	return data, nil
}

func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("confsync: compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("confsync: compress configuration: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode parses the stored form.
func Decode(data []byte) (Stored, error) {
	if bytes.HasPrefix(data, gzipMagic) {
		plain, err := decompress(data)
		if err != nil {
			return Stored{}, err
		}
		data = plain
	}
	var s Stored
	if err := json.Unmarshal(data, &s); err != nil {
		return Stored{}, fmt.Errorf("confsync: decode configuration: %w", err)
	}
	if s.Accepted.Revision == 0 {
		return Stored{}, fmt.Errorf("confsync: stored configuration has revision 0")
	}
	return s, nil
}

func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("confsync: decompress configuration: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecodedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("confsync: decompress configuration: %w", err)
	}
	if len(plain) > maxDecodedBytes {
		return nil, &TooLargeError{Bytes: len(plain), Limit: maxDecodedBytes}
	}
	return plain, nil
}
