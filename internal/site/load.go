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
	baseTree, problems := strictjson.ReadFile(base)
	if overlay == "" {
		return finish(baseTree, nil, problems, more)
	}
	overlayTree, overlayProblems := strictjson.ReadFile(overlay)
	problems = append(problems, overlayProblems...)
	if overlayTree == nil {
		// Without the overlay most of what a check of the base finds would be noise.
		return Document{}, problems.Err()
	}
	return finish(baseTree, overlayTree, problems, more)
}

// File is the text of a file, with the name that errors give it.
type File struct {
	Name string
	Data []byte
}

// Parse is Load for texts that are not in files. An overlay without a name and text
// means that there is none.
func Parse(base, overlay File, more ...Check) (Document, error) {
	baseTree, problems := strictjson.Parse(base.Name, base.Data)
	if overlay.Name == "" && overlay.Data == nil {
		return finish(baseTree, nil, problems, more)
	}
	overlayTree, overlayProblems := strictjson.Parse(overlay.Name, overlay.Data)
	problems = append(problems, overlayProblems...)
	if overlayTree == nil {
		return Document{}, problems.Err()
	}
	return finish(baseTree, overlayTree, problems, more)
}

// Verify checks a document that is already merged, such as one that an operator sent.
func Verify(doc *Document, more ...Check) error {
	root, err := tree(doc)
	if err != nil {
		return err
	}
	_, err = finish(root, nil, nil, more)
	return err
}

// finish merges and checks parsed files. overlay may be nil.
func finish(base, overlay *strictjson.Node, problems strictjson.Problems, more []Check) (Document, error) {
	if base == nil {
		return Document{}, problems.Err()
	}
	problems = append(problems, duplicates(base)...)
	problems = append(problems, strictjson.Decode(base, &Document{})...)
	merged, mergeProblems := merge(base, overlay)
	problems = append(problems, mergeProblems...)
	index := strictjson.NewIndex(merged)
	var doc Document
	fields := strictjson.Read(merged, &doc, index)
	problems = append(problems, fields...)
	problems = append(problems, findings(&doc, index, fields, checks())...)
	if len(problems) == 0 {
		problems = findings(&doc, index, nil, more)
	}
	if err := problems.Err(); err != nil {
		return Document{}, err
	}
	strictjson.FillLists(&doc)
	return doc, nil
}

// findings runs checks of the whole document. A field that is wrong by itself isn't
// reported again for what follows from it.
func findings(doc *Document, index *strictjson.Index, fields strictjson.Problems, checks []Check) strictjson.Problems {
	reported := map[string]bool{}
	for _, p := range fields {
		reported[p.Path] = true
	}
	var out strictjson.Problems
	for _, check := range checks {
		for _, f := range check(doc) {
			p := index.Problem(f.Path, f.Mend, "%s", f.Message)
			if !reported[p.Path] {
				out = append(out, p)
			}
		}
	}
	return out
}
