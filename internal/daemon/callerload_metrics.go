package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/callerload"
)

// callerLoadMetrics returns the metrics of the memory that callers make this instance hold.
func (d *Daemon) callerLoadMetrics() []prometheus.Collector {
	budget := d.hosted.callerLoad
	counter := func(how string, value func(callerload.Counts) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "limpethub_callers_gave_way_total", Help: "Connections of callers that gave way since the memory for requests was used up.",
			ConstLabels: prometheus.Labels{"how": how},
		}, func() float64 { return float64(value(budget.Counts())) })
	}
	return []prometheus.Collector{
		gauge("limpethub_callers_held_bytes", "Bytes that callers make this instance hold: heads and bodies of requests, whole answers, and their connections.", func() float64 { return float64(budget.Held()) }),
		gauge("limpethub_callers_max_bytes", "Bytes that callers may make this instance hold; 0 means no limit.", func() float64 { return float64(budget.Limit()) }),
		counter("refused", func(c callerload.Counts) uint64 { return c.Refused }),
		counter("body_ended", func(c callerload.Counts) uint64 { return c.BodiesEnded }),
		counter("answer_ended", func(c callerload.Counts) uint64 { return c.AnswersEnded }),
		counter("connection_closed", func(c callerload.Counts) uint64 { return c.ConnectionsClosed }),
	}
}
