// Package operatorapi is the operators' HTTP interface: its types, its server and
// its client. docs/OPERATIONS.md describes it for people.
package operatorapi

import (
	"context"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Controller does what operators ask for. The daemon implements it. The context ends
// before the client gives up, so that the client gets an answer.
type Controller interface {
	// Status describes the site as this instance sees it.
	Status(ctx context.Context) (Status, error)
	// Configuration returns the configuration in force on this instance.
	Configuration(ctx context.Context) (site.Accepted, error)
	// Apply puts a configuration in force if the one in force has the revision that
	// the change was edited from. Otherwise the error is a *ConflictError.
	Apply(ctx context.Context, change ApplyRequest) (site.Accepted, error)
	// Explain says where a model or adapter is, why, and what a request for it would
	// do now. An unknown one is a *NotFoundError.
	Explain(ctx context.Context, model string) (Explanation, error)
	// Locate lists the instances that callers of a model should use. An unknown one is
	// a *NotFoundError.
	Locate(ctx context.Context, model string) (Location, error)
	// Drain starts the planned stop of an instance, this one or a peer, and returns
	// once the instance has agreed. An unknown one is a *NotFoundError.
	Drain(ctx context.Context, instance string) error
}

// ApplyRequest asks for a change of configuration.
type ApplyRequest struct {
	// BaseRevision is the revision that the change was edited from; 0 for the first.
	BaseRevision uint64 `json:"base_revision"`
	// ChangeID is unique to the change, so that sending it twice applies it once.
	ChangeID string `json:"change_id"`
	// Document is the whole new configuration.
	Document site.Document `json:"document"`
}

// Status describes the site as one instance sees it.
type Status struct {
	// Instance is the instance that answers.
	Instance string `json:"instance"`
	Site     string `json:"site"`
	// Time is when the status was taken.
	Time time.Time `json:"time"`
	// Revision is the configuration in force on the answering instance.
	Revision uint64 `json:"revision"`
	// Placement says who places models.
	Placement PlacementStatus `json:"placement"`
	// Store is the state of the key-value service.
	Store     StoreStatus      `json:"store"`
	Instances []InstanceStatus `json:"instances"`
	Servers   []ServerStatus   `json:"servers"`
	Models    []ModelStatus    `json:"models"`
	Classes   []ClassStatus    `json:"classes"`
}

// InstanceState is the state of an entry instance.
type InstanceState string

// States of instances.
const (
	InstanceAlive    InstanceState = "alive"
	InstanceSuspect  InstanceState = "suspect"
	InstanceDraining InstanceState = "draining"
	InstanceDead     InstanceState = "dead"
)

// InstanceStatus describes one entry instance.
type InstanceStatus struct {
	Name          string        `json:"name"`
	State         InstanceState `json:"state"`
	FailureDomain string        `json:"failure_domain"`
	// CallerAddress is host:port for callers.
	CallerAddress string `json:"caller_address"`
	// Revision is the configuration that the instance last said it has in force.
	Revision uint64 `json:"revision"`
	// Requests is the number of requests in progress or waiting on the instance.
	Requests int `json:"requests"`
}

// PlacementStatus says who places models and what is under way.
type PlacementStatus struct {
	// Holder is the instance that holds the placement lease; empty means none known.
	Holder string `json:"holder"`
	// Fence is the holder's fencing number.
	Fence uint64 `json:"fence"`
	// OrdersPending is the number of orders whose outcome isn't known yet.
	OrdersPending int `json:"orders_pending"`
	// MovesTotal counts loads and unloads that the holder has ordered.
	MovesTotal uint64 `json:"moves_total"`
}

// StoreStatus describes the key-value service as seen by the answering instance.
type StoreStatus struct {
	// Reachable is whether the last call was answered.
	Reachable bool `json:"reachable"`
	// LastAnswer is when the service last answered; zero means never.
	LastAnswer time.Time `json:"last_answer,omitzero"`
	// Error is the last failure, while it is not reachable.
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
	// CommittedMB is what is or may become taken of it, in MiB.
	CommittedMB int64 `json:"committed_mb"`
	// Resident lists what can serve now.
	Resident []modelref.Ref `json:"resident"`
	// Running and Waiting are the numbers of requests in the last report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ReportAgeMillis is the age of the last report, in milliseconds.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

// CopyState is the state of one copy of a model.
type CopyState string

// States of copies.
const (
	CopyLoading   CopyState = "loading"
	CopyResident  CopyState = "resident"
	CopyUnloading CopyState = "unloading"
	CopyUnclear   CopyState = "unclear"
)

// Copy is one copy of a model or adapter on a server.
type Copy struct {
	Server        string    `json:"server"`
	FailureDomain string    `json:"failure_domain"`
	State         CopyState `json:"state"`
	// Reason says why the copy is there, or why it goes.
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
	// RequestsPerSecond is the recent rate of requests, as the answering instance
	// knows it.
	RequestsPerSecond float64 `json:"requests_per_second"`
}

// Reachable reports whether a copy can serve now.
func (m ModelStatus) Reachable() bool {
	for _, c := range m.Copies {
		if c.State == CopyResident {
			return true
		}
	}
	return false
}

// ClassStatus counts the requests of one class on the answering instance.
type ClassStatus struct {
	Name string `json:"name"`
	// Waiting and Running are the requests now waiting and in progress.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// InTime, Late and Refused count finished requests since the instance started.
	InTime  uint64 `json:"in_time"`
	Late    uint64 `json:"late"`
	Refused uint64 `json:"refused"`
}

// Explanation says where a model is, why, and what a request would do now.
type Explanation struct {
	// Asked is what the operator asked for; Status.Ref is what it resolves to.
	Asked  string      `json:"asked"`
	Status ModelStatus `json:"status"`
	// Floor is the number of copies that the planner keeps whatever the demand.
	Floor int `json:"floor"`
	// Placement holds the planner's reasons, one sentence each.
	Placement []string `json:"placement"`
	// Request says what a request would do now on the answering instance.
	Request RequestOutlook `json:"request"`
}

// RequestOutlook says what a request would do now.
type RequestOutlook struct {
	// Action is "dispatch", "queue" or "refuse".
	Action string `json:"action"`
	// Server is where it would go, for "dispatch".
	Server string `json:"server,omitempty"`
	// Code is the cause, for "refuse".
	Code verdict.Code `json:"code,omitempty"`
	// Reason is one sentence.
	Reason string `json:"reason"`
	// Candidates lists the servers considered, the best first.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is a server that a request could go to.
type Candidate struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failure_domain"`
	// Outstanding is the work there that the answering instance counts.
	Outstanding int `json:"outstanding"`
	// PredictedMillis is the predicted time to the whole answer, in milliseconds.
	PredictedMillis int64 `json:"predicted_ms"`
	// Excluded says why the server was not eligible; empty means it was.
	Excluded string `json:"excluded,omitempty"`
}

// Location lists the instances that callers of a model should use, the best first.
type Location struct {
	Model   modelref.Ref `json:"model"`
	Entries []Entry      `json:"entries"`
	// TTLMillis is how long the answer may be kept, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// Entry is one instance for callers.
type Entry struct {
	Instance string `json:"instance"`
	// Address is host:port for callers.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}
