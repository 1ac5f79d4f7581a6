package logging_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// TestLogMessagesAreDocumented guards against a log message of the daemon that is reworded
// or added in the code and not in docs/LOGS.md, where operators look it up as it is written,
// and against a message there that no code logs any more.
func TestLogMessagesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	logged, literals := map[string]string{}, map[string]bool{}
	for _, root := range []string{"../../cmd/limpethubd", "../../internal", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && notInDaemon[filepath.Base(path)]:
				return filepath.SkipDir
			case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			collectMessages(t, path, logged, literals)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(logged) < 50 {
		t.Errorf("found %d log messages in the code, want at least 50: the search misses calls", len(logged))
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `[a-z]+` \\| (.*?) \\|").FindAllStringSubmatch(string(page), -1) {
		for _, message := range regexp.MustCompile("`([^`]*)`").FindAllStringSubmatch(row[1], -1) {
			documented[message[1]] = true
		}
	}
	for message, where := range logged {
		if !documented[message] {
			t.Errorf("%s: message %q has no row in docs/LOGS.md", where, message)
		}
	}
	for message := range documented {
		if !literals[message] {
			t.Errorf("docs/LOGS.md: no code contains the message %q", message)
		}
	}
}

// notInDaemon names the folders whose code runs in other processes.
var notInDaemon = map[string]bool{"lab": true, "soak": true, "ctl": true, "fleet": true, "integration": true, "standin": true, "testdata": true}

// collectMessages adds a file's log messages with their places, and all its string literals.
// A message is the only argument of a logger's method, the first of a function named log or
// endTerm, or the field "message" of an event or, in package placer, a variable of that name.
func collectMessages(t *testing.T, path string, logged map[string]string, literals map[string]bool) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	add := func(e ast.Expr) {
		if text, ok := stringLiteral(e); ok {
			logged[text] = files.Position(e.Pos()).String()
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BasicLit:
			if text, ok := stringLiteral(n); ok {
				literals[text] = true
			}
		case *ast.KeyValueExpr:
			if key, ok := n.Key.(*ast.Ident); ok && key.Name == "message" {
				add(n.Value)
			}
		case *ast.AssignStmt:
			if name, ok := n.Lhs[0].(*ast.Ident); ok && name.Name == "message" && file.Name.Name == "placer" {
				add(n.Rhs[0])
			}
		case *ast.CallExpr:
			method, ok := n.Fun.(*ast.SelectorExpr)
			if !ok || len(n.Args) == 0 {
				return true
			}
			switch method.Sel.Name {
			case "Debug", "Info", "Warn", "Error":
				if len(n.Args) == 1 {
					add(n.Args[0])
				}
			case "log", "endTerm":
				add(n.Args[0])
			}
		}
		return true
	})
}

func stringLiteral(e ast.Expr) (text string, ok bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
