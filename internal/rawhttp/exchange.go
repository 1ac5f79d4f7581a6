package rawhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"limpethub/internal/callerload"
	"limpethub/internal/httpanswer"
	"limpethub/internal/intake"
)

const (
	// maxSyncWriteBytes is the largest request that is written in full before the answer is
	// read. The rest of a longer one is written concurrently, since a server may answer
	// without reading it.
	maxSyncWriteBytes = 8 << 10
	// maxForeignAnswers is how many answers to other requests are skipped.
	maxForeignAnswers = 2
	// maxForeignBodyBytes bounds how much of the body of a skipped answer is read. A longer body
	// ends the request.
	maxForeignBodyBytes = 1 << 20
	// maxInformationalAnswers is how many heads are read to find one that is not 1xx.
	maxInformationalAnswers = 4
)

var (
	errForeign       = errors.New("the answer belongs to another request")
	errInformational = errors.New("too many informational answers")
	errJoined        = errors.New("the answer begins with a part of another one")
)

// exchange sends the request on a connection and reads the head of its answer.
func (c *Client) exchange(ctx context.Context, connection *conn, request *Request) (*Response, error) {
	response := &Response{client: c, conn: connection, id: request.ID, headBytesLeft: maxHeadBytes}
	// Closing the connection ends reads and writes immediately and tells the server to stop.
	response.stopCloseOnCancel = context.AfterFunc(ctx, connection.abort)
	if err := response.send(request); err != nil {
		response.discard()
		return nil, err
	}
	intake.Leave(ctx)
	traceWritten(ctx)
	if err := response.readHead(request); err != nil {
		response.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return response, nil
}

// abort resets the connection. An orderly close would wait behind the bytes of the request that the server hasn't read.
func (c *conn) abort() {
	if connection, ok := c.Conn.(*net.TCPConn); ok {
		_ = connection.SetLinger(0)
	}
	_ = c.Close()
}

// traceWritten tells the trace of the context, if there is one, that the request was written, or the first part of a
// long one.
func traceWritten(ctx context.Context) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.WroteRequest != nil {
		trace.WroteRequest(httptrace.WroteRequestInfo{})
	}
}

// Response is an answer whose head was read. The caller must close it.
type Response struct {
	Status int
	Header http.Header

	client *Client
	conn   *conn
	id     string
	// headBytesLeft is how many bytes may still be read for the head of the answer.
	headBytesLeft     int64
	stopCloseOnCancel func() bool
	body              io.ReadCloser
	// length is that of the body; -1 if it isn't known.
	length int64
	events *eventReader
	// bodyComplete is true once the body was read to its end; closeAfter is true if the
	// connection can't carry another request.
	bodyComplete, closeAfter bool
	// restSent is closed once sendRest has ended, with restErr; nil if it wasn't needed.
	restSent chan struct{}
	restErr  error

	// mu guards the fields below once the goroutine of sendRest may run.
	mu             sync.Mutex
	requestWritten bool
	closed         bool
}

// send writes a short request, or writes the first part of a long one and leaves the rest
// to a goroutine.
func (r *Response) send(request *Request) error {
	// The first part of a long body goes into the same packets as the head. The rest isn't copied.
	data := encodeHead(request, maxSyncWriteBytes)
	inFirst := min(len(request.Body), max(0, maxSyncWriteBytes-len(data)))
	data = append(data, request.Body[:inFirst]...)
	first := data[:min(len(data), maxSyncWriteBytes)]
	n, err := r.conn.Write(first)
	if err != nil {
		return &Error{Sent: n > 0, Err: err}
	}
	rest := net.Buffers{data[len(first):], request.Body[inFirst:]}
	if len(rest[0])+len(rest[1]) == 0 {
		r.requestWritten = true
		return nil
	}
	r.restSent = make(chan struct{})
	go r.sendRest(rest)
	return nil
}

// sendRest writes the rest of a long request. A write error is not reported here: the
// server then answers early, or reading the answer fails.
func (r *Response) sendRest(rest net.Buffers) {
	defer close(r.restSent)
	_, err := rest.WriteTo(r.conn.Conn)
	r.restErr = err
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestWritten = err == nil
}

// encodeHead encodes a request without its body, with room for a short body.
func encodeHead(request *Request, maxBodyBytes int) []byte {
	var b bytes.Buffer
	// 512 bytes are room for the request line and the headers.
	b.Grow(min(len(request.Body), maxBodyBytes) + 512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	// A bytes.Buffer returns no errors.
	_ = request.Header.Write(&b)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(request.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the answer to the request and skips answers to other requests.
func (r *Response) readHead(request *Request) error {
	for range maxForeignAnswers + 1 {
		answer, err := r.readFinalHead(request)
		if err != nil {
			return err
		}
		if r.isJoined(answer) {
			return errJoined
		}
		if r.matchesRequest(answer) {
			r.Status, r.Header = answer.StatusCode, answer.Header
			r.body, r.length = r.bodyOf(answer), lengthOf(answer)
			r.closeAfter = answer.Close || request.Connections == OnlyNew
			return nil
		}
		r.client.Stats.ForeignAnswers.Add(1)
		// The server closes the connection after this answer, either because it says so
		// (Close) or to mark the end of a body without a length. No other answer can follow.
		if answer.Close || httpanswer.IsUnframed(answer) {
			return errForeign
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBodyBytes))
		if err != nil || n == maxForeignBodyBytes {
			return errors.Join(errForeign, err)
		}
	}
	return errForeign
}

// bodyOf returns the body of an answer, whose reader ends only with a complete body.
func (r *Response) bodyOf(answer *http.Response) io.ReadCloser {
	if httpanswer.IsUnframed(answer) && answer.Body != http.NoBody {
		return &unframedBody{ReadCloser: answer.Body, response: r}
	}
	return answer.Body
}

// lengthOf returns the length of an answer's body; -1 if it isn't known. The answer to HEAD names the length of a body that
// doesn't follow.
func lengthOf(answer *http.Response) int64 {
	if answer.Body == http.NoBody {
		return 0
	}
	return answer.ContentLength
}

// matchesRequest reports whether an answer has the request's ID, or none if the request has none. Without
// Options.IDHeader, any answer matches.
func (r *Response) matchesRequest(answer *http.Response) bool {
	header := r.client.options.IDHeader
	return header == "" || answer.Header.Get(header) == r.id
}

// statusLinePrefix begins each answer, and is part of no valid reason or header.
const statusLinePrefix = "HTTP/1."

// isJoined reports whether the head of an answer consists of the first part of one answer and of another answer: the
// status line of the second is then the end of a line of the first, or the id occurs twice.
func (r *Response) isJoined(answer *http.Response) bool {
	if strings.Contains(answer.Status, statusLinePrefix) || len(answer.Header.Values(r.client.options.IDHeader)) > 1 {
		return true
	}
	for _, values := range answer.Header {
		for _, value := range values {
			if strings.Contains(value, statusLinePrefix) {
				return true
			}
		}
	}
	return false
}

// readFinalHead reads response heads and skips informational (1xx) ones. Another status that no final answer has is an error.
func (r *Response) readFinalHead(request *Request) (*http.Response, error) {
	// What is already buffered doesn't count; it is at most readerBytes.
	r.conn.bounded.left = r.headBytesLeft
	defer func() {
		r.headBytesLeft = r.conn.bounded.left
		r.conn.bounded.left = noBound
	}()
	for range maxInformationalAnswers {
		answer, err := r.conn.readResponse(request.Method)
		if err != nil {
			return nil, err
		}
		if !isInformational(answer.StatusCode) {
			return answer, httpanswer.CheckStatus(answer.StatusCode)
		}
	}
	return nil, errInformational
}

func isInformational(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// errTooManyBuffered is the error of a body that can't be held beside the others.
var errTooManyBuffered = errors.New("rawhttp: the answers that are being read don't fit the memory for them")

// Body reads the rest of the answer. A truncated answer is an error, and so is a body longer than
// maxBytes, or one that exceeds Options.MaxBufferedBytes together with those being read.
func (r *Response) Body(maxBytes int64) ([]byte, error) { return r.BodyFor(nil, maxBytes) }

// BodyFor is Body for a caller, whose account is charged for the bytes. Its error is callerload.ErrNoRoom if they don't fit
// beside those of others.
func (r *Response) BodyFor(account *callerload.Account, maxBytes int64) ([]byte, error) {
	if r.length > maxBytes {
		return nil, errTooLong(maxBytes)
	}
	held := &heldBytes{client: r.client}
	defer held.release()
	data, err := callerload.ReadBody(io.TeeReader(r.body, held), r.length, maxBytes, account)
	if errors.Is(err, io.ErrShortBuffer) {
		return nil, errTooLong(maxBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("rawhttp: read the answer: %w", err)
	}
	r.bodyComplete = true
	return data, nil
}

func errTooLong(maxBytes int64) error {
	return fmt.Errorf("rawhttp: the answer is longer than %d bytes", maxBytes)
}

// heldBytes counts the bytes of one body among those that are being read.
type heldBytes struct {
	client *Client
	n      int64
}

func (h *heldBytes) Write(p []byte) (int, error) {
	h.n += int64(len(p))
	if h.client.buffered.Add(int64(len(p))) > h.client.options.MaxBufferedBytes {
		return 0, errTooManyBuffered
	}
	return len(p), nil
}

func (h *heldBytes) release() { h.client.buffered.Add(-h.n) }

// Event returns the next complete event of a stream, byte for byte, and its id, or -1 if it
// has none. It returns io.EOF after the last event of a complete stream and another error
// if the stream is truncated. The data is valid until the next call.
func (r *Response) Event() (data []byte, id int64, err error) {
	if r.events == nil {
		r.events = newEventReader(r.body)
	}
	data, id, err = r.events.next()
	if errors.Is(err, io.EOF) {
		r.bodyComplete = true
	}
	return data, id, err
}

// Close keeps the connection for reuse if the request was fully sent, the answer was fully
// read and nothing more has arrived. Otherwise it closes the connection.
func (r *Response) Close() {
	r.mu.Lock()
	alreadyClosed := r.closed
	r.closed = true
	written := r.requestWritten
	r.mu.Unlock()
	if alreadyClosed {
		return
	}
	notCanceled := r.stopCloseOnCancel()
	keep := r.client.keepAliveDuration(r.Header)
	if r.Status >= http.StatusMultipleChoices {
		r.conn.rememberFailed(r.id)
	}
	if notCanceled && r.bodyComplete && written && !r.closeAfter && keep > 0 && r.conn.reader.Buffered() == 0 {
		r.client.putIdle(r.conn, keep)
		return
	}
	_ = r.conn.Close()
}

// discard closes the connection of a request that got no answer.
func (r *Response) discard() {
	r.stopCloseOnCancel()
	_ = r.conn.Close()
}

// Call sends a request and reads its whole answer, with a body of at most maxBytes, within
// the timeout. Errors are *Error.
func (c *Client) Call(ctx context.Context, server Server, request *Request, timeout time.Duration, maxBytes int64) (status int, header http.Header, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.Do(ctx, server, request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Close()
	body, err = response.Body(maxBytes)
	if err != nil {
		return 0, nil, nil, &Error{Sent: true, Err: err}
	}
	return response.Status, response.Header, body, nil
}
