package scheduling

import (
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/scheduling/flowcontrol"
	"limpethub/internal/scheduling/predict"
)

// targetKey is what a request asks for: a model or adapter, or a plain service.
type targetKey struct {
	model   modelref.Ref
	service string
}

func keyOf(r *request.Request) targetKey {
	return targetKey{model: r.Model, service: r.Service}
}

// target is one model, adapter or service with the servers that can take requests
// for it now. It is the index that keeps decisions independent of how many servers
// are known.
type target struct {
	key      targetKey
	learned  *predict.Target
	replicas []*replica
	lane     *flowcontrol.Lane
	// running is how many requests this instance has dispatched for the target.
	running int
	// probed is when a request was last let through to learn the present speed.
	probed time.Time
	// refused counts the requests that were refused for lack of copies lately.
	refused recentCount
	// turn counts the decisions.
	turn uint64
	// blocked holds, per class, the last round in which its first request found no
	// room on the server at hand.
	blocked []uint64
}

// replica is a target on a server that can take requests for it.
type replica struct {
	server *server
	target *target
	speed  *predict.Speed
	// backoff is until when the server gets no requests for the target, since it
	// refused one.
	backoff time.Time
}

func (c *core) target(key targetKey) *target {
	t := c.targets[key]
	if t == nil {
		t = &target{key: key, learned: predict.NewTarget(c.general), lane: c.queue.NewLane(), blocked: make([]uint64, len(c.document.Classes))}
		c.targets[key] = t
	}
	return t
}

// addReplica notes that the server can take requests for the target.
func (c *core) addReplica(s *server, key targetKey) {
	t := c.target(key)
	r := s.seen[key]
	if r == nil {
		r = &replica{server: s, target: t, speed: predict.NewSpeed(&s.learned, t.learned)}
		s.seen[key] = r
	}
	s.replicas = append(s.replicas, r)
	t.replicas = append(t.replicas, r)
}

// removeReplica takes the replica out of its target.
func (t *target) removeReplica(r *replica) {
	for i, other := range t.replicas {
		if other == r {
			last := len(t.replicas) - 1
			t.replicas[i] = t.replicas[last]
			t.replicas[last] = nil
			t.replicas = t.replicas[:last]
			return
		}
	}
}
