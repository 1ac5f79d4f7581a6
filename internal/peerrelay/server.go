package peerrelay

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/callerload"
	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/lateness"
	"limpethub/internal/peers"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

const (
	// maxTakenIn limits the requests that are taken in at the same time, and maxTakenInBytes their bodies, all
	// together.
	maxTakenIn      = 256
	maxTakenInBytes = 32 << 20
	// requestTimeout limits the time in which the whole request must have arrived.
	requestTimeout = 5 * time.Second
	// busyRetryAfter is when a request may come again that this instance has no room for.
	busyRetryAfter = 200 * time.Millisecond
	// maxLateness is the mean lateness up to which this process takes in requests of others: its own callers' answers
	// are late by as much.
	//
	// The load is that of most instances on the few that reach the servers: a helper that takes in all that it is
	// offered serves neither them nor its own callers in time.
	maxLateness = 40 * time.Millisecond
	// maxPause is by how much a tick of this process may be overdue while it takes in requests of others. What came before or
	// during a longer pause may have been canceled meanwhile, by packets that haven't been read yet.
	maxPause = 250 * time.Millisecond
)

// Request is a caller's request that a peer passes on.
type Request struct {
	// Peer is the instance that the caller sent it to.
	Peer                 string
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Arrived is when the peer got the request, and Deadline when its answer must be there.
	Arrived, Deadline time.Time
	// LastEventID is the id of the last event that the caller has; -1 for none.
	LastEventID int64
	// Attempts is how many servers got the request before.
	Attempts int
	Identity request.Identity
	// Began is what began the stream that the request goes on with; zero if it goes on with none.
	Began   request.Origin
	Suspect bool
	// KeyHash is the hash of the caller's key; zero if it sent none. Workspace is the name of the workspace that it
	// belongs to at the peer.
	KeyHash   request.KeyHash
	Workspace string
	// Revision is that of the configuration by which the peer routed the request; 0 if it isn't known.
	Revision uint64
	// Account is charged for a whole answer until it is passed back.
	Account *callerload.Account
}

// Runner runs a request that was taken in, and passes its answer to the sink.
type Runner interface {
	RunForPeer(ctx context.Context, r Request, sink forward.AnswerSink) error
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Runner Runner
	// MayTakeIn returns why nothing can be taken in now, as an error with NotRun; nil if something can.
	MayTakeIn func() *verdict.Error
	// Lateness measures by how much this process is late.
	Lateness *lateness.Meter
	// CallerLoad is the memory that the bodies draw on together with those of this instance's own callers; nil means no bound.
	CallerLoad *callerload.Budget
	Logger     *logrus.Entry
	Now        func() time.Time
}

// Server takes in requests that peers pass on. It is safe for concurrent use.
type Server struct {
	options ServerOptions
	// Counts may be read concurrently.
	Counts     Counts
	inProgress atomic.Int64
	bytes      atomic.Int64
}

var _ peers.StreamHandler = (*Server)(nil)

// NewServer returns a Server.
func NewServer(options ServerOptions) *Server { return &Server{options: options} }

// InProgress returns how many requests of peers are in progress.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }

// HandleStream implements peers.StreamHandler.
func (s *Server) HandleStream(from string, stream peers.Stream) {
	sink := &streamSink{stream: stream}
	err := s.handle(from, stream, sink)
	s.Counts.observe(err)
	if err == nil {
		err = writeFrame(stream, frameEnd)
	} else {
		s.options.Logger.WithField("peer", from).WithError(err).Debug("A request that a peer passed on failed")
		err = writeMessage(stream, frameFailure, failureOf(err))
	}
	if err == nil {
		err = stream.CloseWrite()
	}
	if err != nil {
		s.options.Logger.WithField("peer", from).WithError(err).Debug("The end of an answer can't be passed back: the peer has gone away, or its caller has")
	}
}

func (s *Server) handle(from string, stream peers.Stream, sink *streamSink) error {
	if s.inProgress.Add(1) > maxTakenIn {
		s.inProgress.Add(-1)
		return busy("this instance has taken in as many requests as it may")
	}
	defer s.inProgress.Add(-1)
	if s.options.Lateness.Mean() > maxLateness || s.options.Lateness.Overdue(s.options.Now()) > maxPause {
		return busy("this instance has too little processor time for requests of others")
	}
	if refused := s.options.MayTakeIn(); refused != nil {
		return refused
	}
	r, release, err := s.read(from, stream)
	defer release()
	if err != nil {
		return err
	}
	account := s.options.CallerLoad.Open(func(callerload.Yield) { stream.Cancel() })
	defer account.Close()
	account.EndBody()
	r.Account, sink.account = account, account
	ctx, cancel := context.WithDeadline(stream.Context(), r.Deadline)
	defer cancel()
	return s.options.Runner.RunForPeer(ctx, r, sink)
}

func busy(why string) *verdict.Error {
	refused := verdict.Refused(verdict.CodePeerBusy, "%s", why)
	refused.RetryAfter = busyRetryAfter
	return refused
}

// read reads a request. release must be called when its body isn't needed any more.
func (s *Server) read(from string, stream peers.Stream) (r Request, release func(), err error) {
	release = func() {}
	timer := time.AfterFunc(requestTimeout, stream.Cancel)
	defer timer.Stop()
	reader := bufio.NewReaderSize(stream, readerBytes)
	var head requestHead
	if err := readMessage(reader, frameRequest, &head); err != nil {
		return r, release, malformed(err)
	}
	if n := len(head.KeyHash); n != 0 && n != len(request.KeyHash{}) {
		return r, release, malformed(fmt.Errorf("%w: the hash of a key of %d bytes", errFrame, n))
	}
	if head.BodyBytes < 0 || head.BodyBytes > maxTakenInBytes {
		return r, release, malformed(fmt.Errorf("%w: a body of %d bytes", errFrame, head.BodyBytes))
	}
	taken := int64(head.BodyBytes)
	release = func() { s.bytes.Add(-taken) }
	if s.bytes.Add(taken) > maxTakenInBytes {
		return r, release, busy("the bodies of the requests that were taken in are as long as they may be")
	}
	if !s.options.CallerLoad.Hold(taken) {
		return r, release, busy("the requests of callers take as much memory here as they may")
	}
	release = func() {
		s.bytes.Add(-taken)
		s.options.CallerLoad.Return(taken)
	}
	body, err := readBody(reader, head.BodyBytes)
	if err != nil {
		return r, release, malformed(err)
	}
	return s.request(from, &head, body), release, nil
}

func malformed(err error) *verdict.Error {
	refused := verdict.Refused(verdict.CodeBadRequest, "the request that a peer passed on can't be read")
	refused.Err = err
	return refused
}

func (s *Server) request(from string, head *requestHead, body []byte) Request {
	now := s.options.Now()
	r := Request{
		Peer: from, Method: head.Method, Target: head.Target, Host: head.Host, Header: head.Header, Body: body,
		Arrived:     now.Add(-time.Duration(head.AgeMillis) * time.Millisecond),
		Deadline:    now.Add(time.Duration(head.RemainingMillis) * time.Millisecond),
		LastEventID: head.LastEventID, Attempts: head.Attempts, Identity: head.Identity,
		Began:   request.Origin{Service: head.Service, SoftwareVersion: head.SoftwareVersion},
		Suspect: head.Suspect, Workspace: head.Workspace, Revision: head.Revision,
	}
	copy(r.KeyHash[:], head.KeyHash)
	return r
}

func readBody(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, length)
	for len(body) < length {
		kind, part, err := readFrame(r)
		if err != nil {
			return nil, err
		}
		if kind != frameBody || len(body)+len(part) > length {
			return nil, fmt.Errorf("%w: kind %d in a body", errFrame, kind)
		}
		body = append(body, part...)
	}
	return body, nil
}

// streamSink passes an answer back to the peer.
type streamSink struct {
	stream peers.Stream
	// account is told how much the peer has taken.
	account *callerload.Account
}

var _ forward.AnswerSink = (*streamSink)(nil)

// WholeAnswer implements forward.AnswerSink.
func (s *streamSink) WholeAnswer(head *engine.AnswerHead, body []byte) error {
	if err := s.Begin(head); err != nil {
		return err
	}
	return writeBody(accountedWriter{s.stream, s.account}, body)
}

// accountedWriter tells an account what is written.
type accountedWriter struct {
	io.Writer
	account *callerload.Account
}

func (w accountedWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.account.Sent(n)
	return n, err
}

// Begin implements forward.AnswerSink.
func (s *streamSink) Begin(head *engine.AnswerHead) error {
	return writeMessage(s.stream, frameHead, headOf(head))
}

// Event implements forward.AnswerSink.
func (s *streamSink) Event(event engine.RawEvent) error {
	var id [eventIDBytes]byte
	binary.BigEndian.PutUint64(id[:], uint64(event.ID))
	return writeFrame(s.stream, frameEvent, id[:], event.Data)
}
