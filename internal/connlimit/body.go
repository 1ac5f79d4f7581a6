package connlimit

import (
	"errors"
	"io"
)

// body is the body of a request. At its end the request was read whole.
type body struct {
	io.ReadCloser
	whole *wholeRequest
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole.begin()
	}
	return n, err
}

// noObserver is an Observer that does nothing.
type noObserver struct{}

func (noObserver) Opened(string)       {}
func (noObserver) Closed(string)       {}
func (noObserver) Yielded(string, int) {}
func (noObserver) Refused(string)      {}
