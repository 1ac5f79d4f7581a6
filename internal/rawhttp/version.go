package rawhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// usualVersion begins the answers whose head is read only once.
const usualVersion = "HTTP/1.1"

var errOldChunks = errors.New("the answer has a Transfer-Encoding, which its version of HTTP doesn't have")

// readResponse reads the head of an answer. Below HTTP/1.1, http.ReadResponse ignores Transfer-Encoding: the lines between
// the chunks would be read as parts of the body. RFC 9112, section 6.1 calls such an answer faulty.
func (c *conn) readResponse(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	usual, err := c.hasUsualVersion()
	if err != nil {
		return nil, err
	}
	if usual {
		return http.ReadResponse(c.reader, request)
	}
	head := &bytes.Buffer{}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	head.Write(buffered)
	c.bounded.copied = head
	defer func() { c.bounded.copied = nil }()
	answer, err := http.ReadResponse(c.reader, request)
	if err != nil || answer.ProtoAtLeast(1, 1) {
		return answer, err
	}
	if hasTransferEncoding(head) {
		return nil, errOldChunks
	}
	return answer, nil
}

// hasUsualVersion waits for the first byte of an answer, and reports whether the answer is known to begin with usualVersion.
func (c *conn) hasUsualVersion() (bool, error) {
	_, err := c.reader.Peek(1)
	if errors.Is(err, io.EOF) {
		return false, io.ErrUnexpectedEOF
	}
	if err != nil {
		return false, err
	}
	start, err := c.reader.Peek(min(c.reader.Buffered(), len(usualVersion)))
	return string(start) == usualVersion, err
}

// hasTransferEncoding reports whether the header Transfer-Encoding is in a head, or whether that can't be read.
func hasTransferEncoding(head io.Reader) bool {
	reader := textproto.NewReader(bufio.NewReader(head))
	if _, err := reader.ReadLine(); err != nil {
		return true
	}
	header, err := reader.ReadMIMEHeader()
	return err != nil || len(header["Transfer-Encoding"]) > 0
}
