package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/predict"
)

// unreadLifetime is how long a peer's count of unread tokens is believed.
const unreadLifetime = time.Second

// peerUnread is how many tokens a peer has sent to a server that it hasn't begun to
// answer.
type peerUnread struct {
	tokens int
	seen   time.Time
}

// sharedPart returns the deepest part of a prompt that other requests may have too. The
// last part belongs to the request or its session alone.
func sharedPart(parts []request.PrefixPart) *request.PrefixPart {
	switch len(parts) {
	case 0:
		return nil
	case 1:
		return &parts[0]
	}
	return &parts[len(parts)-2]
}

// cachedTokens returns how much of a prompt the server probably holds.
func (c *core) cachedTokens(now time.Time, s *server, parts []request.PrefixPart) int {
	for i := len(parts) - 1; i >= 0; i-- {
		if c.prefixes.Holders(parts[i].Key).Has(now, s.Name) {
			return parts[i].Tokens
		}
	}
	return 0
}

// sendPrefix notes what a server will hold and has to read once a request is there.
func (c *core) sendPrefix(now time.Time, r *request.Request, s *server, unread int) {
	if len(r.Prefix) == 0 {
		return
	}
	for _, part := range r.Prefix {
		c.prefixes.Ran(now, part.Key, s.Name)
	}
	c.running[r.ID].unread = unread
	s.unread += unread
	if unread >= newsworthyUnread {
		c.news = append(c.news, s.Name)
	}
}

// newsworthyUnread is from how many unread tokens on a dispatch is told to peers at once:
// it keeps a server busy for some tenths of a second.
const newsworthyUnread = 2000

// TakeNews implements Scheduler.
func (c *core) TakeNews() []string {
	news := c.news
	c.news = nil
	return news
}

// begun notes that the server has read the prompt, or never will.
func (d *dispatched) begun() {
	d.replica.server.unread -= d.unread
	d.unread = 0
}

func (s *server) observeUnread(now time.Time, instance string, tokens int) {
	if tokens == 0 && s.unreadElsewhere == nil {
		return
	}
	if s.unreadElsewhere == nil {
		s.unreadElsewhere = map[string]peerUnread{}
	}
	s.unreadElsewhere[instance] = peerUnread{tokens: tokens, seen: now}
}

// backlog is the time that the server needs for the prompts that are on their way to it.
// It answers bursts: long prompts hold up all requests of a server, and the load that
// counts requests alone doesn't show them.
func (s *server) backlog(now time.Time, r *replica) time.Duration {
	tokens := s.unread
	for _, peer := range s.unreadElsewhere {
		if now.Sub(peer.seen) < unreadLifetime {
			tokens += peer.tokens
		}
	}
	return r.speed.Read(tokens)
}

// saving is the time that reading the shared part of the prompt takes.
func (k *seeker) saving(r *replica) time.Duration {
	if k.shared == nil {
		return 0
	}
	return r.speed.Read(k.shared.Tokens)
}

// reading is the time that the server needs for the request's own prompt.
func (k *seeker) reading(r *replica, unread int) time.Duration {
	if len(k.request.Prefix) == 0 {
		return 0
	}
	return r.speed.Read(unread)
}

const (
	// backlogShare is which part of the time up to a request's objective the prompts
	// before it may take.
	backlogShare = 2
	// leastBacklog and highestBacklog bound it.
	leastBacklog   = 300 * time.Millisecond
	highestBacklog = 2 * time.Second
)

// mostBacklog is the backlog up to which a server may get the request.
func mostBacklog(r *request.Request) time.Duration {
	if r.Objective.IsZero() {
		return highestBacklog
	}
	return min(max(r.Objective.Sub(r.Arrived)/backlogShare, leastBacklog), highestBacklog)
}

// predictReading is the time that the prompt of a request that waits takes to be read.
func (c *core) predictReading(t *target, r *request.Request) time.Duration {
	if len(r.Prefix) == 0 {
		return 0
	}
	return predict.NewSpeed(&predict.Server{}, t.learned).Read(r.PromptTokens)
}

// readingAhead predicts how long the servers of a target read the prompts that wait here
// before a newcomer's, and those that they have already. Other instances have as much
// waiting as this one. It answers demand that moves to a model with few copies: without
// it requests wait until their deadline although their turn can't come.
func (c *core) readingAhead(now time.Time, t *target, class int) time.Duration {
	waiting := t.lane.ReadingUpTo(class)
	if waiting == 0 || len(t.replicas) == 0 {
		return 0
	}
	usable, backlog := 0, time.Duration(0)
	for _, r := range t.replicas {
		if !r.server.usable(now) {
			continue
		}
		if b := r.server.backlog(now, r); usable == 0 || b < backlog {
			backlog = b
		}
		usable++
	}
	if usable == 0 {
		return 0
	}
	return backlog + waiting*time.Duration(1+len(c.peers))/time.Duration(usable)
}

// predictLoad is how long a request waits for the model to be loaded where no server
// holds it.
func (c *core) predictLoad(t *target) time.Duration {
	if len(t.replicas) > 0 || t.key.model == "" || len(c.document.Pools) == 0 {
		return 0
	}
	return time.Duration(c.document.Budgets.LoadMillis) * time.Millisecond / loadShare
}

// loadShare divides the time of a load from the weight store for what is expected: the
// load may be under way, or its server may have the weights at hand.
const loadShare = 2

// mayBeCached reports whether more than half of what a server seems to have to read is
// shared with other requests, which other instances may have sent there.
func mayBeCached(r *request.Request, unread int) bool {
	shared := sharedPart(r.Prefix)
	if shared == nil {
		return false
	}
	own := r.PromptTokens - shared.Tokens
	return unread > 2*own
}
