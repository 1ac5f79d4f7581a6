// Package placement plans which model and adapter versions are resident on which
// server. A policy is a pure function from what is known to a short list of moves;
// the placer carries them out and asks again.
package placement

import (
	"time"

	"limpethub/internal/demand"
	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// Copy is one version on one server.
type Copy struct {
	Ref modelref.Ref
	// State is the copy's state. A pending load counts as loading, a pending unload
	// as unloading.
	State engine.HoldingState
	// MemoryMB is what it takes, in MiB.
	MemoryMB int64
	// Since is when the holder saw it loaded; zero means before its time.
	Since time.Time
}

// Server is what is known of one engine server.
type Server struct {
	Name          string
	FailureDomain string
	// CapacityMB and CommittedMB are in MiB. Committed memory covers all copies and
	// all that pending orders could add.
	CapacityMB, CommittedMB int64
	// TokensPerSecond is how much work the server can do.
	TokensPerSecond float64
	// Ready is true when orders may be given to the server.
	Ready bool
	// Reachable is true while the server answers.
	Reachable bool
	// Leaving is true for a server that is to be emptied.
	Leaving bool
	Copies  []Copy
}

// DomainBudget limits new loads in one failure domain.
type DomainBudget struct {
	FailureDomain string
	Loads         int
}

// Budget limits the moves of one plan.
type Budget struct {
	// Loads is how many loads may be ordered now.
	Loads int
	// Domains limits them per failure domain; one that isn't listed has no limit.
	Domains []DomainBudget
}

// Input is all that a policy decides from.
type Input struct {
	Now      time.Time
	Document *site.Document
	// Servers lists the engine servers, in a stable order.
	Servers []Server
	// Demand holds the estimates, sorted by reference.
	Demand []demand.Estimate
	Budget Budget
	// FloorOnly withholds moves that demand would justify, while the estimates are
	// too young to trust.
	FloorOnly bool
	// Goals are those of the last plan, so that a policy finishes what it began.
	Goals []Goal
}

// Goal is a copy that a plan began to make room for and couldn't load yet.
type Goal struct {
	Ref    modelref.Ref
	Server string
	// Began is when the goal was first set.
	Began time.Time
}

// Move is one change that a policy asks for.
type Move struct {
	// Action is engine.ActionLoad, engine.ActionUnload or engine.ActionRole.
	Action engine.Action
	Server string
	Ref    modelref.Ref
	// Base is the version that an adapter extends.
	Base modelref.Ref
	// MemoryMB is the size of a load, in MiB.
	MemoryMB int64
	// Role is the new role, for engine.ActionRole.
	Role string
	// Wanted is false for a version that the configuration no longer has.
	Wanted bool
	// Reason is one short sentence for logs and operators.
	Reason string
	// Gain is the value of the move, in weighted tokens per second; 0 for the floor.
	Gain float64
}

// Shortfall is something that the plan can't provide.
type Shortfall struct {
	Ref modelref.Ref
	// Unreachable is true when no copy can be made; else only a wish is unmet.
	Unreachable bool
	Reason      string
}

// Plan is a policy's decision.
type Plan struct {
	Moves      []Move
	Shortfalls []Shortfall
	Goals      []Goal
}

// Policy decides on moves. Implementations register with the kernel under
// "placement.<name>" and must be deterministic.
type Policy interface {
	Plan(in Input) Plan
}
