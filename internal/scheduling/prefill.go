package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/predict"
)

// pendingPrefillLifetime is how long a peer's number of pending prefill tokens stays valid.
const pendingPrefillLifetime = time.Second

// peerPendingPrefill is the number of prompt tokens that a peer has sent to a server and that
// the server has yet to prefill, because the answer hasn't begun.
type peerPendingPrefill struct {
	tokens     int
	receivedAt time.Time
}

// sharedPart returns the longest part of a prompt that other requests may have too. The key and
// the tokens of each part cover the prompt from its start to the end of that part, so a later part
// is a longer prefix. If there are several parts, the last one belongs only to the request or its
// session.
func sharedPart(parts []request.PrefixPart) *request.PrefixPart {
	switch len(parts) {
	case 0:
		return nil
	case 1:
		return &parts[0]
	}
	return &parts[len(parts)-2]
}

// cachedTokens returns how many tokens of a prompt the server probably holds in its cache.
func (c *core) cachedTokens(now time.Time, s *server, parts []request.PrefixPart) int {
	for i := len(parts) - 1; i >= 0; i-- {
		if c.prefixes.Holders(parts[i].Key).Has(now, s.Name) {
			return parts[i].Tokens
		}
	}
	return 0
}

// recordSentPrompt records, for a request that was dispatched, which prefixes the server will
// hold and how many tokens it has yet to prefill.
func (c *core) recordSentPrompt(now time.Time, r *request.Request, s *server, prefillTokens int) {
	if len(r.Prefix) == 0 {
		return
	}
	for _, part := range r.Prefix {
		c.prefixes.RecordRun(now, part.Key, s.Name)
	}
	c.dispatched[r.ID].pendingPrefillTokens = prefillTokens
	s.longPrompt.observe(now, 0, prefillTokens, true)
	s.pendingPrefillTokens += prefillTokens
	if prefillTokens >= urgentPrefillTokens {
		c.urgentUpdates = append(c.urgentUpdates, s.Name)
	}
}

// urgentPrefillTokens is the number of prefill tokens from which peers learn of a dispatch
// without delay: so many tokens keep a server busy for some tenths of a second.
const urgentPrefillTokens = 2000

func (c *core) TakeUrgentUpdates() []string {
	servers := c.urgentUpdates
	c.urgentUpdates = nil
	return servers
}

// clearPendingPrefill records that the server has prefilled the prompt or will never do so.
//
// In deployments with workspaces, peers learn without delay that a long prompt was read: their long
// prompts wait for that; see urgentBacklog.
func (c *core) clearPendingPrefill(now time.Time, d *dispatchedRequest) {
	s := d.targetCopy.server
	s.longPrompt.observe(now, d.pendingPrefillTokens, 0, true)
	if c.document.RequireKeys && d.pendingPrefillTokens >= urgentPrefillTokens {
		c.urgentUpdates = append(c.urgentUpdates, s.Name)
	}
	s.pendingPrefillTokens -= d.pendingPrefillTokens
	d.pendingPrefillTokens = 0
}

// observePendingPrefill records how many tokens of a peer's prompts the server has yet to prefill.
func (s *server) observePendingPrefill(now time.Time, instance string, tokens int) {
	if tokens == 0 && s.pendingPrefillByPeer == nil {
		return
	}
	if s.pendingPrefillByPeer == nil {
		s.pendingPrefillByPeer = map[string]peerPendingPrefill{}
	}
	s.longPrompt.observe(now, s.pendingPrefillByPeer[instance].tokens, tokens, false)
	s.pendingPrefillByPeer[instance] = peerPendingPrefill{tokens: tokens, receivedAt: now}
}

// backlog predicts how long the server needs to prefill the prompts that were sent to it. It
// matters in bursts: long prompts delay all requests of a server, and a load that only counts
// requests doesn't show them.
func (s *server) backlog(now time.Time, tc *targetCopy) time.Duration {
	tokens := s.pendingPrefillTokens
	for _, peer := range s.pendingPrefillByPeer {
		if now.Sub(peer.receivedAt) < pendingPrefillLifetime {
			tokens += peer.tokens
		}
	}
	return scaled(tc.speed.PrefillTime(tokens), s.pace.factor)
}

// prefixSaving predicts the time to prefill the shared part of the prompt.
func (in *routingInput) prefixSaving(tc *targetCopy) time.Duration {
	if in.shared == nil {
		return 0
	}
	return tc.speed.PrefillTime(in.shared.Tokens)
}

// prefillTime predicts the time to prefill the uncached tokens of the request's own prompt.
func (in *routingInput) prefillTime(tc *targetCopy, prefillTokens int) time.Duration {
	if len(in.request.Prefix) == 0 {
		return 0
	}
	return tc.speed.PrefillTime(prefillTokens)
}

const (
	// backlogDivisor limits the backlog of a server that gets the request to 1/backlogDivisor
	// of the time from the request's arrival to its objective.
	backlogDivisor = 2
	// minBacklogLimit and maxBacklogLimit bound the result of backlogLimit.
	minBacklogLimit = 300 * time.Millisecond
	maxBacklogLimit = 2 * time.Second
)

// backlogLimit returns the highest backlog of a server that may get the request. It is
// maxBacklogLimit for a request without an objective.
func backlogLimit(r *request.Request) time.Duration {
	if r.Objective.IsZero() {
		return maxBacklogLimit
	}
	return min(max(r.Objective.Sub(r.Arrived)/backlogDivisor, minBacklogLimit), maxBacklogLimit)
}

// predictPrefill predicts how long the prompt of a waiting request takes to prefill.
func (c *core) predictPrefill(t *target, r *request.Request) time.Duration {
	if len(r.Prefix) == 0 {
		return 0
	}
	return predict.NewSpeed(&predict.Server{}, t.prediction).PrefillTime(r.PromptTokens)
}

// predictPrefillWait predicts how long the servers of a target are busy prefilling earlier
// prompts before that of a new request: those already sent to them and those that wait on this
// instance. It assumes that as many wait on each other instance. Without this prediction,
// requests for a model with few copies that is suddenly in demand would wait until their
// deadline although they can't be served in time.
//
// If no such prompt waits on this instance, the result is 0: the routing policy already
// compares the servers' backlog with the deadline and the objective.
func (c *core) predictPrefillWait(now time.Time, t *target, r *request.Request) time.Duration {
	shares := c.sharesAhead(t, r)
	waitingPrefill := t.lane.PrefillTimeUpTo(r.Class, shares.of(t))
	if waitingPrefill == 0 || len(t.copies) == 0 {
		return 0
	}
	usable, backlog := 0, time.Duration(0)
	for _, tc := range t.copies {
		if !tc.server.usable(now) {
			continue
		}
		if b := tc.server.backlog(now, tc); usable == 0 || b < backlog {
			backlog = b
		}
		usable++
	}
	if usable == 0 {
		return 0
	}
	return backlog + waitingPrefill*time.Duration(1+len(c.peers))/time.Duration(usable)
}

// predictLoadWait predicts how long a request waits until its model is loaded, if no server
// holds it. It is 0 on sites without pools.
func (c *core) predictLoadWait(t *target) time.Duration {
	if len(t.copies) > 0 || t.key.model == "" || len(c.document.Pools) == 0 {
		return 0
	}
	return time.Duration(c.document.Budgets.LoadMillis) * time.Millisecond / loadTimeDivisor
}

// loadTimeDivisor divides Budgets.LoadMillis, the longest usual duration of a load from the
// weight store, to get the expected wait for a load: the load may already be under way, or its
// server may have the weights locally.
const loadTimeDivisor = 2

// mayBeCached reports whether a server may hold a large part of the prompt in its cache without
// this instance's knowledge, because other instances sent requests with the same shared part
// there. That is assumed if the shared part is more than half of the tokens that the server
// seems to have to prefill.
func mayBeCached(r *request.Request, prefillTokens int) bool {
	shared := sharedPart(r.Prefix)
	if shared == nil {
		return false
	}
	own := r.PromptTokens - shared.Tokens
	return prefillTokens > 2*own
}
