package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/peers"
)

// Status is the liveness that a record claims. A higher value wins at the same
// incarnation.
type Status uint8

// Statuses of a record.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
)

// Record is a claim about one member.
type Record struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Status      Status `cbor:"3,keyasint,omitempty"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
	// The addresses and the failure domain stand only in full records.
	CallerAddress string `cbor:"5,keyasint,omitempty"`
	PeerAddress   string `cbor:"6,keyasint,omitempty"`
	FailureDomain string `cbor:"7,keyasint,omitempty"`
}

// recordOverheadBytes is the most that CBOR adds to a record's strings.
const recordOverheadBytes = 26

func (r Record) size() int {
	return recordOverheadBytes + len(r.Name) + len(r.CallerAddress) + len(r.PeerAddress) + len(r.FailureDomain)
}

// MessageType says what a message asks for.
type MessageType uint8

// Types of messages.
const (
	// TypePing asks for an Ack with the same sequence number.
	TypePing MessageType = iota + 1
	// TypeAck answers a Ping, or a PingRequest whose target answered.
	TypeAck
	// TypePingRequest asks the receiver to ping Target and to pass on its answer.
	TypePingRequest
	// TypeSync carries bucket hashes and asks for the records that differ.
	TypeSync
	// TypeSyncBack is a Sync that asks for no Sync in return.
	TypeSyncBack
	// TypeRecords carries only records.
	TypeRecords
)

// Message is what instances exchange about membership.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	// From is the sender's name.
	From string `cbor:"2,keyasint"`
	// Sequence pairs a Ping with its Ack.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Revision is the configuration revision that the sender has in force.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Target is whom a PingRequest is about.
	Target string `cbor:"5,keyasint,omitempty"`
	// Records are claims about members.
	Records []Record `cbor:"6,keyasint,omitempty"`
	// Buckets are hashes of the sender's view, for Sync and SyncBack.
	Buckets []uint64 `cbor:"7,keyasint,omitempty"`
	// More says that records were left out for their size, for TypeRecords.
	More bool `cbor:"8,keyasint,omitempty"`
}

// maxNameBytes bounds names and addresses in messages.
const maxNameBytes = 128

// Encode returns the message's wire form.
func (m Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("membership: encode message: %w", err)
	}
	if len(data) > peers.MaxDatagramBytes {
		return nil, fmt.Errorf("membership: message of %d bytes is too large", len(data))
	}
	return data, nil
}

var errMalformed = errors.New("membership: malformed message")

// Decode reads a message from its wire form.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("membership: decode message: %w", err)
	}
	if m.Type < TypePing || m.Type > TypeRecords || !validName(m.From) || len(m.Target) > maxNameBytes {
		return Message{}, errMalformed
	}
	for _, r := range m.Records {
		if !validName(r.Name) || r.Status > StatusDead || len(r.PeerAddress) > maxNameBytes {
			return Message{}, errMalformed
		}
	}
	return m, nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }
