package daemon

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"limpethub/internal/cluster"
)

// TestDroppedDigestsAreCountedAndLogged guards against digests that are dropped without a trace, so that nobody sees why instances
// don't know of each other's load.
func TestDroppedDigestsAreCountedAndLogged(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	traffic, now := &digestTraffic{}, time.Unix(1000, 0)
	traffic.log(now, cluster.Stats{MembershipBytes: 10}, 0, logrus.NewEntry(logger))
	traffic.record(contentLoad, 3, 4, 100)
	traffic.record(contentCounts, 1, 0, 50)
	traffic.log(now.Add(droppedDigestsLogPeriod/2), cluster.Stats{}, 0, logrus.NewEntry(logger))
	if len(hook.Entries) != 0 {
		t.Errorf("%d lines logged within droppedDigestsLogPeriod, want none", len(hook.Entries))
	}
	for range 2 {
		now = now.Add(droppedDigestsLogPeriod)
		traffic.log(now, cluster.Stats{MembershipBytes: 30, DigestBytes: 360}, -7, logrus.NewEntry(logger))
	}
	if len(hook.Entries) != 1 {
		t.Fatalf("%d lines logged, want 1: nothing was dropped in the second period", len(hook.Entries))
	}
	for field, want := range map[string]uint64{"load_sent": 3, "load_dropped": 4, "load_bytes": 300, "counts_sent": 1, "counts_bytes": 50, "membership_bytes": 20, "other_bytes": 10} {
		if got := hook.LastEntry().Data[field]; got != want {
			t.Errorf("%s is %v, want %d", field, got, want)
		}
	}
	if got := gatheredCounts(t, traffic); got["limpethub_digests_total load dropped"] != 4 || got["limpethub_digests_total load sent"] != 3 || got["limpethub_digest_bytes_total counts"] != 50 {
		t.Errorf("metrics are %v, want 4 load digests dropped and 3 sent, and 50 bytes of counts", got)
	}
}

// gatheredCounts returns the values of the metrics by name and labels.
func gatheredCounts(t *testing.T, traffic *digestTraffic) map[string]float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(traffic.Collectors()...)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			key := family.GetName()
			for _, label := range metric.GetLabel() {
				key += " " + label.GetValue()
			}
			out[key] = metric.GetCounter().GetValue()
		}
	}
	return out
}
