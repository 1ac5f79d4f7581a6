package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// wholeAnswer joins the events of a run into one JSON body, which Finish writes.
type wholeAnswer struct {
	w          http.ResponseWriter
	path       string
	model      string
	id         request.ID
	firstEvent time.Time
	text       strings.Builder
	// tokens counts the events: each is taken for one token.
	tokens       int
	finishReason string
}

var _ answer = (*wholeAnswer)(nil)

func newWholeAnswer(w http.ResponseWriter, path, model string, id request.ID) *wholeAnswer {
	return &wholeAnswer{w: w, path: path, model: model, id: id}
}

// chunk is one event of an OpenAI-style stream, of a completion or a chat.
type chunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Text         string       `json:"text"`
	Delta        chunkMessage `json:"delta"`
	FinishReason string       `json:"finish_reason"`
}

// chunkMessage is a message of a chat: a piece of it in a chunk, all of it in a whole answer.
// The type's name appears in errors of encoding/json, and with them in logs.
type chunkMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (a *wholeAnswer) FirstEvent() time.Time { return a.firstEvent }

func (a *wholeAnswer) Event(event engine.Event) error {
	if a.firstEvent.IsZero() {
		a.firstEvent = time.Now()
	}
	var c chunk
	if err := json.Unmarshal(event.Data, &c); err != nil {
		return verdict.Unclear(verdict.CodeServerFailed, err, "the server sent an event that is not JSON")
	}
	a.tokens++
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Text)
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}
	return nil
}

// Completion is the JSON body of a whole OpenAI-style answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the only choice of an answer. Text is set for completions, Message
// for chats.
type CompletionChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *chunkMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

// Usage is the number of tokens of an answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *wholeAnswer) Finish() {
	choice := CompletionChoice{FinishReason: a.finishReason}
	object := "text_completion"
	if strings.Contains(a.path, "/chat/") {
		object = "chat.completion"
		choice.Message = &chunkMessage{Role: "assistant", Content: a.text.String()}
	} else {
		choice.Text = a.text.String()
	}
	a.w.Header().Set(verdict.Header, verdict.Ran.String())
	writeJSON(a.w, http.StatusOK, Completion{
		ID: string(a.id), Object: object, Created: time.Now().Unix(), Model: a.model,
		Choices: []CompletionChoice{choice}, Usage: Usage{CompletionTokens: a.tokens},
	})
}

// Fail implements answer. Events collected before the failure are dropped.
func (a *wholeAnswer) Fail(e *verdict.Error) { writeError(a.w, e) }
