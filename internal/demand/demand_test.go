package demand

import (
	"testing"
	"time"
)

// addSteadyRate counts a steady rate, in requests per second, for some seconds.
func addSteadyRate(tr *Tracker, now *time.Time, totalRequests *uint64, ratePerSecond uint64, seconds int) {
	for range seconds {
		*now = now.Add(time.Second)
		*totalRequests += ratePerSecond
		tr.Update(*now, []Sample{{Instance: "i", Ref: "m@1", Requests: *totalRequests, Tokens: *totalRequests * 10}})
	}
}

func TestEstimateRisesQuicklyAndFallsSlowly(t *testing.T) {
	tr, now, total := New(DefaultConfig(), []float64{1}), time.Unix(0, 0), uint64(0)
	tr.Update(now, []Sample{{Instance: "i", Ref: "m@1"}})
	addSteadyRate(tr, &now, &total, 4, 600)
	if got := tr.Estimates()[0].Requests; got < 3.5 || got > 4.5 {
		t.Errorf("steady estimate %.1f, want between 3.5 and 4.5", got)
	}
	addSteadyRate(tr, &now, &total, 40, 5)
	if got := tr.Estimates()[0].Requests; got < 20 {
		t.Errorf("estimate %.1f after 5 s of a tenfold burst, want at least 20", got)
	}
	addSteadyRate(tr, &now, &total, 40, 10)
	addSteadyRate(tr, &now, &total, 4, 120)
	if got := tr.Estimates()[0].Requests; got < 25 {
		t.Errorf("estimate %.1f 2 minutes after the burst, want at least 25", got)
	}
	addSteadyRate(tr, &now, &total, 4, 2*3600)
	if got := tr.Estimates()[0].Requests; got > 6 {
		t.Errorf("estimate %.1f 2 hours after the burst, want at most 6", got)
	}
}

func TestFirstCountersOfAnInstanceAreNotDemand(t *testing.T) {
	tr, now := New(DefaultConfig(), nil), time.Unix(0, 0)
	tr.Update(now, []Sample{{Instance: "a", Ref: "m@1", Requests: 1000}})
	now = now.Add(time.Second)
	tr.Update(now, []Sample{{Instance: "b", Ref: "m@1", Requests: 5000}, {Instance: "a", Ref: "m@1", Requests: 1000}})
	if e := tr.Estimates(); len(e) != 0 {
		t.Errorf("got %v, want no demand", e)
	}
}
