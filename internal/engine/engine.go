// Package engine defines the interface between limpethub and backend servers (model
// engines and plain services): the types that the two exchange, and the interfaces through
// which limpethub calls a server. An engine adapter implements these interfaces for one
// protocol and registers with the kernel as "engine.<name>". In Holding, Order and
// SequencedState, an adapter is instead a version that extends a base model.
//
// There are two sets of interfaces. Adapter (DataPlane and ControlPlane) is for servers
// that speak a protocol with request ids and inventories; package httpengine implements it
// as "engine.http". PassthroughAdapter (Passthrough and SequencedControl) is for servers that
// get the caller's request unchanged; package platform implements it as "engine.relay".
package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/callerload"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// Report is a server's load report. Taken is the time of its figures.
type Report struct {
	// Sequence increases with each report of one server process.
	Sequence uint64 `json:"sequence"`
	// Taken is the time at which the server took the figures, by its own clock.
	Taken time.Time `json:"taken"`
	// Running is the number of requests in the current batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's queue.
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of answer tokens that the queued requests may still need.
	WaitingTokens int `json:"waiting_tokens"`
	// MaxBatch is the most requests that the engine runs at once.
	MaxBatch int `json:"max_batch"`
	// StepMillis is the recent duration of one decode step, in milliseconds.
	StepMillis float64 `json:"step_ms"`
	// Resident lists the model and adapter versions that can serve requests now.
	Resident []modelref.Ref `json:"resident"`
	// Leaving is true once the server accepts no new work because it is about to stop.
	Leaving bool `json:"leaving"`
}

// Holding is one model or adapter version in a server's memory.
type Holding struct {
	Ref modelref.Ref `json:"ref"`
	// MemoryMB is the accelerator memory that the version occupies, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// State says whether the version is loading, resident or unloading.
	State HoldingState `json:"state"`
}

// HoldingState is the state of a version in a server's memory.
type HoldingState string

// States of a holding. A version occupies memory in each of them.
const (
	StateLoading   HoldingState = "loading"
	StateResident  HoldingState = "resident"
	StateUnloading HoldingState = "unloading"
)

// Inventory is a server's exact list of what occupies its memory and of the orders that
// it accepted. Unlike a Report it doesn't lag.
type Inventory struct {
	// Incarnation changes when the server process restarts with empty memory.
	Incarnation string `json:"incarnation"`
	// MemoryMB is the size of the accelerator's memory, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// Fence is the highest fencing number that the server received (see Order); servers
	// that ignore fencing report 0.
	Fence uint64 `json:"fence"`
	// Holdings lists everything that occupies memory.
	Holdings []Holding `json:"holdings"`
	// Orders lists recent orders with their outcomes, newest last.
	Orders []OrderOutcome `json:"orders"`
	// Role is the server's current role. limpethub passes roles on and doesn't interpret
	// them.
	Role string `json:"role"`
}

// Action is what an order tells a server to do.
type Action string

// Actions of orders. ActionRole changes the server's role. ActionFence only raises the
// highest fencing number that the server received, so that the server refuses orders that were
// sent before and arrive later.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
	ActionFence  Action = "fence"
)

// Order tells a server to load or unload a version, to change its role, or to raise its
// fencing number.
type Order struct {
	// ID is unique. A server that already has an order with this ID answers with that
	// order's outcome and doesn't carry it out again.
	ID string `json:"id"`
	// Fence is the fencing number of the lease holder that sends the order. It is derived
	// from the term of the lease, so a later holder's numbers are higher. A server that
	// honours fencing refuses an order whose number is lower than the highest one that it
	// received.
	Fence  uint64 `json:"fence"`
	Action Action `json:"action"`
	// Ref is the version to load or unload.
	Ref modelref.Ref `json:"ref,omitempty"`
	// Base is the model version that an adapter extends; empty for a model.
	Base modelref.Ref `json:"base,omitempty"`
	// MemoryMB is the memory that the version needs, in MiB.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Role is the new role, for ActionRole; see Inventory.Role.
	Role string `json:"role,omitempty"`
}

// OrderState is the progress of an order on a server.
type OrderState string

// States of an order on a server.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderOutcome is a server's record of one order. ID, Fence, Action and Ref are those of the
// order.
type OrderOutcome struct {
	ID     string       `json:"id"`
	Fence  uint64       `json:"fence"`
	Action Action       `json:"action"`
	Ref    modelref.Ref `json:"ref,omitempty"`
	State  OrderState   `json:"state"`
	// Reason says why the order failed; empty otherwise.
	Reason string `json:"reason,omitempty"`
}

// Server names one backend server and its address.
type Server struct {
	// Name is the server's name in the configuration.
	Name string
	// Address is host:port.
	Address string
	// StartMillis is when the server's process started, in milliseconds since the epoch, as its
	// last announcement said; 0 if unknown. It tells apart two processes of the same name.
	StartMillis int64
	// SoftwareVersion is the version of the software of that process, as its last announcement said;
	// empty if unknown.
	SoftwareVersion string
}

// ProcessNumber returns a number for the server's process that is the same on all instances.
func (s Server) ProcessNumber() uint64 {
	return xxhash.Sum64String(s.Name + " " + strconv.FormatInt(s.StartMillis, 10))
}

// Call is a request as it is sent to a server.
type Call struct {
	Request request.Request
	// Priority is the request's priority in the engine's queue; 0 is the most urgent.
	Priority int
	// Method and Path are those of the caller's HTTP request.
	Method, Path string
	// Header holds the caller's headers that may be forwarded.
	Header http.Header
	// Body is the whole request body.
	Body []byte
	// OpenConnectionsOnly is true if no connection may be opened for the request. Without an open one that is
	// idle, it isn't sent.
	OpenConnectionsOnly bool
	// MaySend is called right before the first byte is sent, which may be long after the server was chosen. Its error
	// has the verdict not-run; nothing is sent then. nil means that the request may be sent.
	MaySend func() error
	// CallerLeft reports whether the caller has left, also if the context of the request hasn't ended yet. nil means that this
	// isn't known.
	CallerLeft func() bool
	// Account is charged for the whole answer while it is held for the caller. A nil account has no bound.
	Account *callerload.Account
}

// Event is one event of a streamed answer, decoded. RawEvent is the same in undecoded form.
type Event struct {
	// Offset is the index of the event in the answer, from 0.
	Offset int
	// Data is the event's data as the engine sent it.
	Data []byte
	// End marks the end of a complete answer; Data is then empty.
	End bool
}

// Stream reads an answer as it arrives.
type Stream interface {
	// Next blocks until the next event arrives. After the End event it returns io.EOF.
	// An answer that stops before its End event gives another error, which carries a
	// verdict.
	Next() (Event, error)
	// Close releases the connection. It doesn't cancel the request on the server.
	Close() error
}

// RunState is the state of a run, which is one execution of a request on a server.
type RunState string

// States of a run. RunUnknown means that the server has no record of the request. This doesn't
// prove that the request didn't run: the server may have lost its record in a restart.
const (
	RunUnknown  RunState = "unknown"
	RunWaiting  RunState = "waiting"
	RunRunning  RunState = "running"
	RunDone     RunState = "done"
	RunCanceled RunState = "canceled"
)

// Response is the complete answer of a plain service. It differs from Answer, which reads an
// answer as it arrives.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DataPlane sends requests to backend servers. Every error carries a verdict.
type DataPlane interface {
	// Generate sends a model request and returns the stream of its answer.
	Generate(ctx context.Context, server Server, call Call) (Stream, error)
	// Resume continues the stream of an earlier request's run, on a new connection,
	// after the event with offset lastOffset; -1 starts at the first event. It doesn't
	// start another run.
	Resume(ctx context.Context, server Server, id request.ID, lastOffset int) (Stream, error)
	// State asks the server, on a new connection, for the state of a request's run.
	State(ctx context.Context, server Server, id request.ID) (RunState, error)
	// Cancel asks the server to stop a request's run.
	Cancel(ctx context.Context, server Server, id request.ID) error
	// Invoke sends a request to a plain service and returns the complete answer.
	Invoke(ctx context.Context, server Server, call Call) (Response, error)
}

// ControlPlane reads a server's state and sends orders to it.
type ControlPlane interface {
	// Report reads the load report, which may lag.
	Report(ctx context.Context, server Server) (Report, error)
	// Inventory reads the exact state of the server's memory and orders.
	Inventory(ctx context.Context, server Server) (Inventory, error)
	// Submit sends an order. A *StaleFenceError proves that the server refused the
	// order. After any other error the server may still receive it later.
	Submit(ctx context.Context, server Server, order Order) error
}

// Adapter is the set of interfaces that an engine adapter implements for servers that speak a
// protocol with request ids and inventories.
type Adapter interface {
	DataPlane
	ControlPlane
}

// StaleFenceError is a server's refusal of an order because its fencing number is lower
// than one that the server already received.
type StaleFenceError struct {
	// HighestFence is the highest fencing number that the server received.
	HighestFence uint64
}

func (e *StaleFenceError) Error() string { return "engine: order refused: stale fencing number" }
