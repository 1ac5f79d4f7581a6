// Package operatorapi implements the HTTP interface through which operators inspect and
// change a site: its types, the handler on an instance and the client of the command-line
// tool. Package gateway is the interface for callers. See docs/OPERATIONS.md.
package operatorapi

import (
	"context"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Controller carries out what operators ask for. The daemon implements it. The context of
// each call ends before the client times out, so that the client receives an answer.
type Controller interface {
	// Status describes the site as this instance knows it.
	Status(ctx context.Context) (Status, error)
	// Configuration returns the configuration in force on this instance.
	Configuration(ctx context.Context) (site.Accepted, error)
	// Apply puts a new configuration in force if the one in force has the revision
	// that the change was edited from. Otherwise the error is a *ConflictError.
	Apply(ctx context.Context, change ApplyRequest) (site.Accepted, error)
	// Explain returns where a model or adapter is, why, and what the instance would do
	// with a request for it now. For an unknown name the error is a *NotFoundError.
	Explain(ctx context.Context, model string) (Explanation, error)
	// Locate lists the instances that callers of a model should use. For an unknown
	// name the error is a *NotFoundError.
	Locate(ctx context.Context, model string) (Location, error)
	// Drain starts the drain of an instance, this one or a peer, and returns once the
	// instance has accepted. For an unknown name the error is a *NotFoundError.
	Drain(ctx context.Context, instance string) error
	// Quarantine lists the parts of prompts and the requests that servers don't get, or that one
	// instance tries again, because servers ended with them.
	Quarantine(ctx context.Context) (Quarantine, error)
	// Release ends the quarantine of a part or a request on all instances, which is named by its hash.
	// For one that isn't in quarantine the error is a *NotFoundError.
	Release(ctx context.Context, name string) error
}

// Quarantine lists the parts of prompts and the requests in quarantine.
type Quarantine struct {
	Parts    []Quarantined `json:"parts"`
	Requests []Quarantined `json:"requests,omitempty"`
}

// Quarantined is a part of prompts, or a request, that servers ended with.
type Quarantined struct {
	// Part is the hash of the part's id, and Request the identity of the request, as in logs. One of
	// them is empty.
	Part    string `json:"part,omitempty"`
	Request string `json:"request,omitempty"`
	// Crashes is how many servers ended with it. First and Last are the times of the first and the
	// last of them.
	Crashes int       `json:"crashes"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	// Until is when one instance tries it again; zero if that is so already.
	Until time.Time `json:"until,omitzero"`
}

// ApplyRequest asks an instance to put a new configuration in force.
type ApplyRequest struct {
	// BaseRevision is the revision that the change was edited from; 0 means that there
	// was no configuration before.
	BaseRevision uint64 `json:"base_revision"`
	// ChangeID is unique per change, so that a change that is sent twice applies once.
	ChangeID string `json:"change_id"`
	// Document is the whole new configuration.
	Document site.Document `json:"document"`
}

// Status describes the site as one instance knows it.
type Status struct {
	// Instance is the instance that answers the call.
	Instance string `json:"instance"`
	Site     string `json:"site"`
	// Time is when the answering instance collected the status.
	Time time.Time `json:"time"`
	// Revision is the revision of the configuration in force on the answering instance.
	Revision uint64 `json:"revision"`
	// Placement describes the placement lease and its orders.
	Placement PlacementStatus `json:"placement"`
	// Store is the state of the key-value store.
	Store     StoreStatus      `json:"store"`
	Instances []InstanceStatus `json:"instances"`
	Servers   []ServerStatus   `json:"servers"`
	Models    []ModelStatus    `json:"models"`
	Classes   []ClassStatus    `json:"classes"`
}

// InstanceState is the state of an instance.
type InstanceState string

// States of instances, as the answering instance sees them.
const (
	InstanceAlive InstanceState = "alive"
	// InstanceSuspect means that the instance missed heartbeats. It becomes alive again if
	// it refutes the suspicion in time, and otherwise dead.
	InstanceSuspect  InstanceState = "suspect"
	InstanceDraining InstanceState = "draining"
	// InstanceDead means that the instance didn't refute the suspicion in time.
	InstanceDead InstanceState = "dead"
)

// InstanceStatus describes one instance.
type InstanceStatus struct {
	Name          string        `json:"name"`
	State         InstanceState `json:"state"`
	FailureDomain string        `json:"failure_domain"`
	// CallerAddress is the host:port for callers.
	CallerAddress string `json:"caller_address"`
	// Revision is the revision that the instance last reported to have in force.
	Revision uint64 `json:"revision"`
	// Requests is the number of requests in progress or waiting on the instance. It is known
	// for the answering instance only, and 0 for all others.
	Requests int `json:"requests"`
}

// PlacementStatus describes the placement lease and the orders of its holder.
type PlacementStatus struct {
	// Holder is the instance that holds the placement lease; empty if none is known.
	Holder string `json:"holder"`
	// Fence is the fencing number of the holder's lease.
	Fence uint64 `json:"fence"`
	// OrdersPending is the number of orders without a known outcome.
	OrdersPending int `json:"orders_pending"`
	// MovesTotal counts the loads and unloads that the holder has ordered. The daemon doesn't
	// set it, so it is always 0 in the daemon's answers.
	MovesTotal uint64 `json:"moves_total"`
}

// StoreStatus describes the key-value store as the answering instance sees it.
type StoreStatus struct {
	// Reachable is true if the last call to the store was answered.
	Reachable bool `json:"reachable"`
	// LastAnswer is when the store last answered; zero means never.
	LastAnswer time.Time `json:"last_answer,omitzero"`
	// Error is the last failure; empty while the store is reachable.
	Error string `json:"error,omitempty"`
}

// ServerState is the state of a backend server.
type ServerState string

// States of servers.
const (
	ServerLive        ServerState = "live"
	ServerLeaving     ServerState = "leaving"
	ServerUnreachable ServerState = "unreachable"
)

// ServerStatus describes one backend server.
type ServerStatus struct {
	Name          string          `json:"name"`
	Kind          site.ServerKind `json:"kind"`
	State         ServerState     `json:"state"`
	FailureDomain string          `json:"failure_domain"`
	// MemoryMB is the size of the accelerator memory, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// CommittedMB is the part of MemoryMB that the ledger counts as taken: by copies and by
	// pending load orders, in MiB.
	CommittedMB int64 `json:"committed_mb"`
	// Resident lists the models and adapters that can serve requests now.
	Resident []modelref.Ref `json:"resident"`
	// Running and Waiting are the numbers of requests in the server's last report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ReportAgeMillis is the age of the last report, in milliseconds.
	ReportAgeMillis int64 `json:"report_age_ms"`
	// Slowdown is how long the server takes, as a multiple of what is usual in its service; 0 if it
	// doesn't differ enough to matter.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Limit is the most requests that the server gets since it slows down with more; 0 for no such limit.
	Limit int `json:"limit,omitempty"`
}

// CopyState is the state of one copy of a model.
type CopyState string

// States of copies.
const (
	CopyLoading   CopyState = "loading"
	CopyResident  CopyState = "resident"
	CopyUnloading CopyState = "unloading"
	// CopyUnclear means that the outcome of an order for the copy isn't known. The daemon
	// never sends it.
	CopyUnclear CopyState = "unclear"
)

// Copy is one copy of a model or adapter on a server.
type Copy struct {
	Server        string    `json:"server"`
	FailureDomain string    `json:"failure_domain"`
	State         CopyState `json:"state"`
	// Reason says why the copy is there or why it is being unloaded.
	Reason string `json:"reason,omitempty"`
}

// ModelStatus describes one model or adapter version.
type ModelStatus struct {
	Ref modelref.Ref `json:"ref"`
	// Base is the model version that an adapter extends; empty for a model.
	Base     modelref.Ref `json:"base,omitempty"`
	MemoryMB int64        `json:"memory_mb"`
	Class    string       `json:"class"`
	Copies   []Copy       `json:"copies"`
	// RequestsPerSecond is the recent rate of requests that the answering instance
	// knows of.
	RequestsPerSecond float64 `json:"requests_per_second"`
}

// HasResidentCopy reports whether any copy is resident. It doesn't check that the server of the
// copy can be reached.
func (m ModelStatus) HasResidentCopy() bool {
	for _, c := range m.Copies {
		if c.State == CopyResident {
			return true
		}
	}
	return false
}

// ClassStatus counts the requests of one class of work on the answering instance.
type ClassStatus struct {
	Name string `json:"name"`
	// Waiting and Running are the numbers of requests that are queued and in progress.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// InTime, Late and Refused count requests that ended since the instance started. InTime
	// counts those that succeeded in time, Refused those that failed without being run, and
	// Late the others: those that succeeded late, and those that failed and may have run.
	InTime  uint64 `json:"in_time"`
	Late    uint64 `json:"late"`
	Refused uint64 `json:"refused"`
}

// Explanation says where a model or adapter is, why, and what the answering instance would do
// with a request for it now.
type Explanation struct {
	// Asked is the name in the operator's call; Status.Ref is the version it resolves to.
	Asked  string      `json:"asked"`
	Status ModelStatus `json:"status"`
	// Floor is the minimum number of copies, kept without any demand.
	Floor int `json:"floor"`
	// Placement holds the reasons of the placement decisions, one sentence each.
	Placement []string `json:"placement"`
	// Request says what the answering instance would do with a request now.
	Request RequestPreview `json:"request"`
}

// RequestPreview predicts what the answering instance would do with a request now.
type RequestPreview struct {
	// Action is "dispatch", "queue" or "refuse".
	Action string `json:"action"`
	// Server is the server that would get the request, for "dispatch".
	Server string `json:"server,omitempty"`
	// Code is the cause of the refusal, for "refuse".
	Code verdict.Code `json:"code,omitempty"`
	// Reason is the reason for the action, in one sentence.
	Reason string `json:"reason"`
	// Candidates lists the servers that were considered, best first.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is a server considered for a request.
type Candidate struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failure_domain"`
	// Outstanding is the estimated number of requests on the server, from all instances.
	Outstanding int `json:"outstanding"`
	// PredictedMillis is the predicted time until the whole answer is delivered, in
	// milliseconds.
	PredictedMillis int64 `json:"predicted_ms"`
	// Excluded says why the server can't get the request; empty if it can.
	Excluded string `json:"excluded,omitempty"`
}

// Location lists the instances that callers of a model should use, best first.
type Location struct {
	Model   modelref.Ref `json:"model"`
	Entries []Entry      `json:"entries"`
	// TTLMillis is how long a client may cache the answer, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// Entry is one instance that callers can use.
type Entry struct {
	Instance string `json:"instance"`
	// Address is the host:port for callers.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}
