package routing

import "limpethub/internal/kernel"

// Names of the policies.
const (
	// PolicyDeadline weighs the predicted finish against the deadline.
	PolicyDeadline = "routing.deadline"
	// PolicyRoundRobin takes servers in turn.
	PolicyRoundRobin = "routing.round-robin"
	// PolicyRandomOfTwo takes the less loaded of two random servers.
	PolicyRandomOfTwo = "routing.random-of-two"
	// PolicyLeastOutstanding takes the server on which this instance has least.
	PolicyLeastOutstanding = "routing.least-outstanding"
)

// Names of the admission policies that the routing policies go with. The baselines
// are what a plain balancer does: they dispatch at once and refuse nothing.
const (
	admissionDeadline = "admission.deadline"
	admissionNone     = "admission.none"
)

func init() {
	kernel.Register(kernel.Module{Name: PolicyDeadline, New: func() any { return newDeadline() }})
	kernel.Register(kernel.Module{Name: PolicyRoundRobin, New: func() any {
		return baseline(constant{}, inTurn{})
	}})
	kernel.Register(kernel.Module{Name: PolicyRandomOfTwo, New: func() any {
		return baseline(outstanding{}, randomOfTwo{})
	}})
	kernel.Register(kernel.Module{Name: PolicyLeastOutstanding, New: func() any {
		return baseline(outstanding{}, lowest{})
	}})
}

func newDeadline() *Policy {
	return &Policy{
		Filters:   []Filter{room{}, backlog{}, inTime{}},
		Scorer:    finish{},
		Picker:    nearEqual{},
		Admission: admissionDeadline,
	}
}

func baseline(scorer Scorer, picker Picker) *Policy {
	return &Policy{Scorer: scorer, Picker: picker, Admission: admissionNone}
}
