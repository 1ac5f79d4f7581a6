package site

import (
	"encoding/json"
	"fmt"

	"limpethub/internal/strictjson"
)

// tree turns a document into a tree without a file, which always has all members.
func tree(d *Document) (*strictjson.Node, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("site: marshal document: %w", err)
	}
	node, problems := strictjson.Parse("", data)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("site: parse document: %w", err)
	}
	fillLists(node)
	return node, nil
}

// fillLists turns nulls into empty lists: a list that was never set is the only null
// that a marshaled document can hold.
func fillLists(n *strictjson.Node) {
	if n.Kind == strictjson.KindNull {
		n.Kind = strictjson.KindList
	}
	for _, m := range n.Members {
		fillLists(m.Value)
	}
	for _, e := range n.Elements {
		fillLists(e)
	}
}
