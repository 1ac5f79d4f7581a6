package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits of what is read.
const (
	// MaxFileBytes is the most that a file may hold.
	MaxFileBytes = 4 << 20
	// maxDepth is how deeply objects and lists may nest.
	maxDepth = 32
)

// Kind is the kind of a JSON value.
type Kind string

// Kinds of JSON values.
const (
	KindObject Kind = "an object"
	KindList   Kind = "a list"
	KindString Kind = "a string"
	KindNumber Kind = "a number"
	KindBool   Kind = "true or false"
	KindNull   Kind = "null"
)

// Node is one JSON value with the place where it stands.
type Node struct {
	// File and Line say where the value starts.
	File string
	Line int
	// Kind is the kind of the value.
	Kind Kind
	// Text is the value of a string, or the literal of a number, bool or null.
	Text string
	// Members holds the members of an object in their order.
	Members []Member
	// Elements holds the elements of a list.
	Elements []*Node
}

// Member is one member of an object.
type Member struct {
	Name string
	// Line is where the name stands.
	Line  int
	Value *Node
}

// Member returns the value of the named member, or nil.
func (n *Node) Member(name string) *Node {
	if n == nil {
		return nil
	}
	for _, m := range n.Members {
		if m.Name == name {
			return m.Value
		}
	}
	return nil
}

// ReadFile parses a file of JSON with comments.
func ReadFile(path string) (*Node, Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Message: fmt.Sprintf("cannot be read: %v", unwrapPath(err)), Mend: "check the path and its permissions"}}
	}
	return Parse(path, data)
}

// unwrapPath drops the path from a file error, since problems name it anyway.
func unwrapPath(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// Parse parses an object of JSON with comments. Duplicate members are problems, but
// the tree is still returned, so that a reader can report more. The tree is nil only
// when the text holds no object.
func Parse(file string, data []byte) (*Node, Problems) {
	if len(data) > MaxFileBytes {
		return nil, Problems{{File: file, Line: 1, Message: fmt.Sprintf("has %d bytes, more than %d", len(data), MaxFileBytes), Mend: "split or shorten it"}}
	}
	if depth(data) > maxDepth {
		return nil, Problems{{File: file, Line: 1, Message: fmt.Sprintf("nests deeper than %d levels", maxDepth), Mend: "flatten it"}}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		line, cause := splitSyntaxError(err)
		return nil, Problems{{File: file, Line: line, Message: "is not JSON with comments: " + cause, Mend: "mend the syntax"}}
	}
	p := &parser{file: file, lines: newLineIndex(data)}
	node := p.node(&value, "")
	if node.Kind != KindObject {
		return nil, Problems{{File: file, Line: node.Line, Message: fmt.Sprintf("holds %s, not an object", node.describe()), Mend: "write an object in braces"}}
	}
	return node, p.problems
}

// depth returns the deepest nesting of brackets, those in strings and comments
// included, which keeps it an upper bound.
func depth(data []byte) int {
	deepest, now := 0, 0
	for _, c := range data {
		switch c {
		case '{', '[':
			now++
			deepest = max(deepest, now)
		case '}', ']':
			now--
		}
	}
	return deepest
}

// splitSyntaxError reads the line out of a syntax error of hujson, which has no field
// for it: "hujson: line 3, column 5: …".
func splitSyntaxError(err error) (line int, cause string) {
	text := err.Error()
	var column int
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 1, text
	}
	_, cause, _ = strings.Cut(strings.TrimPrefix(text, "hujson: "), ": ")
	return line, cause
}

// lineIndex finds the line of an offset.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	index := lineIndex{0}
	for i, c := range data {
		if c == '\n' {
			index = append(index, i+1)
		}
	}
	return index
}

func (l lineIndex) line(offset int) int {
	return sort.SearchInts(l, offset+1)
}

type parser struct {
	file     string
	lines    lineIndex
	problems Problems
}

func (p *parser) node(v *hujson.Value, path string) *Node {
	n := &Node{File: p.file, Line: p.lines.line(v.StartOffset)}
	switch value := v.Value.(type) {
	case *hujson.Object:
		n.Kind = KindObject
		p.members(n, value, path)
	case *hujson.Array:
		n.Kind = KindList
		for i := range value.Elements {
			n.Elements = append(n.Elements, p.node(&value.Elements[i], fmt.Sprintf("%s[%d]", path, i)))
		}
	case hujson.Literal:
		n.Kind, n.Text = literal(value)
	}
	return n
}

func (p *parser) members(n *Node, object *hujson.Object, path string) {
	first := map[string]int{}
	for i := range object.Members {
		m := &object.Members[i]
		_, name := literal(m.Name.Value.(hujson.Literal))
		line := p.lines.line(m.Name.StartOffset)
		if earlier, twice := first[name]; twice {
			p.problems = append(p.problems, Problem{
				File: p.file, Line: line, Path: join(path, name),
				Message: fmt.Sprintf("stands twice, first on line %d", earlier),
				Mend:    "keep one of the two",
			})
			continue
		}
		first[name] = line
		n.Members = append(n.Members, Member{Name: name, Line: line, Value: p.node(&m.Value, join(path, name))})
	}
}

func literal(l hujson.Literal) (Kind, string) {
	switch l.Kind() {
	case '"':
		return KindString, l.String()
	case '0':
		return KindNumber, string(l)
	case 't', 'f':
		return KindBool, string(l)
	default:
		return KindNull, "null"
	}
}

// MarshalJSON writes the node as standard JSON.
func (n *Node) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	if err := n.write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (n *Node) write(b *bytes.Buffer) error {
	switch n.Kind {
	case KindObject:
		return n.writeObject(b)
	case KindList:
		return n.writeList(b)
	case KindString:
		return writeString(b, n.Text)
	default:
		b.WriteString(n.Text)
		return nil
	}
}

func (n *Node) writeObject(b *bytes.Buffer) error {
	b.WriteByte('{')
	for i, m := range n.Members {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := writeString(b, m.Name); err != nil {
			return err
		}
		b.WriteByte(':')
		if err := m.Value.write(b); err != nil {
			return err
		}
	}
	b.WriteByte('}')
	return nil
}

func (n *Node) writeList(b *bytes.Buffer) error {
	b.WriteByte('[')
	for i, e := range n.Elements {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := e.write(b); err != nil {
			return err
		}
	}
	b.WriteByte(']')
	return nil
}

func writeString(b *bytes.Buffer, text string) error {
	quoted, err := json.Marshal(text)
	if err != nil {
		return fmt.Errorf("strictjson: write string: %w", err)
	}
	b.Write(quoted)
	return nil
}

// describe names a value for an error message, long ones shortened.
func (n *Node) describe() string {
	const most = 40
	switch n.Kind {
	case KindString:
		text := n.Text
		if len(text) > most {
			text = text[:most] + "…"
		}
		return strconv.Quote(text)
	case KindObject, KindList:
		return string(n.Kind)
	default:
		return n.Text
	}
}
