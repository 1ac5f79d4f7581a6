// Package request holds the typed form of a caller's request that routing,
// admission and forwarding share.
package request

import (
	"time"

	"limpethub/internal/modelref"
)

// Headers that callers send. See docs/CALLERS.md.
const (
	// HeaderID carries the caller's request id; an absent one is generated.
	HeaderID = "X-Request-Id"
	// HeaderClass carries the class of work.
	HeaderClass = "Limpethub-Class"
	// HeaderTimeout carries the milliseconds left until the deadline.
	HeaderTimeout = "Limpethub-Timeout-Ms"
	// HeaderIdempotent carries "true" or "false".
	HeaderIdempotent = "Limpethub-Idempotent"
	// HeaderDomain names the failure domain that the caller is near to.
	HeaderDomain = "Limpethub-Failure-Domain"
	// HeaderFirstInstance names the instance that a repeated request was first sent to.
	HeaderFirstInstance = "Limpethub-First-Instance"
	// HeaderInstance names, in each answer, the instance that gave it.
	HeaderInstance = "Limpethub-Instance"
)

// ID identifies one request of one caller. It is the idempotency key of repeats.
type ID string

// Request is a caller's request as routing sees it. It has no body: bodies stay
// with the forwarder.
type Request struct {
	// ID is unique per request; a repeat by the caller has the same ID.
	ID ID
	// Model is the model or adapter version asked for; empty for a service call.
	Model modelref.Ref
	// Service is the plain service asked for; empty for a model request.
	Service string
	// Class is the index of the class of work in the configuration, 0 the most urgent.
	Class int
	// Arrived is when this instance accepted the request.
	Arrived time.Time
	// Deadline is when the whole answer must have been delivered.
	Deadline time.Time
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// PrefixKey is a hash of the prompt's start; zero means none.
	PrefixKey uint64
	// Prefix lists the parts of the prompt that requests may share, the shortest first;
	// empty when the caller told none. It is more exact than PrefixKey.
	Prefix []PrefixPart
	// Objective is when the whole answer, or the first event of a stream, should be there;
	// zero means Deadline.
	Objective time.Time
	// MaxAttempts is to how many servers the request may be sent; 0 means no bound.
	MaxAttempts int
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the most tokens the answer may have.
	MaxTokens int
}
