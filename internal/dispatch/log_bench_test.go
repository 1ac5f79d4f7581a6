package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/logging"
	"limpethub/internal/request"
	"limpethub/internal/scheduling"
)

// BenchmarkDecisionLog measures the cost of the log line of a routing decision.
func BenchmarkDecisionLog(b *testing.B) {
	for name, level := range map[string]logrus.Level{"written": logrus.InfoLevel, "off": logrus.WarnLevel} {
		b.Run(name, func(b *testing.B) {
			d := &Dispatcher{logger: logging.For(logging.New(io.Discard, level), logging.Routing, "entry-1")}
			r := request.Request{ID: "form-8123~entry-1-17", Model: "appraisal@2", Class: 1}
			decision := scheduling.Decision{ID: r.ID, Action: scheduling.Dispatch, Server: "drafting-7", Reason: "predicted 812 ms of 3999 left, 3 of 12 on the server"}
			b.ReportAllocs()
			for b.Loop() {
				d.logDecision(r, decision, 12*time.Millisecond)
			}
		})
	}
}
