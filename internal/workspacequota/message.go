package workspacequota

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/peers"
)

// message is one datagram of peers.KindQuota. Instances of different versions exchange it, so the numbers of
// the CBOR keys may not change or be used again, and the items may not get another length.
type message struct {
	// Process identifies the sender's process. A later one of the same instance has a higher number.
	Process uint64 `cbor:"1,keyasint"`
	// ClockMillis is the sender's clock when it sent the message. It starts anywhere, and goes on while the
	// machine is suspended.
	ClockMillis int64           `cbor:"2,keyasint"`
	Reports     []reportMessage `cbor:"3,keyasint,omitempty"`
	Acks        []ackMessage    `cbor:"4,keyasint,omitempty"`
	States      []stateMessage  `cbor:"5,keyasint,omitempty"`
}

// reportMessage is a Report. Workspace is the number of a workspace, see numberWorkspaces.
type reportMessage struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Sequence  uint64
	Used      int64
	Demanded  int64
	// UsedSince and DemandedSince are the parts of them that no limiter has acknowledged.
	UsedSince, DemandedSince int64
	// StateAgeMillis is the age of the state that the sender goes by; 0 if there is none. The others are of it, the
	// shares in thousandths.
	StateAgeMillis uint32
	Balance        int64
	AdmitMillis    uint16
	CoveredMillis  uint16
}

// ackMessage is an Ack.
type ackMessage struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Used      int64
	Demanded  int64
	// WeightMillis is the weight in thousandths.
	WeightMillis uint16
}

// stateMessage is a State.
type stateMessage struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Limiter   uint32
	Version   uint64
	Balance   int64
	// AdmitMillis and CoveredMillis are shares in thousandths.
	AdmitMillis   uint16
	CoveredMillis uint16
	// AgeMillis is the state's age when the message was sent, at least.
	AgeMillis uint32
	Quiet     bool
}

const (
	// messageOverheadBytes is the most that a message needs besides its items.
	messageOverheadBytes = 32
	// itemBytes is the most that an item needs.
	itemBytes = 48
	// maxItems is the most items in a message.
	maxItems = (peers.MaxDatagramBytes - messageOverheadBytes) / itemBytes
)

var errMalformed = errors.New("workspacequota: malformed message")

func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("workspacequota: encode: %w", err)
	}
	return data, nil
}

func decode(data []byte) (*message, error) {
	m := &message{}
	if err := cbor.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("workspacequota: decode: %w", err)
	}
	if m.Process == 0 || len(m.Reports)+len(m.Acks)+len(m.States) > peers.MaxDatagramBytes {
		return nil, errMalformed
	}
	return m, nil
}

func thousandths(share float64) uint16 {
	return uint16(min(max(math.Round(share*1000), 0), math.MaxUint16))
}

func millis(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32)) }

func newReportMessage(workspace uint32, r Report) reportMessage {
	return reportMessage{
		Workspace: workspace, Sequence: r.Sequence, Used: r.Used, Demanded: r.Demanded,
		UsedSince: r.Used - r.CountedUsed, DemandedSince: r.Demanded - r.CountedDemanded,
		StateAgeMillis: millis(r.StateAge), Balance: int64(math.Round(r.State.Balance)),
		AdmitMillis: thousandths(r.State.Admit), CoveredMillis: thousandths(r.State.Covered),
	}
}

// report returns the report of a message that took longer than usual by delay.
func (r reportMessage) report(delay time.Duration) Report {
	stateAge := time.Duration(r.StateAgeMillis) * time.Millisecond
	if stateAge > 0 {
		stateAge += delay
	}
	return Report{
		Sequence: r.Sequence, Used: r.Used, Demanded: r.Demanded,
		CountedUsed: r.Used - r.UsedSince, CountedDemanded: r.Demanded - r.DemandedSince,
		StateAge: stateAge,
		State:    State{Balance: float64(r.Balance), Admit: float64(r.AdmitMillis) / 1000, Covered: float64(r.CoveredMillis) / 1000},
	}
}

func newAckMessage(workspace uint32, a Ack) ackMessage {
	return ackMessage{Workspace: workspace, Used: a.Used, Demanded: a.Demanded, WeightMillis: thousandths(a.Weight)}
}

func (a ackMessage) ack() Ack {
	return Ack{Used: a.Used, Demanded: a.Demanded, Weight: float64(a.WeightMillis) / 1000}
}

func newStateMessage(workspace uint32, s State, age time.Duration) stateMessage {
	return stateMessage{
		Workspace: workspace, Limiter: s.Limiter, Version: s.Version, Balance: int64(math.Round(s.Balance)),
		AdmitMillis: thousandths(s.Admit), CoveredMillis: thousandths(s.Covered),
		AgeMillis: millis(age), Quiet: s.Quiet,
	}
}

func (s stateMessage) state() State {
	return State{
		Limiter: s.Limiter, Version: s.Version, Balance: float64(s.Balance),
		Admit: float64(s.AdmitMillis) / 1000, Covered: float64(s.CoveredMillis) / 1000, Quiet: s.Quiet,
	}
}
