package modelengine

import (
	"container/heap"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/request"
)

// Limits of requests.
const (
	maxBodyBytes     = 16 << 20
	defaultMaxTokens = 16
	// pausePoll is how often a paused engine's answers look whether it goes on.
	pausePoll = 20 * time.Millisecond
)

// completion is what the stand-in reads of a completion request.
type completion struct {
	Model     modelref.Ref `json:"model"`
	Prompt    string       `json:"prompt"`
	Messages  []message    `json:"messages"`
	MaxTokens int          `json:"max_tokens"`
}

type message struct {
	Content string `json:"content"`
}

func (c completion) text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

// Handler serves the protocol of docs/ENGINES.md.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/v1/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}/stream", e.handleResume).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", e.handleState).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", e.handleCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/report", e.handleReport).Methods(http.MethodGet)
	r.HandleFunc("/v1/inventory", e.handleInventory).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", e.handleCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", e.handleExport).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", e.handleImport).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	return e.pausable(r)
}

// pausable holds requests while the engine is paused.
func (e *Engine) pausable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.awaitUnpaused(r) {
			next.ServeHTTP(w, r)
		}
	})
}

// awaitUnpaused reports whether the engine goes on while the client is still there.
func (e *Engine) awaitUnpaused(r *http.Request) bool {
	for e.Faults().Paused {
		select {
		case <-time.After(pausePoll):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := request.ID(r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Request-Id", string(id))
	var body completion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil || id == "" {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	if model := r.Header.Get("X-Model"); model != "" {
		body.Model = modelref.Ref(model)
	}
	accepted, reason := e.accept(id, body, r)
	if reason != "" {
		refuse(w, refusalStatus(reason), reason)
		return
	}
	e.stream(w, r, accepted, 0)
}

func refusalStatus(reason engine.RefusalReason) int {
	if reason == engine.RefusalNotResident {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// refuse states that the request wasn't run.
func refuse(w http.ResponseWriter, status int, reason engine.RefusalReason) {
	w.Header().Set("X-Not-Run", string(reason))
	http.Error(w, string(reason), status)
}

// accept queues a request, or says why it doesn't.
func (e *Engine) accept(id request.ID, body completion, r *http.Request) (*run, engine.RefusalReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalLocked(body.Model); reason != "" {
		e.stats.Refused[reason]++
		return nil, reason
	}
	accepted := newRun(id)
	accepted.model = body.Model
	accepted.chat = strings.Contains(r.URL.Path, "chat")
	accepted.prompt = body.text()
	accepted.limit = body.MaxTokens
	if accepted.limit <= 0 {
		accepted.limit = defaultMaxTokens
	}
	accepted.priority, _ = strconv.Atoi(r.Header.Get("X-Priority"))
	if left, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		accepted.deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	e.stats.Requests++
	accepted.sequence = uint64(e.stats.Requests)
	e.runs[id] = accepted
	heap.Push(&e.waiting, accepted)
	e.wakeLocked()
	return accepted, ""
}

func (e *Engine) refusalLocked(model modelref.Ref) engine.RefusalReason {
	switch {
	case e.leaving:
		return engine.RefusalLeaving
	case !e.servesLocked(model):
		return engine.RefusalNotResident
	case len(e.waiting) >= e.options.MaxWaiting:
		return engine.RefusalOverloaded
	}
	return ""
}

// find returns the run that the path names.
func (e *Engine) find(r *http.Request) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.runs[pathID(r)]
	return found, ok
}

func (e *Engine) handleState(w http.ResponseWriter, r *http.Request) {
	id := pathID(r)
	w.Header().Set("X-Request-Id", string(id))
	state := engine.RunUnknown
	if found, ok := e.find(r); ok {
		e.mu.Lock()
		state = found.state
		e.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, struct {
		State engine.RunState `json:"state"`
	}{state})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	found, ok := e.find(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	found.finish(engine.RunCanceled)
	e.removeLocked(found)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// removeLocked takes a canceled run out of the queue. One in the batch leaves it at
// the end of the step.
func (e *Engine) removeLocked(gone *run) {
	for i, r := range e.waiting {
		if r == gone {
			heap.Remove(&e.waiting, i)
			return
		}
	}
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.report())
}

func (e *Engine) handleInventory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.inventory())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil || order.ID == "" {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if !e.mayOrder(r) {
		http.Error(w, "orders need the token", http.StatusForbidden)
		return
	}
	faults := e.Faults()
	if faults.LoseOrders {
		panic(http.ErrAbortHandler)
	}
	if faults.DelayOrders > 0 {
		time.AfterFunc(faults.DelayOrders, func() { _, _ = e.take(order) })
		w.WriteHeader(http.StatusAccepted)
		return
	}
	outcome, err := e.take(order)
	if faults.LoseOrderAnswers {
		panic(http.ErrAbortHandler)
	}
	var stale *engine.StaleFenceError
	if errors.As(err, &stale) {
		writeJSON(w, http.StatusConflict, struct {
			Fence uint64 `json:"fence"`
		}{stale.HighestFence})
		return
	}
	writeJSON(w, http.StatusAccepted, outcome)
}

func (e *Engine) mayOrder(r *http.Request) bool {
	if e.options.OrderToken == "" || r.Header.Get("Authorization") == "Bearer "+e.options.OrderToken {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.OrdersUnchecked++
	return false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
