package strictjson

import (
	"fmt"
	"strings"
)

// Index maps the path of a value, such as "models[3].class", to its file and line and to
// a readable label, such as "models[appraisal@2].class".
type Index struct {
	nodes  map[string]*Node
	labels map[string]string
}

// NewIndex indexes all values below root.
func NewIndex(root *Node) *Index {
	x := &Index{nodes: map[string]*Node{}, labels: map[string]string{}}
	x.walk(root, "", "")
	return x
}

func (x *Index) walk(n *Node, path, label string) {
	x.nodes[path] = n
	x.labels[path] = label
	if n == nil {
		return
	}
	for _, m := range n.Members {
		x.walk(m.Value, join(path, m.Name), join(label, m.Name))
	}
	for i, e := range n.Elements {
		x.walk(e, fmt.Sprintf("%s[%d]", path, i), fmt.Sprintf("%s[%s]", label, elementLabel(i, e)))
	}
}

// elementLabel returns the label of a list element: its member "name", with its member
// "version" if it has one, or its position if it has no name. Models and adapters of a site's
// configuration have both.
func elementLabel(i int, e *Node) string {
	name := e.Member("name")
	if name == nil || name.Kind != KindString || name.Text == "" {
		return fmt.Sprint(i)
	}
	version := e.Member("version")
	if version == nil || version.Kind != KindString {
		return name.Text
	}
	return name.Text + "@" + version.Text
}

// Has reports whether the tree has a value at the path.
func (x *Index) Has(path string) bool {
	_, ok := x.nodes[path]
	return ok
}

// Label returns the path with list positions replaced by the names of the elements. A
// part of the path that is not in the tree stays unchanged.
func (x *Index) Label(path string) string {
	if label, ok := x.labels[path]; ok {
		return label
	}
	separator := strings.LastIndexAny(path, ".[")
	if separator < 0 {
		return path
	}
	return x.Label(path[:separator]) + path[separator:]
}

// Position returns the position (file and line) of the value at the path, or of its closest
// parent that is in the tree.
func (x *Index) Position(path string) (file string, line int) {
	for {
		if n := x.nodes[path]; n != nil {
			return n.File, n.Line
		}
		separator := strings.LastIndexAny(path, ".[")
		if separator < 0 {
			break
		}
		path = path[:separator]
	}
	if root := x.nodes[""]; root != nil {
		return root.File, root.Line
	}
	return "", 0
}

// Problem builds a problem for the value at the path. A tree without a file gets line 0,
// because there is no file in which to look up the line.
func (x *Index) Problem(path, correction, format string, args ...any) Problem {
	file, line := x.Position(path)
	if file == "" {
		line = 0
	}
	return Problem{File: file, Line: line, Path: x.Label(path), Message: fmt.Sprintf(format, args...), Correction: correction}
}
