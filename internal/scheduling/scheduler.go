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

// core is the Scheduler.
type core struct {
	instance string
	random   *rand.Rand
	policy   *routing.Policy
	admit    admission.Policy
	// limited is true when the policy offers nothing to full servers.
	limited  bool
	document *site.Document
	// bases holds the model version that each adapter version extends.
	bases map[modelref.Ref]modelref.Ref

	servers map[string]*server
	targets map[targetKey]*target
	running map[request.ID]*dispatched
	queue   *flowcontrol.Queue
	// general is what was learned of all targets together.
	general *predict.Target
	floor   *flowcontrol.Floor
	// budgets holds the retry budgets by service; see budgetOf.
	budgets  map[string]*retry.Budget
	prefixes *prefix.Memory

	// peers holds when the last digest of each peer came.
	peers map[string]time.Time
	// busy holds the servers that have appeared in a digest with work.
	busy     map[*server]int
	sequence uint64
	// news lists the servers whose load peers should learn soon.
	news []string
	// round numbers the passes over waiting work.
	round uint64
	// ticked is when all waiting work was last looked at.
	ticked     time.Time
	query      routing.Query
	candidates []routing.Candidate
	choices    []*replica
	// aside holds waiting requests that one pass has passed over.
	aside []*flowcontrol.Item
}

var _ Scheduler = (*core)(nil)

// New makes the scheduler of one instance.
func New(options Options) (Scheduler, error) {
	if options.Document == nil || len(options.Document.Classes) == 0 {
		return nil, errors.New("scheduling: options hold no document with classes")
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
	admit, err := kernel.New[admission.Policy](options.Admission)
	if err != nil {
		return nil, err
	}
	c := &core{
		instance: options.Instance,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		policy:   policy,
		limited:  policy.Limited(),
		admit:    admit,
		servers:  map[string]*server{},
		targets:  map[targetKey]*target{},
		running:  map[request.ID]*dispatched{},
		peers:    map[string]time.Time{},
		busy:     map[*server]int{},
		general:  predict.NewTarget(nil),
		budgets:  map[string]*retry.Budget{},
		prefixes: prefix.New(),
	}
	c.useDocument(options.Document)
	return c, nil
}

// NextTick implements Scheduler. Waiting work is looked at again when the first of
// it expires, and every tickPeriod for what time alone changes: digests and
// back-offs that run out.
func (c *core) NextTick() time.Time {
	next := c.queue.NextExpiry()
	if next.IsZero() {
		return next
	}
	if soon := c.ticked.Add(tickPeriod); soon.Before(next) {
		return soon
	}
	return next
}
