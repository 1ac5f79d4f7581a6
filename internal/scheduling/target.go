package scheduling

import (
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/scheduling/predict"
)

// targetKey identifies what a request asks for: a model, an adapter or a plain service.
type targetKey struct {
	model   modelref.Ref
	service string
}

func keyOf(r *request.Request) targetKey {
	return targetKey{model: r.Model, service: r.Service}
}

// target is one model, adapter or service with the servers that can take requests for it now.
// The list of copies makes the cost of a decision independent of the number of known servers.
type target struct {
	key        targetKey
	prediction *predict.Target
	copies     []*targetCopy
	lane       *flowcontrol.Lane
	// dispatched is how many requests of this instance for the target are on a server.
	dispatched int
	// lastProbe is when a request was last dispatched as a probe; see probePeriod.
	lastProbe time.Time
	// recentRefusals counts requests recently refused because they would miss their deadline.
	recentRefusals recentCount
	// refusedPrefill is the predicted prefill time of the last of them.
	refusedPrefill time.Duration
	// decisions counts the routing decisions for the target.
	decisions uint64
	// blockedInPass holds, per class, the last pass in which the class was blocked; see skip.
	blockedInPass []uint64
}

// targetCopy is one target on one server that can take requests for it: a resident copy of a
// model or adapter, or a plain service.
type targetCopy struct {
	server *server
	target *target
	speed  *predict.Speed
	// backoffUntil is when the server may get requests for the target again after it refused
	// one.
	backoffUntil time.Time
}

// target returns the target with the key and adds it if it isn't known.
func (c *core) target(key targetKey) *target {
	t := c.targets[key]
	if t == nil {
		t = &target{key: key, prediction: predict.NewTarget(c.aggregate), lane: c.queue.NewLane(), blockedInPass: make([]uint64, len(c.document.Classes))}
		c.targets[key] = t
	}
	return t
}

// addCopy records that the server can take requests for the target.
func (c *core) addCopy(s *server, key targetKey) {
	t := c.target(key)
	tc := s.knownCopies[key]
	if tc == nil {
		tc = &targetCopy{server: s, target: t, speed: predict.NewSpeed(&s.prediction, t.prediction)}
		s.knownCopies[key] = tc
	}
	s.copies = append(s.copies, tc)
	t.copies = append(t.copies, tc)
}

func (t *target) removeCopy(tc *targetCopy) {
	for i, other := range t.copies {
		if other == tc {
			last := len(t.copies) - 1
			t.copies[i] = t.copies[last]
			t.copies[last] = nil
			t.copies = t.copies[:last]
			return
		}
	}
}
