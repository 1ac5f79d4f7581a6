// Package ledger accounts for the accelerator memory of a cell's servers: what is resident, and
// what orders that may still arrive could add. A cell is the set of servers that one lease holder
// places models on. The package has no clock, socket or goroutine.
//
// An order stays in the ledger until the server's inventory proves its outcome: it shows the
// outcome itself, or a fencing number above the order's. A server that honours fencing refuses
// orders with a fencing number below the highest that it has received. No order is removed
// because of a timeout alone.
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

// Record is the value of the ledger key: the key in the store under which the holder keeps the
// pending orders of a cell for its successor.
type Record struct {
	// Term is the term of the holder that wrote the record.
	Term uint64 `json:"term"`
	// WriteID is unique to the write. After an unclear write, reading the key and comparing the
	// id shows whether the write took effect.
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
