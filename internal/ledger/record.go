// Package ledger accounts for the accelerator memory of a cell's servers: what is resident,
// and what orders that may still arrive could add. It has no clock, socket or goroutine.
//
// An order stays in the ledger until the server proves its outcome: its inventory shows the
// outcome, or a fencing number above the order's, below which the server refuses orders. No
// order is removed because of a timeout alone.
package ledger

import (
	"encoding/json"
	"fmt"

	"limpethub/internal/engine"
)

// Pending is an order whose outcome isn't known yet.
type Pending struct {
	// Server is the name of the server that the order is for.
	Server string `json:"server"`
	// Order is the order that was or will be sent.
	Order engine.Order `json:"order"`
	// Unrecorded is true for an order that was sent without a write to the ledger key. Only
	// servers that honour fencing get such orders.
	Unrecorded bool `json:"unrecorded,omitempty"`
}

// Record is the value of the ledger key.
type Record struct {
	// Term is the term of the holder that wrote the record.
	Term uint64 `json:"term"`
	// WriteID is unique to the write. It resolves an unclear write.
	WriteID string `json:"write_id"`
	// Pending lists the orders whose outcome the writer didn't know, oldest first.
	Pending []Pending `json:"pending"`
}

// Encode returns the record in its stored form.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode record: %v", err))
	}
	return data
}

// Decode parses a record in its stored form.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("ledger: decode record: %w", err)
	}
	return r, nil
}
