package site

import "limpethub/internal/strictjson"

// Finding is something wrong with a document.
type Finding struct {
	// Path is the field by position, as in "models[3].class"; empty for the whole.
	Path string
	// Message says what is wrong.
	Message string
	// Mend says what to do about it.
	Mend string
}

// Check looks for something wrong with a document. Checks that are handed to Load,
// Parse and Verify only see documents that are otherwise valid.
type Check func(*Document) []Finding

// Load reads a site's base file and its overlay, merges and checks them. An empty
// overlay means that there is none. The error, of type strictjson.Problems, lists all
// that is wrong, by file and line. No list of a returned document is nil.
func Load(base, overlay string, more ...Check) (Document, error) {
	first := parsed(strictjson.ReadFile(base))
	if overlay == "" {
		return finish(first, source{}, more)
	}
	return combine(first, parsed(strictjson.ReadFile(overlay)), more)
}

// File is the text of a file, with the name that errors give it.
type File struct {
	Name string
	Data []byte
}

// Parse is Load for texts that are not in files. An overlay without a name and text
// means that there is none.
func Parse(base, overlay File, more ...Check) (Document, error) {
	first := parsed(strictjson.Parse(base.Name, base.Data))
	if overlay.Name == "" && overlay.Data == nil {
		return finish(first, source{}, more)
	}
	return combine(first, parsed(strictjson.Parse(overlay.Name, overlay.Data)), more)
}

// Verify checks a document that is already merged, such as one that an operator sent.
func Verify(doc *Document, more ...Check) error {
	root, err := tree(doc)
	if err != nil {
		return err
	}
	_, err = finish(source{tree: root}, source{}, more)
	return err
}

// source is a parsed file with what is wrong with its syntax. The tree is nil if there
// is no file, or nothing of it could be read.
type source struct {
	tree     *strictjson.Node
	problems strictjson.Problems
}

func parsed(tree *strictjson.Node, problems strictjson.Problems) source {
	return source{tree: tree, problems: problems}
}

// combine is finish with an overlay that must be there: without it, most of what a check
// of the base finds would be noise.
func combine(base, overlay source, more []Check) (Document, error) {
	if overlay.tree == nil {
		return Document{}, append(base.problems, overlay.problems...).Err()
	}
	return finish(base, overlay, more)
}

// finish merges and checks parsed files.
func finish(base, overlay source, more []Check) (Document, error) {
	problems := append(base.problems, overlay.problems...)
	if base.tree == nil {
		return Document{}, problems.Err()
	}
	problems = append(problems, duplicates(base.tree)...)
	problems = append(problems, strictjson.Decode(base.tree, &Document{})...)
	merged, mergeProblems := merge(base.tree, overlay.tree)
	problems = append(problems, mergeProblems...)
	index := strictjson.NewIndex(merged)
	var doc Document
	fields := strictjson.Read(merged, &doc, index)
	problems = append(problems, fields...)
	// What follows from a field that is wrong by itself isn't reported again.
	problems = append(problems, fields.Uncovered(findings(&doc, index, checks()))...)
	if len(problems) == 0 {
		problems = findings(&doc, index, more)
	}
	if err := problems.Err(); err != nil {
		return Document{}, err
	}
	strictjson.FillLists(&doc)
	return doc, nil
}

// findings runs checks of the whole document.
func findings(doc *Document, index *strictjson.Index, checks []Check) strictjson.Problems {
	var out strictjson.Problems
	for _, check := range checks {
		for _, f := range check(doc) {
			out = append(out, index.Problem(f.Path, f.Mend, "%s", f.Message))
		}
	}
	return out
}
