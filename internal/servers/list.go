package servers

import (
	"context"

	"limpethub/internal/instancelist"
)

// readList reads the platform's list, for at most the interval between two reads. If
// that fails, the last list stays in use.
func (m *Monitor) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Intervals.List)
	defer cancel()
	list, err := m.options.Lister.List(ctx)
	if err != nil {
		m.options.Logger.WithField("error", err.Error()).Debug("platform's instance list can't be read, the last one stays in use")
		return
	}
	instances := make(map[string]instancelist.Instance, len(list))
	for _, instance := range list {
		instances[instance.Name] = instance
	}
	m.mu.Lock()
	changed := leavingChanged(m.instances, instances)
	m.instances = instances
	m.mu.Unlock()
	if changed {
		m.publish()
	}
}

// leavingChanged reports whether the set of leaving instances differs between two lists.
func leavingChanged(before, after map[string]instancelist.Instance) bool {
	for name, instance := range after {
		if before[name].Leaving != instance.Leaving {
			return true
		}
	}
	for name, instance := range before {
		if _, ok := after[name]; !ok && instance.Leaving {
			return true
		}
	}
	return false
}
