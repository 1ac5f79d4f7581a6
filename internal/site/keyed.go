package site

import (
	"fmt"
	"slices"

	"limpethub/internal/strictjson"
)

// keyedLists holds the lists that merge entry by entry, each with the fields that form the
// key of an entry. All other lists are replaced as a whole.
var keyedLists = map[string][]string{
	"classes":  {"name"},
	"models":   {"name", "version"},
	"adapters": {"name", "version"},
	"servers":  {"name"},
	"services": {"name"},
}

// entryKey returns the key of a list entry, or false if the entry lacks a field of the key.
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

// entryName formats an entry for messages, such as "models[appraisal@2]".
func entryName(list, key string) string { return list + "[" + key + "]" }

// keyedList is a list whose entries can be looked up by key.
type keyedList struct {
	name string
	// entries holds the entries in order; removed entries are nil.
	entries []*strictjson.Node
	// positions holds the index in entries of each key.
	positions map[string]int
}

// newKeyedList returns a keyedList of the list's entries. Of entries with the same key,
// only the first can be looked up.
func newKeyedList(name string, list *strictjson.Node) *keyedList {
	k := &keyedList{name: name, positions: make(map[string]int, len(list.Elements))}
	for _, e := range list.Elements {
		k.add(e)
	}
	return k
}

// find returns the index of the entry with the key, or -1.
func (k *keyedList) find(key string) int {
	if i, ok := k.positions[key]; ok {
		return i
	}
	return -1
}

// add appends an entry.
func (k *keyedList) add(entry *strictjson.Node) {
	if key, ok := entryKey(k.name, entry); ok && k.find(key) < 0 {
		k.positions[key] = len(k.entries)
	}
	k.entries = append(k.entries, entry)
}

// remove removes the entry with the key. The caller must have found the key: for an unknown
// key, remove would drop the first entry.
func (k *keyedList) remove(key string) {
	k.entries[k.positions[key]] = nil
	delete(k.positions, key)
}

// elements returns the entries that were not removed.
func (k *keyedList) elements() []*strictjson.Node {
	return slices.DeleteFunc(slices.Clone(k.entries), func(e *strictjson.Node) bool { return e == nil })
}

// duplicates reports entries that appear more than once in a file.
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
	firstLines := map[string]int{}
	for _, e := range node.Elements {
		key, ok := entryKey(list, e)
		if !ok {
			continue
		}
		firstLine, duplicate := firstLines[key]
		if !duplicate {
			firstLines[key] = e.Line
			continue
		}
		// Only a document that was read from a file has line numbers.
		message := "appears twice"
		if e.File != "" {
			message = fmt.Sprintf("appears twice, first on line %d", firstLine)
		}
		out = append(out, strictjson.Problem{
			File: e.File, Line: e.Line, Path: entryName(list, key),
			Message: message, Correction: "keep one of the two, or give them different names",
		})
	}
	return out
}
