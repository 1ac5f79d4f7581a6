// Package peerrelay passes callers' requests on to other instances, for an instance that doesn't reach the
// servers by itself. Client is the side that passes on and Server the side that takes in; both sides send
// frames over streams between authenticated peers. Choose decides which instance gets a request.
//
// A request that was taken in is never passed on again.
package peerrelay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// frameKind says what a frame holds. Instances of different versions exchange the numbers, so they may not
// change.
type frameKind byte

const (
	// frameRequest has a requestHead. Frames of frameBody follow it up to its length.
	frameRequest frameKind = iota + 1
	// frameHead has an answerHead, and begins an answer.
	frameHead
	// frameBody has a part of a body.
	frameBody
	// frameEvent has the id of an event as 8 bytes, and the event.
	frameEvent
	// frameEnd ends a complete answer.
	frameEnd
	// frameFailure has a failure, and ends an answer that isn't complete or never began.
	frameFailure
)

const (
	frameHeaderBytes = 5
	// maxFrameBytes limits a frame. A longer body goes into several.
	maxFrameBytes = 1 << 20
	// bodyFrameBytes is the length of the frames of a body.
	bodyFrameBytes = 32 << 10
	eventIDBytes   = 8
)

var errFrame = errors.New("peerrelay: malformed frame")

// requestHead describes a request that is passed on.
type requestHead struct {
	Method string      `cbor:"1,keyasint"`
	Target string      `cbor:"2,keyasint"`
	Host   string      `cbor:"3,keyasint"`
	Header http.Header `cbor:"4,keyasint"`
	// BodyBytes is the length of the body, which follows.
	BodyBytes int `cbor:"5,keyasint"`
	// RemainingMillis is the time to the deadline, and AgeMillis the time since the caller's request arrived.
	RemainingMillis int64 `cbor:"6,keyasint"`
	AgeMillis       int64 `cbor:"7,keyasint"`
	// LastEventID is the id of the last event that the caller has; -1 for none.
	LastEventID int64 `cbor:"8,keyasint"`
	// Attempts is how many servers got the request before.
	Attempts int              `cbor:"9,keyasint"`
	Identity request.Identity `cbor:"10,keyasint"`
	// Service and SoftwareVersion are what began the stream that the request goes on with, if it does.
	Service         string `cbor:"11,keyasint,omitempty"`
	SoftwareVersion string `cbor:"12,keyasint,omitempty"`
	// Suspect is request.Request.Suspect.
	Suspect bool `cbor:"13,keyasint,omitempty"`
	// KeyHash is the hash of the caller's key, and Workspace the name of the workspace that it belongs to; both are
	// empty if the request has none. The key itself isn't passed on.
	KeyHash   []byte `cbor:"14,keyasint,omitempty"`
	Workspace string `cbor:"15,keyasint,omitempty"`
	// Revision is that of the configuration by which the request was routed; instances of an older version don't tell it.
	Revision uint64 `cbor:"16,keyasint,omitempty"`
}

// answerHead is the head of a server's answer.
type answerHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Events bool        `cbor:"3,keyasint,omitempty"`
	// Server, StartMillis and SoftwareVersion describe the server.
	Server          string `cbor:"4,keyasint"`
	StartMillis     int64  `cbor:"5,keyasint,omitempty"`
	SoftwareVersion string `cbor:"6,keyasint,omitempty"`
}

func headOf(head *engine.AnswerHead) answerHead {
	return answerHead{
		Status: head.Status, Header: head.Header, Events: head.Events,
		Server: head.Server.Name, StartMillis: head.Server.StartMillis, SoftwareVersion: head.Server.SoftwareVersion,
	}
}

func (h *answerHead) engineHead() engine.AnswerHead {
	return engine.AnswerHead{
		Status: h.Status, Header: h.Header, Events: h.Events,
		Server: engine.Server{Name: h.Server, StartMillis: h.StartMillis, SoftwareVersion: h.SoftwareVersion},
	}
}

// failure is a verdict.Error as it is sent.
type failure struct {
	Verdict          verdict.Verdict `cbor:"1,keyasint"`
	Code             verdict.Code    `cbor:"2,keyasint"`
	Message          string          `cbor:"3,keyasint"`
	RetryAfterMillis int64           `cbor:"4,keyasint,omitempty"`
}

// maxMessageBytes limits the message of a failure.
const maxMessageBytes = 512

func failureOf(err error) failure {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.Unclear(verdict.CodeInternal, err, "the request failed")
	}
	message := e.Message
	if e.Err != nil {
		message = fmt.Sprintf("%s: %v", message, e.Err)
	}
	return failure{
		Verdict: e.Verdict, Code: e.Code, Message: message[:min(len(message), maxMessageBytes)],
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}
}

func (f *failure) err() *verdict.Error {
	return &verdict.Error{
		Verdict: f.Verdict, Code: f.Code, Message: f.Message,
		RetryAfter: time.Duration(f.RetryAfterMillis) * time.Millisecond,
	}
}

// writeFrame writes a frame with one call of Write.
func writeFrame(w io.Writer, kind frameKind, parts ...[]byte) error {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	frame := make([]byte, 0, frameHeaderBytes+length)
	frame = append(frame, byte(kind))
	frame = binary.BigEndian.AppendUint32(frame, uint32(length))
	for _, part := range parts {
		frame = append(frame, part...)
	}
	_, err := w.Write(frame)
	return err
}

// writeMessage writes a frame with an encoded message.
func writeMessage(w io.Writer, kind frameKind, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("peerrelay: encode a frame: %w", err)
	}
	return writeFrame(w, kind, data)
}

// writeBody writes a body in frames.
func writeBody(w io.Writer, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), bodyFrameBytes)
		if err := writeFrame(w, frameBody, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// readFrame reads a frame. The error is never io.EOF, which stands for the end of a complete answer: a stream
// that ends between two frames has broken off.
func readFrame(r io.Reader) (frameKind, []byte, error) {
	var header [frameHeaderBytes]byte
	_, err := io.ReadFull(r, header[:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("peerrelay: read a frame: %w", err)
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: %d bytes long", errFrame, length)
	}
	data := make([]byte, length)
	_, err = io.ReadFull(r, data)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("peerrelay: a frame is cut: %w", err)
	}
	return frameKind(header[0]), data, nil
}

// readMessage reads a frame of one kind and decodes its message.
func readMessage(r io.Reader, want frameKind, message any) error {
	kind, data, err := readFrame(r)
	if err != nil {
		return err
	}
	if kind != want {
		return fmt.Errorf("%w: kind %d, want %d", errFrame, kind, want)
	}
	return decode(data, message)
}

func decode(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}
