package site

import (
	"fmt"
	"slices"

	"limpethub/internal/strictjson"
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

// entryName names an entry for people, as in "models[appraisal@2]".
func entryName(list, key string) string { return list + "[" + key + "]" }

// keyedList is a list whose entries are found by their keys.
type keyedList struct {
	name string
	// entries holds the entries in their order; those removed are nil.
	entries []*strictjson.Node
	at      map[string]int
}

// newKeyedList takes the entries of a list. Of entries with the same key only the first
// is found.
func newKeyedList(name string, list *strictjson.Node) *keyedList {
	k := &keyedList{name: name, at: make(map[string]int, len(list.Elements))}
	for _, e := range list.Elements {
		k.add(e)
	}
	return k
}

// find returns the position of the entry with the key, or -1.
func (k *keyedList) find(key string) int {
	if at, ok := k.at[key]; ok {
		return at
	}
	return -1
}

// add appends an entry.
func (k *keyedList) add(entry *strictjson.Node) {
	if key, ok := entryKey(k.name, entry); ok && k.find(key) < 0 {
		k.at[key] = len(k.entries)
	}
	k.entries = append(k.entries, entry)
}

// remove takes out the entry with the key, which must be there.
func (k *keyedList) remove(key string) {
	k.entries[k.at[key]] = nil
	delete(k.at, key)
}

// elements returns the entries that were not removed.
func (k *keyedList) elements() []*strictjson.Node {
	return slices.DeleteFunc(slices.Clone(k.entries), func(e *strictjson.Node) bool { return e == nil })
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
			File: e.File, Line: e.Line, Path: entryName(list, key),
			Message: message, Mend: "keep one of the two, or give them different names",
		})
	}
	return out
}
