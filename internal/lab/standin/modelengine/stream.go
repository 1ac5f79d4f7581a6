package modelengine

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"limpethub/internal/engine"
	"limpethub/internal/request"
)

// commentEvery is how often a stream that has no token to send sends a comment.
const commentEvery = 500 * time.Millisecond

// pathID returns the request id that the path names.
func pathID(r *http.Request) request.ID {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return request.ID(id)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", string(pathID(r)))
	found, ok := e.find(r)
	if !ok {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	from := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		offset, err := strconv.Atoi(last[strings.LastIndexByte(last, '/')+1:])
		if err != nil {
			http.Error(w, "malformed Last-Event-ID", http.StatusBadRequest)
			return
		}
		from = offset + 1
	}
	e.stream(w, r, found, from)
}

// stream sends a run's events from an offset on, as they come to be. The run goes
// on when the client leaves; only DELETE cancels it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	comments := time.NewTicker(commentEvery)
	defer comments.Stop()
	for next := from; ; {
		view := e.view(run)
		for ; next < view.tokens; next++ {
			if !e.send(w, run, next) {
				return
			}
		}
		if view.state == engine.RunDone {
			writeEvent(w, run.id, next, "[DONE]")
			return
		}
		if view.ended {
			return
		}
		flush(w)
		select {
		case <-view.changed:
		case <-comments.C:
			if !e.Faults().Paused {
				_, _ = w.Write([]byte(": waiting\n\n"))
			}
		case <-r.Context().Done():
			return
		}
		if !e.awaitUnpaused(r) {
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// runView is a run's state at one moment.
type runView struct {
	tokens  int
	state   engine.RunState
	ended   bool
	changed <-chan struct{}
}

func (e *Engine) view(r *run) runView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return runView{tokens: r.tokens, state: r.state, ended: r.ended(), changed: r.changed}
}

// send writes one event, with the faults now set. It reports whether to go on.
func (e *Engine) send(w http.ResponseWriter, r *run, offset int) bool {
	faults := e.Faults()
	if faults.CutAfter > 0 && offset >= faults.CutAfter {
		return false
	}
	if faults.DropEvery > 0 && (offset+1)%faults.DropEvery == 0 {
		return true
	}
	id := r.id
	if faults.WrongIDAfter > 0 && offset >= faults.WrongIDAfter {
		id += "-other"
	}
	return writeEvent(w, id, offset, chunk(r, id, offset))
}

// chunk is one piece in the shape of an OpenAI streaming answer.
func chunk(r *run, id request.ID, offset int) string {
	text := strconv.Quote(Token(id, offset))
	if r.chat {
		return `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":` + text + `}}]}`
	}
	return `{"object":"text_completion","choices":[{"index":0,"text":` + text + `}]}`
}

func writeEvent(w http.ResponseWriter, id request.ID, offset int, data string) bool {
	line := make([]byte, 0, len(id)+len(data)+32)
	line = append(line, "id: "...)
	line = append(line, id...)
	line = append(line, '/')
	line = strconv.AppendInt(line, int64(offset), 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := w.Write(line)
	return err == nil
}
