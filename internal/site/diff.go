package site

import (
	"fmt"
	"strings"

	"limpethub/internal/strictjson"
)

// ChangeKind tells whether an entry or field was added, removed or changed.
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
	// Entry is the list entry, such as "models[appraisal@2]", or the group of fields, such
	// as "budgets"; empty for a field of the document itself.
	Entry string `json:"entry,omitempty"`
	// Field is the field that changed; empty if the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are JSON values or, for a change of the order of the classes, the names of
	// the classes in their order. Old is empty for Added; New is empty for Removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	path := c.Entry
	if c.Field != "" && path != "" {
		path += "."
	}
	path += c.Field
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", path, c.New)
	case Removed:
		return fmt.Sprintf("- %s: %s", path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", path, c.Old, c.New)
	}
}

// fieldOrder is the Field of a change of the order of the classes.
const fieldOrder = "order"

// Diff lists the differences between two documents by entry and field. It ignores the order
// of the entries of keyedLists, except that of classes, which defines their urgency. In all
// other lists the order counts. A field that documentTree leaves out of after because it has
// the zero value, such as caller_limits, is not compared.
func Diff(before, after *Document) ([]Change, error) {
	oldTree, err := documentTree(before)
	if err != nil {
		return nil, err
	}
	newTree, err := documentTree(after)
	if err != nil {
		return nil, err
	}
	var out []Change
	for _, member := range newTree.Members {
		out = append(out, diffMember(member.Name, oldTree.Member(member.Name), member.Value)...)
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

// diffValue compares two values as a whole, without looking at their parts.
func diffValue(entry, field string, before, after *strictjson.Node) []Change {
	oldJSON, newJSON := compactJSON(before), compactJSON(after)
	if oldJSON == newJSON {
		return nil
	}
	return []Change{{Kind: Changed, Entry: entry, Field: field, Old: oldJSON, New: newJSON}}
}

// compactJSON formats a value as compact JSON. Nodes that come from parsed JSON always have a
// JSON form; an error would appear in place of the value.
func compactJSON(n *strictjson.Node) string {
	data, err := n.MarshalJSON()
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// diffFields compares two objects of the same type, by the fields of after. A field that only
// before has is not reported. Every field of after must also be in before; otherwise
// compactJSON panics. That is not ensured: documentTree leaves some fields with the zero value
// out of before.
func diffFields(entry string, before, after *strictjson.Node) []Change {
	var out []Change
	for _, member := range after.Members {
		out = append(out, diffValue(entry, member.Name, before.Member(member.Name), member.Value)...)
	}
	return out
}

// diffList compares two lists by the keys of their entries.
func diffList(list string, before, after *strictjson.Node) []Change {
	oldList, newList := newKeyedList(list, before), newKeyedList(list, after)
	var out []Change
	for _, e := range oldList.entries {
		key, _ := entryKey(list, e)
		if newList.find(key) < 0 {
			out = append(out, Change{Kind: Removed, Entry: entryName(list, key), Old: compactJSON(e)})
		}
	}
	for _, e := range newList.entries {
		key, _ := entryKey(list, e)
		if position := oldList.find(key); position >= 0 {
			out = append(out, diffFields(entryName(list, key), oldList.entries[position], e)...)
			continue
		}
		out = append(out, Change{Kind: Added, Entry: entryName(list, key), New: compactJSON(e)})
	}
	if list == "classes" {
		out = append(out, diffOrder(before, after)...)
	}
	return out
}

// diffOrder reports a change of the order of classes. An added or removed class also changes
// the order of the classes.
func diffOrder(before, after *strictjson.Node) []Change {
	oldOrder, newOrder := classOrder(before), classOrder(after)
	if oldOrder == newOrder {
		return nil
	}
	return []Change{{Kind: Changed, Entry: "classes", Field: fieldOrder, Old: oldOrder, New: newOrder}}
}

func classOrder(list *strictjson.Node) string {
	names := make([]string, len(list.Elements))
	for i, e := range list.Elements {
		names[i], _ = entryKey("classes", e)
	}
	return strings.Join(names, " ")
}
