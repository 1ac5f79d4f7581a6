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

// rounds is how many pairs of documents each property is tried on. Their seeds are the
// numbers from 0, so that each run tries the same.
const rounds = 400

// pair is two documents that share some of their entries' names.
type pair struct{ before, after Document }

var pairs = rapid.Custom(func(t *rapid.T) pair {
	return pair{before: drawDocument(t), after: drawDocument(t)}
})

// name draws from few names, so that two documents often have one in common.
var name = rapid.SampledFrom([]string{"a", "b", "c", "d"})

func drawDocument(t *rapid.T) Document {
	text := rapid.SampledFrom([]string{"", "x", "y"})
	size := rapid.Int64Range(1, 3)
	texts := rapid.SliceOfN(text, 0, 2)
	return Document{
		Site:           text.Draw(t, "site"),
		FailureDomains: texts.Draw(t, "failure domains"),
		Classes: entries(t, func() Class {
			return Class{Name: name.Draw(t, "class"), TimeoutMillis: size.Draw(t, "timeout"), FloorShare: float64(size.Draw(t, "floor")) / 8}
		}, func(c Class) string { return c.Name }),
		Models: entries(t, func() Model {
			return Model{Name: name.Draw(t, "model"), Version: name.Draw(t, "version"), Default: rapid.Bool().Draw(t, "default"), MemoryMB: size.Draw(t, "memory")}
		}, func(m Model) string { return string(m.Ref()) }),
		Adapters: entries(t, func() Adapter {
			return Adapter{Name: name.Draw(t, "adapter"), Version: name.Draw(t, "version"), Base: modelref.Ref(text.Draw(t, "base"))}
		}, func(a Adapter) string { return string(a.Ref()) }),
		Servers: entries(t, func() Server {
			return Server{Name: name.Draw(t, "server"), HonoursFencing: rapid.Bool().Draw(t, "fencing"), Roles: texts.Draw(t, "roles")}
		}, func(s Server) string { return s.Name }),
		Services: entries(t, func() Service {
			return Service{Name: name.Draw(t, "service"), Servers: texts.Draw(t, "servers")}
		}, func(s Service) string { return s.Name }),
		Budgets: Budgets{ConcurrentLoads: int(size.Draw(t, "loads")), RetryShare: float64(size.Draw(t, "retries")) / 8},
	}
}

// entries draws a list of entries with different keys.
func entries[T any](t *rapid.T, draw func() T, key func(T) string) []T {
	var out []T
	for range rapid.IntRange(0, 4).Draw(t, "length") {
		e := draw()
		if !slices.ContainsFunc(out, func(other T) bool { return key(other) == key(e) }) {
			out = append(out, e)
		}
	}
	return out
}

// merging is merge, or a broken variant of it.
type merging func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems)

// changesReproduce turns the changes from before to after into an overlay, merges it
// into before, and wants after.
func changesReproduce(p pair, merging merging) error {
	changes, err := Diff(&p.before, &p.after)
	if err != nil {
		return err
	}
	base, err := tree(&p.before)
	if err != nil {
		return err
	}
	text := overlayOf(changes, p.after.Classes)
	overlay, problems := strictjson.Parse("overlay", text)
	if problems.Err() != nil {
		return fmt.Errorf("overlay %s: %w", text, problems)
	}
	merged, problems := merging(base, overlay)
	if problems.Err() != nil {
		return fmt.Errorf("merge of %s: %w", text, problems)
	}
	var got Document
	if problems := strictjson.Decode(merged, &got); len(problems) > 0 {
		return problems
	}
	left, err := Diff(&got, &p.after)
	if err != nil || len(left) > 0 {
		return fmt.Errorf("overlay %s leaves the changes %v, %v", text, left, err)
	}
	return nil
}

// overlayOf writes changes as an overlay. Classes come from last to first, each before
// the next, which gives them the order of the second document.
func overlayOf(changes []Change, classes []Class) []byte {
	o := overlayWriter{fields: map[string]any{}, entries: map[string]map[string]map[string]any{}}
	for _, c := range changes {
		o.add(c)
	}
	for i := range classes {
		o.entry("classes[" + classes[i].Name + "]")
		if i+1 < len(classes) {
			o.entry("classes[" + classes[i].Name + "]")[fieldBefore] = classes[i+1].Name
		}
	}
	return o.text(classes)
}

type overlayWriter struct {
	fields  map[string]any
	entries map[string]map[string]map[string]any
}

// entry returns the overlay's entry of that name, as in "models[a@b]", with its key.
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

func (o overlayWriter) text(classes []Class) []byte {
	out := o.fields
	for list, byKey := range o.entries {
		keys := sortedKeys(byKey)
		if list == "classes" {
			// Those that stay come from last to first, before those that go.
			place := func(key string) int {
				return slices.IndexFunc(classes, func(c Class) bool { return c.Name == key })
			}
			slices.SortStableFunc(keys, func(a, b string) int { return place(b) - place(a) })
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

func TestChangesReproduceTheDocument(t *testing.T) {
	for seed := range rounds {
		if err := changesReproduce(pairs.Example(seed), merge); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestPropertyBites shows that the property above finds broken merging.
func TestPropertyBites(t *testing.T) {
	broken := map[string]merging{
		"keeps removed entries": func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
			return merge(base, without(overlay, func(e *strictjson.Node) bool { return e.Member(fieldRemove) != nil }))
		},
		"adds no entries": func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
			return merge(base, without(overlay, func(e *strictjson.Node) bool { return e.Member("memory_mb") != nil && e.Member("class") != nil }))
		},
		"replaces entries whole": func(base, overlay *strictjson.Node) (*strictjson.Node, strictjson.Problems) {
			out := *base
			out.Members = slices.Clone(base.Members)
			for _, m := range overlay.Members {
				set(&out, m)
			}
			return &out, nil
		},
	}
	for name, merging := range broken {
		found := false
		for seed := 0; seed < rounds && !found; seed++ {
			found = changesReproduce(pairs.Example(seed), merging) != nil
		}
		if !found {
			t.Errorf("merging that %s passes", name)
		}
	}
}

// without returns the overlay without some entries of its lists.
func without(overlay *strictjson.Node, drop func(*strictjson.Node) bool) *strictjson.Node {
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

// TestMergeIsIdempotent merges the second document into the first once and twice.
func TestMergeIsIdempotent(t *testing.T) {
	for seed := range rounds {
		p := pairs.Example(seed)
		base, err := tree(&p.before)
		if err != nil {
			t.Fatal(err)
		}
		overlay, err := tree(&p.after)
		if err != nil {
			t.Fatal(err)
		}
		once, problems := merge(base, overlay)
		twice, more := merge(once, overlay)
		if len(problems)+len(more) > 0 || text(once) != text(twice) {
			t.Fatalf("seed %d: %v %v\nonce  %s\ntwice %s", seed, problems, more, text(once), text(twice))
		}
	}
}

func TestDiffOfEqualDocumentsIsEmpty(t *testing.T) {
	for seed := range rounds {
		d := pairs.Example(seed).before
		changes, err := Diff(&d, &d)
		if err != nil || len(changes) != 0 {
			t.Fatalf("seed %d: %v, %v", seed, changes, err)
		}
	}
}
