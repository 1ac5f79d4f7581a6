package scheduling

import (
	"time"

	"limpethub/internal/modelref"
)

// RefLoad counts the requests for one version on this instance.
type RefLoad struct {
	// Running counts those that a server has begun to answer, and Unbegun those that one
	// hasn't.
	Running, Unbegun int
	// Waiting counts those that wait because no server can take requests for the version.
	Waiting int
}

// RefLoads implements Scheduler. Requests for an adapter count for its base too.
func (c *core) RefLoads(now time.Time) map[modelref.Ref]RefLoad {
	out := map[modelref.Ref]RefLoad{}
	add := func(ref modelref.Ref, more RefLoad) {
		load := out[ref]
		load.Running += more.Running
		load.Unbegun += more.Unbegun
		load.Waiting += more.Waiting
		out[ref] = load
	}
	for _, d := range c.running {
		one := RefLoad{Unbegun: 1}
		if d.tokens > 0 {
			one = RefLoad{Running: 1}
		}
		add(d.target.key.model, one)
		if base, ok := c.bases[d.target.key.model]; ok {
			add(base, one)
		}
	}
	for _, t := range c.targets {
		if waiting := t.lane.Len() + t.refused.last(now); waiting > 0 && t.key.model != "" {
			c.addWaiting(now, t, waiting, add)
		}
	}
	delete(out, "")
	return out
}

// addWaiting adds the requests that wait for a target, or that were refused lately, as
// waiting for a copy where there is none.
func (c *core) addWaiting(now time.Time, t *target, waiting int, add func(ref modelref.Ref, more RefLoad)) {
	if c.served(now, t) {
		add(t.key.model, RefLoad{Unbegun: waiting})
		return
	}
	add(t.key.model, RefLoad{Waiting: waiting})
	base, ok := c.bases[t.key.model]
	if ok && !c.served(now, c.targets[targetKey{model: base, service: t.key.service}]) {
		add(base, RefLoad{Waiting: waiting})
	}
}

// recentWindow is for how long a refused request counts as demand.
const recentWindow = time.Second

// recentCount counts events of the last one to two windows. It answers demand that is
// refused at once and so never shows among what waits: without it a model that no server
// holds would get no copy as long as its requests are refused for want of one.
type recentCount struct {
	began         time.Time
	current, past int
}

func (r *recentCount) add(now time.Time) {
	r.turn(now)
	r.current++
}

func (r *recentCount) last(now time.Time) int {
	r.turn(now)
	return r.current + r.past
}

// turn begins a new window when one is over.
func (r *recentCount) turn(now time.Time) {
	switch elapsed := now.Sub(r.began); {
	case elapsed >= 2*recentWindow:
		*r = recentCount{began: now}
	case elapsed >= recentWindow:
		*r = recentCount{began: now, past: r.current}
	}
}

// served reports whether any server can take requests for the target.
func (c *core) served(now time.Time, t *target) bool {
	if t == nil {
		return false
	}
	for _, r := range t.replicas {
		if r.server.usable(now) {
			return true
		}
	}
	return false
}

// ServerLoads implements Scheduler.
func (c *core) ServerLoads(now time.Time) map[string]int {
	out := make(map[string]int, len(c.servers))
	for name, s := range c.servers {
		out[name] = s.load.Total(now)
	}
	return out
}
