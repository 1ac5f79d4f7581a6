package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/gossip"
	"limpethub/internal/peers"
)

// Status is the liveness that a record claims. At the same incarnation a suspicion or death
// wins over alive; a receiver treats a claim of death as a suspicion.
type Status uint8

// The values are in ascending severity; merging relies on this order.
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
	// The addresses and the failure domain are set only in full records.
	CallerAddress string `cbor:"5,keyasint,omitempty"`
	PeerAddress   string `cbor:"6,keyasint,omitempty"`
	FailureDomain string `cbor:"7,keyasint,omitempty"`
}

// recordOverheadBytes is the most that CBOR adds to the strings of a record.
const recordOverheadBytes = 26

func (r Record) size() int {
	return recordOverheadBytes + len(r.Name) + len(r.CallerAddress) + len(r.PeerAddress) + len(r.FailureDomain)
}

// MessageType is the purpose of a message.
type MessageType uint8

const (
	// TypePing asks for an Ack with the same sequence number.
	TypePing MessageType = iota + 1
	// TypeAck answers a Ping, or a PingRequest whose target has answered.
	TypeAck
	// TypePingRequest asks the receiver to ping Target and to forward its answer.
	TypePingRequest
	// TypeSync starts a comparison of views: of the members and their records that two
	// instances know. It carries bucket hashes and asks for the records of buckets that differ.
	TypeSync
	// TypeSyncBack is a Sync that isn't answered by another Sync.
	TypeSyncBack
	// TypeRecords carries only records.
	TypeRecords
)

// Message is the unit of communication between instances about membership.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	// From is the sender's name.
	From string `cbor:"2,keyasint"`
	// Sequence matches an Ack to its Ping.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Revision is the configuration revision that the sender has in force.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Target is the member that a PingRequest is about.
	Target string `cbor:"5,keyasint,omitempty"`
	// Records are claims about members.
	Records []Record `cbor:"6,keyasint,omitempty"`
	// Buckets are the hashes of the sender's view, for Sync and SyncBack.
	Buckets []uint64 `cbor:"7,keyasint,omitempty"`
	// More reports, for TypeRecords, that records were left out because of maxSyncMessages or
	// the rate limit for records.
	More bool `cbor:"8,keyasint,omitempty"`
	// ConfirmedBy and ConfirmedAgeMillis are the latest confirmation that the sender knows of
	// Revision, and its age when the message was made; empty without one.
	ConfirmedBy        string `cbor:"9,keyasint,omitempty"`
	ConfirmedAgeMillis int64  `cbor:"10,keyasint,omitempty"`
	// Facts are facts that belong to the fleet. Package cluster adds and reads them.
	Facts []gossip.Fact `cbor:"11,keyasint,omitempty"`
	// ProofAgeMillis is, in an Ack, the age of the latest proof that no newer configuration than Revision exists, at
	// least 1; 0 without one.
	ProofAgeMillis int64 `cbor:"12,keyasint,omitempty"`
}

const (
	// maxNameBytes limits the names and peer addresses in a received message.
	maxNameBytes = 128
	// maxConfirmedAgeMillis limits the ages of a confirmation and of a proof in a received message; a year.
	maxConfirmedAgeMillis = 365 * 24 * 3600 * 1000
)

// Encode returns the message's wire form.
func (m Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("membership: encode message: %w", err)
	}
	if len(data) > peers.MaxDatagramBytes {
		return nil, fmt.Errorf("membership: message of %d bytes exceeds the datagram limit", len(data))
	}
	return data, nil
}

var errMalformed = errors.New("membership: malformed message: invalid type, name, status, peer address, age or fact")

// Decode parses a message from its wire form.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("membership: decode message: %w", err)
	}
	if m.Type < TypePing || m.Type > TypeRecords || !validName(m.From) || len(m.Target) > maxNameBytes ||
		len(m.ConfirmedBy) > maxNameBytes || m.ConfirmedAgeMillis < 0 || m.ConfirmedAgeMillis > maxConfirmedAgeMillis ||
		m.ProofAgeMillis < 0 || m.ProofAgeMillis > maxConfirmedAgeMillis {
		return Message{}, errMalformed
	}
	for _, f := range m.Facts {
		if !f.Valid() {
			return Message{}, errMalformed
		}
	}
	for _, r := range m.Records {
		if !validName(r.Name) || r.Status > StatusDead || len(r.PeerAddress) > maxNameBytes {
			return Message{}, errMalformed
		}
	}
	return m, nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }
