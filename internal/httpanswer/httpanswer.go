// Package httpanswer has the checks of HTTP answers that all their readers share: which status is an answer, and when a body
// without a length is whole.
package httpanswer

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
)

// The range of the status codes of final answers.
const (
	lowestFinal  = 200
	highestFinal = 599
)

// InvalidStatusError is the error of a status that no final answer has. Whoever sent it is faulty, so that the answer says
// nothing about the request.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the answer has the invalid status %03d", e.Status)
}

// CheckStatus returns an *InvalidStatusError unless a status is that of a final answer.
func CheckStatus(status int) error {
	if status < lowestFinal || status > highestFinal {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// IsUnframed reports whether an answer has neither a length nor chunks, so that its body ends with the connection.
func IsUnframed(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// IsBroken reports whether the error of a write means that the connection ended otherwise than by the server closing it: the system
// reports a reset to a single call, and if that is a write, the next read returns io.EOF. After the server has closed the connection the
// error is EPIPE, also if a reset follows. A write that was stopped by its deadline says nothing.
func IsBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
