// Package engine is the seam towards backend servers: model engines and plain
// services. Adapters for real engines implement Adapter and register with the
// kernel under "engine.<name>".
package engine

import (
	"context"
	"net/http"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// Report is a server's own, lagging account of its load.
type Report struct {
	// Sequence grows with each report of one server process.
	Sequence uint64 `json:"sequence"`
	// Taken is the server's time when the figures were true.
	Taken time.Time `json:"taken"`
	// Running is the number of requests in the current batch.
	Running int `json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of tokens that queued requests still need.
	WaitingTokens int `json:"waiting_tokens"`
	// MaxBatch is how many requests the engine runs at once.
	MaxBatch int `json:"max_batch"`
	// StepMillis is the recent duration of one decode step, in milliseconds.
	StepMillis float64 `json:"step_ms"`
	// Resident lists the model and adapter versions that can serve now.
	Resident []modelref.Ref `json:"resident"`
	// Leaving is true once the server wants no new work.
	Leaving bool `json:"leaving"`
}

// Holding is one version in a server's memory.
type Holding struct {
	Ref modelref.Ref `json:"ref"`
	// MemoryMB is what the version takes of the accelerator's memory, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// State is where the version is in its life.
	State HoldingState `json:"state"`
}

// HoldingState is the state of one version on a server.
type HoldingState string

// States of a holding. All of them take memory.
const (
	StateLoading   HoldingState = "loading"
	StateResident  HoldingState = "resident"
	StateUnloading HoldingState = "unloading"
)

// Inventory is a server's exact account of its memory and of the orders it took.
type Inventory struct {
	// Incarnation changes when the server process restarts with empty memory.
	Incarnation string `json:"incarnation"`
	// MemoryMB is the size of the accelerator's memory, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// Fence is the highest fencing number seen; servers that ignore fencing report 0.
	Fence uint64 `json:"fence"`
	// Holdings lists all that takes memory.
	Holdings []Holding `json:"holdings"`
	// Orders lists recent orders with their outcome, newest last.
	Orders []OrderOutcome `json:"orders"`
	// Role is the server's current role.
	Role string `json:"role"`
}

// Action is what an order asks a server to do.
type Action string

// Actions of orders. ActionFence changes nothing but the fencing number.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
	ActionFence  Action = "fence"
)

// Order asks a server to change what it holds.
type Order struct {
	// ID is unique; a server that saw it before answers with the first outcome.
	ID string `json:"id"`
	// Fence is the fencing number of the holder that gives the order.
	Fence uint64 `json:"fence"`
	// Action says what to do.
	Action Action `json:"action"`
	// Ref is the version to load or unload.
	Ref modelref.Ref `json:"ref,omitempty"`
	// Base is, for an adapter, the model version it extends.
	Base modelref.Ref `json:"base,omitempty"`
	// MemoryMB is the size of the version, in MiB.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Role is the new role, for ActionRole.
	Role string `json:"role,omitempty"`
}

// OrderState is how far a server got with an order.
type OrderState string

// States of an order on a server.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderOutcome is a server's account of one order.
type OrderOutcome struct {
	ID     string       `json:"id"`
	Fence  uint64       `json:"fence"`
	Action Action       `json:"action"`
	Ref    modelref.Ref `json:"ref,omitempty"`
	State  OrderState   `json:"state"`
	// Reason says why an order failed.
	Reason string `json:"reason,omitempty"`
}

// Server addresses one backend server.
type Server struct {
	// Name is the server's name in the configuration.
	Name string
	// Address is host:port.
	Address string
}

// Call is a request on its way to a server.
type Call struct {
	Request request.Request
	// Priority orders work inside the engine, 0 the most urgent.
	Priority int
	// Method and Path are those of the caller's HTTP request.
	Method, Path string
	// Header holds the caller's headers that may be passed on.
	Header http.Header
	// Body is the whole request body.
	Body []byte
}

// Event is one piece of a streamed answer.
type Event struct {
	// Offset is the position of the piece in the answer, from 0.
	Offset int
	// Data is the piece as the engine sent it.
	Data []byte
	// End marks the end of a whole answer; Data is then empty.
	End bool
}

// Stream is an answer as it arrives.
type Stream interface {
	// Next blocks for the next event. An answer that stops without an End event
	// yields an error, never io.EOF alone. Errors carry a verdict.
	Next() (Event, error)
	// Close releases the connection. It doesn't cancel the request on the server.
	Close() error
}

// RunState is a server's account of one request.
type RunState string

// States of a request on a server.
const (
	RunUnknown  RunState = "unknown"
	RunWaiting  RunState = "waiting"
	RunRunning  RunState = "running"
	RunDone     RunState = "done"
	RunCanceled RunState = "canceled"
)

// Response is the whole answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DataPlane carries requests to backend servers. Every error carries a verdict.
type DataPlane interface {
	// Generate sends a model request and returns its stream.
	Generate(ctx context.Context, server Server, call Call) (Stream, error)
	// Resume continues a stream of the same run, on a new connection, after the
	// event with the given offset; -1 starts at the first event.
	Resume(ctx context.Context, server Server, id request.ID, after int) (Stream, error)
	// State asks, on a new connection, what became of a request.
	State(ctx context.Context, server Server, id request.ID) (RunState, error)
	// Cancel asks the server to stop a request.
	Cancel(ctx context.Context, server Server, id request.ID) error
	// Invoke calls a plain service.
	Invoke(ctx context.Context, server Server, call Call) (Response, error)
}

// ControlPlane reads a server's state and gives it orders.
type ControlPlane interface {
	// Report reads the lagging load report.
	Report(ctx context.Context, server Server) (Report, error)
	// Inventory reads the exact account of memory and orders.
	Inventory(ctx context.Context, server Server) (Inventory, error)
	// Submit gives an order. An error of type *StaleFenceError proves that the order
	// was refused; after any other error the order may still arrive later.
	Submit(ctx context.Context, server Server, order Order) error
}

// Adapter is what a kind of backend server must offer.
type Adapter interface {
	DataPlane
	ControlPlane
}

// StaleFenceError is a server's refusal of an order with an old fencing number.
type StaleFenceError struct {
	// Seen is the highest fencing number that the server has seen.
	Seen uint64
}

// Error implements error.
func (e *StaleFenceError) Error() string { return "engine: order refused: stale fencing number" }
