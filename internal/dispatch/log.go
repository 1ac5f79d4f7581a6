package dispatch

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/request"
	"limpethub/internal/scheduling"
)

// actionNames holds the names of actions in logs and in answers to operators.
var actionNames = [...]string{scheduling.Dispatch: "dispatch", scheduling.Queue: "queue", scheduling.Refuse: "refuse", scheduling.PassOn: "pass on"}

// logDecision logs a decision. The field "class" is the index of the class. The workspace is named
// where it matters: for requests that wait or are refused.
func (d *Dispatcher) logDecision(r request.Request, decision scheduling.Decision, waited time.Duration) {
	if !d.logger.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	entry := d.logger
	if r.Workspace != "" && decision.Action != scheduling.Dispatch {
		entry = entry.WithField("workspace", r.Workspace)
	}
	if d.viewAge != nil && decision.Action == scheduling.Dispatch {
		entry = entry.WithField("view_ms", d.viewAge().Milliseconds())
	}
	entry.WithFields(logrus.Fields{
		"request":   r.ID,
		"model":     r.Model,
		"service":   r.Service,
		"class":     r.Class,
		"server":    decision.Server,
		"reason":    decision.Reason,
		"waited_ms": waited.Milliseconds(),
	}).Info(ActionName(decision.Action))
}

// logSpeedChanges logs which servers were found slow or have recovered.
func (d *Dispatcher) logSpeedChanges(changes []scheduling.SpeedChange) {
	for _, c := range changes {
		line := d.logger.WithFields(logrus.Fields{"server": c.Server, "factor": math.Round(c.Factor*100) / 100})
		if c.Slow {
			line.Info("A server is slower than the others of its service")
			continue
		}
		line.Info("A server has recovered its usual speed")
	}
}

// ActionName returns the name of an action in logs and in answers to operators.
func ActionName(a scheduling.Action) string { return actionNames[a] }
