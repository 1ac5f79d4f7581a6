package site

import (
	"fmt"

	"limpethub/internal/strictjson"
)

// Fields of list entries that only an overlay may have.
const (
	// fieldRemove takes the entry of the base out.
	fieldRemove = "remove"
	// fieldBefore puts a class before another one.
	fieldBefore = "before"
)

// keyedLists names the lists that merge by entry, with the fields that tell entries
// apart. All other lists are replaced whole.
var keyedLists = map[string][]string{
	"classes":  {"name"},
	"models":   {"name", "version"},
	"adapters": {"name", "version"},
	"servers":  {"name"},
	"services": {"name"},
}

// entryKey returns the key of a list entry, or false if it lacks a field of the key.
func entryKey(list string, entry *strictjson.Node) (string, bool) {
	key := ""
	for i, field := range keyedLists[list] {
		value := entry.Member(field)
		if value == nil || value.Kind != strictjson.KindString {
			return "", false
		}
		if i > 0 {
			key += "@"
		}
		key += value.Text
	}
	return key, true
}

// merger merges an overlay into a base without changing either tree.
type merger struct {
	problems strictjson.Problems
}

// merge returns the base with the overlay's changes. Every value keeps the place in
// the file that it came from. The rules stand in docs/CONFIGURATION.md.
func merge(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
	if overlay == nil {
		return base, nil
	}
	m := &merger{problems: duplicates(overlay)}
	out := *base
	out.Members = append([]strictjson.Member(nil), base.Members...)
	for _, change := range overlay.Members {
		m.topLevel(&out, change)
	}
	return &out, m.problems
}

func (m *merger) report(n *strictjson.Node, path, mend, format string, args ...any) {
	m.problems = append(m.problems, strictjson.Problem{
		File: n.File, Line: n.Line, Path: path, Message: fmt.Sprintf(format, args...), Mend: mend,
	})
}

func (m *merger) topLevel(out *strictjson.Node, change strictjson.Member) {
	current := out.Member(change.Name)
	_, keyed := keyedLists[change.Name]
	switch {
	case keyed && change.Value.Kind == strictjson.KindList:
		change.Value = m.list(change.Name, current, change.Value)
	case current != nil && current.Kind == strictjson.KindObject && change.Value.Kind == strictjson.KindObject:
		change.Value = mergeObject(current, change.Value)
	}
	set(out, change)
}

// mergeObject replaces the fields of base that change has, and keeps the others.
func mergeObject(base, change *strictjson.Node) *strictjson.Node {
	out := *base
	out.Members = append([]strictjson.Member(nil), base.Members...)
	for _, member := range change.Members {
		set(&out, member)
	}
	return &out
}

// set replaces the member of the same name, or adds it.
func set(object *strictjson.Node, member strictjson.Member) {
	for i := range object.Members {
		if object.Members[i].Name == member.Name {
			object.Members[i] = member
			return
		}
	}
	object.Members = append(object.Members, member)
}

// list merges the entries of an overlay's list into the base's list, which may be nil.
func (m *merger) list(name string, base, overlay *strictjson.Node) *strictjson.Node {
	out := *overlay
	out.Elements = nil
	if base != nil && base.Kind == strictjson.KindList {
		out = *base
		out.Elements = append([]*strictjson.Node(nil), base.Elements...)
	}
	for _, entry := range overlay.Elements {
		m.entry(name, &out, entry)
	}
	return &out
}

func (m *merger) entry(list string, out *strictjson.Node, entry *strictjson.Node) {
	key, ok := entryKey(list, entry)
	if !ok {
		// The entry can't be matched. The strict reading of it says what it lacks.
		out.Elements = append(out.Elements, entry)
		return
	}
	remove, before, plain := m.split(list, key, entry)
	at := find(list, out, key)
	switch {
	case remove && at < 0:
		m.report(entry, list+"["+key+"]", "remove this entry, or mend its name", "there is no such entry to remove")
	case remove && len(plain.Members) > len(keyedLists[list]):
		m.report(entry, list+"["+key+"]", "leave only what names the entry, and remove", "an entry that is removed has other fields too")
	case remove:
		out.Elements = append(out.Elements[:at], out.Elements[at+1:]...)
	case at < 0:
		out.Elements = append(out.Elements, plain)
		at = len(out.Elements) - 1
	default:
		out.Elements[at] = mergeObject(out.Elements[at], plain)
	}
	if before != nil && !remove {
		m.move(list, out, at, key, before)
	}
}

// split takes the fields that only overlays have out of an entry.
func (m *merger) split(list, key string, entry *strictjson.Node) (remove bool, before, plain *strictjson.Node) {
	kept := *entry
	kept.Members = nil
	for _, member := range entry.Members {
		switch {
		case member.Name == fieldRemove:
			remove = m.removal(list, key, member.Value)
		case member.Name == fieldBefore && list == "classes":
			before = member.Value
		default:
			kept.Members = append(kept.Members, member)
		}
	}
	return remove, before, &kept
}

func (m *merger) removal(list, key string, value *strictjson.Node) bool {
	if value.Kind == strictjson.KindBool && value.Text == "true" {
		return true
	}
	m.report(value, list+"["+key+"]."+fieldRemove, "write true, or leave the field out", "can only be true")
	return false
}

// move puts a class before another one.
func (m *merger) move(list string, out *strictjson.Node, at int, key string, before *strictjson.Node) {
	target := -1
	if before.Kind == strictjson.KindString {
		target = find(list, out, before.Text)
	}
	if target < 0 || target == at {
		m.report(before, list+"["+key+"]."+fieldBefore, "name another class", "names no other class")
		return
	}
	moved := out.Elements[at]
	out.Elements = append(out.Elements[:at], out.Elements[at+1:]...)
	if at < target {
		target--
	}
	out.Elements = append(out.Elements[:target], append([]*strictjson.Node{moved}, out.Elements[target:]...)...)
}

// find returns the position of the entry with the key, or -1.
func find(list string, node *strictjson.Node, key string) int {
	for i, e := range node.Elements {
		if k, ok := entryKey(list, e); ok && k == key {
			return i
		}
	}
	return -1
}

// duplicates reports entries that stand twice in one file.
func duplicates(root *strictjson.Node) strictjson.Problems {
	var out strictjson.Problems
	for _, member := range root.Members {
		if _, keyed := keyedLists[member.Name]; keyed {
			out = append(out, duplicatesIn(member.Name, member.Value)...)
		}
	}
	return out
}

func duplicatesIn(list string, node *strictjson.Node) strictjson.Problems {
	var out strictjson.Problems
	first := map[string]int{}
	for _, e := range node.Elements {
		key, ok := entryKey(list, e)
		if !ok {
			continue
		}
		earlier, twice := first[key]
		if !twice {
			first[key] = e.Line
			continue
		}
		message := "stands twice"
		if e.File != "" {
			message = fmt.Sprintf("stands twice, first on line %d", earlier)
		}
		out = append(out, strictjson.Problem{
			File: e.File, Line: e.Line, Path: list + "[" + key + "]",
			Message: message, Mend: "keep one of the two, or give them different names",
		})
	}
	return out
}
