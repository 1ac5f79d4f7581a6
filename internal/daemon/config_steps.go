package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/confsync"
)

// Steps of a configuration after confsync's own, each from the beginning of putInForce.
const (
	// stepDispatcher ends when the dispatcher has the configuration.
	stepDispatcher confsync.InForceStep = "dispatcher"
	// stepAllParts ends when all parts have it, and requests are judged by it.
	stepAllParts confsync.InForceStep = "all_parts"
)

// configSteps measures how long the steps take by which a configuration comes into force.
type configSteps struct{ seconds *prometheus.HistogramVec }

func newConfigSteps() *configSteps {
	return &configSteps{seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "limpethub_configuration_step_seconds",
		Help:    "Time that a step takes by which a new configuration comes into force on this instance, in seconds.",
		Buckets: []float64{0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10},
	}, []string{"step"})}
}

func (c *configSteps) observe(step confsync.InForceStep, took time.Duration) {
	c.seconds.WithLabelValues(string(step)).Observe(took.Seconds())
}
