// Package lease decides who holds a cell: one record in the key-value service,
// changed by compare-and-swap only. It has no clock, socket or goroutine.
//
// A lease narrows the time in which two holders act; it doesn't close it, since a
// paused holder can't know that it lapsed. Safety comes from the term, which only
// grows and which the ledger and the servers check.
package lease

import (
	"encoding/json"
	"fmt"
)

// Record is the value of the lease key.
type Record struct {
	// Term grows by one with each change of holder. It is the cell's fencing counter.
	Term uint64 `json:"term"`
	// Holder names the instance that holds the lease.
	Holder string `json:"holder"`
	// WriteID is unique to the write; it resolves a write whose answer was lost.
	WriteID string `json:"write_id"`
	// Released is true once the holder gave the lease up.
	Released bool `json:"released"`
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
