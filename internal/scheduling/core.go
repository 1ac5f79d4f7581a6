// Package scheduling decides, for each request on one instance, when and where it
// runs or why it is refused. It has no goroutine, socket or clock: it takes a time
// and an event and returns decisions, which its caller carries out.
package scheduling

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Action says what to do with a request.
type Action uint8

// Actions of decisions.
const (
	// Dispatch sends the request to Decision.Server.
	Dispatch Action = iota + 1
	// Queue keeps the request waiting; a later decision ends the wait.
	Queue
	// Refuse answers the caller with Decision.Err. Its verdict is NotRun, but for a
	// retried request of which an earlier attempt may have run.
	Refuse
)

// Decision is one decision about one request. Each request gets at most one Queue
// and exactly one Dispatch or Refuse per Arrive or Retry, unless it is canceled.
type Decision struct {
	ID     request.ID
	Action Action
	// Server is the backend server, for Dispatch.
	Server string
	// Priority goes to the engine with the request, 0 the most urgent.
	Priority int
	// Reason is one short sentence for the log.
	Reason string
	// Err is the refusal, for Refuse.
	Err *verdict.Error
}

// Server is what scheduling knows of a backend server from the configuration,
// the platform's list and the distance of its failure domain.
type Server struct {
	Name          string
	FailureDomain string
	// Near is true in the instance's own failure domain.
	Near bool
	// Leaving is true for a server that must get no new work.
	Leaving bool
	// Services lists the plain services that the server offers; empty for engines.
	Services []string
	// Pool is the service whose models a discovered engine runs; empty for all others.
	Pool string
	// Slots is how many requests the server runs at once; 0 if it doesn't say.
	Slots int
}

// Outcome says how a dispatched request ended.
type Outcome struct {
	ID     request.ID
	Server string
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Err is nil for a whole answer.
	Err error
	// FirstToken is the time from dispatch to the first event; 0 if none came.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end.
	Duration time.Duration
	// Tokens is how many events came.
	Tokens int
	// ServerLeaving is true when the server refused because it is leaving.
	ServerLeaving bool
	// Unsent is true when nothing of the request reached the server.
	Unsent bool
	// NotResident is true when the server refused because it doesn't hold the model.
	NotResident bool
}

// Remote is another instance's digest of its work on one server.
type Remote struct {
	// Instance is the peer that sent the digest.
	Instance string
	Server   string
	// Outstanding is how many requests the peer has on the server.
	Outstanding int
	// Classes splits Outstanding by class, the most urgent first.
	Classes []int
	// Tokens is how many tokens those still need.
	Tokens int
	// Unread is how many prompt tokens of those the server still has to read.
	Unread int
	// Sequence grows with each digest of one peer.
	Sequence uint64
}

// Scheduler is the set of events that the forwarding shell feeds to scheduling.
// It isn't safe for concurrent use; the shell holds a lock.
type Scheduler interface {
	// SetServers replaces the set of known servers.
	SetServers(now time.Time, servers []Server) []Decision
	// ObserveReport takes a server's lagging report, read at now.
	ObserveReport(now time.Time, server string, report engine.Report) []Decision
	// ObserveLoad takes what a server told of its load with an answer.
	ObserveLoad(now time.Time, server string, load engine.Load) []Decision
	// ObserveResident takes the list of versions that a server holds.
	ObserveResident(now time.Time, server string, refs []modelref.Ref) []Decision
	// ObserveUnreachable notes that a server didn't answer a report in time.
	ObserveUnreachable(now time.Time, server string) []Decision
	// SetDocument takes a new configuration: its classes, adapters and budgets.
	// Waiting requests keep their class by name.
	SetDocument(now time.Time, document *site.Document) []Decision
	// ObserveRemote takes a peer's digest. It may free waiting work.
	ObserveRemote(now time.Time, remote Remote) []Decision
	// ForgetRemote drops what a dead peer last said.
	ForgetRemote(instance string)
	// Arrive takes a new request.
	Arrive(now time.Time, r request.Request) []Decision
	// Finish takes the end of a dispatched request. It frees the server's slot; it
	// doesn't retry by itself.
	Finish(now time.Time, o Outcome) []Decision
	// Retry asks for another dispatch of a request whose last one ended. It is
	// refused without budget, without time or without a proof that it may repeat.
	// last.Verdict is the least certain one of all attempts so far: once an attempt
	// may have run, a later refusal carries that verdict and not NotRun.
	Retry(now time.Time, r request.Request, last Outcome) []Decision
	// Progress notes that events of a dispatched request arrived.
	Progress(now time.Time, id request.ID, tokens int)
	// Cancel forgets a waiting request whose caller has gone.
	Cancel(now time.Time, id request.ID) []Decision
	// Tick refuses waiting requests that can no longer make their deadline.
	Tick(now time.Time) []Decision
	// NextTick is when Tick should next be called; zero means not needed.
	NextTick() time.Time
	// Outlook says what a request would do now, without doing it.
	Outlook(now time.Time, r request.Request) Outlook
	// ClassLoads counts this instance's requests, by class in the document's order.
	ClassLoads() []ClassLoad
	// RefLoads counts this instance's requests, by version.
	RefLoads(now time.Time) map[modelref.Ref]RefLoad
	// ServerLoads estimates the requests on each server, from all instances.
	ServerLoads(now time.Time) map[string]int
	// TakeNews lists, once, the servers whose load peers should learn soon.
	TakeNews() []string
	// Digest lists this instance's outstanding work per server.
	Digest() []Remote
}
