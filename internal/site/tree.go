package site

import (
	"encoding/json"
	"fmt"

	"limpethub/internal/strictjson"
)

// documentTree converts a document to a JSON tree without file names. The tree has all fields
// except those with the JSON options omitempty and omitzero that have the zero value.
func documentTree(d *Document) (*strictjson.Node, error) {
	filled := *d
	strictjson.FillLists(&filled)
	data, err := json.Marshal(filled)
	if err != nil {
		return nil, fmt.Errorf("site: marshal document: %w", err)
	}
	node, problems := strictjson.Parse("", data)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("site: parse document: %w", err)
	}
	return node, nil
}
