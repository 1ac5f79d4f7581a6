// Package engine defines the interface between limpethub and backend servers (model
// engines and plain services): the types that the two exchange, and the interfaces that
// an adapter for one kind of server implements. Adapters register with the kernel as
// "engine.<name>"; package httpengine has the adapter for limpethub's own HTTP protocol.
//
// There are two sets of interfaces. Adapter (DataPlane and ControlPlane) is for servers
// that speak a protocol with request ids and inventories. Relayer (Passthrough and
// SequencedControl) is for servers that get the caller's request unchanged.
package engine

import (
	"context"
	"net/http"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// Report is a server's load report. Its figures are as old as Taken says.
type Report struct {
	// Sequence increases with each report of one server process.
	Sequence uint64 `json:"sequence"`
	// Taken is when the figures were taken, by the server's clock.
	Taken time.Time `json:"taken"`
	// Running is the number of requests in the current batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's queue.
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of tokens still to process for the queued requests.
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
	// Fence is the highest fencing number received; servers that ignore fencing report 0.
	Fence uint64 `json:"fence"`
	// Holdings lists everything that occupies memory.
	Holdings []Holding `json:"holdings"`
	// Orders lists recent orders with their outcomes, newest last.
	Orders []OrderOutcome `json:"orders"`
	// Role is the server's current role.
	Role string `json:"role"`
}

// Action is what an order tells a server to do.
type Action string

// Actions of orders. ActionFence only raises the server's fencing number.
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
	// Fence is the fencing number of the lease holder that sends the order.
	Fence  uint64 `json:"fence"`
	Action Action `json:"action"`
	// Ref is the version to load or unload.
	Ref modelref.Ref `json:"ref,omitempty"`
	// Base is the model version that an adapter extends; empty for a model.
	Base modelref.Ref `json:"base,omitempty"`
	// MemoryMB is the memory that the version needs, in MiB.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Role is the new role, for ActionRole.
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

// OrderOutcome is a server's record of one order.
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
}

// Event is one part of a streamed answer.
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

// RunState is the state of a request on a server.
type RunState string

// States of a request on a server.
const (
	RunUnknown  RunState = "unknown"
	RunWaiting  RunState = "waiting"
	RunRunning  RunState = "running"
	RunDone     RunState = "done"
	RunCanceled RunState = "canceled"
)

// Response is the complete answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DataPlane sends requests to backend servers. Every error carries a verdict.
type DataPlane interface {
	// Generate sends a model request and returns the stream of its answer.
	Generate(ctx context.Context, server Server, call Call) (Stream, error)
	// Resume continues the stream of a run that was started earlier, on a new connection,
	// after the event with the given offset; -1 starts at the first event. It doesn't
	// start the request again.
	Resume(ctx context.Context, server Server, id request.ID, after int) (Stream, error)
	// State asks the server, on a new connection, for the state of a request.
	State(ctx context.Context, server Server, id request.ID) (RunState, error)
	// Cancel asks the server to stop a request.
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

// Adapter is what the adapter for a kind of backend server implements.
type Adapter interface {
	DataPlane
	ControlPlane
}

// StaleFenceError is a server's refusal of an order because its fencing number is lower
// than one that the server already received.
type StaleFenceError struct {
	// Seen is the highest fencing number that the server received.
	Seen uint64
}

func (e *StaleFenceError) Error() string { return "engine: order refused: stale fencing number" }
