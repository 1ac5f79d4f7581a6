// Package digest defines the messages with which instances tell each other their load,
// their demand and the state of backend servers. They are sent as datagrams of
// peers.KindDigest and split to fit. A datagram may be lost, so each one can be read
// without the others.
//
// Instances of different versions exchange these messages, so the numbers of the CBOR keys
// may not change or be used again.
package digest

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/modelref"
	"limpethub/internal/peers"
	"limpethub/internal/scheduling"
	"limpethub/internal/scheduling/pace"
)

// ServerLoad is the load of the sender's own requests on one backend server.
type ServerLoad struct {
	Server string `cbor:"1,keyasint"`
	// Outstanding is the number of the sender's requests on the server.
	Outstanding int `cbor:"2,keyasint,omitempty"`
	// Tokens is the number of answer tokens that those requests may still need.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Classes is Outstanding by class, the most urgent first.
	Classes []int `cbor:"4,keyasint,omitempty"`
	// PendingPrefillTokens is the number of those requests' prompt tokens that the server
	// has yet to prefill.
	PendingPrefillTokens int `cbor:"5,keyasint,omitempty"`
	// Light and Crowded are what the sender's samples since its last digest show about the speed of the
	// server, with less than half of its slots in use and with more; nil if that doesn't matter.
	Light   *SpeedSample `cbor:"6,keyasint,omitempty"`
	Crowded *SpeedSample `cbor:"7,keyasint,omitempty"`
}

// SpeedSample is an average of samples of a server's speed. Whole numbers keep it small.
type SpeedSample struct {
	// Percent is the time as a share of the usual time.
	Percent int `cbor:"1,keyasint"`
	// Tenths is the weight of the samples, in tenths of a sample.
	Tenths int `cbor:"2,keyasint"`
	// LoadPercent is the share of the server's slots that was in use.
	LoadPercent int `cbor:"3,keyasint,omitempty"`
}

// ModelDemand is the sender's demand for one model or adapter version since the start of its
// process. The counts are cumulative, so that the next datagram makes up for a lost one.
type ModelDemand struct {
	Ref modelref.Ref `cbor:"1,keyasint"`
	// Class is the index of the class; 0 is the most urgent.
	Class int `cbor:"2,keyasint,omitempty"`
	// Requests is the number of requests.
	Requests uint64 `cbor:"3,keyasint,omitempty"`
	// Tokens is the sum of those requests' max_tokens: the most answer tokens that they asked
	// for.
	Tokens uint64 `cbor:"4,keyasint,omitempty"`
}

// ServerState is the state of a backend server as the sender observed it.
type ServerState struct {
	Server string `cbor:"1,keyasint"`
	// Unreachable is true if the server doesn't answer the sender.
	Unreachable bool `cbor:"2,keyasint,omitempty"`
	// Leaving is true if the server reported that it is about to stop, or refused a
	// request for that reason.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// ServerLeaving says that a server is leaving. It names the server's process, so that it doesn't
// count for a later process of the same server.
type ServerLeaving struct {
	Server string `cbor:"1,keyasint"`
	// StartMillis identifies the server's process: it is when the process started, in
	// milliseconds since the epoch; 0 if unknown.
	StartMillis int64 `cbor:"2,keyasint,omitempty"`
	// FirstHand is true if the sender itself found out and hasn't sent it before. It isn't part of the message.
	FirstHand bool `cbor:"-"`
}

// ServerRemoved says that the announcement of a server was removed from the store.
type ServerRemoved struct {
	Server string `cbor:"1,keyasint"`
	// Revision is the store's revision of the removal.
	Revision int64 `cbor:"2,keyasint"`
	// FirstHand is as in ServerLeaving.
	FirstHand bool `cbor:"-"`
}

// RefLoad is the sender's load on one model or adapter version, in requests. scheduling.RefLoad
// says exactly which requests count.
type RefLoad struct {
	Ref modelref.Ref `cbor:"1,keyasint"`
	// Running is the number of requests whose answer has begun.
	Running int `cbor:"2,keyasint,omitempty"`
	// Unstarted is the number of requests whose answer hasn't begun.
	Unstarted int `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of requests that wait because no server can take requests for
	// the version.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// PrefillMillis is the predicted time to prefill the prompts of Unstarted and Waiting on one
	// server, in milliseconds.
	PrefillMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Residency says that a version became usable on a server, or is no longer usable there.
type Residency struct {
	Server string `cbor:"1,keyasint"`
	// StartMillis identifies the server's process, as in ServerLeaving.
	StartMillis int64        `cbor:"2,keyasint,omitempty"`
	Ref         modelref.Ref `cbor:"3,keyasint"`
	// Present is true if the version became usable, false if it is no longer usable.
	Present bool `cbor:"4,keyasint,omitempty"`
	// Term is that of the placement lease of who found out, and Count numbers the notices of one holder from 1 on. Together
	// they order the notices about one version on one server. Instances of earlier versions neither send nor read them.
	Term  uint64 `cbor:"5,keyasint,omitempty"`
	Count uint64 `cbor:"6,keyasint,omitempty"`
	// AgeMillis is how long ago the holder made the notice, as clocks differ.
	AgeMillis int64 `cbor:"7,keyasint,omitempty"`
	// FirstHand is as in ServerLeaving.
	FirstHand bool `cbor:"-"`
}

// Ordered reports whether the notice has an order; one of an earlier version has none.
func (r Residency) Ordered() bool { return r.Count > 0 }

// After reports whether the notice is newer than another one.
func (r Residency) After(other Residency) bool {
	if r.Term != other.Term {
		return r.Term > other.Term
	}
	return r.Count > other.Count
}

// Lease is the placement lease as its holder last wrote it to the store. The fields except
// Revision are those of lease.Record.
type Lease struct {
	Holder string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	// WriteID is unique to the write.
	WriteID string `cbor:"3,keyasint"`
	// Revision is the store's revision of the lease key.
	Revision int64 `cbor:"4,keyasint"`
	// Released is true once the holder has released the lease.
	Released bool `cbor:"5,keyasint,omitempty"`
	// RecentLoads is how many loads from the weight store the holder ordered in the last seconds
	// or may still take effect.
	RecentLoads int `cbor:"6,keyasint,omitempty"`
}

// Digest is the load summary that an instance sends to its peers, or the part of it in one
// datagram.
type Digest struct {
	// Instance is the sender.
	Instance string `cbor:"1,keyasint"`
	// Sequence increases with each digest of one sender. All datagrams of one digest
	// have the same sequence.
	Sequence uint64 `cbor:"2,keyasint"`
	// Process is unique for each start of the sender. Cumulative demand starts from 0
	// with each new value.
	Process     string          `cbor:"3,keyasint,omitempty"`
	Loads       []ServerLoad    `cbor:"4,keyasint,omitempty"`
	Demands     []ModelDemand   `cbor:"5,keyasint,omitempty"`
	States      []ServerState   `cbor:"6,keyasint,omitempty"`
	Leaving     []ServerLeaving `cbor:"7,keyasint,omitempty"`
	RefLoads    []RefLoad       `cbor:"8,keyasint,omitempty"`
	Residencies []Residency     `cbor:"9,keyasint,omitempty"`
	// Lease is only in the first datagram of a digest, and only if the sender holds the
	// placement lease.
	Lease *Lease `cbor:"10,keyasint,omitempty"`
	// Removed isn't read by instances of earlier versions.
	Removed []ServerRemoved `cbor:"11,keyasint,omitempty"`
}

// Sizes for splitting a digest into datagrams.
const (
	// itemOverheadBytes is the most bytes that one item needs besides its strings, the
	// entries of Classes and speed samples.
	itemOverheadBytes = 50
	// headerOverheadBytes is the most bytes that a datagram's header (Instance, Sequence and
	// Process) and the array headers need besides the strings.
	headerOverheadBytes = 48
	// classBytes is the most that CBOR needs for one entry of ServerLoad.Classes, a
	// number of requests below 2^32.
	classBytes = 5
	// speedSampleBytes is the most that CBOR needs for a SpeedSample.
	speedSampleBytes = 14
	maxNameBytes     = 256
)

var errMalformed = errors.New("digest: malformed: the instance name is empty or too long, or a server load has a negative number or too many classes")

// Encode splits a digest into datagrams of at most peers.MaxDatagramBytes. An item is never
// split between two datagrams. If it fails for a datagram, it leaves that one out and
// returns the others with the error.
func (d Digest) Encode() ([][]byte, error) {
	if len(d.Instance) > maxNameBytes {
		return nil, fmt.Errorf("digest: instance name of %d bytes is longer than 256 bytes", len(d.Instance))
	}
	s := splitter{header: Digest{Instance: d.Instance, Sequence: d.Sequence, Process: d.Process}}
	s.reset()
	if d.Lease != nil {
		s.reserve(len(d.Lease.Holder) + len(d.Lease.WriteID))
		s.current.Lease = d.Lease
	}
	for _, load := range d.Loads {
		s.reserve(len(load.Server) + classBytes*len(load.Classes) + load.speedBytes())
		s.current.Loads = append(s.current.Loads, load)
	}
	for _, demand := range d.Demands {
		s.reserve(len(demand.Ref))
		s.current.Demands = append(s.current.Demands, demand)
	}
	for _, state := range d.States {
		s.reserve(len(state.Server))
		s.current.States = append(s.current.States, state)
	}
	for _, leaving := range d.Leaving {
		s.reserve(len(leaving.Server))
		s.current.Leaving = append(s.current.Leaving, leaving)
	}
	for _, removed := range d.Removed {
		s.reserve(len(removed.Server))
		s.current.Removed = append(s.current.Removed, removed)
	}
	for _, load := range d.RefLoads {
		s.reserve(len(load.Ref))
		s.current.RefLoads = append(s.current.RefLoads, load)
	}
	for _, residency := range d.Residencies {
		s.reserve(len(residency.Server) + len(residency.Ref))
		s.current.Residencies = append(s.current.Residencies, residency)
	}
	s.flush()
	return s.datagrams, s.err
}

// speedBytes returns the most bytes that the speed samples need.
func (l *ServerLoad) speedBytes() int {
	bytes := 0
	for _, sample := range []*SpeedSample{l.Light, l.Crowded} {
		if sample != nil {
			bytes += speedSampleBytes
		}
	}
	return bytes
}

// splitter fills one datagram after the other. Each begins with the same header.
type splitter struct {
	header    Digest
	current   Digest
	sizeBytes int
	datagrams [][]byte
	err       error
}

func (s *splitter) reset() {
	s.current = s.header
	s.sizeBytes = headerOverheadBytes + len(s.header.Instance) + len(s.header.Process)
}

// reserve makes room for an item with strings and Classes of variableBytes: it starts a new
// datagram if the item could be too large for the current one.
func (s *splitter) reserve(variableBytes int) {
	itemBytes := variableBytes + itemOverheadBytes
	if s.sizeBytes+itemBytes > peers.MaxDatagramBytes {
		s.flush()
	}
	s.sizeBytes += itemBytes
}

// flush encodes the current datagram and starts a new one.
func (s *splitter) flush() {
	data, err := cbor.Marshal(s.current)
	switch {
	case err != nil:
		s.err = errors.Join(s.err, fmt.Errorf("digest: encode: %w", err))
	case len(data) > peers.MaxDatagramBytes:
		s.err = errors.Join(s.err, fmt.Errorf("digest: a datagram of %d bytes is larger than peers.MaxDatagramBytes", len(data)))
	default:
		s.datagrams = append(s.datagrams, data)
	}
	s.reset()
}

// Decode decodes one datagram and checks the instance name and the numbers of Loads. It doesn't
// check the other items.
func Decode(data []byte) (Digest, error) {
	var d Digest
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Digest{}, fmt.Errorf("digest: decode: %w", err)
	}
	if d.Instance == "" || len(d.Instance) > maxNameBytes {
		return Digest{}, errMalformed
	}
	for _, load := range d.Loads {
		if load.Outstanding < 0 || load.Tokens < 0 || load.PendingPrefillTokens < 0 || !validClasses(load.Classes) {
			return Digest{}, errMalformed
		}
	}
	return d, nil
}

// maxClasses is the most entries that ServerLoad.Classes may have.
const maxClasses = 64

func validClasses(classes []int) bool {
	return len(classes) <= maxClasses && !slices.ContainsFunc(classes, func(n int) bool { return n < 0 })
}

// FromServerDigests returns a digest with this instance's load on each server.
// scheduling.ServerDigest holds the load of this instance here, and that of a peer in
// ServerDigests.
func FromServerDigests(instance string, sequence uint64, serverDigests []scheduling.ServerDigest) Digest {
	d := Digest{Instance: instance, Sequence: sequence}
	for _, r := range serverDigests {
		d.Loads = append(d.Loads, ServerLoad{
			Server: r.Server, Outstanding: r.Outstanding, Tokens: r.Tokens, Classes: r.Classes, PendingPrefillTokens: r.PendingPrefillTokens,
			Light: sampleOf(r.Speed.Light), Crowded: sampleOf(r.Speed.Crowded),
		})
	}
	return d
}

// Bounds of SpeedSample. What lies beyond them can't be meant; see package pace.
const (
	minSpeedPercent, maxSpeedPercent = 5, 2000
	maxSpeedTenths                   = 200
)

// sampleOf returns the sample as it is sent; nil if there is none.
func sampleOf(p pace.Part) *SpeedSample {
	if p.Weight <= 0 {
		return nil
	}
	return &SpeedSample{
		Percent:     min(max(int(math.Round(p.Factor*100)), minSpeedPercent), maxSpeedPercent),
		Tenths:      min(max(int(math.Round(p.Weight*10)), 1), maxSpeedTenths),
		LoadPercent: int(math.Round(p.Load * 100)),
	}
}

// part returns the sample as package pace uses it; an empty part if it is malformed.
func (s *SpeedSample) part() pace.Part {
	if s == nil || s.Percent < minSpeedPercent || s.Percent > maxSpeedPercent || s.Tenths <= 0 || s.Tenths > maxSpeedTenths || s.LoadPercent < 0 || s.LoadPercent > 100 {
		return pace.Part{}
	}
	return pace.Part{Factor: float64(s.Percent) / 100, Weight: float64(s.Tenths) / 10, Load: float64(s.LoadPercent) / 100}
}

// ServerDigests returns the digest's loads in the form that package scheduling uses.
func (d Digest) ServerDigests() []scheduling.ServerDigest {
	out := make([]scheduling.ServerDigest, 0, len(d.Loads))
	for _, load := range d.Loads {
		out = append(out, scheduling.ServerDigest{
			Instance:             d.Instance,
			Server:               load.Server,
			Outstanding:          load.Outstanding,
			Tokens:               load.Tokens,
			Classes:              load.Classes,
			PendingPrefillTokens: load.PendingPrefillTokens,
			Speed:                pace.Estimate{Light: load.Light.part(), Crowded: load.Crowded.part()},
			Sequence:             d.Sequence,
		})
	}
	return out
}
