// Package workspace decides which workspace a request belongs to, and whether it may run: by the keys of the
// configuration in force, and only while that is known to be the newest one. It knows keys by their hashes only.
//
// A proof is the time of a store read or watch answer showing that no newer configuration existed then. The revocation
// bound is the maximum time for which a removed key may still be accepted.
package workspace

import (
	"encoding/hex"

	"limpethub/internal/request"
	"limpethub/internal/site"
)

// Table maps the hashes of keys to workspaces. It doesn't change, so it is safe for concurrent use.
type Table struct {
	revision    uint64
	requireKeys bool
	byKey       map[request.KeyHash]*site.Workspace
}

// NewTable returns the table of a configuration. A key that several workspaces list belongs to none of them: requests
// with it can't be told apart. The hashes were checked when the configuration was decoded; one that isn't a hash is
// left out.
func NewTable(accepted *site.Accepted) *Table {
	document := &accepted.Document
	t := &Table{revision: accepted.Revision, requireKeys: document.RequireKeys, byKey: map[request.KeyHash]*site.Workspace{}}
	ambiguous := map[request.KeyHash]bool{}
	for i := range document.Workspaces {
		w := &document.Workspaces[i]
		for _, text := range w.KeyHashes {
			hash, ok := parseHash(text)
			if !ok {
				continue
			}
			if other := t.byKey[hash]; other != nil && other != w {
				ambiguous[hash] = true
			}
			t.byKey[hash] = w
		}
	}
	for hash := range ambiguous {
		delete(t.byKey, hash)
	}
	return t
}

func parseHash(text string) (hash request.KeyHash, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(hash) {
		return hash, false
	}
	return request.KeyHash(data), true
}

// Lookup returns the workspace of a key.
func (t *Table) Lookup(hash request.KeyHash) (*site.Workspace, bool) {
	w, ok := t.byKey[hash]
	return w, ok
}
