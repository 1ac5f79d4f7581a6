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
	// FailureDomain is the failure domain of this instance. The scheduler decides by Server.Near
	// and doesn't use it.
	FailureDomain string
	// Seed seeds the random source for choices among near-equal servers.
	Seed uint64
	// Policy is the name under which the routing policy is registered, such as
	// "routing.deadline"; empty means DefaultPolicy.
	Policy string
	// Admission is the name under which the admission policy is registered, such as
	// "admission.deadline"; empty means the one that goes with the routing policy.
	Admission string
	// Speeds says for which servers the speed is learned.
	Speeds SpeedLearning
	// Document is the configuration in force.
	Document *site.Document
}

// SpeedLearning says for which servers the speed is learned.
type SpeedLearning uint8

const (
	// SpeedsWhereStated learns the speed of servers of services in which some server states how long work takes at
	// the moment. Such servers share their machines with others. Elsewhere, differences between servers mostly come from
	// what they were sent, such as prompts that are cached.
	SpeedsWhereStated SpeedLearning = iota
	// SpeedsAlways learns the speed of all servers.
	SpeedsAlways
	// SpeedsNever learns none.
	SpeedsNever
)
