package rawhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("rawhttp: an event of the stream is too large")

// eventReader splits a stream into whole events without changing a byte.
type eventReader struct {
	lines *bufio.Reader
	event []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, readerBytes)}
}

// next returns the next event with the blank line that ends it. The end of the stream
// within an event is io.ErrUnexpectedEOF.
func (r *eventReader) next() (data []byte, id int64, err error) {
	r.event = r.event[:0]
	id = -1
	for {
		start := len(r.event)
		if err := r.line(); err != nil {
			return nil, -1, r.cut(err)
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) == 0 {
			return r.event, id, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = parseID(value)
		}
	}
}

// parseID reads an event's id; -1 means that it is no number.
func parseID(value []byte) int64 {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || id < 0 {
		return -1
	}
	return id
}

// line appends one line with its end to the event.
func (r *eventReader) line() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > maxEventBytes {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// cut tells an end between two events from one within an event.
func (r *eventReader) cut(err error) error {
	if errors.Is(err, io.EOF) && len(r.event) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
