// Package strictjson reads JSON files with comments, such as settings and site
// configurations, into structs. It accepts no unknown or duplicate fields and no wrong types,
// and reports all problems of a file at once, each with its file, line, field path and a
// suggested correction.
package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// File is the path of the file as the caller passed it; empty for a value without a file.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Path is the path of the field, as in "models[appraisal@2].memory_mb"; empty for the
	// whole file. List elements are written as in Index.Label, except for duplicate members,
	// which Parse reports with list positions, as in "models[3].memory_mb".
	Path string `json:"path,omitempty"`
	// Message says what is wrong. It continues a sentence that starts with the path.
	Message string `json:"message"`
	// Correction is the suggested correction.
	Correction string `json:"mend,omitempty"`
}

// String formats the problem as one line: "file:line: path: message (correction)".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Message)
	if p.Correction != "" {
		fmt.Fprintf(&b, " (%s)", p.Correction)
	}
	return b.String()
}

// Problems is an error that lists problems, one per line.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, sorted and without duplicates, or nil if
// there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p.sorted()
}

// ExcludeConsequences returns the problems in others that are not consequences of a problem in
// p: those whose path is neither reported by p nor below a path that p reports.
func (p Problems) ExcludeConsequences(others Problems) Problems {
	reported := make(map[string]bool, len(p))
	for i := range p {
		reported[p[i].Path] = true
	}
	var out Problems
	for _, other := range others {
		if !atOrBelow(reported, other.Path) {
			out = append(out, other)
		}
	}
	return out
}

// atOrBelow reports whether reported contains the path or one of its parents.
func atOrBelow(reported map[string]bool, path string) bool {
	for path != "" {
		if reported[path] {
			return true
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return false
}

// sorted returns the problems ordered by file, line, path and message, without duplicates.
func (p Problems) sorted() Problems {
	out := append(Problems(nil), p...)
	sort.SliceStable(out, func(i, j int) bool { return less(out[i], out[j]) })
	kept := out[:0]
	for i := range out {
		if i > 0 && out[i] == out[i-1] {
			continue
		}
		kept = append(kept, out[i])
	}
	return kept
}

func less(a, b Problem) bool {
	if a.File != b.File {
		return a.File < b.File
	}
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	if a.Path != b.Path {
		return a.Path < b.Path
	}
	return a.Message < b.Message
}
