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

// streamAnswer writes the events of a run as server-sent events. Its memory use is bounded:
// an event is written before the next one is read from the server, and the answer fails if
// the caller takes longer than the write timeout to read one event.
type streamAnswer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         request.ID
	limits     Limits

	mu sync.Mutex
	// headerSentAt is when the header of the answer was sent: at the first event or, if
	// there was none, in Finish.
	headerSentAt time.Time
	lastWrite    time.Time
	// ended is closed at the end of the answer and stops keepAlive.
	ended chan struct{}
}

var _ answer = (*streamAnswer)(nil)

func newStreamAnswer(w http.ResponseWriter, id request.ID, limits Limits) *streamAnswer {
	return &streamAnswer{w: w, controller: http.NewResponseController(w), id: id, limits: limits, ended: make(chan struct{})}
}

func (a *streamAnswer) FirstEvent() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.headerSentAt
}

func (a *streamAnswer) Event(event engine.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headerSentAt.IsZero() {
		a.start()
	}
	return a.write(fmt.Appendf(nil, "id: %s/%d\ndata: %s\n\n", a.id, event.Offset, event.Data))
}

// start sends the header of the answer and starts the keep-alive comments. Before it is
// called, a failure can still be answered with its own HTTP status. a.mu must be held.
func (a *streamAnswer) start() {
	a.headerSentAt = time.Now()
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
	go a.keepAlive()
}

// keepAlive writes a comment at intervals while the stream has no events, so that both ends
// detect a broken connection.
func (a *streamAnswer) keepAlive() {
	ticker := time.NewTicker(a.limits.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-a.ended:
			return
		case <-ticker.C:
			a.writeKeepAlive()
		}
	}
}

// writeKeepAlive writes a comment if the last write is at least Limits.KeepAlive ago.
func (a *streamAnswer) writeKeepAlive() {
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

// write sends data within the write timeout. a.mu must be held.
func (a *streamAnswer) write(data []byte) error {
	a.lastWrite = time.Now()
	_ = a.controller.SetWriteDeadline(a.lastWrite.Add(a.limits.WriteTimeout))
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.controller.Flush()
}

// Finish implements answer. Only a complete answer gets the end marker "[DONE]".
func (a *streamAnswer) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headerSentAt.IsZero() {
		a.start()
	}
	_ = a.write([]byte("data: [DONE]\n\n"))
	a.end()
}

// Fail implements answer. If the header has been sent, the failure is sent as an "error"
// event, and there is no end marker.
func (a *streamAnswer) Fail(e *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headerSentAt.IsZero() {
		writeError(a.w, e)
		return
	}
	body, err := json.Marshal(ErrorBody{Error: errorDetail(e)})
	if err == nil {
		_ = a.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
	}
	a.end()
}

// end stops the keep-alive comments and removes the write deadline, since the connection
// may serve further requests. a.mu must be held.
func (a *streamAnswer) end() {
	close(a.ended)
	_ = a.controller.SetWriteDeadline(time.Time{})
}
