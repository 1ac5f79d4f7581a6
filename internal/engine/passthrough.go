package engine

import (
	"context"
	"net/http"
	"time"

	"limpethub/internal/modelref"
)

// StatedLoad is the load that a server states in the headers of an answer.
type StatedLoad struct {
	Running, Waiting int
	// Slots is the most requests that the server can run at once, as MaxBatch of a Report.
	Slots int
	// MomentaryPercent is how long work takes on the server's machine right now, in percent of the usual
	// time; 0 if the server doesn't state it. It is a single sample and changes many times a second.
	MomentaryPercent int
}

// AnswerHead is the status line and the headers of a server's answer.
type AnswerHead struct {
	Status int
	Header http.Header
	// Refused is true when the server states that it didn't run the request and won't.
	Refused bool
	// Misdirected is true for a refusal that has one of two causes: the address belongs
	// to another server than the one asked for, or the server doesn't hold what the
	// request needs.
	Misdirected bool
	// Events is true if the body is a stream of server-sent events.
	Events bool
	// Load is nil when the server states no load.
	Load *StatedLoad
	// Server is the server that sent the answer.
	Server Server
}

func (h *AnswerHead) Succeeded() bool { return h.Status >= 200 && h.Status < 300 }

// RawEvent is one complete event of a stream, byte for byte as the server sent it. Event, in
// contrast, is decoded.
type RawEvent struct {
	Data []byte
	// ID is the event's id; -1 if it has none.
	ID int64
}

// Answer is a server's answer to a request that was forwarded unchanged, read as it arrives.
type Answer interface {
	Head() *AnswerHead
	// Body reads the remaining body. It returns an error if the body is truncated.
	Body() ([]byte, error)
	// Next returns the next complete event, and io.EOF after the end of a complete
	// stream. A truncated stream gives another error, and never part of an event.
	Next() (RawEvent, error)
	// Close returns the connection for reuse if the complete answer was read. Otherwise
	// it closes the connection, and the server stops running the request.
	Close()
}

// Passthrough forwards callers' requests to backend servers byte for byte.
type Passthrough interface {
	// Open sends a request and waits for the head of its answer. lastEventID is the id of
	// the last event that the caller has received, when a stream continues on another
	// server; with -1, the caller's Last-Event-ID header, if any, is forwarded unchanged.
	// Errors carry a verdict.
	Open(ctx context.Context, server Server, call Call, lastEventID int64) (Answer, error)
}

// SequencedOrder tells a server to load or unload a version. A server counts the orders that
// it accepts, and each order carries the count that the server must have reached before it.
// Of several orders with the same count, at most one takes effect.
type SequencedOrder struct {
	// Action is ActionLoad or ActionUnload.
	Action Action
	Ref    modelref.Ref
	// Holder is the lease holder that sends the order. Fence is its fencing number; see
	// Order.Fence.
	Holder string
	Fence  uint64
	// ExpectedOrders is the number of orders that the server must have accepted so far,
	// which is SequencedState.Sequence.
	ExpectedOrders uint64
}

// OrderAnswer is a server's answer to a SequencedOrder.
type OrderAnswer uint8

const (
	// OrderAccepted means that the server is carrying out the order.
	OrderAccepted OrderAnswer = iota + 1
	// OrderAlreadySatisfied means that nothing is to be done: the server is already in the
	// state that the order asks for.
	OrderAlreadySatisfied
	// OrderConflict means that another order is in progress, or that the number of
	// accepted orders isn't the expected one.
	OrderConflict
	// OrderRefused means that the same order can't succeed later: the server doesn't
	// know the version, the fencing number is too old, or the address belongs to
	// another server.
	OrderRefused
)

// SequencedState is the state that a server with numbered orders reports.
type SequencedState struct {
	// Sequence is the number of orders that the server has accepted. Report.Sequence
	// counts reports instead.
	Sequence uint64
	// Busy is true while a model is being loaded or unloaded.
	Busy bool
	// Models and Adapters list the versions that can serve requests now.
	Models, Adapters []modelref.Ref
	// LoadingAdapters lists the adapters that are being loaded.
	LoadingAdapters []modelref.Ref
	// InMemory and OnDisk list the models whose weights the server has in host memory or
	// on disk, so that they load faster.
	InMemory, OnDisk []modelref.Ref
}

// SequencedControl sends orders to servers that count them. It is what ControlPlane is for
// servers with inventories.
type SequencedControl interface {
	// SubmitSequenced sends an order, as ControlPlane.Submit does. maySend is called once there is a
	// connection, right before the first byte is written to it; if it returns an error, nothing is
	// sent. After any other error the server may still carry the order out later.
	SubmitSequenced(ctx context.Context, server Server, order SequencedOrder, maySend func() error) (OrderAnswer, error)
	// SequencedInventory reads the server's state, as ControlPlane.Inventory does.
	SequencedInventory(ctx context.Context, server Server) (SequencedState, error)
}

// AnswerObserver receives what a server says about itself in the headers of an answer, be it to
// a request, to an order or to the request for a report. Its methods must not block.
type AnswerObserver interface {
	// ServerLeaving is called for each answer that says that the server is about to stop.
	ServerLeaving(server Server)
	// ServerPaused is called when the server has refused something and wants no more requests
	// from this instance for the given time.
	ServerPaused(server Server, wait time.Duration)
	// ServerCalled is called before each order, request for a report and probe that is sent.
	ServerCalled(server Server)
	// ServerLimit is called for each answer with the requests a second that the server takes from
	// all instances together. limit is nil if the answer names none, and an error if it names
	// something else than a number that can be meant. sentAt is when the request was sent that the
	// answer is for.
	ServerLimit(server Server, limit *float64, invalid error, sentAt time.Time)
	// ServerBrittle is ServerLimit for the requests a second that the server may turn away without falling over.
	ServerBrittle(server Server, rejections *float64, invalid error, sentAt time.Time)
}

// ContactObserver learns whether servers are heard of, on whatever connection and with whatever answer.
// Its methods must not block.
type ContactObserver interface {
	// CallBegan is called when something is sent to a server, or a connection to it is opened, and CallEnded
	// once nothing more is expected.
	CallBegan()
	CallEnded()
	// Heard is called when the head, an event or the body of an answer has arrived.
	Heard(server Server)
	// ConnectFailed is called when no connection to a server could be opened.
	ConnectFailed(server Server)
}

// Liveness says whether a server's process still runs.
type Liveness uint8

const (
	// LivenessUnknown means that the server gave no sign either way, as when it is cut off, frozen
	// or overloaded.
	LivenessUnknown Liveness = iota
	// LivenessRunning means that the process answered.
	LivenessRunning
	// LivenessEnded means that the process has ended: nothing listens at its address, or another
	// process does.
	LivenessEnded
)

var livenessNames = [...]string{LivenessUnknown: "unknown", LivenessRunning: "running", LivenessEnded: "ended"}

func (l Liveness) String() string { return livenessNames[l] }

// Prober asks a server whether its process still runs.
type Prober interface {
	// Probe sends one short request to the server and returns within a second.
	Probe(ctx context.Context, server Server) Liveness
}

// PassthroughAdapter is the set of interfaces that an engine adapter implements for servers
// that get the caller's request unchanged.
type PassthroughAdapter interface {
	Passthrough
	SequencedControl
	Prober
	// SetAnswerObserver sets the observer of all later answers. It must be called before the
	// first request.
	SetAnswerObserver(observer AnswerObserver)
	// SetContactObserver sets the observer of contacts with servers. It must be called before the first
	// request.
	SetContactObserver(observer ContactObserver)
	// ProbeAnew asks a server for a sign of life on a connection that it opens for this. A nil error means
	// that something answered at the server's address, and an UnsentError that no connection could be opened.
	ProbeAnew(ctx context.Context, server Server) error
	// DropIdle closes the connections that no request uses now.
	DropIdle()
}
