package residency

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// Model is a model that must stay reachable.
type Model struct {
	Ref      modelref.Ref
	MemoryMB int64
	// Load, Disk and Warm are the times of a load from the weight store, from a server's
	// disk and from its memory.
	Load, Disk, Warm time.Duration
}

// Adapter extends a model on the same server.
type Adapter struct {
	Ref, Base modelref.Ref
	MemoryMB  int64
}

// Need is how much a model or adapter is asked for.
type Need struct {
	// Load is how many copies the requests would fill, averaged over the last second, and
	// Held the same, slow to fall.
	Load, Held float64
	// Waiting is how many requests wait for lack of a copy.
	Waiting int
	// LastUsed is when there last was a request.
	LastUsed time.Time
}

// ServerView is what is known of one server.
type ServerView struct {
	ID, FailureDomain string
	// Ready is true when an order may be given now.
	Ready bool
	// MemoryMB is the memory for models and adapters, and ReservedMB the part that orders
	// with an unclear outcome may yet take.
	MemoryMB, ReservedMB int64
	AdapterSlots         int
	// Models and Adapters hold the state of each version on the server.
	Models, Adapters map[modelref.Ref]engine.HoldingState
	// InMemory and OnDisk tell which models the server has at hand.
	InMemory, OnDisk map[modelref.Ref]bool
	// Requests is how many requests the server has.
	Requests int
	// Goal is the model for which room was or is being made; empty for none.
	Goal modelref.Ref
}

// Snapshot is all that Plan decides from.
type Snapshot struct {
	Now      time.Time
	Models   []Model
	Adapters []Adapter
	// Servers lists the servers that stay.
	Servers []ServerView
	Needs   map[modelref.Ref]Need
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
}

// Move is an order to give.
type Move struct {
	Server string
	Action engine.Action
	Ref    modelref.Ref
	// FromStore is true for a load that the weight store must serve.
	FromStore bool
	// For is, for an unload, the model for which it makes room.
	For modelref.Ref
	// Reason is one short sentence for the log.
	Reason string
}
