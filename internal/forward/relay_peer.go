package forward

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/engine"
	"limpethub/internal/intake"
	"limpethub/internal/scheduling"
	"limpethub/internal/verdict"
)

// Reach says whether this instance reaches the servers by itself. See package reachability.
type Reach interface {
	// Direct returns a context that ends once no new connections to servers can be opened, and Answered one
	// that ends once no server answers at all. They have ended already while that is so.
	Direct() context.Context
	Answered() context.Context
	// HeardAt returns when a byte last came from any server; zero if none has.
	HeardAt() time.Time
}

// Peers passes requests on to other instances. See package peerrelay.
type Peers interface {
	// Available reports whether a peer might take a request now.
	Available() bool
	// PassOn passes the request on to a peer that isn't among those given, and waits for the head of a server's
	// answer. The name of the peer is empty if there is none. The error carries a verdict; again is true if the
	// peer didn't take the request, so that another one may get it.
	PassOn(ctx context.Context, p PassedOn, except []string) (answer engine.Answer, peer string, again bool, err error)
}

// PassedOn is a request as it is passed on.
type PassedOn struct {
	Call engine.Call
	// LastEventID is the id of the last event that the caller has; -1 for none.
	LastEventID int64
	// Attempts is how many servers got the request before.
	Attempts int
	// Began is true if the caller has events of the stream.
	Began bool
	// Helpers are the only instances that may get the request; nil means any that reaches the servers.
	Helpers []string
}

const (
	// maxPeersTried is how many peers a request is offered to, if they don't take it.
	maxPeersTried = 3
	// connectionFailuresToPassOn is after how many attempts that found no connection a request is passed on,
	// while others seem to find one.
	connectionFailuresToPassOn = 2
	// helperPoll is the interval of the checks whether a peer might take requests that servers don't answer.
	helperPoll = 50 * time.Millisecond
	// helperSettleTime is how long after a cut the peers may need to say that they are cut off as well.
	helperSettleTime = 500 * time.Millisecond
)

// errNotDirect is the error of a request that isn't to wait for a server here, since no new connections can be
// opened.
var errNotDirect = verdict.Refused(verdict.CodeCutOff, "this instance doesn't reach the servers by itself")

// whileDirect returns a context that also ends once no new connections to servers can be opened, if the
// request may be passed on then. release must be called.
func (r *Relay) whileDirect(ctx context.Context, relayed *relayedRequest) (limited context.Context, release func()) {
	if !r.canPassOn(relayed) {
		return ctx, func() {}
	}
	return endWith(ctx, r.options.Reach.Direct())
}

// whileAnswered returns a context for an attempt that also ends once no server answers this instance and a peer might take the
// request. Without such a peer the attempt goes on: the servers may only be silent for a while. One that must not repeat goes
// on anyway, as its answer may still come. release must be called.
func (r *Relay) whileAnswered(ctx context.Context, relayed *relayedRequest) (limited context.Context, release func()) {
	if !r.canPassOn(relayed) || !relayed.call.Request.Idempotent {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.options.Reach.Answered(), func() { r.endOnceHelped(limited, cancel) })
	return limited, func() {
		stop()
		cancel()
	}
}

// endOnceHelped ends an attempt once a peer might take the request, but not while servers are heard. The peers have
// time to notice, and to say, that they hear no server either.
func (r *Relay) endOnceHelped(attempt context.Context, end func()) {
	cutOffAt := r.options.Now()
	ticker := time.NewTicker(helperPoll)
	defer ticker.Stop()
	for {
		select {
		case <-attempt.Done():
			return
		case <-ticker.C:
		}
		if heardAt := r.options.Reach.HeardAt(); heardAt.After(cutOffAt) {
			cutOffAt = heardAt
		}
		if r.options.Now().Sub(cutOffAt) >= helperSettleTime && r.isCutOff() && r.options.Peers.Available() {
			end()
			return
		}
	}
}

// endWith returns a context that also ends with another one.
func endWith(ctx, other context.Context) (limited context.Context, release func()) {
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return limited, func() {
		stop()
		cancel()
	}
}

// canPassOn reports whether the request may be passed on at all: the caller sent it to this instance.
func (r *Relay) canPassOn(relayed *relayedRequest) bool {
	return r.options.Reach != nil && relayed.call.Request.PassedOnBy == ""
}

// mayPassOn reports whether the request is to be passed on if it isn't sent from here.
func (r *Relay) mayPassOn(ctx context.Context, relayed *relayedRequest) bool {
	return r.canPassOn(relayed) && ctx.Err() == nil
}

func (r *Relay) isCutOff() bool { return r.options.Reach.Answered().Err() != nil }

// openConnectionsOnly reports whether the request may only go over a connection that is open: another one
// couldn't be opened, and a peer can have the request.
func (r *Relay) openConnectionsOnly(relayed *relayedRequest) bool {
	return r.canPassOn(relayed) && r.options.Reach.Direct().Err() != nil
}

// firstDecision waits for a server. The error is errNotDirect if the request isn't to wait here.
func (r *Relay) firstDecision(ctx context.Context, relayed *relayedRequest) (scheduling.Decision, error) {
	if r.canPassOn(relayed) && r.isCutOff() {
		if err := relayed.waitForGuard(); err != nil {
			return scheduling.Decision{}, err
		}
		return scheduling.Decision{}, errNotDirect
	}
	return r.admit(ctx, relayed)
}

// admitWhileDirect waits for a server for as long as new connections can be opened. Without them, a request
// goes to a server at once or not at all.
func (r *Relay) admitWhileDirect(ctx context.Context, relayed *relayedRequest) (scheduling.Decision, error) {
	if r.openConnectionsOnly(relayed) {
		decision, ok := r.options.Dispatcher.AdmitAtOnce(relayed.call.Request)
		if !ok {
			return scheduling.Decision{}, errNotDirect
		}
		return decision, nil
	}
	waitCtx, release := r.whileDirect(ctx, relayed)
	defer release()
	decision, err := r.options.Dispatcher.Admit(waitCtx, relayed.call.Request)
	return decision, notDirectError(ctx, waitCtx, err)
}

// notDirectError returns errNotDirect in place of the error of a wait that ended since no new connections can
// be opened.
func notDirectError(ctx, waitCtx context.Context, err error) error {
	if err != nil && ctx.Err() == nil && waitCtx.Err() != nil {
		return errNotDirect
	}
	return err
}

// passesOnAfter reports whether a request is passed on after an attempt that failed and may be followed by
// another one.
//
// The load is a cut from all servers or from some: each further attempt from here costs the time of another
// connection that can't be opened.
func (r *Relay) passesOnAfter(ctx context.Context, relayed *relayedRequest, outcome scheduling.Outcome) bool {
	if outcome.Unsent {
		relayed.connectionFailures++
	}
	if !r.mayPassOn(ctx, relayed) {
		return false
	}
	if r.options.Reach.Direct().Err() != nil {
		return outcome.Unsent || r.isCutOff()
	}
	return outcome.Unsent && relayed.connectionFailures >= connectionFailuresToPassOn && r.options.Peers.Available()
}

// passOnRetry passes on a request after a failed attempt, if the retry budget allows it.
func (r *Relay) passOnRetry(ctx context.Context, relayed *relayedRequest, last scheduling.Outcome, failure *verdict.Error) error {
	if !r.options.Dispatcher.MayRetry(relayed.call.Request, last) {
		return r.endFailed(relayed, failure, "the retry budget is used up")
	}
	return r.passOn(ctx, relayed, failure.Verdict, failure)
}

// passOn passes a request on to a peer and relays the answer that it passes back. earlier is the verdict of all
// attempts before, and failure the error of the last of them; nil if there was none. There are no further
// attempts.
func (r *Relay) passOn(ctx context.Context, relayed *relayedRequest, earlier verdict.Verdict, failure *verdict.Error) error {
	intake.Leave(ctx)
	var tried []string
	var lastErr error
	for range maxPeersTried {
		if err := r.mayStart(&relayed.call.Request); err != nil {
			return r.refuseCutOff(relayed, earlier, failure, err)
		}
		if relayed.callerLeft(ctx) {
			return r.endPassedOn(ctx, relayed, earlier, errCallerLeft)
		}
		answer, peer, again, err := r.options.Peers.PassOn(ctx, PassedOn{
			Call: relayed.call, LastEventID: relayed.lastEventID, Attempts: relayed.result.Attempts, Began: relayed.began,
			Helpers: relayed.helpers,
		}, tried)
		if peer == "" {
			break
		}
		tried = append(tried, peer)
		relayed.result.Peer = peer
		if err == nil {
			err := r.relayFromPeer(relayed, answer)
			if err == nil {
				return r.deliverWhole(ctx, relayed)
			}
			return r.endPassedOn(ctx, relayed, earlier, err)
		}
		if !again || ctx.Err() != nil {
			return r.endPassedOn(ctx, relayed, earlier, err)
		}
		r.options.Logger.WithFields(logrus.Fields{"request": relayed.call.Request.ID, "peer": peer}).WithError(err).
			Info("A peer didn't take a request that was passed on")
		lastErr = err
	}
	return r.refuseCutOff(relayed, earlier, failure, lastErr)
}

// relayFromPeer relays an answer that a peer passes back.
func (r *Relay) relayFromPeer(relayed *relayedRequest, answer engine.Answer) error {
	defer answer.Close()
	head := answer.Head()
	relayed.server = head.Server
	relayed.result.Server, relayed.result.SoftwareVersion = head.Server.Name, head.Server.SoftwareVersion
	r.chargeAgain(relayed)
	relayed.result.Attempts++
	relayed.attemptStart = r.options.Now()
	outcome := scheduling.Outcome{ID: relayed.call.Request.ID, Server: head.Server.Name}
	if head.Succeeded() && head.Events {
		return r.relayStream(relayed, answer, nil, &outcome)
	}
	return r.relayWhole(relayed, answer, nil, &outcome)
}

// endPassedOn ends a request that was passed on.
func (r *Relay) endPassedOn(ctx context.Context, relayed *relayedRequest, earlier verdict.Verdict, err error) error {
	if err == nil {
		return nil
	}
	failure := r.errorMapper.verdictError(ctx, err)
	return r.endFailed(relayed, failure.With(verdict.Combine(earlier, failure.Verdict)), "passed on to a peer")
}

// refuseCutOff refuses a request that no peer has taken, without a wait.
func (r *Relay) refuseCutOff(relayed *relayedRequest, earlier verdict.Verdict, failure *verdict.Error, lastErr error) error {
	if failure != nil && earlier != verdict.NotRun {
		return r.endFailed(relayed, failure, "no peer that reaches the servers has taken it")
	}
	refused := verdict.Refused(verdict.CodeCutOff, "this instance reaches no server, and no peer that does has taken the request")
	if relayed.helpers != nil {
		refused = verdict.Refused(verdict.CodeServersLimited, "this instance has no slot of the servers, and no peer that has one has taken the request")
	}
	refused.RetryAfter, refused.Err = r.options.Dispatcher.RetryAfter(relayed.call.Request), lastErr
	return refused
}
