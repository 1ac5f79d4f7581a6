package scheduling

import (
	"errors"
	"math/rand/v2"
	"time"

	"limpethub/internal/kernel"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling/admission"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/scheduling/predict"
	"limpethub/internal/scheduling/prefix"
	"limpethub/internal/scheduling/retry"
	"limpethub/internal/scheduling/routing"
	"limpethub/internal/site"
)

// core implements Scheduler.
type core struct {
	instance  string
	random    *rand.Rand
	policy    *routing.Policy
	admission admission.Policy
	// skipsFullServers is true if the policy never chooses full servers.
	skipsFullServers bool
	document         *site.Document
	// bases maps each adapter version to the model version that it extends.
	bases map[modelref.Ref]modelref.Ref

	servers map[string]*server
	targets map[targetKey]*target
	// dispatched holds this instance's requests that are on a server.
	dispatched map[request.ID]*dispatchedRequest
	// movedClasses holds the requests whose class has another number now than when they arrived.
	movedClasses map[request.ID]movedClass
	queue        *flowcontrol.Queue
	// aggregate holds what was learned of all targets together.
	aggregate *predict.Target
	// floor guarantees each class a minimum share of the dispatches. The floor of a class is
	// due if its next request may go before those of more urgent classes.
	floor *flowcontrol.Floor
	// budgets holds the retry budgets by service; see budgetOf.
	budgets  map[string]*retry.Budget
	prefixes *prefix.Index
	// urgencies is empty in deployments without workspaces; see urgencyOf.
	urgencies map[string]*urgency

	// instances are the names of the instances that share the limits of servers.
	instances []string
	// peers maps each peer to the time of its last digest.
	peers map[string]time.Time
	// digestsLeft maps each server that must appear in the next digest to the number of
	// digests in which it still appears once it is idle.
	digestsLeft    map[*server]int
	digestSequence uint64
	// speeds says for which servers the speed is learned, and statesSpeed has the services in which a server has stated
	// how long work takes at the moment.
	speeds      SpeedLearning
	statesSpeed map[string]bool
	// learnsPaces is true once a sample of a server's speed was taken or heard of. pacesAt is when the
	// factors of the servers were last computed, and usualAt when what is usual was.
	learnsPaces      bool
	pacesAt, usualAt time.Time
	speedChanges     []SpeedChange
	// changeCredit is how many changes of speed may be told now.
	changeCredit float64
	// probeCredit is how many probes to slow servers may be sent now, and slowProbes how many were.
	probeCredit float64
	slowProbes  uint64
	// urgentUpdates lists the servers whose load peers should learn without delay.
	urgentUpdates []string
	// pass numbers the attempts to find the next waiting request for a server. It increases at
	// the start of dispatchWaiting and after each dispatch, since blocked classes must then be
	// tried again.
	pass uint64
	// lastAdvance is when all waiting requests were last checked.
	lastAdvance time.Time
	// query, candidates and candidateCopies are buffers for one decision.
	query           routing.Query
	candidates      []routing.Candidate
	candidateCopies []*targetCopy
	// skipped holds the waiting requests that the current call of dispatchWaiting has hidden
	// from their lanes; see skip.
	skipped []*flowcontrol.Item
	// shareBuffer is the buffer of sharesAhead.
	shareBuffer map[*target]float64
}

var _ Scheduler = (*core)(nil)

// New returns the scheduler of one instance.
func New(options Options) (Scheduler, error) {
	if options.Document == nil || len(options.Document.Classes) == 0 {
		return nil, errors.New("scheduling: options contain no document with classes")
	}
	if options.Policy == "" {
		options.Policy = DefaultPolicy
	}
	policy, err := routing.NewPolicy(options.Policy)
	if err != nil {
		return nil, err
	}
	if options.Admission == "" {
		options.Admission = policy.Admission
	}
	admissionPolicy, err := kernel.New[admission.Policy](options.Admission)
	if err != nil {
		return nil, err
	}
	c := &core{
		instance:         options.Instance,
		random:           rand.New(rand.NewPCG(options.Seed, 0)),
		policy:           policy,
		speeds:           options.Speeds,
		statesSpeed:      map[string]bool{},
		skipsFullServers: policy.SkipsFullServers(),
		admission:        admissionPolicy,
		servers:          map[string]*server{},
		targets:          map[targetKey]*target{},
		dispatched:       map[request.ID]*dispatchedRequest{},
		movedClasses:     map[request.ID]movedClass{},
		peers:            map[string]time.Time{},
		digestsLeft:      map[*server]int{},
		aggregate:        predict.NewTarget(nil),
		budgets:          map[string]*retry.Budget{},
		prefixes:         prefix.New(),
		probeCredit:      maxSlowProbeCredit,
		urgencies:        map[string]*urgency{},
		shareBuffer:      map[*target]float64{},
	}
	c.applyDocument(time.Time{}, options.Document)
	return c, nil
}

// NextTick implements Scheduler. Waiting requests are checked at the earliest CheckAt, and
// every tickPeriod, since digests and back-offs expire without an event.
func (c *core) NextTick() time.Time {
	next := c.queue.NextCheck()
	if next.IsZero() {
		return next
	}
	if nextPeriod := c.lastAdvance.Add(tickPeriod); nextPeriod.Before(next) {
		return nextPeriod
	}
	return next
}
