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

// Limits on files.
const (
	// MaxFileBytes is the largest size of a file.
	MaxFileBytes = 4 << 20
	// maxDepth is the deepest nesting of objects and lists.
	maxDepth = 32
)

// Kind is the type of a JSON value, as it is named in messages.
type Kind string

// The JSON types.
const (
	KindObject Kind = "an object"
	KindList   Kind = "a list"
	KindString Kind = "a string"
	KindNumber Kind = "a number"
	KindBool   Kind = "true or false"
	KindNull   Kind = "null"
)

// Node is one JSON value with its position in a file.
type Node struct {
	// File and Line give the position of the value's first byte.
	File string
	Line int
	// Kind is the type of the value.
	Kind Kind
	// Text is the unquoted value of a string, or the literal of a number, bool or null.
	Text string
	// Members holds the members of an object in file order.
	Members []Member
	// Elements holds the elements of a list.
	Elements []*Node
}

// Member is one member of an object.
type Member struct {
	Name string
	// Line is the line of the name.
	Line  int
	Value *Node
}

// Member returns the value of the named member, or nil if there is none.
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

// ReadFile reads a JSON file with comments and parses it with Parse. It decodes and validates
// nothing; see Read.
func ReadFile(path string) (*Node, Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Message: fmt.Sprintf("cannot be read: %v", unwrapPath(err)), Correction: "check the path and its permissions"}}
	}
	return Parse(path, data)
}

// unwrapPath removes the path from a file error, since a Problem already has it.
func unwrapPath(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// Parse parses JSON with comments whose top-level value is an object. Duplicate members
// are reported, but the tree is still returned, so that the caller can report further
// problems. The tree is nil if the data is too large, nested too deeply, not valid, or not
// an object.
func Parse(file string, data []byte) (*Node, Problems) {
	if len(data) > MaxFileBytes {
		return nil, Problems{{File: file, Line: 1, Message: fmt.Sprintf("has %d bytes, above the limit of %d bytes", len(data), MaxFileBytes), Correction: "split or shorten it"}}
	}
	if depth(data) > maxDepth {
		return nil, Problems{{File: file, Line: 1, Message: fmt.Sprintf("is nested more than %d levels deep", maxDepth), Correction: "flatten it"}}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		line, cause := splitSyntaxError(err)
		return nil, Problems{{File: file, Line: line, Message: "is not JSON with comments: " + cause, Correction: "mend the syntax"}}
	}
	p := &parser{file: file, lines: newLineIndex(data)}
	node := p.parseNode(&value, "")
	if node.Kind != KindObject {
		return nil, Problems{{File: file, Line: node.Line, Message: fmt.Sprintf("holds %s, not an object", node.describe()), Correction: "write an object in braces"}}
	}
	return node, p.problems
}

// depth returns the deepest nesting of brackets. It runs before the parser and does not
// parse the text itself, so brackets in strings and comments count too: many opening ones can
// make a flat file appear nested too deeply, and closing ones can hide real nesting.
func depth(data []byte) int {
	deepest, current := 0, 0
	for _, c := range data {
		switch c {
		case '{', '[':
			current++
			deepest = max(deepest, current)
		case '}', ']':
			current--
		}
	}
	return deepest
}

// splitSyntaxError extracts the line from the text of a hujson syntax error, such as
// "hujson: line 3, column 5: …", because the error has no field for it.
func splitSyntaxError(err error) (line int, cause string) {
	text := err.Error()
	var column int
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 1, text
	}
	_, cause, _ = strings.Cut(strings.TrimPrefix(text, "hujson: "), ": ")
	return line, cause
}

// lineIndex holds the offset at which each line starts, to find the line of an offset.
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

func (p *parser) parseNode(v *hujson.Value, path string) *Node {
	n := &Node{File: p.file, Line: p.lines.line(v.StartOffset)}
	switch value := v.Value.(type) {
	case *hujson.Object:
		n.Kind = KindObject
		p.parseMembers(n, value, path)
	case *hujson.Array:
		n.Kind = KindList
		for i := range value.Elements {
			n.Elements = append(n.Elements, p.parseNode(&value.Elements[i], fmt.Sprintf("%s[%d]", path, i)))
		}
	case hujson.Literal:
		n.Kind, n.Text = parseLiteral(value)
	}
	return n
}

func (p *parser) parseMembers(n *Node, object *hujson.Object, path string) {
	firstLines := map[string]int{}
	for i := range object.Members {
		m := &object.Members[i]
		_, name := parseLiteral(m.Name.Value.(hujson.Literal))
		line := p.lines.line(m.Name.StartOffset)
		if firstLine, duplicate := firstLines[name]; duplicate {
			p.problems = append(p.problems, Problem{
				File: p.file, Line: line, Path: join(path, name),
				Message:    fmt.Sprintf("appears twice, first on line %d", firstLine),
				Correction: "keep one of the two",
			})
			continue
		}
		firstLines[name] = line
		n.Members = append(n.Members, Member{Name: name, Line: line, Value: p.parseNode(&m.Value, join(path, name))})
	}
}

func parseLiteral(l hujson.Literal) (Kind, string) {
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

// describe returns the value for an error message or, for an object or list, its kind. Long
// strings are shortened.
func (n *Node) describe() string {
	const maxBytes = 40
	switch n.Kind {
	case KindString:
		text := n.Text
		if len(text) > maxBytes {
			text = text[:maxBytes] + "…"
		}
		return strconv.Quote(text)
	case KindObject, KindList:
		return string(n.Kind)
	default:
		return n.Text
	}
}
