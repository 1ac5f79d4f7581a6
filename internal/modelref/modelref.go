// Package modelref defines references to versions of models and adapters, which callers
// request and servers hold.
package modelref

import (
	"fmt"
	"strings"
)

// Ref identifies one version of one model or adapter, written "name@version".
type Ref string

// New returns the reference "name@version".
func New(name, version string) Ref { return Ref(name + "@" + version) }

// Parse splits text, such as a Ref, into name and version at its last "@". It fails if
// either is empty.
func Parse(text string) (name, version string, err error) {
	i := strings.LastIndexByte(text, '@')
	if i <= 0 || i == len(text)-1 {
		return "", "", fmt.Errorf("modelref: %q is not of the form name@version", text)
	}
	return text[:i], text[i+1:], nil
}

// Name returns the name without the version. If the reference has no valid version, Name
// returns all of it.
func (r Ref) Name() string {
	name, _, err := Parse(string(r))
	if err != nil {
		return string(r)
	}
	return name
}
