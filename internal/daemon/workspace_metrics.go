package daemon

import "github.com/prometheus/client_golang/prometheus"

// waitingCollector collects the number of waiting requests by workspace. It has a series for each
// workspace that has any, so that their number is bounded by that of the waiting requests.
type waitingCollector struct {
	description *prometheus.Desc
	waiting     func() map[string]int
}

var _ prometheus.Collector = (*waitingCollector)(nil)

func newWaitingCollector(waiting func() map[string]int) *waitingCollector {
	return &waitingCollector{
		description: prometheus.NewDesc("limpethub_workspace_waiting", "Requests that wait on this instance, by workspace.", []string{"workspace"}, nil),
		waiting:     waiting,
	}
}

func (c *waitingCollector) Describe(out chan<- *prometheus.Desc) { out <- c.description }

func (c *waitingCollector) Collect(out chan<- prometheus.Metric) {
	for workspace, count := range c.waiting() {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(count), workspace)
	}
}
