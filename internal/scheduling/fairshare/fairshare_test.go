package fairshare

import "testing"

// backlog is a line with workspaces that always have requests of the given costs waiting.
type backlog struct {
	line   *Line
	shares map[string]*Share
	costs  map[string]float64
	served map[string]float64
}

func newBacklog(clock *Clock) *backlog {
	return &backlog{line: clock.NewLine(), shares: map[string]*Share{}, costs: map[string]float64{}, served: map[string]float64{}}
}

func (b *backlog) enter(workspace string, cost float64) {
	b.shares[workspace] = b.line.Enter(workspace)
	b.costs[workspace] = cost
}

func (b *backlog) leave(workspace string) {
	b.line.Leave(b.shares[workspace])
	delete(b.shares, workspace)
}

// serve serves the workspace with the earliest start and returns it.
func (b *backlog) serve() string {
	first := ""
	for w, s := range b.shares {
		if first == "" || s.Start() < b.shares[first].Start() || s.Start() == b.shares[first].Start() && w < first {
			first = w
		}
	}
	b.line.Serve(first, b.costs[first])
	b.served[first] += b.costs[first]
	return first
}

// TestWorkspacesGetEqualTokens guards against sharing by requests, which gives a workspace with long
// prompts more, and against starvation: each gets the same tokens but for one request.
func TestWorkspacesGetEqualTokens(t *testing.T) {
	b := newBacklog(NewClock())
	b.enter("short", 800)
	b.enter("long", 9200)
	b.enter("longest", 57_000)
	for range 10_000 {
		b.serve()
	}
	for w, tokens := range b.served {
		if difference := b.served["longest"] - tokens; difference < -57_000 || difference > 57_000 {
			t.Errorf("%s got %v tokens, longest %v, want a difference of at most the longest request", w, tokens, b.served["longest"])
		}
	}
}

// TestIdleWorkspaceGetsNoCredit guards against a workspace that takes all service for as long as it
// was idle, and against one that evades what it has had by leaving the line after each request.
func TestIdleWorkspaceGetsNoCredit(t *testing.T) {
	b := newBacklog(NewClock())
	b.enter("busy", 1)
	for range 1000 {
		b.serve()
	}
	b.enter("idle", 1)
	turns := 0
	for range 100 {
		if b.serve() == "idle" {
			turns++
			b.leave("idle")
			b.enter("idle", 1)
		}
	}
	if turns < 49 || turns > 51 {
		t.Errorf("the workspace that was idle got %d of 100 turns, want half", turns)
	}
}

// TestSlowLineIsSharedByThoseInIt guards against a workspace that joins a slow line with the virtual
// time of a fast one: it would wait behind one that has filled the slow line until that has caught up.
func TestSlowLineIsSharedByThoseInIt(t *testing.T) {
	clock := NewClock()
	slow, fast := newBacklog(clock), newBacklog(clock)
	slow.enter("flood", 1)
	fast.enter("a", 1)
	fast.enter("b", 1)
	for i := range 1000 {
		fast.serve()
		if i%100 == 0 {
			slow.serve()
		}
	}
	slow.enter("small", 1)
	turns := 0
	for range 10 {
		if slow.serve() == "small" {
			turns++
		}
	}
	if turns < 4 || turns > 6 {
		t.Errorf("the small workspace got %d of 10 turns in the slow line, want about half", turns)
	}
}

// TestServiceCountsInAllLines guards against a workspace that gets a share for each model that it uses.
func TestServiceCountsInAllLines(t *testing.T) {
	clock := NewClock()
	first, second := newBacklog(clock), newBacklog(clock)
	for _, line := range []*backlog{first, second} {
		line.enter("both", 1)
	}
	first.enter("one", 1)
	second.enter("other", 1)
	for range 300 {
		first.serve()
		second.serve()
	}
	if got := first.served["both"] + second.served["both"]; got < 195 || got > 205 {
		t.Errorf("the workspace in both lines got %v of 600 tokens, want a third", got)
	}
}

// TestShareAheadCountsFairShares guards against the refusal of a small workspace because a large one
// has filled the queue.
func TestShareAheadCountsFairShares(t *testing.T) {
	line := NewClock().NewLine()
	line.Enter("large").AddWaiting(99)
	line.Enter("small").AddWaiting(1)
	if share := line.ShareAhead(line.NextStart("small") + 1); share != 0.03 {
		t.Errorf("%v of 100 waiting tokens are ahead of one more of the small workspace, want its own and 2 of the large one", share)
	}
	if share := line.ShareAhead(line.NextStart("large") + 1); share != 1 {
		t.Errorf("%v of what waits is ahead of one more request of the large workspace, want all", share)
	}
}

// TestForgetsWorkspacesThatNoLongerWait guards against memory that grows with each workspace ever seen.
func TestForgetsWorkspacesThatNoLongerWait(t *testing.T) {
	clock := NewClock()
	line := clock.NewLine()
	for i := range 10_000 {
		name := string(rune('a'+i%26)) + string(rune(i))
		s := line.Enter(name)
		line.Serve(name, 1)
		line.Leave(s)
	}
	if len(line.shares) > 2*minSweep || len(clock.served) > 2*minSweep {
		t.Errorf("%d shares and %d accounts are kept, want at most %d", len(line.shares), len(clock.served), 2*minSweep)
	}
}
