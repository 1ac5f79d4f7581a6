package site

import (
	"fmt"
	"slices"

	"limpethub/internal/strictjson"
)

// Fields of list entries that are allowed only in an overlay.
const (
	// fieldRemove removes the base's entry.
	fieldRemove = "remove"
	// fieldBefore moves a class to the position before another class.
	fieldBefore = "before"
)

// merger merges an overlay into a base and collects the problems. It changes neither tree.
type merger struct {
	problems strictjson.Problems
}

// merge returns the base with the overlay's changes. Every value keeps the file and line
// that it came from. docs/CONFIGURATION.md describes the rules.
func merge(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
	if overlay == nil {
		return base, nil
	}
	m := &merger{problems: duplicates(overlay)}
	out := *base
	out.Members = append([]strictjson.Member(nil), base.Members...)
	for _, change := range overlay.Members {
		m.mergeMember(&out, change)
	}
	return &out, m.problems
}

func (m *merger) report(n *strictjson.Node, path, fix, format string, args ...any) {
	m.problems = append(m.problems, strictjson.Problem{
		File: n.File, Line: n.Line, Path: path, Message: fmt.Sprintf(format, args...), Correction: fix,
	})
}

func (m *merger) mergeMember(out *strictjson.Node, change strictjson.Member) {
	current := out.Member(change.Name)
	_, keyed := keyedLists[change.Name]
	switch {
	case keyed && change.Value.Kind == strictjson.KindList:
		change.Value = m.mergeList(change.Name, current, change.Value)
	case current != nil && current.Kind == strictjson.KindObject && change.Value.Kind == strictjson.KindObject:
		change.Value = mergeObject(current, change.Value)
	}
	setMember(out, change)
}

// mergeObject returns base with the fields of change replaced or added.
func mergeObject(base, change *strictjson.Node) *strictjson.Node {
	out := *base
	out.Members = append([]strictjson.Member(nil), base.Members...)
	for _, member := range change.Members {
		setMember(&out, member)
	}
	return &out
}

// setMember replaces the object's member of the same name, or adds it.
func setMember(object *strictjson.Node, member strictjson.Member) {
	for i := range object.Members {
		if object.Members[i].Name == member.Name {
			object.Members[i] = member
			return
		}
	}
	object.Members = append(object.Members, member)
}

// mergeList merges the entries of an overlay's list into the base's list, which may be nil.
func (m *merger) mergeList(name string, base, overlay *strictjson.Node) *strictjson.Node {
	out := *overlay
	out.Elements = nil
	if base != nil && base.Kind == strictjson.KindList {
		out = *base
	}
	entries := newKeyedList(name, &out)
	var moves []moveRequest
	for _, entry := range overlay.Elements {
		if move, ok := m.mergeEntry(entries, entry); ok {
			moves = append(moves, move)
		}
	}
	out.Elements = entries.elements()
	for _, move := range moves {
		m.moveClass(name, &out, move)
	}
	return &out
}

// moveRequest is an overlay's request to move a class to the position before another one.
type moveRequest struct {
	// key is the key of the class to move.
	key string
	// before is the value that should name the other class.
	before *strictjson.Node
}

// mergeEntry merges one entry of an overlay's list. It returns true with the entry's
// request to move it, if it has one and isn't removed.
func (m *merger) mergeEntry(entries *keyedList, entry *strictjson.Node) (moveRequest, bool) {
	list := entries.name
	key, ok := entryKey(list, entry)
	if !ok {
		// Without a key the entry matches none. Decoding reports the missing field.
		entries.add(entry)
		return moveRequest{}, false
	}
	remove, before, ownFields := m.splitOverlayFields(list, key, entry)
	index := entries.find(key)
	switch {
	case remove && index < 0:
		m.report(entry, entryName(list, key), "remove this entry, or correct its name", "there is no such entry to remove")
	case remove && len(ownFields.Members) > len(keyedLists[list]):
		m.report(entry, entryName(list, key), `keep only the fields that name the entry, and "remove"`, "an entry that is removed has other fields too")
	case remove:
		entries.remove(key)
	case index < 0:
		entries.add(ownFields)
	default:
		entries.entries[index] = mergeObject(entries.entries[index], ownFields)
	}
	return moveRequest{key: key, before: before}, before != nil && !remove
}

// splitOverlayFields returns the values of the overlay-only fields of an entry, and the
// entry without them.
func (m *merger) splitOverlayFields(list, key string, entry *strictjson.Node) (remove bool, before, ownFields *strictjson.Node) {
	kept := *entry
	kept.Members = nil
	for _, member := range entry.Members {
		switch {
		case member.Name == fieldRemove:
			remove = m.removeValue(list, key, member.Value)
		case member.Name == fieldBefore && list == "classes":
			before = member.Value
		default:
			kept.Members = append(kept.Members, member)
		}
	}
	return remove, before, &kept
}

// removeValue returns the value of a field "remove". Anything but true is reported.
func (m *merger) removeValue(list, key string, value *strictjson.Node) bool {
	if value.Kind == strictjson.KindBool && value.Text == "true" {
		return true
	}
	m.report(value, entryName(list, key)+"."+fieldRemove, "write true, or leave the field out", "can only be true")
	return false
}

// moveClass moves a class to the position before another one.
func (m *merger) moveClass(list string, out *strictjson.Node, request moveRequest) {
	from, target := position(list, out, request.key), -1
	if request.before.Kind == strictjson.KindString {
		target = position(list, out, request.before.Text)
	}
	if target < 0 || target == from {
		m.report(request.before, entryName(list, request.key)+"."+fieldBefore, "name another class", "is not the name of another class")
		return
	}
	entry := out.Elements[from]
	others := slices.Delete(slices.Clone(out.Elements), from, from+1)
	if from < target {
		target--
	}
	out.Elements = slices.Insert(others, target, entry)
}

// position returns the index of the entry with the key, or -1.
func position(list string, node *strictjson.Node, key string) int {
	return slices.IndexFunc(node.Elements, func(e *strictjson.Node) bool {
		k, ok := entryKey(list, e)
		return ok && k == key
	})
}
