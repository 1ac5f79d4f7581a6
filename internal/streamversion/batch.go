package streamversion

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/request"
)

const (
	hashBytes = 8
	// groupOverheadBytes is more than the encoding of a group takes beside its strings and hashes, and
	// batchOverheadBytes more than that of a batch takes beside its groups.
	groupOverheadBytes = 16
	batchOverheadBytes = 24
	// maxGroups limits the origins of a batch.
	maxGroups = 256
)

var errMalformedBatch = errors.New("streamversion: malformed batch of origins")

// streamHash identifies a stream in batches. With 64 bits, 100,000 archived streams give a wrong match in one of
// 10^14 lookups.
func streamHash(id request.ID) uint64 { return xxhash.Sum64String(string(id)) }

// batch holds the origins of streams as they are sent to archivists and archived. Its encoding is read by
// instances of other versions, so its field numbers may not change.
type batch struct {
	Groups []group `cbor:"1,keyasint"`
	// LifeMillis is for how long the streams may still be resumed. It is 0 in the archive.
	LifeMillis int64 `cbor:"2,keyasint,omitempty"`

	// size is an upper bound of the size of the encoding.
	size int
}

// group holds the streams of one origin.
type group struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Hashes holds the hashes of the streams, each in hashBytes bytes.
	Hashes []byte `cbor:"3,keyasint"`
}

func (g *group) origin() request.Origin {
	return request.Origin{Service: g.Service, SoftwareVersion: g.Version}
}

// add adds a stream if the encoding stays within a size, and reports whether it did.
func (b *batch) add(hash uint64, origin request.Origin, maxBytes int) bool {
	i := slices.IndexFunc(b.Groups, func(g group) bool { return g.origin() == origin })
	size := max(b.size, batchOverheadBytes) + hashBytes
	if i < 0 {
		size += groupOverheadBytes + len(origin.Service) + len(origin.SoftwareVersion)
	}
	if size > maxBytes || i < 0 && len(b.Groups) == maxGroups {
		return false
	}
	if i < 0 {
		i = len(b.Groups)
		b.Groups = append(b.Groups, group{Service: origin.Service, Version: origin.SoftwareVersion})
	}
	b.size = size
	b.Groups[i].Hashes = binary.BigEndian.AppendUint64(b.Groups[i].Hashes, hash)
	return true
}

// each calls f for each stream.
func (b *batch) each(f func(hash uint64, origin request.Origin)) {
	for i := range b.Groups {
		g := &b.Groups[i]
		for at := 0; at < len(g.Hashes); at += hashBytes {
			f(binary.BigEndian.Uint64(g.Hashes[at:]), g.origin())
		}
	}
}

func (b *batch) encode() ([]byte, error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("streamversion: encode batch: %w", err)
	}
	return payload, nil
}

// decodeBatch decodes a batch. One malformed group makes the whole batch malformed.
func decodeBatch(payload []byte) (*batch, error) {
	var b batch
	if err := cbor.Unmarshal(payload, &b); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedBatch, err)
	}
	if len(b.Groups) == 0 || len(b.Groups) > maxGroups || slices.ContainsFunc(b.Groups, isMalformed) {
		return nil, errMalformedBatch
	}
	return &b, nil
}

func isMalformed(g group) bool {
	isComplete := g.Service != "" && g.Version != "" && len(g.Hashes) > 0
	return !isComplete || len(g.Service) > maxServiceBytes || len(g.Version) > maxVersionBytes || len(g.Hashes)%hashBytes != 0
}

// findOrigin returns what began a stream by what was archived; the zero value if that doesn't say, or if it has
// several origins for the stream.
func findOrigin(batches []*batch, id request.ID) request.Origin {
	wanted := streamHash(id)
	var found request.Origin
	isAmbiguous := false
	for _, b := range batches {
		b.each(func(hash uint64, origin request.Origin) {
			if hash != wanted {
				return
			}
			isAmbiguous = isAmbiguous || isKnown(found) && origin != found
			found = origin
		})
	}
	if isAmbiguous {
		return request.Origin{}
	}
	return found
}
