package scheduling

import (
	"limpethub/internal/site"
)

// DefaultPolicy is the routing policy that is used if the settings name none.
const DefaultPolicy = "routing.deadline"

// Options configures a Scheduler.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Seed seeds the random source for choices among near-equal servers.
	Seed uint64
	// Policy is the kernel name of the routing policy; empty means DefaultPolicy.
	Policy string
	// Admission is the kernel name of the admission policy; empty means the one that goes
	// with the routing policy.
	Admission string
	// Document is the configuration in force.
	Document *site.Document
}
