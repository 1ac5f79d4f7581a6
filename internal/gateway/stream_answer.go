package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// streamAnswer sends events as server-sent events. Memory is bounded: an event is
// written before the next one is read from the server, and a reader that takes
// longer than the write timeout for one event is cut off.
type streamAnswer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         request.ID
	limits     Limits

	mu        sync.Mutex
	first     time.Time
	lastWrite time.Time
	ended     chan struct{}
}

var _ answer = (*streamAnswer)(nil)

func newStreamAnswer(w http.ResponseWriter, id request.ID, limits Limits) *streamAnswer {
	return &streamAnswer{w: w, controller: http.NewResponseController(w), id: id, limits: limits, ended: make(chan struct{})}
}

// FirstEvent implements answer.
func (a *streamAnswer) FirstEvent() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.first
}

// Event implements answer.
func (a *streamAnswer) Event(event engine.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first.IsZero() {
		a.begin()
	}
	return a.write(fmt.Appendf(nil, "id: %s/%d\ndata: %s\n\n", a.id, event.Offset, event.Data))
}

// begin sends the header. Until then a failure can still have its own status.
func (a *streamAnswer) begin() {
	a.first = time.Now()
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
	go a.keepAlive()
}

// keepAlive writes comments while the stream is quiet, so that both ends notice a
// dead connection.
func (a *streamAnswer) keepAlive() {
	ticker := time.NewTicker(a.limits.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-a.ended:
			return
		case <-ticker.C:
			a.comment()
		}
	}
}

func (a *streamAnswer) comment() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.ended:
		return
	default:
	}
	if time.Since(a.lastWrite) >= a.limits.KeepAlive {
		_ = a.write([]byte(": keep-alive\n\n"))
	}
}

// write sends bytes within the write timeout. The lock is held.
func (a *streamAnswer) write(data []byte) error {
	a.lastWrite = time.Now()
	_ = a.controller.SetWriteDeadline(a.lastWrite.Add(a.limits.WriteTimeout))
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.controller.Flush()
}

// Finish implements answer. The end marker is sent only for a whole answer.
func (a *streamAnswer) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first.IsZero() {
		a.begin()
	}
	_ = a.write([]byte("data: [DONE]\n\n"))
	a.end()
}

// Fail implements answer. Once events were sent, the failure is an event of its own
// and the end marker is left out.
func (a *streamAnswer) Fail(e *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first.IsZero() {
		writeError(a.w, e)
		return
	}
	body, err := json.Marshal(ErrorBody{Error: detail(e)})
	if err == nil {
		_ = a.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
	}
	a.end()
}

// end stops the keep-alive comments and lifts the write deadline from the
// connection. The lock is held.
func (a *streamAnswer) end() {
	close(a.ended)
	_ = a.controller.SetWriteDeadline(time.Time{})
}
