package pace

import (
	"math"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// observe takes a sample each 100 ms of a server that needs the given multiple of the usual time.
func observe(p *Pace, from, until time.Duration, ratio float64, running int) {
	for d := from; d < until; d += 100 * time.Millisecond {
		p.Observe(at(d), Sample{Expected: time.Second, Actual: time.Duration(ratio * float64(time.Second)), Running: running, Slots: 16, Weight: 1})
	}
}

// TestFactorFollowsAndFades checks that a change shows within a second, and that it fades while there are no samples.
func TestFactorFollowsAndFades(t *testing.T) {
	var p Pace
	observe(&p, 0, time.Second, 3, 2)
	if f := p.Factor(at(time.Second)); f < 2 || f > 3 {
		t.Errorf("factor after 1 s at 3 times the usual time = %.2f, want 2 to 3", f)
	}
	observe(&p, time.Second, 2500*time.Millisecond, 1, 2)
	if f := p.Factor(at(2500 * time.Millisecond)); f != 1 {
		t.Errorf("factor 1.5 s after the server recovered = %.2f, want 1", f)
	}
	observe(&p, 3*time.Second, 5*time.Second, 3, 2)
	if f := p.Factor(at(2 * time.Minute)); f != 1 {
		t.Errorf("factor after two minutes without samples = %.2f, want 1", f)
	}
}

// TestOutliersAndSmallDifferencesHaveNoEffect guards against decisions that change because of single samples, or
// of differences that are too small to matter.
func TestOutliersAndSmallDifferencesHaveNoEffect(t *testing.T) {
	var p Pace
	observe(&p, 0, time.Second, 1, 2)
	p.Observe(at(time.Second), Sample{Expected: time.Second, Actual: time.Hour, Weight: 1})
	if f := p.Factor(at(time.Second)); f != 1 {
		t.Errorf("factor after an outlier = %.2f, want 1", f)
	}
	var small Pace
	observe(&small, 0, 5*time.Second, 1.15, 2)
	if f := small.Factor(at(5 * time.Second)); f != 1 {
		t.Errorf("factor at 1.15 times the usual time = %.2f, want 1", f)
	}
}

// TestMomentaryIsNotLearned checks that a sample is divided by the momentary figure.
func TestMomentaryIsNotLearned(t *testing.T) {
	var p Pace
	for range 10 {
		p.Observe(epoch, Sample{Expected: time.Second, Actual: 2500 * time.Millisecond, Momentary: 2.5, Weight: 1})
	}
	if f := p.Factor(epoch); f != 1 {
		t.Errorf("factor = %.2f, want 1", f)
	}
}

// TestServersAreComparedWithTheirService guards against a service that is slow as a whole, where no server has
// a reason to get fewer requests than the others.
func TestServersAreComparedWithTheirService(t *testing.T) {
	paces := make([]*Pace, 8)
	for i := range paces {
		paces[i] = &Pace{}
		observe(paces[i], 0, 2*time.Second, 2, 2)
	}
	observe(paces[0], 2*time.Second, 3*time.Second, 4.5, 2)
	usual := UsualOf(at(3*time.Second), paces)
	for i, p := range paces {
		p.SetUsual(usual)
		if f := p.Factor(at(3 * time.Second)); (f > 1.5) != (i == 0) || i > 0 && f != 1 {
			t.Errorf("factor of server %d = %.2f, want more than 1.5 for server 0 and 1 for the others", i, f)
		}
	}
}

// TestLimitIsWhereTheServerSlowsDown checks that only a server that slows down more than usual when it is crowded
// gets a lower limit, and that the limit rises again once it isn't crowded any more.
func TestLimitIsWhereTheServerSlowsDown(t *testing.T) {
	var p, slow Pace
	observe(&p, 0, 2*time.Second, 1, 4)
	observe(&p, 2*time.Second, 4*time.Second, 16.0/5, 16)
	if n := p.Limit(at(4*time.Second), 16); n < 4 || n > 9 {
		t.Errorf("limit of a server whose speed falls from 5 requests on = %d, want 4 to 9", n)
	}
	if n := p.Limit(at(time.Minute), 16); n != 0 {
		t.Errorf("limit a minute later = %d, want none", n)
	}
	observe(&slow, 0, 2*time.Second, 2, 4)
	observe(&slow, 2*time.Second, 4*time.Second, 2, 16)
	if n := slow.Limit(at(4*time.Second), 16); n != 0 {
		t.Errorf("limit of a server that is always slow = %d, want none", n)
	}
}

// TestEstimatesAreOwnSamplesOnce guards against samples that come back from peers and count twice, and against
// messages about servers that don't differ.
func TestEstimatesAreOwnSamplesOnce(t *testing.T) {
	var usual, a, b Pace
	observe(&usual, 0, time.Second, 1.02, 2)
	if e := usual.Estimate(at(time.Second)); !e.Empty() {
		t.Errorf("estimate of a usual server = %+v, want none", e)
	}
	observe(&a, 0, time.Second, 3, 2)
	e := a.Estimate(at(time.Second))
	if math.Abs(e.Light.Factor-2.6) > 0.5 || e.Light.Weight <= 0 || e.Crowded.Weight != 0 {
		t.Errorf("estimate = %+v, want a factor of 2.1 to 3.1 with few requests", e)
	}
	b.Merge(at(time.Second), e)
	if f := b.Factor(at(time.Second)); f < 1.6 {
		t.Errorf("peer's factor = %.2f, want at least 1.6", f)
	}
	if back := b.Estimate(at(time.Second)); !back.Empty() {
		t.Errorf("the peer's estimate = %+v, want none: it has no samples of its own", back)
	}
	if again := a.Estimate(at(time.Second)); !again.Empty() {
		t.Errorf("second estimate = %+v, want none without new samples", again)
	}
	b.Merge(at(time.Second), Estimate{Light: Part{Factor: math.NaN(), Weight: 1}, Crowded: Part{Factor: math.Inf(1), Weight: 1}})
	if f := b.Factor(at(time.Second)); math.IsNaN(f) || f > 8 {
		t.Errorf("factor after a nonsensical estimate = %v, want at most 8", f)
	}
}
