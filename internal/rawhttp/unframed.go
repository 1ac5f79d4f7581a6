package rawhttp

import (
	"errors"
	"fmt"
	"io"
	"time"

	"limpethub/internal/httpanswer"
)

// unframedBody is the body of an answer that ends with its connection. It ends only if the server has closed the connection:
// the system reports a reset to a single call, and if that is the one that sends the rest of the request, the next read
// returns io.EOF.
type unframedBody struct {
	io.ReadCloser
	response *Response
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if sendErr := b.response.stopSending(); httpanswer.IsBroken(sendErr) {
		return n, fmt.Errorf("rawhttp: the connection broke before the end of the answer: %w", sendErr)
	}
	return n, io.EOF
}

// stopSending ends the sending of the request, and returns its error.
func (r *Response) stopSending() error {
	if r.restSent == nil {
		return nil
	}
	// An error means that the connection is closed, which ends the sending too.
	_ = r.conn.SetWriteDeadline(time.Now())
	<-r.restSent
	return r.restErr
}
