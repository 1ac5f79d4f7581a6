// Package modelref names what callers ask for and what servers hold: a version
// of a model or of an adapter.
package modelref

import (
	"fmt"
	"strings"
)

// Ref names one version of one model or adapter, written "name@version".
type Ref string

// New builds a Ref from its parts.
func New(name, version string) Ref { return Ref(name + "@" + version) }

// Parse splits text at its last "@". Both parts must be non-empty.
func Parse(text string) (name, version string, err error) {
	i := strings.LastIndexByte(text, '@')
	if i <= 0 || i == len(text)-1 {
		return "", "", fmt.Errorf("modelref: %q is not of the form name@version", text)
	}
	return text[:i], text[i+1:], nil
}

// Name returns the part before the version.
func (r Ref) Name() string {
	name, _, err := Parse(string(r))
	if err != nil {
		return string(r)
	}
	return name
}
