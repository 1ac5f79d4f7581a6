package httpengine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"limpethub/internal/engine"
	"limpethub/internal/request"
)

// Sizes of event streams. An event of more than maxEventBytes is an error, which bounds the
// memory that a faulty server can use.
const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

// endMarker is the data of the last event of a complete answer.
var endMarker = []byte("[DONE]")

var (
	errEventTooLarge = errors.New("httpengine: event too large")
	errEventID       = errors.New("httpengine: event id is not of the form request/offset")
)

// rawEvent is one server-sent event.
type rawEvent struct {
	id, data []byte
}

// parse returns the event and the id of the request that it belongs to.
func (r rawEvent) parse() (engine.Event, request.ID, error) {
	slash := bytes.LastIndexByte(r.id, '/')
	if slash < 0 {
		return engine.Event{}, "", errEventID
	}
	offset, err := strconv.Atoi(string(r.id[slash+1:]))
	if err != nil || offset < 0 {
		return engine.Event{}, "", errEventID
	}
	event := engine.Event{Offset: offset, Data: r.data}
	if bytes.Equal(r.data, endMarker) {
		event.Data = nil
		event.End = true
	}
	return event, request.ID(r.id[:slash]), nil
}

// eventReader splits a body into server-sent events.
type eventReader struct {
	body *bufio.Reader
	// onLine is called for each line, including comments.
	onLine func()
}

// next returns the next event that has data. At the end of the body it returns an error that
// wraps io.EOF, also inside an event.
func (r *eventReader) next() (rawEvent, error) {
	var event rawEvent
	for bytesRead := 0; ; {
		line, err := r.line()
		if err != nil {
			return rawEvent{}, err
		}
		r.onLine()
		// Comments and other fields count too: there may be no end of them.
		if bytesRead += len(line) + 1; bytesRead > maxEventBytes {
			return rawEvent{}, errEventTooLarge
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && event.data != nil:
			return event, nil
		case string(field) == "id":
			event.id = bytes.Clone(value)
		case string(field) == "data":
			event.data = appendData(event.data, value)
		}
	}
}

// appendData joins the data lines of one event with newlines. Its result is never nil, because
// next takes nil data for an event without a data line.
func appendData(data, line []byte) []byte {
	if data == nil {
		return append(make([]byte, 0, len(line)), line...)
	}
	return append(append(data, '\n'), line...)
}

// line reads one line of at most maxEventBytes, and strips the line break.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.body.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("httpengine: read events: %w", err)
	}
	return r.longLine(bytes.Clone(line))
}

// longLine reads the rest of a line that is larger than the read buffer.
func (r *eventReader) longLine(line []byte) ([]byte, error) {
	for len(line) <= maxEventBytes {
		more, err := r.body.ReadSlice('\n')
		line = append(line, more...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("httpengine: read events: %w", err)
		}
	}
	return nil, errEventTooLarge
}
