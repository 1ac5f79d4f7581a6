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

// Change names one accepted change.
type Change struct {
	// Revision is the revision that the change made.
	Revision uint64 `json:"revision"`
	// ChangeID is the change's id.
	ChangeID string `json:"change_id"`
}

// Stored is the value of the configuration's key.
type Stored struct {
	Accepted site.Accepted `json:"accepted"`
	// Recent lists the latest accepted changes, the newest last. It tells whether a
	// write whose answer was lost took effect, also under later changes.
	Recent []Change `json:"recent"`
}

const (
	// maxRecent is how many changes a value remembers.
	maxRecent = 64
	// plainBytes is the largest value that is stored without compression.
	plainBytes = 64 << 10
	// maxDecodedBytes bounds what a compressed value may unfold to.
	maxDecodedBytes = 64 << 20
)

var gzipMagic = []byte{0x1f, 0x8b}

// next returns the value that follows s with a new change.
func (s Stored) next(changeID string, document site.Document) Stored {
	revision := s.Accepted.Revision + 1
	recent := append([]Change(nil), s.Recent...)
	recent = append(recent, Change{Revision: revision, ChangeID: changeID})
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	return Stored{
		Accepted: site.Accepted{Revision: revision, ChangeID: changeID, Document: document},
		Recent:   recent,
	}
}

// find returns the revision that a change made, if it is remembered.
func (s Stored) find(changeID string) (uint64, bool) {
	for _, change := range s.Recent {
		if change.ChangeID == changeID {
			return change.Revision, true
		}
	}
	return 0, false
}

// remembers reports whether the change that made a revision is listed.
func (s Stored) remembers(revision uint64) bool {
	return len(s.Recent) > 0 && s.Recent[0].Revision <= revision
}

// Encode returns the stored form: JSON, compressed when it is long.
func (s Stored) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("confsync: encode configuration: %w", err)
	}
	if len(data) > plainBytes {
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

// Decode reads the stored form.
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
		return Stored{}, fmt.Errorf("confsync: stored configuration has no revision")
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
