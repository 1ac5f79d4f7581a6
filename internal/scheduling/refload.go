package scheduling

import (
	"time"

	"limpethub/internal/modelref"
)

// RefLoad counts the requests for one model or adapter version on this instance. Placement uses
// it as the demand for the version.
type RefLoad struct {
	// Running counts the dispatched requests whose answer has begun.
	//
	// Unstarted counts the requests that servers can take but haven't begun to answer:
	// dispatched, waiting and recently refused ones.
	Running, Unstarted int
	// Waiting counts the waiting and recently refused requests for a version for which no
	// server can take requests.
	Waiting int
	// PrefillTime is the predicted time to prefill the prompts of Unstarted and Waiting on one
	// server.
	PrefillTime time.Duration
}

// RefLoads implements Scheduler. A request for an adapter counts for its base model too.
func (c *core) RefLoads(now time.Time) map[modelref.Ref]RefLoad {
	out := map[modelref.Ref]RefLoad{}
	add := func(ref modelref.Ref, delta RefLoad) {
		load := out[ref]
		load.Running += delta.Running
		load.Unstarted += delta.Unstarted
		load.Waiting += delta.Waiting
		load.PrefillTime += delta.PrefillTime
		out[ref] = load
	}
	for _, d := range c.dispatched {
		one := RefLoad{Unstarted: 1, PrefillTime: d.targetCopy.speed.PrefillTime(d.pendingPrefillTokens)}
		if d.answerTokens > 0 {
			one = RefLoad{Running: 1}
		}
		add(d.target.key.model, one)
		if base, ok := c.bases[d.target.key.model]; ok {
			add(base, one)
		}
	}
	for _, t := range c.targets {
		if waiting := t.lane.Len() + t.recentRefusals.count(now); waiting > 0 && t.key.model != "" {
			c.addWaiting(now, t, waiting, add)
		}
	}
	delete(out, "")
	return out
}

// addWaiting adds the requests that wait for a target or were recently refused. If no server
// can take them, they also count for the base model of an adapter, but only if it has no usable
// server either: otherwise just the adapter has to be loaded.
func (c *core) addWaiting(now time.Time, t *target, waiting int, add func(ref modelref.Ref, delta RefLoad)) {
	prefill := t.lane.PrefillTime() + time.Duration(t.recentRefusals.count(now))*t.refusedPrefill
	if c.hasUsableServer(now, t) {
		add(t.key.model, RefLoad{Unstarted: waiting, PrefillTime: prefill})
		return
	}
	add(t.key.model, RefLoad{Waiting: waiting, PrefillTime: prefill})
	base, ok := c.bases[t.key.model]
	if ok && !c.hasUsableServer(now, c.targets[targetKey{model: base, service: t.key.service}]) {
		add(base, RefLoad{Waiting: waiting, PrefillTime: prefill})
	}
}

// refusalWindow is the window in which a refused request counts as demand; see recentCount.
const refusalWindow = time.Second

// recentCount counts the events of the current and the previous window. It keeps requests
// that are refused immediately visible as demand, since they never wait. Without it a model
// that no server holds would get no copy while its requests are refused for lack of one.
type recentCount struct {
	windowStart       time.Time
	current, previous int
}

func (r *recentCount) add(now time.Time) {
	r.rotate(now)
	r.current++
}

func (r *recentCount) count(now time.Time) int {
	r.rotate(now)
	return r.current + r.previous
}

// rotate starts a new window if the current one is over.
func (r *recentCount) rotate(now time.Time) {
	switch elapsed := now.Sub(r.windowStart); {
	case elapsed >= 2*refusalWindow:
		*r = recentCount{windowStart: now}
	case elapsed >= refusalWindow:
		*r = recentCount{windowStart: now, previous: r.current}
	}
}

// hasUsableServer reports whether any server can take requests for the target. A server that gets as
// many requests as it has said that it takes can't: the target needs a copy elsewhere.
func (c *core) hasUsableServer(now time.Time, t *target) bool {
	if t == nil {
		return false
	}
	for _, tc := range t.copies {
		if tc.server.usable(now) && !tc.server.atLimit(now) {
			return true
		}
	}
	return false
}

func (c *core) ServerLoads(now time.Time) map[string]int {
	out := make(map[string]int, len(c.servers))
	for name, s := range c.servers {
		out[name] = s.load.Total(now)
	}
	return out
}
