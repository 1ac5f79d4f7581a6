// Package kernel holds the registry of plug-in implementations and runs the life cycle of
// a daemon's parts: provision, validate, start, drain and stop, in a fixed order. It does
// not depend on any kind of plug-in. Package plugin configures plug-ins from settings;
// package plugins imports the built-in implementations.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Module is the registry's entry for one plug-in implementation. Its name consists of the
// kind, a dot and the plug-in's own name, as in "store.etcd".
type Module struct {
	// Name is the full name, including the kind.
	Name string
	// New returns a new plug-in that is neither configured nor provisioned.
	New func() any
}

// Kind returns the part of the name before the first dot.
func (m Module) Kind() string {
	kind, _, _ := strings.Cut(m.Name, ".")
	return kind
}

var (
	registryMu sync.RWMutex
	registry   = map[string]Module{}
)

// Register adds a plug-in implementation to the registry. It is called from init functions
// and panics on a malformed or duplicate name, since both are programming errors.
func Register(m Module) {
	kind, name, ok := strings.Cut(m.Name, ".")
	if !ok || kind == "" || name == "" || m.New == nil {
		panic(fmt.Sprintf("kernel: malformed plug-in %q: it needs a name of the form kind.name and a constructor", m.Name))
	}
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, registered := registry[m.Name]; registered {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", m.Name))
	}
	registry[m.Name] = m
}

// Names returns the sorted full names of the registered plug-ins of a kind.
func Names(kind string) []string {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var out []string
	for name, m := range registry {
		if m.Kind() == kind {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// New creates the plug-in with the given full name. It fails if the name isn't registered
// or the plug-in doesn't implement T.
func New[T any](name string) (T, error) {
	var zero T
	registryMu.RLock()
	m, ok := registry[name]
	registryMu.RUnlock()
	if !ok {
		kind, _, _ := strings.Cut(name, ".")
		return zero, fmt.Errorf("kernel: no plug-in %q is registered; registered plug-ins of its kind: [%s]", name, strings.Join(Names(kind), ", "))
	}
	plugin, ok := m.New().(T)
	if !ok {
		return zero, fmt.Errorf("kernel: plug-in %q has the type %T, which does not implement the requested interface", name, m.New())
	}
	return plugin, nil
}
