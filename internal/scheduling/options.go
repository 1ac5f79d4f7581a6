package scheduling

import (
	"limpethub/internal/site"
)

// DefaultPolicy is the routing policy of an instance whose settings name none.
const DefaultPolicy = "routing.deadline"

// Options configures a Scheduler.
type Options struct {
	// Instance is the name of this instance.
	Instance string
	// FailureDomain is where this instance runs.
	FailureDomain string
	// Seed starts the random source of choices among near-equal servers.
	Seed uint64
	// Policy is the dotted name of the routing policy; empty means DefaultPolicy.
	Policy string
	// Admission is the dotted name of the admission policy; empty means the one that
	// goes with the routing policy.
	Admission string
	// Document is the configuration in force.
	Document *site.Document
}
