package strictjson

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Raw is a value that is decoded later, such as the options of a plug-in. It keeps the
// file and lines of the value for error messages.
type Raw struct {
	node *Node
}

// Decode decodes the value into the struct that target points to and, unlike the function
// Decode, also applies the struct's validate tags. Paths in its problems are relative to the
// value, not to the file. If the value is absent, it changes and checks nothing.
func (r Raw) Decode(target any) error {
	if r.node == nil {
		return nil
	}
	return Read(r.node, target, NewIndex(r.node)).Err()
}

// MarshalJSON implements json.Marshaler.
func (r Raw) MarshalJSON() ([]byte, error) {
	if r.node == nil {
		return []byte("{}"), nil
	}
	return r.node.MarshalJSON()
}

// UnmarshalJSON implements json.Unmarshaler, for plug-ins whose options are built in code
// instead of read from a file.
func (r *Raw) UnmarshalJSON(data []byte) error {
	node, problems := Parse("", data)
	if node == nil {
		return problems.Err()
	}
	r.node = node
	return problems.Err()
}

// Decode decodes a tree into the struct that target points to, without applying validate
// tags; see Read. Fields that are missing in the tree keep their values, so the caller can
// set defaults before. Unknown fields and values of the wrong kind are problems. Fields are
// matched by their json tags.
func Decode(node *Node, target any) Problems {
	d := &decoder{index: NewIndex(node)}
	d.value(node, reflect.ValueOf(target).Elem(), "")
	return d.problems
}

type decoder struct {
	index    *Index
	problems Problems
}

var rawType = reflect.TypeFor[Raw]()

func (d *decoder) report(n *Node, path, correction, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: n.File, Line: n.Line, Path: d.index.Label(path),
		Message: fmt.Sprintf(format, args...), Correction: correction,
	})
}

func (d *decoder) value(n *Node, target reflect.Value, path string) {
	if target.Type() == rawType {
		target.Set(reflect.ValueOf(Raw{node: n}))
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(n, target, path)
	case reflect.Slice:
		d.list(n, target, path)
	case reflect.String:
		if d.expect(n, KindString, path) {
			target.SetString(n.Text)
		}
	case reflect.Bool:
		if d.expect(n, KindBool, path) {
			target.SetBool(n.Text == "true")
		}
	case reflect.Int, reflect.Int64:
		d.integer(n, target, path)
	case reflect.Float64:
		d.float(n, target, path)
	default:
		panic(fmt.Sprintf("strictjson: field %s has the unsupported type %s", path, target.Type()))
	}
}

func (d *decoder) expect(n *Node, want Kind, path string) bool {
	if n.Kind == want {
		return true
	}
	d.report(n, path, suggestKind(n, want, path), "%s is not %s", n.describe(), describeKind(want, path))
	return false
}

func (d *decoder) object(n *Node, target reflect.Value, path string) {
	if !d.expect(n, KindObject, path) {
		return
	}
	fields := fieldsOf(target.Type())
	for _, m := range n.Members {
		memberPath := join(path, m.Name)
		index, known := fields[m.Name]
		if !known {
			d.reportUnknownField(n, m, memberPath, fields)
			continue
		}
		d.value(m.Value, target.Field(index), memberPath)
	}
}

func (d *decoder) reportUnknownField(n *Node, m Member, path string, fields map[string]int) {
	correction := "remove it"
	if suggestion := Nearest(m.Name, slices.Collect(maps.Keys(fields))); suggestion != "" {
		correction = fmt.Sprintf("did you mean %q?", suggestion)
	}
	// If files were merged, the member's value may come from another file than its object.
	location := &Node{File: n.File, Line: m.Line}
	if m.Value.File != "" {
		location.File = m.Value.File
	}
	d.report(location, path, correction, "unknown field")
}

func (d *decoder) list(n *Node, target reflect.Value, path string) {
	if !d.expect(n, KindList, path) {
		return
	}
	out := reflect.MakeSlice(target.Type(), len(n.Elements), len(n.Elements))
	for i, e := range n.Elements {
		d.value(e, out.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(out)
}

func (d *decoder) integer(n *Node, target reflect.Value, path string) {
	if !d.expect(n, KindNumber, path) {
		return
	}
	value, err := strconv.ParseInt(n.Text, 10, 64)
	if err != nil || target.OverflowInt(value) {
		d.report(n, path, "write a whole number", "%s is not a whole number%s", n.Text, unitOf(path).phrase())
		return
	}
	target.SetInt(value)
}

func (d *decoder) float(n *Node, target reflect.Value, path string) {
	if !d.expect(n, KindNumber, path) {
		return
	}
	value, err := strconv.ParseFloat(n.Text, 64)
	if err != nil || math.IsInf(value, 0) {
		d.report(n, path, "write a smaller number", "%s is out of range", n.Text)
		return
	}
	target.SetFloat(value)
}

// fieldsOf maps the json names of a struct's fields to their indexes.
func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			out[name] = i
		}
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || !f.IsExported() {
		return ""
	}
	return name
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
