package gateway

import (
	"net/http"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelInfo `json:"data"`
}

// ModelInfo is one model or adapter version that callers may request.
type ModelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Base is the model version that an adapter extends; empty for a model.
	Base string `json:"base,omitempty"`
}

// EntryList is the answer to GET /v1/entries.
type EntryList struct {
	// Entries lists the instances that callers should use, best first.
	Entries []Entry `json:"entries"`
	// TTLMillis is how long the caller may cache the answer, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

func (g *Gateway) handleModels(w http.ResponseWriter, _ *http.Request) {
	accepted, ok := g.options.Configuration.Current()
	if !ok {
		writeError(w, notReady())
		return
	}
	list := ModelList{Object: "list", Data: []ModelInfo{}}
	for _, unit := range accepted.Document.Units() {
		list.Data = append(list.Data, ModelInfo{ID: string(unit.Ref), Object: "model", Base: string(unit.Base)})
	}
	writeJSON(w, http.StatusOK, list)
}

func (g *Gateway) handleEntries(w http.ResponseWriter, r *http.Request) {
	model := r.URL.Query().Get("model")
	accepted, ok := g.options.Configuration.Current()
	if ok && model != "" {
		if _, known := accepted.Document.Resolve(model); !known {
			writeError(w, verdict.Refused(verdict.CodeUnknownModel, "no model or adapter %q is configured", model))
			return
		}
	}
	entries := g.options.Directory.Entries(model, r.Header.Get(request.HeaderFailureDomain))
	writeJSON(w, http.StatusOK, EntryList{Entries: entries, TTLMillis: g.options.Limits.EntriesTTL.Milliseconds()})
}
