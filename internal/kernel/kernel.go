// Package kernel keeps the registry of plug-ins and runs their life cycle. It
// knows plug-in kinds and the order of start and stop, and nothing else.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Module describes a plug-in. Its name is dotted: the kind, then the plug-in's
// own name, as in "store.etcd".
type Module struct {
	// Name is the dotted name.
	Name string
	// New returns a new, unprovisioned plug-in.
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

// Register adds a plug-in. It is called from init functions and panics on a
// malformed or duplicate name, since both are errors in the program itself.
func Register(m Module) {
	kind, name, ok := strings.Cut(m.Name, ".")
	if !ok || kind == "" || name == "" || m.New == nil {
		panic(fmt.Sprintf("kernel: malformed module %q", m.Name))
	}
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[m.Name]; taken {
		panic(fmt.Sprintf("kernel: module %q registered twice", m.Name))
	}
	registry[m.Name] = m
}

// Names lists the registered plug-ins of a kind, sorted.
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

// New makes the plug-in with the given dotted name as a T.
func New[T any](name string) (T, error) {
	var zero T
	registryMu.RLock()
	m, ok := registry[name]
	registryMu.RUnlock()
	if !ok {
		kind, _, _ := strings.Cut(name, ".")
		return zero, fmt.Errorf("kernel: no plug-in %q; known: %s", name, strings.Join(Names(kind), ", "))
	}
	plugin, ok := m.New().(T)
	if !ok {
		return zero, fmt.Errorf("kernel: plug-in %q has the wrong type %T", name, m.New())
	}
	return plugin, nil
}
