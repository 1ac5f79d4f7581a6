// Package lease decides which instance holds a lease, such as the one for managing the models
// on the servers of a cell, from one record in the key-value store that is changed only by
// compare-and-swap. The package has no clock, socket or goroutine.
//
// A lease shortens the time in which two instances may both act as holder but can't
// exclude it, since a paused holder doesn't know that its lease has expired. Safety comes
// from the term, which only increases and is checked by the ledger and the servers.
package lease

import (
	"encoding/json"
	"fmt"

	"limpethub/internal/store"
)

// Record is the value of the lease key.
type Record struct {
	// Term increases by one with each change of holder. For a cell, the fencing numbers of
	// orders are derived from it (ledger.FirstFence).
	Term uint64 `json:"term"`
	// Holder is the name of the instance that holds the lease or, if Released is true, held it
	// last.
	Holder string `json:"holder"`
	// WriteID is unique to the write. It shows whether a write whose answer was lost took
	// effect.
	WriteID string `json:"write_id"`
	// Released is true once the holder has released the lease.
	Released bool `json:"released"`
	// Epoch is the epoch of the store that the holder knew when it wrote the record; 0 if it
	// knew none.
	Epoch store.Epoch `json:"epoch,omitempty"`
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease: encode record: %v", err))
	}
	return data
}

// Decode reads the stored form.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("lease: decode record: %w", err)
	}
	return r, nil
}

// firstEpoch is the epoch of a store that never came back from an older copy.
const firstEpoch = 1

// writtenBefore reports whether the record may be older than another one that was written and
// lost, because it is from an earlier epoch than the revision with which it was read. The empty
// record of an absent key doesn't tell its epoch: in a later epoch than the first, the key may
// have been written and lost.
func (r Record) writtenBefore(revision store.Revision) bool {
	if revision.Count() == 0 {
		return revision.Epoch() > firstEpoch
	}
	return r.Epoch != 0 && r.Epoch != revision.Epoch()
}
