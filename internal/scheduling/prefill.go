package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/predict"
)

// unreadLifetime is how long a peer's count of unread tokens stays valid.
const unreadLifetime = time.Second

// peerUnread is the number of prompt tokens that a peer has sent to a server in requests whose
// answer hasn't begun.
type peerUnread struct {
	tokens     int
	receivedAt time.Time
}

// sharedPart returns the longest part of a prompt that other requests may have too. If there
// are several parts, the last one belongs only to the request or its session.
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

// recordSentPrompt records which prefixes a server will hold and how many tokens it has to
// prefill for a dispatched request.
func (c *core) recordSentPrompt(now time.Time, r *request.Request, s *server, unread int) {
	if len(r.Prefix) == 0 {
		return
	}
	for _, part := range r.Prefix {
		c.prefixes.RecordRun(now, part.Key, s.Name)
	}
	c.running[r.ID].unreadTokens = unread
	s.unreadTokens += unread
	if unread >= urgentUnreadTokens {
		c.urgentUpdates = append(c.urgentUpdates, s.Name)
	}
}

// urgentUnreadTokens is the number of unread tokens from which peers learn of a dispatch
// without delay: so many tokens keep a server busy for some tenths of a second.
const urgentUnreadTokens = 2000

// TakeUrgentUpdates implements Scheduler.
func (c *core) TakeUrgentUpdates() []string {
	servers := c.urgentUpdates
	c.urgentUpdates = nil
	return servers
}

// clearUnread records that the server has prefilled the prompt or will never do so.
func (d *dispatchedRequest) clearUnread() {
	d.targetCopy.server.unreadTokens -= d.unreadTokens
	d.unreadTokens = 0
}

// observeUnread records a peer's unread tokens on the server.
func (s *server) observeUnread(now time.Time, instance string, tokens int) {
	if tokens == 0 && s.unreadByPeer == nil {
		return
	}
	if s.unreadByPeer == nil {
		s.unreadByPeer = map[string]peerUnread{}
	}
	s.unreadByPeer[instance] = peerUnread{tokens: tokens, receivedAt: now}
}

// backlog predicts how long the server needs to prefill the prompts that were sent to it. It
// matters in bursts: long prompts delay all requests of a server, and a load that only counts
// requests doesn't show them.
func (s *server) backlog(now time.Time, tc *targetCopy) time.Duration {
	tokens := s.unreadTokens
	for _, peer := range s.unreadByPeer {
		if now.Sub(peer.receivedAt) < unreadLifetime {
			tokens += peer.tokens
		}
	}
	return tc.speed.PrefillTime(tokens)
}

// prefixSaving predicts the time to prefill the shared part of the prompt.
func (in *routingInput) prefixSaving(tc *targetCopy) time.Duration {
	if in.shared == nil {
		return 0
	}
	return tc.speed.PrefillTime(in.shared.Tokens)
}

// prefillTime predicts the time to prefill the unread tokens of the request's own prompt.
func (in *routingInput) prefillTime(tc *targetCopy, unread int) time.Duration {
	if len(in.request.Prefix) == 0 {
		return 0
	}
	return tc.speed.PrefillTime(unread)
}

const (
	// backlogDivisor divides the time from arrival to a request's objective: earlier prompts
	// may take that part of it.
	backlogDivisor = 2
	// minBacklogLimit and maxBacklogLimit bound the result of backlogLimit.
	minBacklogLimit = 300 * time.Millisecond
	maxBacklogLimit = 2 * time.Second
)

// backlogLimit returns the highest backlog of a server that may get the request.
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

// predictPrefillWait predicts how long the servers of a target are busy prefilling prompts
// before that of a new request: the prompts already sent to them and those that wait on this
// instance. It assumes that as many wait on each other instance. Without this wait, requests
// for a model with few copies that is suddenly in demand would wait until their deadline
// although their turn can't come in time.
func (c *core) predictPrefillWait(now time.Time, t *target, class int) time.Duration {
	waiting := t.lane.PrefillTimeUpTo(class)
	if waiting == 0 || len(t.copies) == 0 {
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
	return backlog + waiting*time.Duration(1+len(c.peers))/time.Duration(usable)
}

// predictLoadWait predicts how long a request waits until its model is loaded, if no server
// holds it. It is 0 on sites without discovered engines.
func (c *core) predictLoadWait(t *target) time.Duration {
	if len(t.copies) > 0 || t.key.model == "" || len(c.document.Pools) == 0 {
		return 0
	}
	return time.Duration(c.document.Budgets.LoadMillis) * time.Millisecond / loadTimeDivisor
}

// loadTimeDivisor divides the time that a load from the weight store takes to get the expected
// one: the load may be under way, or its server may have the weights locally.
const loadTimeDivisor = 2

// mayBeCached reports whether more than half of the tokens that a server seems to have to
// prefill are shared with other requests. Other instances may have sent such requests there,
// and the server may hold these tokens without this instance's knowledge.
func mayBeCached(r *request.Request, unread int) bool {
	shared := sharedPart(r.Prefix)
	if shared == nil {
		return false
	}
	own := r.PromptTokens - shared.Tokens
	return unread > 2*own
}
