package site

import (
	"fmt"
	"slices"

	"limpethub/internal/strictjson"
)

// Fields of list entries that only an overlay may have.
const (
	// fieldRemove takes the entry of the base out.
	fieldRemove = "remove"
	// fieldBefore puts a class before another one.
	fieldBefore = "before"
)

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
	}
	entries := newKeyedList(name, &out)
	var moves []move
	for _, entry := range overlay.Elements {
		if moved, ok := m.entry(entries, entry); ok {
			moves = append(moves, moved)
		}
	}
	out.Elements = entries.elements()
	for _, moved := range moves {
		m.move(name, &out, moved)
	}
	return &out
}

// move is an overlay's wish to have a class stand before another one.
type move struct {
	key    string
	before *strictjson.Node
}

// entry merges one entry of an overlay's list, and returns its move if it has one.
func (m *merger) entry(entries *keyedList, entry *strictjson.Node) (move, bool) {
	list := entries.name
	key, ok := entryKey(list, entry)
	if !ok {
		// The entry can't be matched. The strict reading of it says what it lacks.
		entries.add(entry)
		return move{}, false
	}
	remove, before, plain := m.split(list, key, entry)
	at := entries.find(key)
	switch {
	case remove && at < 0:
		m.report(entry, entryName(list, key), "remove this entry, or mend its name", "there is no such entry to remove")
	case remove && len(plain.Members) > len(keyedLists[list]):
		m.report(entry, entryName(list, key), "leave only what names the entry, and remove", "an entry that is removed has other fields too")
	case remove:
		entries.remove(key)
	case at < 0:
		entries.add(plain)
	default:
		entries.entries[at] = mergeObject(entries.entries[at], plain)
	}
	return move{key: key, before: before}, before != nil && !remove
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
	m.report(value, entryName(list, key)+"."+fieldRemove, "write true, or leave the field out", "can only be true")
	return false
}

// move puts a class before another one.
func (m *merger) move(list string, out *strictjson.Node, wish move) {
	at, target := position(list, out, wish.key), -1
	if wish.before.Kind == strictjson.KindString {
		target = position(list, out, wish.before.Text)
	}
	if target < 0 || target == at {
		m.report(wish.before, entryName(list, wish.key)+"."+fieldBefore, "name another class", "names no other class")
		return
	}
	moved := out.Elements[at]
	rest := slices.Delete(slices.Clone(out.Elements), at, at+1)
	if at < target {
		target--
	}
	out.Elements = slices.Insert(rest, target, moved)
}

// position returns where the entry with the key stands, or -1.
func position(list string, node *strictjson.Node, key string) int {
	return slices.IndexFunc(node.Elements, func(e *strictjson.Node) bool {
		k, ok := entryKey(list, e)
		return ok && k == key
	})
}
