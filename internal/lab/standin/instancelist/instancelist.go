// Package instancelist stands in for the platform's lagging list of instances.
package instancelist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"limpethub/internal/instancelist"
)

// version is the list as it was set at one moment.
type version struct {
	at        time.Time
	instances []instancelist.Instance
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []version
}

// New returns an empty list whose readers see changes after the lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// SetLag changes the lag.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes all reads fail, or succeed again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set replaces the list. The first list is seen at once.
func (l *List) Set(instances []instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(slices.Clone(instances))
}

func (l *List) setLocked(instances []instancelist.Instance) {
	now := time.Now()
	l.versions = append(l.versions, version{at: now, instances: instances})
	seen := l.seenLocked(now)
	l.versions = append(l.versions[:0], l.versions[seen:]...)
}

// Put adds an instance, or replaces the one with its name.
func (l *List) Put(instance instancelist.Instance) {
	l.edit(func(list []instancelist.Instance) []instancelist.Instance {
		if i := indexOf(list, instance.Name); i >= 0 {
			list[i] = instance
			return list
		}
		return append(list, instance)
	})
}

// SetLeaving marks an instance as leaving or not.
func (l *List) SetLeaving(name string, leaving bool) {
	l.edit(func(list []instancelist.Instance) []instancelist.Instance {
		if i := indexOf(list, name); i >= 0 {
			list[i].Leaving = leaving
		}
		return list
	})
}

// Remove takes an instance off the list.
func (l *List) Remove(name string) {
	l.edit(func(list []instancelist.Instance) []instancelist.Instance {
		if i := indexOf(list, name); i >= 0 {
			return slices.Delete(list, i, i+1)
		}
		return list
	})
}

func indexOf(list []instancelist.Instance, name string) int {
	return slices.IndexFunc(list, func(i instancelist.Instance) bool { return i.Name == name })
}

func (l *List) edit(change func([]instancelist.Instance) []instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latest []instancelist.Instance
	if n := len(l.versions); n > 0 {
		latest = slices.Clone(l.versions[n-1].instances)
	}
	l.setLocked(change(latest))
}

// seenLocked is the index of the version that readers see now.
func (l *List) seenLocked(now time.Time) int {
	seen := 0
	for i, v := range l.versions {
		if now.Sub(v.at) >= l.lag {
			seen = i
		}
	}
	return seen
}

// Instances returns what readers see now.
func (l *List) Instances() []instancelist.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return nil
	}
	return slices.Clone(l.versions[l.seenLocked(time.Now())].instances)
}

// Handler serves GET /v1/instances.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		down := l.down
		l.mu.Unlock()
		if down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Instances []instancelist.Instance `json:"instances"`
		}{l.Instances()})
	})
	return mux
}
