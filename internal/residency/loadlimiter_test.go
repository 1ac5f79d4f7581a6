package residency

import (
	"testing"
	"time"
)

func never(unclearLoad) bool { return false }

// TestOrdersThatMayStillTakeEffectCountInEveryWindow replays three loads whose answers were lost:
// they may begin at any moment within lateOrderWindow, together with others.
func TestOrdersThatMayStillTakeEffectCountInEveryWindow(t *testing.T) {
	const perSecond = 0.4 // 5 loads in a window: 2 by the rate and the burst of 3.
	now := time.Unix(1000, 0)
	l := newLoadLimiter(now, perSecond, recentLoads{})
	order := func(answered bool) {
		l.ordered(now)
		if !answered {
			l.unanswered(unclearLoad{server: "a", until: now.Add(lateOrderWindow)})
		}
	}
	for range 3 {
		order(false)
	}
	now = now.Add(2 * loadWindow) // The bucket is full again.
	l.advance(now, perSecond, never)
	if got := l.allowed(now); got > 2 {
		t.Errorf("with 3 loads that may still begin: %d allowed, want at most 2", got)
	}
	now = now.Add(lateOrderWindow)
	l.advance(now, perSecond, never)
	if got := l.allowed(now); got != loadBurst {
		t.Errorf("after %v: %d allowed, want %d", lateOrderWindow, got, loadBurst)
	}
	order(false)
	l.advance(now, perSecond, func(unclearLoad) bool { return true })
	if l.recent() != 1 {
		t.Errorf("a settled load counts %d times, want once as ordered", l.recent())
	}
}

// TestNewHolderCountsTheLoadsOfTheLastOne guards against a new holder that starts with a full
// burst right after the last one has used all that the window allows.
func TestNewHolderCountsTheLoadsOfTheLastOne(t *testing.T) {
	const perSecond = 1.2 // 9 loads in a window.
	now := time.Unix(1000, 0)
	l := newLoadLimiter(now, perSecond, recentLoads{count: 8, at: now})
	if got := l.allowed(now); got != 0 {
		t.Errorf("right after 8 loads and perhaps one late order: %d allowed, want 0", got)
	}
	now = now.Add(loadWindow)
	l.advance(now, perSecond, never)
	if got := l.allowed(now); got != loadBurst {
		t.Errorf("%v later: %d allowed, want %d", loadWindow, got, loadBurst)
	}
	if got := newLoadLimiter(now, perSecond, recentLoads{}).allowed(now); got != loadBurst {
		t.Errorf("without a last holder: %d allowed, want %d", got, loadBurst)
	}
}
