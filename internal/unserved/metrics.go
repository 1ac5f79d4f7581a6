package unserved

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// worstShown is how many entries of each kind the metrics name, so that the number of series stays small whatever callers ask for.
const worstShown = 5

var (
	countDescription = prometheus.NewDesc("limpethub_unserved",
		"Models, adapters and prompts whose last requests on this instance weren't served.", []string{"kind"}, nil)
	longDescription = prometheus.NewDesc("limpethub_unserved_long",
		"Those of limpethub_unserved that were asked for four times or more, over 8 s or more, by the cause of the last failure.", []string{"kind", "cause"}, nil)
	secondsDescription = prometheus.NewDesc("limpethub_unserved_seconds",
		"Time since the first request that wasn't served, of the few that have waited for longest.", []string{"kind", "name", "cause"}, nil)
)

var _ prometheus.Collector = (*Tracker)(nil)

// Describe implements prometheus.Collector.
func (t *Tracker) Describe(out chan<- *prometheus.Desc) {
	out <- countDescription
	out <- longDescription
	out <- secondsDescription
}

// Collect implements prometheus.Collector.
func (t *Tracker) Collect(out chan<- prometheus.Metric) {
	for _, kind := range []Kind{Version, Prompt} {
		summary := t.Summarize(kind, worstShown)
		out <- prometheus.MustNewConstMetric(countDescription, prometheus.GaugeValue, float64(summary.Count), string(kind))
		for cause, count := range summary.Long {
			out <- prometheus.MustNewConstMetric(longDescription, prometheus.GaugeValue, float64(count), string(kind), string(cause))
		}
		t.collectWorst(out, summary.Worst, t.now())
	}
}

func (t *Tracker) collectWorst(out chan<- prometheus.Metric, worst []Entry, now time.Time) {
	for _, e := range worst {
		out <- prometheus.MustNewConstMetric(secondsDescription, prometheus.GaugeValue, now.Sub(e.Since).Seconds(), string(e.Kind), e.Name, string(e.Cause))
	}
}
