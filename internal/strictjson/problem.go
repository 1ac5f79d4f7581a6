// Package strictjson reads files of JSON with comments into structs. It reports
// everything that is wrong with a file at once, each problem with its file, line,
// field path and mend.
package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	// File is the path of the file as it was given; empty for a value without a file.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 means unknown.
	Line int `json:"line,omitempty"`
	// Path is the field, as in "models[appraisal@2].memory_mb"; empty for the whole file.
	Path string `json:"path,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Mend says what to do about it.
	Mend string `json:"mend,omitempty"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Message)
	if p.Mend != "" {
		fmt.Fprintf(&b, " (%s)", p.Mend)
	}
	return b.String()
}

// Problems is an error that lists problems, one a line.
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

// Uncovered returns those of the given problems that are not at or below a place that p
// reports: what is wrong there follows from it.
func (p Problems) Uncovered(others Problems) Problems {
	reported := make(map[string]bool, len(p))
	for i := range p {
		reported[p[i].Path] = true
	}
	var out Problems
	for _, other := range others {
		if !covered(reported, other.Path) {
			out = append(out, other)
		}
	}
	return out
}

// covered reports whether the path or one that contains it is reported.
func covered(reported map[string]bool, path string) bool {
	for path != "" {
		if reported[path] {
			return true
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return false
}

// sorted orders problems by file, line and path, and drops duplicates.
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
