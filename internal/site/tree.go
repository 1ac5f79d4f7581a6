package site

import (
	"encoding/json"
	"fmt"

	"limpethub/internal/strictjson"
)

// tree turns a document into a tree without a file, which always has all members.
func tree(d *Document) (*strictjson.Node, error) {
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
