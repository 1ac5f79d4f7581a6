package strictjson

import (
	"fmt"
	"strings"
)

// Index finds the place and the readable label of a path such as "models[3].class".
type Index struct {
	nodes  map[string]*Node
	labels map[string]string
}

// NewIndex walks a tree.
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

// elementLabel names a list element by its name, or by its position.
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

// Label returns the path with list positions replaced by the elements' names.
func (x *Index) Label(path string) string {
	if label, ok := x.labels[path]; ok {
		return label
	}
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return path
	}
	return x.Label(path[:cut]) + path[cut:]
}

// Place returns the file and line of the value at the path, or of the nearest value
// that contains it.
func (x *Index) Place(path string) (file string, line int) {
	for {
		if n := x.nodes[path]; n != nil {
			return n.File, n.Line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	if root := x.nodes[""]; root != nil {
		return root.File, root.Line
	}
	return "", 0
}

// Problem builds a problem for the value at the path. A tree without a file has no
// lines that a reader could look up.
func (x *Index) Problem(path, mend, format string, args ...any) Problem {
	file, line := x.Place(path)
	if file == "" {
		line = 0
	}
	return Problem{File: file, Line: line, Path: x.Label(path), Message: fmt.Sprintf(format, args...), Mend: mend}
}
