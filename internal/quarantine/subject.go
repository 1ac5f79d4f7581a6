package quarantine

import (
	"cmp"

	"limpethub/internal/request"
)

// Kind is the kind of a Subject. It has the size of the hash, so that subjects have no padding and are compared
// and hashed as a whole: evidence is mostly maps of them.
type Kind uint64

const (
	// PromptPart is a part of prompts, request.Part.
	PromptPart Kind = iota + 1
	// WholeRequest is a request with all its repeats, request.Identity.
	WholeRequest
)

// Subject is what can be found to crash servers.
type Subject struct {
	Kind Kind
	Hash uint64
}

// PartSubject returns the subject of a part of prompts.
func PartSubject(p request.Part) Subject { return Subject{Kind: PromptPart, Hash: uint64(p)} }

// RequestSubject returns the subject of a request.
func RequestSubject(i request.Identity) Subject {
	return Subject{Kind: WholeRequest, Hash: uint64(i)}
}

// String returns the hash as it stands in logs.
func (s Subject) String() string { return request.Part(s.Hash).String() }

// compare orders subjects.
func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Kind, other.Kind), cmp.Compare(s.Hash, other.Hash))
}
