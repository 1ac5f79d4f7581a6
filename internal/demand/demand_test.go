package demand

import (
	"testing"
	"time"
)

// feed gives a tracker a steady rate, in requests per second, for some seconds.
func feed(tr *Tracker, now *time.Time, total *uint64, rate uint64, seconds int) {
	for range seconds {
		*now = now.Add(time.Second)
		*total += rate
		tr.Update(*now, []Sample{{Instance: "i", Ref: "m@1", Requests: *total, Tokens: *total * 10}})
	}
}

func TestQuickUpAndSlowDown(t *testing.T) {
	tr, now, total := New(DefaultConfig(), []float64{1}), time.Unix(0, 0), uint64(0)
	tr.Update(now, []Sample{{Instance: "i", Ref: "m@1"}})
	feed(tr, &now, &total, 4, 600)
	if got := tr.Estimates()[0].Requests; got < 3.5 || got > 4.5 {
		t.Errorf("steady estimate %.1f, want about 4", got)
	}
	feed(tr, &now, &total, 40, 5)
	if got := tr.Estimates()[0].Requests; got < 20 {
		t.Errorf("estimate %.1f after 5 s of a tenfold burst, want over 20", got)
	}
	feed(tr, &now, &total, 40, 10)
	feed(tr, &now, &total, 4, 120)
	if got := tr.Estimates()[0].Requests; got < 25 {
		t.Errorf("estimate %.1f 2 minutes after the burst, want it held", got)
	}
	feed(tr, &now, &total, 4, 2*3600)
	if got := tr.Estimates()[0].Requests; got > 6 {
		t.Errorf("estimate %.1f 2 hours after the burst, want it forgotten", got)
	}
}

func TestFirstCountersOfAnInstanceAreNoDemand(t *testing.T) {
	tr, now := New(DefaultConfig(), nil), time.Unix(0, 0)
	tr.Update(now, []Sample{{Instance: "a", Ref: "m@1", Requests: 1000}})
	now = now.Add(time.Second)
	tr.Update(now, []Sample{{Instance: "b", Ref: "m@1", Requests: 5000}, {Instance: "a", Ref: "m@1", Requests: 1000}})
	if e := tr.Estimates(); len(e) != 0 {
		t.Errorf("got %v, want no demand", e)
	}
}
