package site

import "limpethub/internal/strictjson"

// Finding is a problem of a document, by the path of a field. It becomes a strictjson.Problem
// once the path is resolved to a file and line.
type Finding struct {
	// Path is the field, with list entries by position, such as "models[3].class"; empty
	// for the whole document.
	Path string
	// Message describes the problem.
	Message string
	// Correction tells how to fix the problem.
	Correction string
}

// Check returns the problems that it finds in a document.
type Check func(*Document) []Finding

// Load reads a site's base file and its overlay, merges and checks them. The overlay is
// optional; "" means none. The extra checks run only if nothing else is wrong. The error, of
// type strictjson.Problems, lists all problems by file and line. All lists of a returned
// document are non-nil.
func Load(base, overlay string, extra ...Check) (Document, error) {
	baseFile := newParsedFile(strictjson.ReadFile(base))
	if overlay == "" {
		return mergeAndCheck(baseFile, parsedFile{}, extra)
	}
	return mergeOverlayAndCheck(baseFile, newParsedFile(strictjson.ReadFile(overlay)), extra)
}

// File is the text of a configuration file, with the name that errors give it.
type File struct {
	Name string
	Data []byte
}

// Parse is like Load, for files that are already read. An overlay with neither name nor
// data means none.
func Parse(base, overlay File, extra ...Check) (Document, error) {
	baseFile := newParsedFile(strictjson.Parse(base.Name, base.Data))
	if overlay.Name == "" && overlay.Data == nil {
		return mergeAndCheck(baseFile, parsedFile{}, extra)
	}
	return mergeOverlayAndCheck(baseFile, newParsedFile(strictjson.Parse(overlay.Name, overlay.Data)), extra)
}

// Verify checks a document that is already merged, such as one sent by an operator.
func Verify(doc *Document, extra ...Check) error {
	root, err := documentTree(doc)
	if err != nil {
		return err
	}
	_, err = mergeAndCheck(parsedFile{tree: root}, parsedFile{}, extra)
	return err
}

// parsedFile is a parsed configuration file with its syntax errors. The tree is nil if
// there is no file or nothing of it could be parsed.
type parsedFile struct {
	tree     *strictjson.Node
	problems strictjson.Problems
}

func newParsedFile(tree *strictjson.Node, problems strictjson.Problems) parsedFile {
	return parsedFile{tree: tree, problems: problems}
}

// mergeOverlayAndCheck is mergeAndCheck with an overlay that is required. If the overlay
// could not be parsed, only syntax errors are reported: a base without its overlay may fail
// many checks that the merged document would pass.
func mergeOverlayAndCheck(base, overlay parsedFile, extra []Check) (Document, error) {
	if overlay.tree == nil {
		return Document{}, append(base.problems, overlay.problems...).Err()
	}
	return mergeAndCheck(base, overlay, extra)
}

// mergeAndCheck merges the overlay into the base and checks the result.
func mergeAndCheck(base, overlay parsedFile, extra []Check) (Document, error) {
	problems := append(base.problems, overlay.problems...)
	if base.tree == nil {
		return Document{}, problems.Err()
	}
	// The base is checked by itself too, because the overlay could hide its errors. merge
	// looks for duplicates in the overlay.
	problems = append(problems, duplicates(base.tree)...)
	problems = append(problems, strictjson.Decode(base.tree, &Document{})...)
	merged, mergeProblems := merge(base.tree, overlay.tree)
	problems = append(problems, mergeProblems...)
	index := strictjson.NewIndex(merged)
	var doc Document
	fieldProblems := strictjson.Read(merged, &doc, index)
	problems = append(problems, fieldProblems...)
	// Findings that follow from a field that is already reported are left out.
	problems = append(problems, fieldProblems.ExcludeConsequences(runChecks(&doc, index, checks()))...)
	if len(problems) == 0 {
		problems = runChecks(&doc, index, extra)
	}
	if err := problems.Err(); err != nil {
		return Document{}, err
	}
	strictjson.FillLists(&doc)
	return doc, nil
}

// runChecks runs checks on a document and resolves their findings to files and lines.
func runChecks(doc *Document, index *strictjson.Index, checks []Check) strictjson.Problems {
	var out strictjson.Problems
	for _, check := range checks {
		for _, f := range check(doc) {
			out = append(out, index.Problem(f.Path, f.Correction, "%s", f.Message))
		}
	}
	return out
}
