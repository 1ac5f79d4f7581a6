// Package scheduling decides for each request on one instance when and on which server it
// runs, or why it is refused, from the state of the servers, the class and the deadline. It
// has no goroutines, sockets or clock: it takes events with their time and returns decisions
// that its caller carries out.
package scheduling

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling/pace"
	"limpethub/internal/scheduling/quota"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Action is what to do with a request.
type Action uint8

// The actions of decisions.
const (
	// Dispatch sends the request to Decision.Server.
	Dispatch Action = iota + 1
	// Queue keeps the request waiting until a later decision dispatches or refuses it.
	Queue
	// Refuse answers the caller with Decision.Err. The verdict is NotRun, or MayHaveRun if
	// an earlier attempt may have run.
	Refuse
	// PassOn passes the request on to one of Decision.Peers, which may send it to a server.
	PassOn
)

// Decision is a decision about one request. After each Arrive or Retry a request gets at
// most one Queue and exactly one Dispatch, Refuse or PassOn, unless it is canceled.
type Decision struct {
	ID     request.ID
	Action Action
	// Server is the backend server, for Dispatch.
	Server string
	// Peers are the instances that may get the request, for PassOn.
	Peers []string
	// Priority is sent to the engine with the request; 0 is the most urgent.
	Priority int
	// Reason is one short sentence for the log.
	Reason string
	// Err is the refusal, for Refuse.
	Err *verdict.Error
}

// Server describes a backend server, from the configuration, the platform's list and the
// failure domain of this instance.
type Server struct {
	Name          string
	FailureDomain string
	// StartMillis identifies the server's process; 0 if unknown.
	StartMillis int64
	// SoftwareVersion is the version of the process's software; empty if unknown.
	SoftwareVersion string
	// Near is true if the server is in the instance's own failure domain.
	Near bool
	// Leaving is true if the server must get no new requests.
	Leaving bool
	// PausedUntil is when the server accepts requests of this instance again, after it has
	// asked for a pause; zero if it hasn't.
	PausedUntil time.Time
	// Services lists the plain services of the server; empty for engines.
	Services []string
	// Pool is the service whose models a discovered engine runs; empty for other servers.
	Pool string
	// Slots is the batch size of the server: how many requests it runs at once; 0 if it
	// doesn't report it.
	Slots int
}

// Outcome describes how a dispatched request ended.
type Outcome struct {
	ID     request.ID
	Server string
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Err is nil if the answer is complete.
	Err error
	// FirstToken is the time from dispatch to the first token; 0 if there was none.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end.
	Duration time.Duration
	// Tokens is the number of tokens in the answer. Each event of a stream counts as one token.
	Tokens int
	// ServerLeaving is true if the server refused the request because it is leaving.
	ServerLeaving bool
	// Unsent is true if no part of the request reached the server.
	Unsent bool
	// NotResident is true if the server refused the request because it doesn't hold the model.
	NotResident bool
}

// ServerDigest is the entry for one server in a peer's digest of its outstanding requests.
type ServerDigest struct {
	// Instance is the peer that sent the digest.
	Instance string
	Server   string
	// Outstanding is how many requests the peer has on the server.
	Outstanding int
	// Classes splits Outstanding by class, the most urgent first.
	Classes []int
	// Tokens is how many answer tokens those requests may still need. It is sent to peers, but
	// no routing decision uses it.
	Tokens int
	// PendingPrefillTokens is how many prompt tokens of those requests the server has yet to
	// prefill.
	PendingPrefillTokens int
	// Speed is what the peer's samples show about the speed of the server that earlier digests didn't.
	Speed pace.Estimate
	// Sequence numbers the peer's digests; all entries of one digest carry the same number.
	Sequence uint64
}

// Scheduler takes the events of one instance and returns decisions. It isn't safe for
// concurrent use; the caller must hold a lock.
type Scheduler interface {
	// SetServers replaces the set of known servers.
	SetServers(now time.Time, servers []Server) []Decision
	// ObserveReport takes a server's report, which was read at now and may lag.
	ObserveReport(now time.Time, server string, report engine.Report) []Decision
	// ObserveLoad takes the load that a server sent with an answer.
	ObserveLoad(now time.Time, server string, load engine.StatedLoad) []Decision
	// ObserveResident takes the list of model and adapter versions that a server holds.
	ObserveResident(now time.Time, server string, refs []modelref.Ref) []Decision
	// ObserveUnreachable records that a server didn't answer a request for its report in time.
	ObserveUnreachable(now time.Time, server string) []Decision
	// ObserveReachable records that a server that didn't answer does so again.
	ObserveReachable(now time.Time, server string) []Decision
	// ObservePaused records that a server wants no requests of this instance until the given
	// time. It refuses the waiting requests that no other server can take in time.
	ObservePaused(now time.Time, server string, until time.Time) []Decision
	// ObserveLimit records how many requests a second a server takes from all instances together;
	// nil means that it names none any more.
	ObserveLimit(now time.Time, server string, limit *quota.Limit) []Decision
	// ObserveBrittle records whether a server says that it falls over if it must turn requests away. Then no server of
	// its service gets more than it has slots, from all instances together.
	ObserveBrittle(now time.Time, server string, brittle bool) []Decision
	// ObserveCall records that something else than a dispatched request was sent to a server, which
	// counts against its limit.
	ObserveCall(now time.Time, server string)
	// SetInstances sets the names of the instances that share the limits of servers.
	SetInstances(now time.Time, names []string)
	// RetryAfter returns how long the caller of a refused request should wait before it sends
	// the request again.
	RetryAfter(now time.Time, r request.Request) time.Duration
	// SetDocument replaces the configuration: classes, adapters and budgets. Waiting
	// requests move to the class with the name of their old one. A document without classes
	// is ignored.
	SetDocument(now time.Time, document *site.Document) []Decision
	// ObserveDigest takes one entry of a peer's digest. It may make room for waiting requests.
	ObserveDigest(now time.Time, digest ServerDigest) []Decision
	// ForgetPeer drops the request counts in the digests of a dead peer. Its pending prefill
	// tokens expire on their own.
	ForgetPeer(instance string)
	// Arrive takes a new request.
	Arrive(now time.Time, r request.Request) []Decision
	// Finish takes the end of a dispatched request and frees its place on the server. It
	// doesn't retry the request.
	Finish(now time.Time, o Outcome) []Decision
	// Retry asks for another attempt of a request whose last attempt ended. The retry is
	// refused if the retry budget is used up, if too little time is left until the deadline,
	// or if the request may have run and isn't idempotent. last.Verdict must be MayHaveRun if
	// any attempt may have run, so that a refusal never says NotRun for it.
	Retry(now time.Time, r request.Request, last Outcome) []Decision
	// MayRetry is Retry without a decision: it reports whether another attempt is allowed, which another
	// instance then makes, and takes it from the retry budget.
	MayRetry(now time.Time, r request.Request, last Outcome) bool
	// Progress records how many tokens of a dispatched request's answer have arrived. The first ones
	// show that the server has read the prompt, which may make room for waiting requests.
	Progress(now time.Time, id request.ID, tokens int) []Decision
	// Cancel drops a waiting request whose caller has gone away.
	Cancel(now time.Time, id request.ID) []Decision
	// Tick refuses the waiting requests that can no longer meet their deadline, and
	// dispatches those that have room.
	Tick(now time.Time) []Decision
	// NextTick returns when Tick must be called next; zero means never.
	NextTick() time.Time
	// Preview returns what would be decided about a request now. It leaves no request waiting
	// or dispatched, but advances the random source and may count a refusal as recent demand.
	Preview(now time.Time, r request.Request) Preview
	// ClassLoads counts this instance's requests by class, in the document's order.
	ClassLoads() []ClassLoad
	// WorkspacesWaiting counts the waiting requests of each workspace that has any.
	WorkspacesWaiting() map[string]int
	// RefLoads counts this instance's requests by model or adapter version.
	RefLoads(now time.Time) map[modelref.Ref]RefLoad
	// ServerLoads estimates the number of requests on each server, from all instances.
	ServerLoads(now time.Time) map[string]int
	// TakeUrgentUpdates returns the servers whose load peers should learn without delay, and
	// clears the list.
	TakeUrgentUpdates() []string
	// Digest returns this instance's outstanding requests per server, for its peers, and what it has
	// learned of the servers' speed since the last digest.
	Digest() []ServerDigest
	// DigestOf returns the outstanding requests on the given servers, without their speed.
	DigestOf(servers []string) []ServerDigest
	// TakeSpeedChanges returns the servers that were found slow or have recovered, and clears the list.
	TakeSpeedChanges() []SpeedChange
	// ServerSpeeds returns what is assumed of the speed of each server.
	ServerSpeeds(now time.Time) []ServerSpeed
	// SlowProbes returns how many requests were sent to slow servers only to see whether they still are.
	SlowProbes() uint64
}
