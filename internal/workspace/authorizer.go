package workspace

import (
	"sync/atomic"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Credential is what a caller presents.
type Credential struct {
	// KeyHash is the hash of the key.
	KeyHash request.KeyHash
	// Presented is false if the caller sent no key.
	Presented bool
}

const (
	// marginDivisor gives the safety margin as a fraction of the revocation bound: proofs older than the bound less the
	// margin are rejected. It covers differences in clock rate between machines, since proofs are passed on as ages.
	marginDivisor = 20
	// inTouchDivisor gives the age of a proof from which callers are sent elsewhere, as a part of the bound.
	inTouchDivisor = 2
	// staleRetryAfter is the RetryAfter of requests refused because no recent proof is known. Proofs arrive with heartbeats,
	// several times a second.
	staleRetryAfter = 250 * time.Millisecond
)

// Options configure an Authorizer.
type Options struct {
	// Table returns the table of the configuration in force; nil while there is none.
	Table func() *Table
	// Revocation is how long after its removal a key may still be accepted; 0 means that the configuration in force
	// needs no proof.
	Revocation time.Duration
	// ProvenAt returns the latest time at which no newer configuration than the one with the given revision existed;
	// zero means that none is known.
	ProvenAt func(revision uint64) time.Time
	// Now is the clock of ProvenAt. It keeps running while the machine is suspended.
	Now func() time.Time
}

// Authorizer decides whether requests may run. It is safe for concurrent use.
type Authorizer struct {
	options Options
	// Unauthorized and Stale count the refusals by their code.
	Unauthorized, Stale atomic.Uint64
}

// NewAuthorizer returns an Authorizer.
func NewAuthorizer(options Options) *Authorizer { return &Authorizer{options: options} }

// Authorize returns the workspace of a request that arrives from a caller. It is nil if the configuration requires no
// keys, or if the route is public and no key was sent. Errors are *verdict.Error with NotRun; the workspace is
// returned with an error too if the key is known.
func (a *Authorizer) Authorize(credential Credential, route *site.Route) (*site.Workspace, error) {
	t := a.options.Table()
	switch {
	case t == nil:
		return nil, a.refuseStale("the instance has no configuration yet")
	case !t.requireKeys, !credential.Presented && route.Public:
		return nil, nil
	case !credential.Presented:
		return nil, a.RefuseUnauthorized("no key")
	}
	w, known := t.Lookup(credential.KeyHash)
	switch {
	case !a.proven(t):
		return w, a.refuseStale("the configuration isn't known to be the newest one")
	case !known:
		return nil, a.RefuseUnauthorized("the key is unknown")
	}
	return w, nil
}

// AuthorizePassedOn is Authorize for a request that another instance has authorized and passed on. The configurations
// of the two may differ for a moment, so that a key which is unknown here may be valid: the request is refused in a way
// that lets it come again.
func (a *Authorizer) AuthorizePassedOn(credential Credential, route *site.Route) (*site.Workspace, error) {
	t := a.options.Table()
	if t != nil && !t.requireKeys && credential.Presented {
		return nil, a.refuseStale("the configuration here has no keys, unlike that of the instance which passed the request on")
	}
	if t != nil && t.requireKeys && !credential.Presented && !route.Public {
		return nil, a.refuseStale("the configuration here requires a key, unlike that of the instance which passed the request on")
	}
	if t != nil && credential.Presented {
		if _, known := t.Lookup(credential.KeyHash); !known {
			return nil, a.refuseStale("the key is unknown here, but not to the instance which passed the request on")
		}
	}
	return a.Authorize(credential, route)
}

// Recheck reports, right before a request is sent to a server, whether it may still run. Errors are *verdict.Error
// with NotRun.
func (a *Authorizer) Recheck(r *request.Request) error {
	if r.KeyHash == (request.KeyHash{}) {
		return nil
	}
	t := a.options.Table()
	switch {
	case t == nil:
		return a.refuseStale("the instance has no configuration yet")
	case !t.requireKeys:
		return nil
	}
	w, known := t.Lookup(r.KeyHash)
	switch {
	case !a.proven(t):
		return a.refuseStale("the configuration is no longer known to be the newest one")
	case !known:
		return a.RefuseUnauthorized("the key was revoked before the request was sent to a server")
	case w.Name != r.Workspace:
		return a.refuseStale("the key belongs to another workspace since the request arrived")
	}
	return nil
}

// ProofAge returns the age of the proof that the configuration in force is the newest one. needed is false if no proof
// is needed, and proven is false if there is none.
func (a *Authorizer) ProofAge() (age time.Duration, proven, needed bool) {
	t := a.options.Table()
	if t == nil || !t.requireKeys || a.options.Revocation == 0 {
		return 0, false, false
	}
	at := a.options.ProvenAt(t.revision)
	return a.options.Now().Sub(at), !at.IsZero(), true
}

// InTouch reports whether callers may be sent here: whether no proof is needed, or the latest one is younger than half of
// the bound. The other half is the time that callers, who keep answers of the directory for 2 s, have to go elsewhere.
func (a *Authorizer) InTouch() bool {
	age, proven, needed := a.ProofAge()
	return !needed || proven && age < a.options.Revocation/inTouchDivisor
}

func (a *Authorizer) proven(t *Table) bool {
	if a.options.Revocation == 0 {
		return true
	}
	at := a.options.ProvenAt(t.revision)
	limit := a.options.Revocation - a.options.Revocation/marginDivisor
	return !at.IsZero() && a.options.Now().Sub(at) < limit
}

// RefuseUnauthorized counts and returns the refusal of a request without a valid key.
func (a *Authorizer) RefuseUnauthorized(reason string) error {
	a.Unauthorized.Add(1)
	return verdict.Refused(verdict.CodeUnauthorized, "%s", reason)
}

func (a *Authorizer) refuseStale(reason string) error {
	a.Stale.Add(1)
	refused := verdict.Refused(verdict.CodeStaleConfiguration, "%s", reason)
	refused.RetryAfter = staleRetryAfter
	return refused
}
