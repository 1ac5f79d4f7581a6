// Package placement decides which units are resident on which engine server. A unit is
// a model version or an adapter version. A policy is a pure function from the known state
// of a cell, the group of servers that one lease holder places units on, to a plan of
// loads and unloads within a budget; package placer carries the plan out and asks for the
// next one.
package placement

import (
	"time"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// Copy is one resident version of a model or adapter on one server.
type Copy struct {
	Ref modelref.Ref
	// State is the copy's state once pending orders are taken into account: a pending
	// load counts as loading, a pending unload as unloading.
	State engine.HoldingState
	// MemoryMB is the accelerator memory that the copy uses, in MiB.
	MemoryMB int64
	// LoadedAt is when this instance, as the lease holder, saw the load complete; zero if it
	// didn't see that.
	LoadedAt time.Time
}

// Server is the known state of one engine server.
type Server struct {
	Name          string
	FailureDomain string
	// CapacityMB and CommittedMB are in MiB. Committed memory covers all copies and
	// everything that pending orders could add.
	CapacityMB, CommittedMB int64
	// TokensPerSecond is the server's throughput; 0 if unknown.
	TokensPerSecond float64
	// Ready is true when the server may be given orders.
	Ready bool
	// Reachable is true while the server answers inventory requests.
	Reachable bool
	// Leaving is true for a server that is about to stop. It gets no new copies.
	Leaving bool
	Copies  []Copy
}

// DomainBudget limits new loads in one failure domain.
type DomainBudget struct {
	FailureDomain string
	Loads         int
}

// Budget limits the loads that one plan may order, to protect the weight store, from which
// servers fetch model weights.
type Budget struct {
	// Loads is the number of loads that may be ordered now.
	Loads int
	// Domains limits loads per failure domain; a domain that isn't listed is unlimited.
	Domains []DomainBudget
}

// Input is everything that a policy may base its decision on.
type Input struct {
	Now time.Time
	// Document is the configuration in force.
	Document *site.Document
	// Servers lists the engine servers, in a stable order.
	Servers []Server
	// Demand holds the demand estimates, sorted by reference.
	Demand []demand.Estimate
	Budget Budget
	// IgnoreDemand suppresses moves that only demand justifies, because the estimates don't
	// cover enough time yet. The minimum copies are still maintained: a first copy of each
	// unit, and a second one in another failure domain where there is room.
	IgnoreDemand bool
	// Goals are the goals of the previous plan, so that a policy can complete them.
	Goals []Goal
}

// Goal is a copy that a plan decided on but couldn't load yet, because memory, the load
// budget or an adapter's base wasn't available.
type Goal struct {
	Ref    modelref.Ref
	Server string
	// BegunAt is when the goal was first set.
	BegunAt time.Time
}

// Move is one order that a policy asks for.
type Move struct {
	// Action is engine.ActionLoad, engine.ActionUnload or engine.ActionRole. No policy in
	// this package uses ActionRole.
	Action engine.Action
	Server string
	Ref    modelref.Ref
	// Base is the version that an adapter extends.
	Base modelref.Ref
	// MemoryMB is the memory that a load needs, in MiB.
	MemoryMB int64
	// Role is the server's new role, one of site.Server.Roles, for engine.ActionRole.
	Role string
	// Wanted is false for an unload of a version that is no longer configured. The ledger
	// then allows the unload even of the last copy.
	Wanted bool
	// Reason is one short sentence for logs and operators.
	Reason string
	// Gain is the value of the demand that the move lets finish in time, in weighted tokens
	// per second; for an eviction, the value lost is subtracted. It is 0 for moves that
	// maintain the minimum copies.
	Gain float64
}

// Shortfall is a copy that the plan can't provide.
type Shortfall struct {
	Ref modelref.Ref
	// Unreachable is true when the version has no copy and the plan finds no room for one.
	// Otherwise it has a copy, but none in a second failure domain. It doesn't depend on
	// Server.Reachable.
	Unreachable bool
	Reason      string
}

// Plan is a policy's decision.
type Plan struct {
	Moves      []Move
	Shortfalls []Shortfall
	Goals      []Goal
}

// Policy decides which moves to make. Implementations register with package kernel under
// "placement.<name>" and must be deterministic.
type Policy interface {
	Plan(in Input) Plan
}
