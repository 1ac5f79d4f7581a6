package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Faults of an answer that a caller must never see.
var (
	// ErrForeign means that a piece of another request's answer came.
	ErrForeign = errors.New("load: a piece of another request's answer")
	// ErrOrder means that a piece was left out, came twice, or is of another run.
	ErrOrder = errors.New("load: a piece out of order")
	// ErrCut means that the answer ended without its end marker.
	ErrCut = errors.New("load: the answer was cut")
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// failureBody is the JSON body of a failure.
type failureBody struct {
	Error Failure `json:"error"`
}

// Failure is what a caller is told about a failed request.
type Failure struct {
	Code             verdict.Code    `json:"code"`
	Message          string          `json:"message"`
	Verdict          verdict.Verdict `json:"verdict"`
	RetryAfterMillis int64           `json:"retry_after_ms"`
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("load: failed: %s (%s): %s", f.Code, f.Verdict, f.Message)
}

type chunkBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// checker verifies the pieces of one answer as they come. The stand-in engines write
// into each piece whose it is and where it belongs.
type checker struct {
	id   request.ID
	next int
	// run is the id of the run that the first piece named.
	run string
	// times holds when each piece came.
	times []time.Time
}

func (c *checker) piece(data string, now time.Time) error {
	var body chunkBody
	if err := json.Unmarshal([]byte(data), &body); err != nil || len(body.Choices) != 1 {
		return fmt.Errorf("load: malformed piece %q", data)
	}
	text := strings.TrimSpace(body.Choices[0].Text + body.Choices[0].Delta.Content)
	run, number, ok := strings.Cut(text, "#")
	if !ok || AskOf(request.ID(run)) != c.id {
		return fmt.Errorf("%w: %q for %s", ErrForeign, text, c.id)
	}
	if c.run == "" {
		c.run = run
	}
	offset, err := strconv.Atoi(number)
	if err != nil || offset != c.next || run != c.run {
		return fmt.Errorf("%w: %q, want offset %d of %s", ErrOrder, text, c.next, c.run)
	}
	c.next++
	c.times = append(c.times, now)
	return nil
}

// runSeparators come between a request's id and what an instance adds to name one
// run of it. Callers' ids don't hold them.
const runSeparators = "~."

// AskOf returns the id of the request that a run belongs to.
func AskOf(run request.ID) request.ID {
	if i := strings.IndexAny(string(run), runSeparators); i >= 0 {
		return run[:i]
	}
	return run
}

// readStream reads a streamed answer to its end.
func (c *checker) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case isData && failed:
			return decodeFailure(strings.NewReader(data))
		case isData && data == "[DONE]":
			return nil
		case isData:
			if err := c.piece(data, time.Now()); err != nil {
				return err
			}
		}
	}
	return ErrCut
}

// decodeFailure reads a failure's body.
func decodeFailure(body io.Reader) error {
	var failure failureBody
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		return fmt.Errorf("load: malformed failure: %w", err)
	}
	return &failure.Error
}
