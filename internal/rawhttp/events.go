package rawhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEventBytes is the largest size of one event of a stream, and maxStreamBytes that of all of
	// them.
	maxEventBytes  = 1 << 20
	maxStreamBytes = 16 << 20
)

var (
	errEventTooLarge  = errors.New("rawhttp: an event of the stream is too large")
	errStreamTooLarge = errors.New("rawhttp: the stream is too large")
)

// eventReader splits a stream of server-sent events into complete events and leaves their
// bytes unchanged.
type eventReader struct {
	lines *bufio.Reader
	event []byte
	// total counts the bytes of all events.
	total int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, readerBytes)}
}

// next returns the next event, including the blank line that ends it, and its id, or -1 if
// it has none. Blank lines before an event belong to it; those after the last event are returned
// together. If the stream ends within an event, the error is io.ErrUnexpectedEOF. The data is valid
// until the next call.
func (r *eventReader) next() (data []byte, id int64, err error) {
	r.event = r.event[:0]
	id = -1
	hasLine := false
	for {
		start := len(r.event)
		if err := r.readLine(); err != nil {
			return r.atEnd(err)
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) == 0 && hasLine {
			return r.event, id, nil
		}
		hasLine = hasLine || len(line) > 0
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = parseID(value)
		}
	}
}

// atEnd returns what next returns when a line can't be read.
func (r *eventReader) atEnd(err error) (data []byte, id int64, _ error) {
	if errors.Is(err, io.EOF) && len(r.event) > 0 && len(bytes.TrimRight(r.event, "\r\n")) == 0 {
		return r.event, -1, nil
	}
	return nil, -1, r.endError(err)
}

// parseID parses an event's id. It returns -1 if the id is not a number of at least 0.
func parseID(value []byte) int64 {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || id < 0 {
		return -1
	}
	return id
}

// readLine appends one line, including its line break, to the event.
func (r *eventReader) readLine() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		r.event = append(r.event, part...)
		r.total += len(part)
		switch {
		case len(r.event) > maxEventBytes:
			return errEventTooLarge
		case r.total > maxStreamBytes:
			return errStreamTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// endError replaces io.EOF by io.ErrUnexpectedEOF if the stream ended within an event.
func (r *eventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.event) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
