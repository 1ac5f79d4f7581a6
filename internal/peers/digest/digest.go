// Package digest holds the messages in which instances tell each other of load,
// demand and the state of backend servers. They travel as datagrams of
// peers.KindDigest, are split to fit, and may be lost: each one stands for itself.
package digest

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/modelref"
	"limpethub/internal/peers"
	"limpethub/internal/scheduling"
)

// ServerLoad is the sender's own work on one backend server.
type ServerLoad struct {
	Server string `cbor:"1,keyasint"`
	// Outstanding is how many of the sender's requests are on the server.
	Outstanding int `cbor:"2,keyasint,omitempty"`
	// Tokens is how many tokens those still need.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Classes splits Outstanding by class, the most urgent first.
	Classes []int `cbor:"4,keyasint,omitempty"`
	// Unread is how many prompt tokens of those the server still has to read.
	Unread int `cbor:"5,keyasint,omitempty"`
}

// ModelDemand counts the sender's demand for one model or adapter version, since the
// start of its process: a lost datagram loses nothing, since the next one holds the sum.
type ModelDemand struct {
	Ref modelref.Ref `cbor:"1,keyasint"`
	// Class is the index of the class, 0 the most urgent.
	Class int `cbor:"2,keyasint,omitempty"`
	// Requests counts requests.
	Requests uint64 `cbor:"3,keyasint,omitempty"`
	// Tokens counts the tokens that those requests asked for.
	Tokens uint64 `cbor:"4,keyasint,omitempty"`
}

// ServerState is what the sender met at a backend server.
type ServerState struct {
	Server string `cbor:"1,keyasint"`
	// Unreachable says that the server doesn't answer the sender.
	Unreachable bool `cbor:"2,keyasint,omitempty"`
	// Leaving says that the server reported or refused so.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// ServerLeaving is a server that the sender knows to leave.
type ServerLeaving struct {
	Server string `cbor:"1,keyasint"`
	// Born tells starts of one server apart.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// RefLoad is how many of the sender's requests for a version run and wait.
type RefLoad struct {
	Ref     modelref.Ref `cbor:"1,keyasint"`
	Running int          `cbor:"2,keyasint,omitempty"`
	// Unbegun counts those that a server hasn't begun to answer.
	Unbegun int `cbor:"4,keyasint,omitempty"`
	// Waiting counts those that wait because no server holds the version.
	Waiting int `cbor:"3,keyasint,omitempty"`
}

// Residency is news that a version can be used on a server, or no longer.
type Residency struct {
	Server  string       `cbor:"1,keyasint"`
	Born    int64        `cbor:"2,keyasint,omitempty"`
	Ref     modelref.Ref `cbor:"3,keyasint"`
	Present bool         `cbor:"4,keyasint,omitempty"`
}

// Lease is the placement lease as its holder last wrote it.
type Lease struct {
	Holder   string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	WriteID  string `cbor:"3,keyasint"`
	Revision int64  `cbor:"4,keyasint"`
	Released bool   `cbor:"5,keyasint,omitempty"`
}

// Digest is one datagram.
type Digest struct {
	// Instance is the sender.
	Instance string `cbor:"1,keyasint"`
	// Sequence grows with each digest of one sender; the datagrams of one digest
	// share it.
	Sequence uint64 `cbor:"2,keyasint"`
	// Process is unique to a start of the sender; demand counts from there.
	Process     string          `cbor:"3,keyasint,omitempty"`
	Loads       []ServerLoad    `cbor:"4,keyasint,omitempty"`
	Demands     []ModelDemand   `cbor:"5,keyasint,omitempty"`
	States      []ServerState   `cbor:"6,keyasint,omitempty"`
	Leaving     []ServerLeaving `cbor:"7,keyasint,omitempty"`
	RefLoads    []RefLoad       `cbor:"8,keyasint,omitempty"`
	Residencies []Residency     `cbor:"9,keyasint,omitempty"`
	// Lease is in the first datagram of the holder's digests alone.
	Lease *Lease `cbor:"10,keyasint,omitempty"`
}

const (
	// itemOverheadBytes is the most that CBOR adds to an item's string.
	itemOverheadBytes = 50
	headOverheadBytes = 48
	// classBytes is the most that CBOR takes for one class of a load's split, which
	// holds a number of requests below 2^32.
	classBytes   = 5
	maxNameBytes = 256
)

var errMalformed = errors.New("digest: malformed")

// Encode splits a digest into datagrams of at most peers.MaxDatagramBytes. Each
// holds whole items.
func (d Digest) Encode() ([][]byte, error) {
	if len(d.Instance) > maxNameBytes {
		return nil, fmt.Errorf("digest: instance name of %d bytes is too long", len(d.Instance))
	}
	s := splitter{head: Digest{Instance: d.Instance, Sequence: d.Sequence, Process: d.Process}}
	s.reset()
	if d.Lease != nil {
		s.reserve(len(d.Lease.Holder) + len(d.Lease.WriteID))
		s.part.Lease = d.Lease
	}
	for _, load := range d.Loads {
		s.reserve(len(load.Server) + classBytes*len(load.Classes))
		s.part.Loads = append(s.part.Loads, load)
	}
	for _, demand := range d.Demands {
		s.reserve(len(demand.Ref))
		s.part.Demands = append(s.part.Demands, demand)
	}
	for _, state := range d.States {
		s.reserve(len(state.Server))
		s.part.States = append(s.part.States, state)
	}
	for _, leaving := range d.Leaving {
		s.reserve(len(leaving.Server))
		s.part.Leaving = append(s.part.Leaving, leaving)
	}
	for _, load := range d.RefLoads {
		s.reserve(len(load.Ref))
		s.part.RefLoads = append(s.part.RefLoads, load)
	}
	for _, news := range d.Residencies {
		s.reserve(len(news.Server) + len(news.Ref))
		s.part.Residencies = append(s.part.Residencies, news)
	}
	s.flush()
	return s.out, s.err
}

// splitter fills datagrams one after the other.
type splitter struct {
	head Digest
	part Digest
	size int
	out  [][]byte
	err  error
}

func (s *splitter) reset() {
	s.part = s.head
	s.size = headOverheadBytes + len(s.head.Instance) + len(s.head.Process)
}

func (s *splitter) reserve(nameBytes int) {
	size := nameBytes + itemOverheadBytes
	if s.size+size > peers.MaxDatagramBytes {
		s.flush()
	}
	s.size += size
}

func (s *splitter) flush() {
	data, err := cbor.Marshal(s.part)
	switch {
	case err != nil:
		s.err = errors.Join(s.err, fmt.Errorf("digest: encode: %w", err))
	case len(data) > peers.MaxDatagramBytes:
		s.err = errors.Join(s.err, fmt.Errorf("digest: a datagram of %d bytes is too large", len(data)))
	default:
		s.out = append(s.out, data)
	}
	s.reset()
}

// Decode reads one datagram.
func Decode(data []byte) (Digest, error) {
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Digest{}, fmt.Errorf("digest: decode: %w", err)
	}
	if d.Instance == "" || len(d.Instance) > maxNameBytes {
		return Digest{}, errMalformed
	}
	for _, load := range d.Loads {
		if load.Outstanding < 0 || load.Tokens < 0 || load.Unread < 0 || !validClasses(load.Classes) {
			return Digest{}, errMalformed
		}
	}
	return d, nil
}

// maxClasses bounds the split of a load by class.
const maxClasses = 64

func validClasses(classes []int) bool {
	return len(classes) <= maxClasses && !slices.ContainsFunc(classes, func(n int) bool { return n < 0 })
}

// FromRemotes makes a digest of this instance's work.
func FromRemotes(instance string, sequence uint64, remotes []scheduling.ServerDigest) Digest {
	d := Digest{Instance: instance, Sequence: sequence}
	for _, r := range remotes {
		d.Loads = append(d.Loads, ServerLoad{Server: r.Server, Outstanding: r.Outstanding, Tokens: r.Tokens, Classes: r.Classes, Unread: r.PendingPrefillTokens})
	}
	return d
}

// Remotes returns a digest's loads as scheduling takes them.
func (d Digest) Remotes() []scheduling.ServerDigest {
	out := make([]scheduling.ServerDigest, 0, len(d.Loads))
	for _, load := range d.Loads {
		out = append(out, scheduling.ServerDigest{
			Instance:             d.Instance,
			Server:               load.Server,
			Outstanding:          load.Outstanding,
			Tokens:               load.Tokens,
			Classes:              load.Classes,
			PendingPrefillTokens: load.Unread,
			Sequence:             d.Sequence,
		})
	}
	return out
}
