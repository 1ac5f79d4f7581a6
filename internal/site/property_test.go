package site

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"limpethub/internal/modelref"
	"limpethub/internal/strictjson"
)

// pairCount is how many pairs of documents each property is checked on. The seeds are 0 to
// pairCount-1, so that every run checks the same pairs.
const pairCount = 400

// pair is two documents that share some of their entries' names.
type pair struct{ before, after Document }

var pairs = rapid.Custom(func(t *rapid.T) pair {
	return pair{before: drawDocument(t), after: drawDocument(t)}
})

// entryNames has few names, so that the two documents of a pair often share some.
var entryNames = rapid.SampledFrom([]string{"a", "b", "c", "d"})

func drawDocument(t *rapid.T) Document {
	text := rapid.SampledFrom([]string{"", "x", "y"})
	size := rapid.Int64Range(1, 3)
	texts := rapid.SliceOfN(text, 0, 2)
	return Document{
		Site:           text.Draw(t, "site"),
		FailureDomains: texts.Draw(t, "failure domains"),
		Classes: drawEntries(t, func() Class {
			return Class{Name: entryNames.Draw(t, "class"), TimeoutMillis: size.Draw(t, "timeout"), FloorShare: float64(size.Draw(t, "floor")) / 8}
		}, func(c Class) string { return c.Name }),
		Models: drawEntries(t, func() Model {
			return Model{Name: entryNames.Draw(t, "model"), Version: entryNames.Draw(t, "version"), Default: rapid.Bool().Draw(t, "default"), MemoryMB: size.Draw(t, "memory")}
		}, func(m Model) string { return string(m.Ref()) }),
		Adapters: drawEntries(t, func() Adapter {
			return Adapter{Name: entryNames.Draw(t, "adapter"), Version: entryNames.Draw(t, "version"), Base: modelref.Ref(text.Draw(t, "base"))}
		}, func(a Adapter) string { return string(a.Ref()) }),
		Servers: drawEntries(t, func() Server {
			return Server{Name: entryNames.Draw(t, "server"), HonoursFencing: rapid.Bool().Draw(t, "fencing"), Roles: texts.Draw(t, "roles")}
		}, func(s Server) string { return s.Name }),
		Services: drawEntries(t, func() Service {
			return Service{Name: entryNames.Draw(t, "service"), Servers: texts.Draw(t, "servers")}
		}, func(s Service) string { return s.Name }),
		Budgets: Budgets{ConcurrentLoads: int(size.Draw(t, "loads")), RetryShare: float64(size.Draw(t, "retries")) / 8},
	}
}

// drawEntries draws a list of entries with distinct keys.
func drawEntries[T any](t *rapid.T, draw func() T, key func(T) string) []T {
	var out []T
	for range rapid.IntRange(0, 4).Draw(t, "length") {
		e := draw()
		if !slices.ContainsFunc(out, func(other T) bool { return key(other) == key(e) }) {
			out = append(out, e)
		}
	}
	return out
}

// mergeFunc is the type of merge and of its broken variants.
type mergeFunc func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems)

// checkDiffMergeRoundTrip writes the changes from p.before to p.after as an overlay, merges it
// into p.before, and fails if the result differs from p.after.
func checkDiffMergeRoundTrip(p pair, mergeUnderTest mergeFunc) error {
	changes, err := Diff(&p.before, &p.after)
	if err != nil {
		return err
	}
	base, err := documentTree(&p.before)
	if err != nil {
		return err
	}
	text := overlayOf(changes, p.after.Classes)
	overlay, problems := strictjson.Parse("overlay", text)
	if problems.Err() != nil {
		return fmt.Errorf("overlay %s: %w", text, problems)
	}
	merged, problems := mergeUnderTest(base, overlay)
	if problems.Err() != nil {
		return fmt.Errorf("merge of %s: %w", text, problems)
	}
	var got Document
	if problems := strictjson.Decode(merged, &got); len(problems) > 0 {
		return problems
	}
	remaining, err := Diff(&got, &p.after)
	if err != nil || len(remaining) > 0 {
		return fmt.Errorf("after the merge of overlay %s the changes %v remain, %v", text, remaining, err)
	}
	return nil
}

// overlayOf writes changes as an overlay. It lists the classes from last to first, each with
// "before" and the next class, so that they get the order of the second document.
func overlayOf(changes []Change, classes []Class) []byte {
	o := overlayWriter{fields: map[string]any{}, entries: map[string]map[string]map[string]any{}}
	for _, c := range changes {
		o.add(c)
	}
	for i := range classes {
		// The call adds an entry for the class, also for the last one, which has no "before".
		o.entry("classes[" + classes[i].Name + "]")
		if i+1 < len(classes) {
			o.entry("classes[" + classes[i].Name + "]")[fieldBefore] = classes[i+1].Name
		}
	}
	return o.encode(classes)
}

// overlayWriter collects the content of an overlay.
type overlayWriter struct {
	fields map[string]any
	// entries holds the fields of list entries, by list and by key.
	entries map[string]map[string]map[string]any
}

// entry returns the overlay's entry of that name, such as "models[a@b]", with its key fields.
func (o overlayWriter) entry(entryName string) map[string]any {
	list, key := splitEntry(entryName)
	if o.entries[list] == nil {
		o.entries[list] = map[string]map[string]any{}
	}
	if o.entries[list][key] == nil {
		e := map[string]any{"name": key}
		if n, version, err := modelref.Parse(key); err == nil {
			e = map[string]any{"name": n, "version": version}
		}
		o.entries[list][key] = e
	}
	return o.entries[list][key]
}

// splitEntry splits a name such as "models[a@b]" into list and key. The key is empty if the
// name is not that of a list entry.
func splitEntry(entryName string) (list, key string) {
	for i := range entryName {
		if entryName[i] == '[' {
			return entryName[:i], entryName[i+1 : len(entryName)-1]
		}
	}
	return entryName, ""
}

func (o overlayWriter) add(c Change) {
	_, key := splitEntry(c.Entry)
	switch {
	case c.Field == fieldOrder && c.Entry == "classes":
		// overlayOf writes the order of the classes.
	case c.Entry == "":
		o.fields[c.Field] = json.RawMessage(c.New)
	case key == "":
		group, _ := o.fields[c.Entry].(map[string]any)
		if group == nil {
			group = map[string]any{}
			o.fields[c.Entry] = group
		}
		group[c.Field] = json.RawMessage(c.New)
	case c.Kind == Removed:
		o.entry(c.Entry)[fieldRemove] = true
	case c.Kind == Added:
		var whole map[string]json.RawMessage
		if err := json.Unmarshal([]byte(c.New), &whole); err != nil {
			panic(err)
		}
		for field, value := range whole {
			o.entry(c.Entry)[field] = value
		}
	default:
		o.entry(c.Entry)[c.Field] = json.RawMessage(c.New)
	}
}

func (o overlayWriter) encode(classes []Class) []byte {
	out := o.fields
	for list, byKey := range o.entries {
		keys := sortedKeys(byKey)
		if list == "classes" {
			// Classes that remain are listed from last to first, before those that are removed.
			positionInAfter := func(key string) int {
				return slices.IndexFunc(classes, func(c Class) bool { return c.Name == key })
			}
			slices.SortStableFunc(keys, func(a, b string) int { return positionInAfter(b) - positionInAfter(a) })
		}
		var entries []map[string]any
		for _, key := range keys {
			entries = append(entries, byKey[key])
		}
		out[list] = entries
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return data
}

// TestDiffMergeRoundTrip guards against changes that Diff leaves out or that merge
// doesn't apply.
func TestDiffMergeRoundTrip(t *testing.T) {
	for seed := range pairCount {
		if err := checkDiffMergeRoundTrip(pairs.Example(seed), merge); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestPropertyDetectsBrokenMerges guards against a property checkDiffMergeRoundTrip that is too
// weak to find a broken merge.
func TestPropertyDetectsBrokenMerges(t *testing.T) {
	broken := map[string]mergeFunc{
		"keeps removed entries": func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
			return merge(base, withoutEntries(overlay, func(e *strictjson.Node) bool { return e.Member(fieldRemove) != nil }))
		},
		"adds no entries": func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
			return merge(base, withoutEntries(overlay, func(e *strictjson.Node) bool { return e.Member("memory_mb") != nil && e.Member("class") != nil }))
		},
		"replaces entries whole": func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
			out := *base
			out.Members = slices.Clone(base.Members)
			for _, m := range overlay.Members {
				setMember(&out, m)
			}
			return &out, nil
		},
	}
	for name, brokenMerge := range broken {
		found := false
		for seed := 0; seed < pairCount && !found; seed++ {
			found = checkDiffMergeRoundTrip(pairs.Example(seed), brokenMerge) != nil
		}
		if !found {
			t.Errorf("a merge that %s passes checkDiffMergeRoundTrip, want an error for at least one seed", name)
		}
	}
}

// withoutEntries returns the overlay without the list entries for which drop is true.
func withoutEntries(overlay *strictjson.Node, drop func(*strictjson.Node) bool) *strictjson.Node {
	out := *overlay
	out.Members = slices.Clone(overlay.Members)
	for i, m := range out.Members {
		if _, keyed := keyedLists[m.Name]; keyed {
			list := *m.Value
			list.Elements = slices.DeleteFunc(slices.Clone(list.Elements), drop)
			out.Members[i].Value = &list
		}
	}
	return &out
}

// TestMergeIsIdempotent guards against a merge whose result changes when the same overlay is
// merged again.
func TestMergeIsIdempotent(t *testing.T) {
	for seed := range pairCount {
		p := pairs.Example(seed)
		base, err := documentTree(&p.before)
		if err != nil {
			t.Fatal(err)
		}
		overlay, err := documentTree(&p.after)
		if err != nil {
			t.Fatal(err)
		}
		once, problems := merge(base, overlay)
		twice, more := merge(once, overlay)
		if len(problems)+len(more) > 0 || compactJSON(once) != compactJSON(twice) {
			t.Fatalf("seed %d: the second merge changed the document, or there are problems: %v %v\nonce  %s\ntwice %s", seed, problems, more, compactJSON(once), compactJSON(twice))
		}
	}
}

func TestDiffOfEqualDocumentsIsEmpty(t *testing.T) {
	for seed := range pairCount {
		d := pairs.Example(seed).before
		changes, err := Diff(&d, &d)
		if err != nil || len(changes) != 0 {
			t.Fatalf("seed %d: got changes %v, %v, want none", seed, changes, err)
		}
	}
}
