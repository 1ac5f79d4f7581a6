package engine

import (
	"context"
	"net/http"
	"time"

	"limpethub/internal/modelref"
)

// Load is what a server tells of its load with an answer.
type Load struct {
	Running, Waiting int
	// Slots is how many requests the server runs at once.
	Slots int
}

// AnswerHead is the status line and the headers of a server's answer.
type AnswerHead struct {
	Status int
	Header http.Header
	// Refused is true when the server states that it didn't run the request and won't.
	Refused bool
	// Misdirected is true for a refusal because the server is another one than was
	// asked for, or doesn't hold what the request needs.
	Misdirected bool
	// Events is true for a stream of events.
	Events bool
	// Load is nil when the server tells none.
	Load *Load
}

// Succeeded reports whether the status is a success.
func (h *AnswerHead) Succeeded() bool { return h.Status >= 200 && h.Status < 300 }

// Piece is one whole event of a stream, byte for byte.
type Piece struct {
	Data []byte
	// ID is the event's id; -1 if it has none.
	ID int64
}

// Answer is a server's answer to a request that was passed on unchanged.
type Answer interface {
	// Head returns the status and the headers.
	Head() *AnswerHead
	// Body reads the rest as one whole. An answer that is cut is an error.
	Body() ([]byte, error)
	// Next returns the next whole event, and io.EOF after the end of a whole stream. A
	// stream that is cut yields another error, and never a part of an event.
	Next() (Piece, error)
	// Close gives the connection back if the whole answer was read, or else closes it,
	// which makes the server stop.
	Close()
}

// Passthrough carries callers' requests to backend servers byte for byte.
type Passthrough interface {
	// Open sends a request and waits for the head of its answer. after is the id of the
	// last event that the caller has, for a stream that goes on elsewhere; -1 means that
	// the caller's own headers tell. Errors carry a verdict.
	Open(ctx context.Context, server Server, call Call, after int64) (Answer, error)
}

// SequencedOrder asks a server to load or unload a version. Servers number the orders
// that they accept; an order names the number that it expects, so that of all orders
// given at one number at most one takes effect.
type SequencedOrder struct {
	// Action is ActionLoad or ActionUnload.
	Action Action
	Ref    modelref.Ref
	// Holder and Fence name who gives the order, and its fencing number.
	Holder string
	Fence  uint64
	// Expected is how many orders the server must have accepted before.
	Expected uint64
}

// OrderAnswer is a server's answer to an order.
type OrderAnswer uint8

// Answers to orders.
const (
	// OrderAccepted means that the order is being carried out.
	OrderAccepted OrderAnswer = iota + 1
	// OrderHolds means that things already are as the order wants them.
	OrderHolds
	// OrderConflict means that another order is in progress, or that the number of
	// accepted orders isn't the expected one.
	OrderConflict
	// OrderRefused means that the order was refused for good: it names nothing that the
	// server knows, its fencing number is old, or the server is another one.
	OrderRefused
)

// SequencedState is a server's account of what it holds.
type SequencedState struct {
	// Sequence counts the accepted orders.
	Sequence uint64
	// Busy is true while a model is being loaded or unloaded.
	Busy bool
	// Models and Adapters list what can serve now.
	Models, Adapters []modelref.Ref
	// Coming lists adapters on their way.
	Coming []modelref.Ref
	// InMemory and OnDisk list models whose weights the server has at hand.
	InMemory, OnDisk []modelref.Ref
}

// SequencedControl gives orders to servers that number them.
type SequencedControl interface {
	// Place gives an order. After an error the order may still be carried out later.
	Place(ctx context.Context, server Server, order SequencedOrder) (OrderAnswer, error)
	// Account reads the server's account.
	Account(ctx context.Context, server Server) (SequencedState, error)
}

// Relayer is what a backend must offer for requests that are passed on unchanged.
type Relayer interface {
	Passthrough
	SequencedControl
}

// RetryHint is how long a refused caller should wait, if the server said so.
func (h *AnswerHead) RetryHint() time.Duration {
	seconds, err := time.ParseDuration(h.Header.Get("Retry-After") + "s")
	if err != nil || seconds < 0 {
		return 0
	}
	return seconds
}
