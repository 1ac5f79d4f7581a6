package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

const (
	// bytesPerToken is the assumed size of a token, to estimate the length of a prompt.
	bytesPerToken = 4
	// prefixBytes is how many bytes at the start of a prompt, as raw JSON, are hashed into
	// Request.PrefixKey. With it the scheduler finds the servers that probably have the
	// start of the prompt in their caches.
	prefixBytes = 512
	// defaultMaxTokens is assumed for a request that doesn't limit its answer.
	defaultMaxTokens = 256
	// maxIDBytes is the maximum length of a request ID from a caller.
	maxIDBytes = 128
)

// completionBody is the part of an OpenAI-style body that routing needs. The server gets
// the body unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// prompt returns the messages of a chat or else the prompt, as raw JSON.
func (b completionBody) prompt() json.RawMessage {
	if len(b.Messages) > 0 {
		return b.Messages
	}
	return b.Prompt
}

// maxTokens returns the maximum length of the answer, in tokens.
func (b completionBody) maxTokens() int {
	switch {
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	case b.MaxTokens > 0:
		return b.MaxTokens
	}
	return defaultMaxTokens
}

// readBody reads the whole body within the limits of size and time. It removes the read
// deadline afterwards, since net/http keeps reading from the connection to notice that the
// caller disconnects.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(g.options.Limits.ReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.options.Limits.BodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refused(verdict.CodeTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return nil, verdict.Refused(verdict.CodeBadRequest, "the body could not be read: %v", err)
}

func parseCompletion(body []byte) (completionBody, *verdict.Error) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, verdict.Refused(verdict.CodeBadRequest, "the body is not valid JSON: %v", err)
	}
	if parsed.Model == "" {
		return parsed, verdict.Refused(verdict.CodeBadRequest, `the body names no "model"`)
	}
	return parsed, nil
}

// modelRequest builds the request of a completion.
func (g *Gateway) modelRequest(r *http.Request, doc *site.Document, body completionBody) (request.Request, *verdict.Error) {
	unit, ok := doc.Resolve(body.Model)
	if !ok {
		return request.Request{}, verdict.Refused(verdict.CodeUnknownModel, "no model or adapter %q is configured; GET /v1/models lists them", body.Model)
	}
	prompt := body.prompt()
	// A completion is idempotent unless its header says otherwise.
	req, failure := g.commonRequest(r, doc, unit.Class, true)
	if failure != nil {
		return req, failure
	}
	req.Model = unit.Ref
	req.PrefixKey = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	req.PromptTokens = len(prompt) / bytesPerToken
	req.MaxTokens = body.maxTokens()
	return req, nil
}

// commonRequest builds the part of a request that comes from its headers. class and
// idempotent apply unless the headers say otherwise.
func (g *Gateway) commonRequest(r *http.Request, doc *site.Document, class int, idempotent bool) (request.Request, *verdict.Error) {
	req := request.Request{Arrived: g.options.Now(), Class: class, Idempotent: idempotent}
	id, failure := g.requestID(r)
	if failure != nil {
		return req, failure
	}
	req.ID = id
	if name := r.Header.Get(request.HeaderClass); name != "" {
		req.Class = doc.ClassIndex(name)
		if req.Class < 0 {
			return req, verdict.Refused(verdict.CodeUnknownClass, "no class %q is configured", name)
		}
	}
	timeout := time.Duration(doc.Classes[req.Class].TimeoutMillis) * time.Millisecond
	if text := r.Header.Get(request.HeaderTimeout); text != "" {
		timeout, failure = g.parseTimeout(text)
		if failure != nil {
			return req, failure
		}
	}
	req.Deadline = req.Arrived.Add(timeout)
	if text := r.Header.Get(request.HeaderIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return req, verdict.Refused(verdict.CodeBadRequest, "header %s is %q; use true or false", request.HeaderIdempotent, text)
		}
		req.Idempotent = value
	}
	return req, nil
}

// parseTimeout parses the value of the timeout header, in milliseconds.
func (g *Gateway) parseTimeout(text string) (time.Duration, *verdict.Error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	maxTimeout := g.options.Limits.MaxTimeout
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return 0, verdict.Refused(verdict.CodeBadRequest, "header %s is %q; use milliseconds from 1 to %d", request.HeaderTimeout, text, maxTimeout.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// requestID returns the caller's request ID, or a generated one if the caller sent none.
func (g *Gateway) requestID(r *http.Request) (request.ID, *verdict.Error) {
	id := r.Header.Get(request.HeaderID)
	if id == "" {
		return request.ID(fmt.Sprintf("%s-%x-%d", g.options.Instance, g.startUnixNano, g.sequence.Add(1))), nil
	}
	if len(id) > maxIDBytes || !validIDChars(id) {
		return "", verdict.Refused(verdict.CodeBadRequest, "header %s must have at most %d letters, digits, '-' or '_'", request.HeaderID, maxIDBytes)
	}
	return request.ID(id), nil
}

// validIDChars reports whether all characters of a request ID are allowed.
func validIDChars(id string) bool {
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
