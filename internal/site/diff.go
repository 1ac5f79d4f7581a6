package site

import (
	"fmt"
	"strings"

	"limpethub/internal/strictjson"
)

// ChangeKind says what happened to an entry or a field.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the list entry, as in "models[appraisal@2]", or the group of fields, as
	// in "budgets"; empty for a field of the document itself.
	Entry string `json:"entry,omitempty"`
	// Field is the field that changed; empty when the whole entry came or went.
	Field string `json:"field,omitempty"`
	// Old and New are the JSON values; empty where there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	where := c.Entry
	if c.Field != "" && where != "" {
		where += "."
	}
	where += c.Field
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", where, c.New)
	case Removed:
		return fmt.Sprintf("- %s: %s", where, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", where, c.Old, c.New)
	}
}

// fieldOrder is the Field of a change that puts classes in another order.
const fieldOrder = "order"

// Diff lists the differences between two documents by entry and field. The order of
// entries counts for classes only, since it is their urgency.
func Diff(before, after *Document) ([]Change, error) {
	old, err := tree(before)
	if err != nil {
		return nil, err
	}
	now, err := tree(after)
	if err != nil {
		return nil, err
	}
	var out []Change
	for _, member := range now.Members {
		out = append(out, diffMember(member.Name, old.Member(member.Name), member.Value)...)
	}
	return out, nil
}

func diffMember(name string, before, after *strictjson.Node) []Change {
	if _, keyed := keyedLists[name]; keyed {
		return diffList(name, before, after)
	}
	if after.Kind == strictjson.KindObject {
		return diffFields(name, before, after)
	}
	return diffValue("", name, before, after)
}

// diffValue compares two values as a whole.
func diffValue(entry, field string, before, after *strictjson.Node) []Change {
	old, now := text(before), text(after)
	if old == now {
		return nil
	}
	return []Change{{Kind: Changed, Entry: entry, Field: field, Old: old, New: now}}
}

// text writes a value as compact JSON.
func text(n *strictjson.Node) string {
	data, err := n.MarshalJSON()
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// diffFields compares two objects of the same type, which have the same members.
func diffFields(entry string, before, after *strictjson.Node) []Change {
	var out []Change
	for _, member := range after.Members {
		out = append(out, diffValue(entry, member.Name, before.Member(member.Name), member.Value)...)
	}
	return out
}

func diffList(list string, before, after *strictjson.Node) []Change {
	old, now := newKeyedList(list, before), newKeyedList(list, after)
	var out []Change
	for _, e := range old.entries {
		key, _ := entryKey(list, e)
		if now.find(key) < 0 {
			out = append(out, Change{Kind: Removed, Entry: entryName(list, key), Old: text(e)})
		}
	}
	for _, e := range now.entries {
		key, _ := entryKey(list, e)
		if at := old.find(key); at >= 0 {
			out = append(out, diffFields(entryName(list, key), old.entries[at], e)...)
			continue
		}
		out = append(out, Change{Kind: Added, Entry: entryName(list, key), New: text(e)})
	}
	if list == "classes" {
		out = append(out, diffOrder(before, after)...)
	}
	return out
}

// diffOrder reports the order of classes when it differs, which it also does when a
// class came or went: its place is its urgency.
func diffOrder(before, after *strictjson.Node) []Change {
	old, now := classOrder(before), classOrder(after)
	if old == now {
		return nil
	}
	return []Change{{Kind: Changed, Entry: "classes", Field: fieldOrder, Old: old, New: now}}
}

func classOrder(list *strictjson.Node) string {
	names := make([]string, len(list.Elements))
	for i, e := range list.Elements {
		names[i], _ = entryKey("classes", e)
	}
	return strings.Join(names, " ")
}
