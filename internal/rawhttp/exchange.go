package rawhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// inlineBytes is up to which size a request is written before its answer is awaited.
	// A longer one is written beside that, since a server may answer without reading it.
	inlineBytes = 8 << 10
	// mostForeign is how many answers to other requests are passed over.
	mostForeign = 2
	// foreignBytes bounds the body of an answer that is passed over.
	foreignBytes = 1 << 20
	// mostInformational is how many 1xx answers may precede the final one.
	mostInformational = 4
)

var (
	errForeign       = errors.New("the answer belongs to another request")
	errInformational = errors.New("too many informational answers")
)

// exchange sends the request on a connection and reads the head of its answer.
func (c *Client) exchange(ctx context.Context, connection *conn, request *Request) (*Response, error) {
	response := &Response{client: c, conn: connection, id: request.ID}
	// A close ends reads and writes at once, and tells the server to stop.
	response.release = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if err := response.send(request); err != nil {
		response.discard()
		return nil, err
	}
	if err := response.readHead(request); err != nil {
		response.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return response, nil
}

// Response is an answer whose head was read.
type Response struct {
	Status int
	Header http.Header

	client  *Client
	conn    *conn
	id      string
	release func() bool
	body    io.ReadCloser
	events  *eventReader
	// whole is true once the body was read up to its end; last is true when the
	// connection can't carry another request.
	whole, last bool

	mu      sync.Mutex
	written bool
	closed  bool
}

// send writes the request, or begins to.
func (r *Response) send(request *Request) error {
	data := encode(request)
	if len(data) <= inlineBytes {
		n, err := r.conn.Write(data)
		if err != nil {
			return &Error{Sent: n > 0, Err: err}
		}
		r.written = true
		return nil
	}
	n, err := r.conn.Write(data[:inlineBytes])
	if err != nil {
		return &Error{Sent: n > 0, Err: err}
	}
	go r.sendRest(data[inlineBytes:])
	return nil
}

// sendRest writes what is left. A failure shows in the answer, or in its absence.
func (r *Response) sendRest(data []byte) {
	_, err := r.conn.Write(data)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = err == nil
}

func encode(request *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(request.Body) + 512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	// A bytes.Buffer returns no errors.
	_ = request.Header.Write(&b)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(request.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(request.Body)
	return b.Bytes()
}

// readHead reads the head of the answer that belongs to the request.
func (r *Response) readHead(request *Request) error {
	for range mostForeign + 1 {
		answer, err := r.readFinal(request)
		if err != nil {
			return err
		}
		if r.belongs(answer) {
			r.Status, r.Header, r.body = answer.StatusCode, answer.Header, answer.Body
			r.last = answer.Close
			return nil
		}
		r.client.Stats.Foreign.Add(1)
		if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			return errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, foreignBytes)); err != nil {
			return errors.Join(errForeign, err)
		}
	}
	return errForeign
}

// belongs reports whether an answer carries the request's id.
func (r *Response) belongs(answer *http.Response) bool {
	header := r.client.options.IDHeader
	return header == "" || r.id == "" || answer.Header.Get(header) == r.id
}

// readFinal reads heads until one that is final.
func (r *Response) readFinal(request *Request) (*http.Response, error) {
	for range mostInformational {
		answer, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, errInformational
}

// Body reads the rest of the answer, up to a bound. An answer that is cut is an error.
func (r *Response) Body(most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.body, most+1))
	if err != nil {
		return nil, fmt.Errorf("rawhttp: read the answer: %w", err)
	}
	if int64(len(data)) > most {
		return nil, fmt.Errorf("rawhttp: the answer is longer than %d bytes", most)
	}
	r.whole = true
	return data, nil
}

// Event returns the next whole event of a stream, byte for byte, with its id, or -1
// where it has none. It returns io.EOF after the last event of a whole stream; one that
// is cut yields another error. The data stays valid until the next call.
func (r *Response) Event() (data []byte, id int64, err error) {
	if r.events == nil {
		r.events = newEventReader(r.body)
	}
	data, id, err = r.events.next()
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return data, id, err
}

// Close keeps the connection if the whole answer was read and nothing else is on its
// way, or else closes it.
func (r *Response) Close() {
	r.mu.Lock()
	done := r.closed
	r.closed = true
	written := r.written
	r.mu.Unlock()
	if done {
		return
	}
	open := r.release()
	keep := r.client.keepFor(r.Header)
	if open && r.whole && written && !r.last && keep > 0 && r.conn.reader.Buffered() == 0 {
		r.client.put(r.conn, keep)
		return
	}
	_ = r.conn.Close()
}

// discard closes the connection of a request that got no answer.
func (r *Response) discard() {
	r.release()
	_ = r.conn.Close()
}

// Call sends a request and reads its whole answer within a timeout.
func (c *Client) Call(ctx context.Context, server Server, request *Request, timeout time.Duration, most int64) (status int, header http.Header, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.Do(ctx, server, request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Close()
	body, err = response.Body(most)
	if err != nil {
		return 0, nil, nil, &Error{Sent: true, Err: err}
	}
	return response.Status, response.Header, body, nil
}
