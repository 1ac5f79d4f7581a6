package routing

import "limpethub/internal/kernel"

// Names under which the routing policies are registered. PolicyDeadline is the default; the
// others are baselines for comparison that behave like a plain load balancer.
const (
	// PolicyDeadline drops servers that are full or predicted to miss the deadline, and picks
	// among those with the earliest predicted finish.
	PolicyDeadline = "routing.deadline"
	// PolicyRoundRobin picks the servers in turn.
	PolicyRoundRobin = "routing.round-robin"
	// PolicyRandomOfTwo picks the less loaded of two random servers.
	PolicyRandomOfTwo = "routing.random-of-two"
	// PolicyLeastOutstanding picks the server on which this instance has the fewest requests.
	PolicyLeastOutstanding = "routing.least-outstanding"
)

// Names of the admission policies that go with the routing policies, as package admission
// registers them. The baselines dispatch immediately and refuse nothing.
const (
	admissionDeadline = "admission.deadline"
	admissionNone     = "admission.none"
)

func init() {
	kernel.Register(kernel.Module{Name: PolicyDeadline, New: func() any { return newDeadline() }})
	kernel.Register(kernel.Module{Name: PolicyRoundRobin, New: func() any {
		return newBaseline(constant{}, inTurn{})
	}})
	kernel.Register(kernel.Module{Name: PolicyRandomOfTwo, New: func() any {
		return newBaseline(outstanding{}, randomOfTwo{})
	}})
	kernel.Register(kernel.Module{Name: PolicyLeastOutstanding, New: func() any {
		return newBaseline(outstanding{}, lowest{})
	}})
}

func newDeadline() *Policy {
	return &Policy{
		Filters:   []Filter{room{}, backlog{}, urgentBacklog{}, inTime{}},
		Scorer:    finish{},
		Picker:    nearEqual{},
		Admission: admissionDeadline,
	}
}

func newBaseline(scorer Scorer, picker Picker) *Policy {
	return &Policy{Scorer: scorer, Picker: picker, Admission: admissionNone}
}
