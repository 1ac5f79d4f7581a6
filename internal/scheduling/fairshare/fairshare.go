// Package fairshare divides service among workspaces by start-time fair queueing: the workspace
// that has had the least service since it began to wait goes first. Service is measured in tokens,
// and all workspaces have the same weight. It has no clock: virtual time advances with service.
package fairshare

// minSweep is the number of shares from which a line looks for those that it can forget.
const minSweep = 16

// Clock holds the virtual time of one class on one instance, which all lines of the class share.
// So service in one line counts in the others where the workspace waits, and the starts of
// different lines can be compared.
type Clock struct {
	now    float64
	served map[string]*account
}

// account sums up the service of a workspace. It is dropped once no share refers to it.
type account struct {
	total  float64
	shares int
}

// NewClock returns a clock at virtual time 0.
func NewClock() *Clock { return &Clock{served: map[string]*account{}} }

// Line holds the workspaces whose requests wait for the same servers. Each line has its own virtual time, because lines
// are served at different rates: with a shared time, a workspace joining a slow line would start far behind those already
// waiting in it.
type Line struct {
	clock *Clock
	now   float64
	// latest is when the last of all requests served ends.
	latest float64
	shares map[string]*Share
	active int
	// sweepAt is the number of shares at which sweep is called next.
	sweepAt int
}

// NewLine returns an empty line of the clock's class.
func (c *Clock) NewLine() *Line {
	return &Line{clock: c, shares: map[string]*Share{}, sweepAt: minSweep}
}

// Share is the place of one workspace in a line.
type Share struct {
	workspace string
	account   *account
	active    bool
	// offset is added to the workspace's total service to give the start of an active share.
	offset float64
	// finish is the start of a share that isn't active.
	finish float64
	// waiting is the cost of the workspace's waiting requests that count as ahead of new ones.
	waiting float64
}

// Start returns the virtual time at which the workspace's next request starts. It never decreases
// while the share is active.
func (s *Share) Start() float64 {
	if s.active {
		return s.account.total + s.offset
	}
	return s.finish
}

// AddWaiting adds the cost of a waiting request, or with a negative cost removes it.
func (s *Share) AddWaiting(cost float64) { s.waiting += cost }

// time returns the virtual time at which a workspace joins the line. An empty line has no waiting
// workspaces to be compared with, so that it has the time of its class.
func (l *Line) time() float64 {
	if l.active == 0 {
		return max(l.now, l.clock.now)
	}
	return l.now
}

// Enter records that a workspace begins to wait in the line. It gets no credit for the time that
// it didn't wait: it starts at the line's time, or where its last service ended if that is later.
func (l *Line) Enter(workspace string) *Share {
	l.now = l.time()
	s := l.share(workspace)
	s.offset = max(s.finish, l.now) - s.account.total
	s.active = true
	l.active++
	return s
}

// Leave records that a workspace has no requests waiting in the line any more. Once nobody waits,
// all begin anew at the same time.
func (l *Line) Leave(s *Share) {
	s.finish = s.Start()
	s.active = false
	s.waiting = 0
	l.active--
	if l.active == 0 {
		l.now = max(l.now, l.latest)
		l.sweep()
	}
}

// Serve records that a request of a workspace was served while requests waited in the line.
func (l *Line) Serve(workspace string, cost float64) {
	s := l.share(workspace)
	start := s.Start()
	if !s.active {
		start = max(start, l.now)
		s.finish = start + cost
	}
	s.account.total += cost
	l.latest = max(l.latest, start+cost)
	l.now = max(l.now, start)
	l.clock.now = max(l.clock.now, start)
}

// ShareAhead returns which share of the cost that waits in the line goes before a new request
// whose start is at the given time: of each workspace, what starts before then. It is 1 if
// nothing waits.
func (l *Line) ShareAhead(start float64) float64 {
	var all, ahead float64
	for _, s := range l.shares {
		if !s.active {
			continue
		}
		all += s.waiting
		ahead += min(s.waiting, max(0, start-s.Start()))
	}
	if all == 0 {
		return 1
	}
	return ahead / all
}

// NextStart returns at which virtual time a new request of a workspace would start, after those
// that the workspace has waiting in the line.
func (l *Line) NextStart(workspace string) float64 {
	now := l.time()
	s := l.shares[workspace]
	switch {
	case s == nil:
		return now
	case s.active:
		return s.Start() + s.waiting
	}
	return max(s.finish, now)
}

// share returns the share of a workspace and adds it if the line has none.
func (l *Line) share(workspace string) *Share {
	if s := l.shares[workspace]; s != nil {
		return s
	}
	if len(l.shares) >= l.sweepAt {
		l.sweep()
	}
	a := l.clock.served[workspace]
	if a == nil {
		a = &account{}
		l.clock.served[workspace] = a
	}
	a.shares++
	s := &Share{workspace: workspace, account: a}
	l.shares[workspace] = s
	return s
}

// sweep forgets the shares that would start at the line's time, so that the line remembers about
// as many workspaces as wait in it.
func (l *Line) sweep() {
	now := l.time()
	for _, s := range l.shares {
		if !s.active && s.finish <= now {
			l.forget(s)
		}
	}
	l.sweepAt = max(minSweep, 2*len(l.shares))
}

func (l *Line) forget(s *Share) {
	delete(l.shares, s.workspace)
	s.account.shares--
	if s.account.shares == 0 {
		delete(l.clock.served, s.workspace)
	}
}
