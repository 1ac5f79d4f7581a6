package peerrelay

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"limpethub/internal/callerload"
	"limpethub/internal/engine"
	"limpethub/internal/forward"
	"limpethub/internal/httpanswer"
	"limpethub/internal/peers"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

const (
	// openTimeout limits the time to connect to a peer.
	openTimeout = 500 * time.Millisecond
	// refusedPause is how long a peer that refused a request for a reason of its own gets no other one.
	refusedPause = 200 * time.Millisecond
	// maxAnswerBytes limits a body that isn't a stream.
	maxAnswerBytes = 16 << 20
	readerBytes    = 4 << 10
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Self      string
	Transport peers.Streamer
	// Peers returns the other instances that reach the servers, as far as is known.
	Peers  func() []Peer
	Logger *logrus.Entry
	Now    func() time.Time
	Seed   uint64
}

// Client passes requests on. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	// Counts may be read concurrently.
	Counts Counts

	mu         sync.Mutex
	random     *rand.Rand
	inProgress map[string]int
	// pausedUntil is until when a peer gets no request after it refused one.
	pausedUntil map[string]time.Time
}

// Counts counts requests that were passed on or taken in, by outcome.
type Counts struct {
	// Answered counts those that a server answered, Refused those that weren't run, and Failed the others.
	Answered, Refused, Failed atomic.Uint64
}

// observe counts the end of a request.
func (c *Counts) observe(err error) {
	switch {
	case err == nil:
		c.Answered.Add(1)
	case verdict.Of(err) == verdict.NotRun:
		c.Refused.Add(1)
	default:
		c.Failed.Add(1)
	}
}

// NewClient returns a Client.
func NewClient(options ClientOptions) *Client {
	return &Client{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)),
		inProgress: map[string]int{}, pausedUntil: map[string]time.Time{},
	}
}

// Available reports whether a peer might take a request now.
func (c *Client) Available() bool {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.helpers(now, nil, nil)) > 0
}

// helpers returns the peers that may get a request: those in only, or any if that is nil, which aren't in except. The
// lock is held.
func (c *Client) helpers(now time.Time, only, except []string) []Peer {
	candidates := slices.DeleteFunc(c.options.Peers(), func(p Peer) bool {
		return slices.Contains(except, p.Name) || now.Before(c.pausedUntil[p.Name]) || only != nil && !slices.Contains(only, p.Name)
	})
	return helpersOf(c.options.Self, candidates)
}

// take returns the peer that should get the next request, see helpers, and counts the request as in progress there
// until done is called.
func (c *Client) take(only, except []string) (peer Peer, done func(), ok bool) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	peer, ok = choose(c.helpers(now, only, except), c.inProgress, c.random)
	if !ok {
		return Peer{}, nil, false
	}
	c.inProgress[peer.Name]++
	return peer, sync.OnceFunc(func() { c.done(peer.Name) }), true
}

func (c *Client) done(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress[peer]--; c.inProgress[peer] == 0 {
		delete(c.inProgress, peer)
	}
}

// pause keeps requests away from a peer for a while.
func (c *Client) pause(peer string) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, until := range c.pausedUntil {
		if now.After(until) {
			delete(c.pausedUntil, name)
		}
	}
	c.pausedUntil[peer] = now.Add(refusedPause)
}

// PassOn implements forward.Peers. If the peer ends the request without a server's answer, the error has the
// peer's verdict.
func (c *Client) PassOn(ctx context.Context, p forward.PassedOn, except []string) (engine.Answer, string, bool, error) {
	peer, done, ok := c.take(p.Helpers, except)
	if !ok {
		return nil, "", false, nil
	}
	c.options.Logger.WithFields(logrus.Fields{
		"request": p.Call.Request.ID, "peer": peer.Name, "attempts": p.Attempts, "last_event": p.LastEventID,
	}).Info("Passed on to a peer")
	answer, err := c.open(ctx, peer, &p)
	if err == nil {
		answer.done = done
		return answer, peer.Name, false, nil
	}
	done()
	c.Counts.observe(err)
	again := mayTryAnother(err)
	if again {
		c.pause(peer.Name)
	}
	return nil, peer.Name, again, err
}

func (c *Client) open(ctx context.Context, peer Peer, p *forward.PassedOn) (*peerAnswer, error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := c.options.Transport.OpenStream(openCtx, peer.Address, peers.KindRelay)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNoServer, Message: "peer " + peer.Name + " can't be reached", Err: err}
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	answer := &peerAnswer{client: c, peer: peer.Name, stream: stream, stop: stop, account: p.Call.Account, reader: bufio.NewReaderSize(stream, readerBytes)}
	// The request is written beside, as the peer may refuse it before it has read all.
	go c.send(stream, p)
	if err := answer.readHead(); err != nil {
		answer.end()
		return nil, err
	}
	return answer, nil
}

// send writes a request. Its errors aren't reported: reading the answer then fails too.
func (c *Client) send(stream peers.Stream, p *forward.PassedOn) {
	if writeMessage(stream, frameRequest, c.requestHead(p)) != nil || writeBody(stream, p.Call.Body) != nil {
		return
	}
	_ = stream.CloseWrite()
}

func (c *Client) requestHead(p *forward.PassedOn) requestHead {
	now := c.options.Now()
	r := &p.Call.Request
	header := p.Call.Header.Clone()
	host := header.Get("Host")
	header.Del("Host")
	head := requestHead{
		Method: p.Call.Method, Target: p.Call.Path, Host: host, Header: header, BodyBytes: len(p.Call.Body),
		RemainingMillis: r.Deadline.Sub(now).Milliseconds(), AgeMillis: now.Sub(r.Arrived).Milliseconds(),
		LastEventID: p.LastEventID, Attempts: p.Attempts, Identity: r.Identity, Suspect: r.Suspect, Revision: r.Revision,
	}
	if r.KeyHash != (request.KeyHash{}) {
		head.KeyHash, head.Workspace = r.KeyHash[:], r.Workspace
	}
	if p.Began {
		head.Service, head.SoftwareVersion = r.Service, r.SoftwareVersion
	}
	return head
}

// endedAtPeer is the error of a request that a peer has ended without a server's answer.
type endedAtPeer struct{ err *verdict.Error }

func (e *endedAtPeer) Error() string { return e.err.Error() }

func (e *endedAtPeer) Unwrap() error { return e.err }

// mayTryAnother reports whether a request that ended with err may go to another peer, which may well serve it:
// the first one couldn't be reached, or refused it for a reason of its own.
func mayTryAnother(err error) bool {
	if verdict.Of(err) != verdict.NotRun {
		return false
	}
	var ended *endedAtPeer
	if !errors.As(err, &ended) {
		return true
	}
	switch ended.err.Code {
	case verdict.CodeCutOff, verdict.CodeStopping, verdict.CodePeerBusy, verdict.CodeStaleConfiguration:
		return true
	}
	return false
}

// peerAnswer is a server's answer that a peer passes back.
type peerAnswer struct {
	client *Client
	peer   string
	stream peers.Stream
	stop   func() bool
	// done tells the client that the request is no longer in progress at the peer.
	done   func()
	reader *bufio.Reader
	head   engine.AnswerHead
	// account is charged for a whole answer.
	account *callerload.Account
	// err is the outcome of an answer that has ended; errOpen before.
	err error
}

var (
	_ forward.Peers = (*Client)(nil)
	_ engine.Answer = (*peerAnswer)(nil)
)

var errOpen = errors.New("peerrelay: the answer wasn't read to its end")

// cut returns the error of an answer that breaks off on its way from the peer.
func (a *peerAnswer) cut(err error) error {
	return verdict.Unclear(verdict.CodeServerFailed, err, "peer %s gave no complete answer", a.peer)
}

func (a *peerAnswer) readHead() error {
	kind, data, err := readFrame(a.reader)
	if err != nil {
		return a.cut(err)
	}
	switch kind {
	case frameFailure:
		return a.failed(data)
	case frameHead:
		var head answerHead
		if err := decode(data, &head); err != nil {
			return a.cut(err)
		}
		if err := httpanswer.CheckStatus(head.Status); err != nil {
			return a.cut(err)
		}
		a.head, a.err = head.engineHead(), errOpen
		return nil
	}
	return a.cut(fmt.Errorf("%w: kind %d in place of a head", errFrame, kind))
}

func (a *peerAnswer) failed(data []byte) error {
	var f failure
	if err := decode(data, &f); err != nil {
		return a.cut(err)
	}
	return &endedAtPeer{err: f.err()}
}

// next reads the next frame of the answer: one of the given kind, or its end, as io.EOF.
func (a *peerAnswer) next(want frameKind) ([]byte, error) {
	if !errors.Is(a.err, errOpen) {
		return nil, a.err
	}
	kind, data, err := readFrame(a.reader)
	switch {
	case err != nil:
		a.err = a.cut(err)
	case kind == frameEnd:
		a.err = io.EOF
	case kind == frameFailure:
		a.err = a.failed(data)
	case kind != want:
		a.err = a.cut(fmt.Errorf("%w: kind %d, want %d", errFrame, kind, want))
	default:
		return data, nil
	}
	return nil, a.err
}

// Head implements engine.Answer.
func (a *peerAnswer) Head() *engine.AnswerHead { return &a.head }

// Body implements engine.Answer.
func (a *peerAnswer) Body() ([]byte, error) {
	body, err := callerload.ReadBody(&bodyReader{answer: a}, unknownLength, maxAnswerBytes, a.account)
	if errors.Is(err, io.ErrShortBuffer) {
		a.err = a.cut(fmt.Errorf("the body is longer than %d bytes", maxAnswerBytes))
		return nil, a.err
	}
	return body, err
}

// unknownLength is the length of a body that isn't announced.
const unknownLength = -1

// bodyReader reads the frames of a body.
type bodyReader struct {
	answer *peerAnswer
	// rest is what is left of the last frame.
	rest []byte
}

func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		part, err := r.answer.next(frameBody)
		if err != nil {
			return 0, err
		}
		r.rest = part
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Next implements engine.Answer.
func (a *peerAnswer) Next() (engine.RawEvent, error) {
	data, err := a.next(frameEvent)
	if err != nil {
		return engine.RawEvent{}, err
	}
	if len(data) < eventIDBytes {
		a.err = a.cut(errFrame)
		return engine.RawEvent{}, a.err
	}
	return engine.RawEvent{ID: int64(binary.BigEndian.Uint64(data)), Data: data[eventIDBytes:]}, nil
}

// Close implements engine.Answer.
func (a *peerAnswer) Close() {
	a.end()
	a.done()
	if errors.Is(a.err, io.EOF) {
		a.client.Counts.observe(nil)
		return
	}
	a.client.Counts.observe(a.err)
}

func (a *peerAnswer) end() {
	a.stop()
	a.stream.Cancel()
}
