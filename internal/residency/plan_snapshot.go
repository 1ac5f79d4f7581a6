package residency

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// Model is a configured model, which must always have a copy.
type Model struct {
	Ref      modelref.Ref
	MemoryMB int64
	// WeightStoreLoadTime, DiskLoadTime and MemoryLoadTime are the durations of a load from
	// the weight store, from a server's disk and from a server's memory.
	WeightStoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
}

// Adapter is a configured adapter. It extends a base model and can be loaded only on a server
// where that model is resident.
type Adapter struct {
	Ref, Base modelref.Ref
	MemoryMB  int64
}

// Need is the demand for a model or adapter.
type Need struct {
	// Load is the demand: how many copies the current requests would fill, averaged over about a
	// second.
	// HeldLoad follows Load when it rises, but falls more slowly.
	Load, HeldLoad float64
	// Waiting is the number of requests without a copy to run on.
	Waiting int
	// LastUsed is when a request was last seen.
	LastUsed time.Time
	// UnservedSince is since when requests have waited without a copy to run on, while none was seen running; zero if none has.
	// It stays over times without requests.
	UnservedSince time.Time
}

// ServerView is the state of one server as the plan sees it.
type ServerView struct {
	ID, FailureDomain string
	// Ready is true if an order may be sent to the server now.
	Ready bool
	// MemoryMB is the memory for models and adapters. ReservedMB is the part of it that
	// orders with an unclear outcome may still take.
	MemoryMB, ReservedMB int64
	AdapterSlots         int
	// Models and Adapters hold the state of each version on the server.
	Models, Adapters map[modelref.Ref]engine.HoldingState
	// InUse are the adapters being unloaded that the server keeps until their requests have ended.
	InUse map[modelref.Ref]bool
	// InMemory and OnDisk are the models whose weights the server has in memory or on disk.
	InMemory, OnDisk map[modelref.Ref]bool
	// Requests is the number of requests on the server.
	Requests int
	// NextLoad is the model for which memory was or is being freed on the server; empty if
	// there is none.
	NextLoad modelref.Ref
}

// Snapshot is the input of Plan for one pool.
type Snapshot struct {
	Now      time.Time
	Models   []Model
	Adapters []Adapter
	// Servers lists the servers that are reachable and not leaving.
	Servers []ServerView
	Needs   map[modelref.Ref]Need
	// WeightStoreLoads is how many loads from the weight store may start now.
	WeightStoreLoads int
	// WeightStoreLoadPeriod is the time between two loads at the weight store's rate; 0 if
	// unknown.
	WeightStoreLoadPeriod time.Duration
}

// Move is an order that the plan asks for: to load or unload a version on a server.
type Move struct {
	Server string
	Action engine.Action
	Ref    modelref.Ref
	// FromWeightStore is true for a load that reads the weights from the weight store.
	FromWeightStore bool
	// For is the model for which an unload frees memory, later the server's NextLoad.
	For modelref.Ref
	// Reason is a short explanation for the log.
	Reason string
}
