// Package request holds the typed form of a caller's request that routing, admission and
// forwarding share, and the names of the HTTP headers that callers use.
package request

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"limpethub/internal/modelref"
)

// Names of HTTP headers. See docs/CALLERS.md.
const (
	// HeaderID carries the caller's request ID. If it is absent, an ID is generated.
	HeaderID = "X-Request-Id"
	// HeaderClass carries the class of work.
	HeaderClass = "Limpethub-Class"
	// HeaderTimeout carries the time left until the deadline, in milliseconds.
	HeaderTimeout = "Limpethub-Timeout-Ms"
	// HeaderIdempotent carries "true" or "false": whether the request may run more than once.
	HeaderIdempotent = "Limpethub-Idempotent"
	// HeaderFailureDomain names the failure domain that is closest to the caller.
	HeaderFailureDomain = "Limpethub-Failure-Domain"
	// HeaderFirstInstance identifies the first attempt of unknown outcome of a repeated
	// request: the instance that received it, its age and the instance's incarnation. See
	// atmostonce.ParseOrigin.
	HeaderFirstInstance = "Limpethub-First-Instance"
	// HeaderInstance is set in every answer and names the instance that sent it.
	HeaderInstance = "Limpethub-Instance"
)

// ID identifies one request. It is the idempotency key: a repeat by the caller has the same
// ID. IDs must be unique across callers, because a request with a used ID counts as a repeat.
type ID string

// Origin is what began a stream.
type Origin struct {
	// Service is the service, and SoftwareVersion the version of the server's software.
	Service, SoftwareVersion string
}

// ResumedStream is a stream that a request goes on with, as far as the request tells.
type ResumedStream struct {
	// ID is that of the request that brought its first event. Named is false if the caller didn't tell it; ID is
	// that of the request that goes on with the stream then.
	ID    ID
	Named bool
	// Service is the only service that the stream can have begun at; empty if there are several.
	Service string
	// Life is how far back the request can have arrived that last brought an event of the stream. Timeout is the
	// timeout of its route.
	Life, Timeout time.Duration
	// Host and Path are those of the request that goes on with it, by which its route is found.
	Host, Path string
}

// Stream returns the ID under which all instances know the stream: that of the request that brought its
// first event.
func (r *Request) Stream() ID {
	if r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// Request is the part of a caller's request that routing needs. The body is in engine.Call.
type Request struct {
	ID ID
	// Identity is the same for each repeat of the request; zero if it is unknown.
	Identity Identity
	// Resumes is the ID of the request that brought the first event of the stream which this one goes on
	// with; empty if the caller names none.
	Resumes ID
	// StreamLife is how far back the request can have arrived that last brought an event of the stream which this
	// one goes on with.
	StreamLife time.Duration
	// RouteTimeout is the timeout of the request's route; 0 if it has none.
	RouteTimeout time.Duration
	// SoftwareVersion is the version that the server's software must have, since it began the stream which
	// the request goes on with; empty means any.
	SoftwareVersion string
	// Revision is that of the configuration by which the request was routed.
	Revision uint64
	// Model is the requested model or adapter version; empty for a service call.
	Model modelref.Ref
	// Service is the requested service of the configuration: a plain service or, for a request
	// of a route, a pool of model engines. It is empty for a model request without a pool.
	Service string
	// Services are all services that the request may go to, if its route has several: Service is one of
	// them.
	Services []string
	// Class is the index of the class of work in the configuration; 0 is the most urgent.
	Class int
	// Arrived is the time when this instance accepted the request.
	Arrived time.Time
	// Deadline is the time by which the whole answer must be delivered.
	Deadline time.Time
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// PrefixKey is a hash of the start of the prompt; zero means none.
	PrefixKey uint64
	// Prefix lists the prefixes of the prompt that other requests may share, shortest
	// first. It is more exact than PrefixKey, and empty if the caller didn't state them.
	Prefix []PrefixPart
	// Parts are the parts of the prompt that other requests may contain too: all but the last one.
	Parts []Part
	// Objective is the point in time by which the whole answer, or the first event of a
	// stream, should be delivered to meet the latency objective; zero means Deadline.
	Objective time.Time
	// FirstEventBy is when the caller leaves if no event of the stream has arrived; zero if it
	// waits until Deadline.
	FirstEventBy time.Time
	// PassedOnBy is the instance that the caller sent the request to, if that has passed it on to this one.
	PassedOnBy string
	// Suspect is true if the request may crash the server, so that the request should go where few
	// others are.
	Suspect bool
	// MaxAttempts limits how many times the request is sent to a server; 0 means no limit.
	MaxAttempts int
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int
	// Workspace is the name of the caller's workspace; empty if the caller presented no key.
	Workspace string
	// KeyHash is the hash of the caller's key; zero if the caller presented none.
	KeyHash KeyHash
	// Cost is what the request counts against the limit of its workspace.
	Cost int
}

// KeyHash is the SHA-256 hash of a caller's key. Only hashes are kept, logged nowhere, so that a key
// never leaves the instance that received it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }
