package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"limpethub/platform/standin"
)

const (
	// bodyCrowd is how many clients send bodies or don't read their answers, and connectionCrowd how many only open connections.
	bodyCrowd       = 400
	connectionCrowd = 1200
	// minStay is how long a crowd stays at least.
	minStay = 10 * time.Second
	// comeBackAfter is how long a client waits before it opens its next connection.
	comeBackAfter = 50 * time.Millisecond
	// unreadStay is how long a client that doesn't read its answer keeps its connection open, and unreadWindow how many bytes of it
	// the client's side takes in, about.
	unreadStay   = 5 * time.Second
	unreadWindow = 4 << 10
)

// behavior is what each client of a crowd does.
type behavior struct {
	clients int
	// address is that of the listener to connect to.
	address func(r *rig) string
	// send sends what the client sends on a new connection.
	send func(c *client) error
	// doesNotRead is true for clients that read nothing.
	doesNotRead bool
}

func frontOf(r *rig) string { return r.front }

// client is one client of a crowd, on one connection.
type client struct {
	net.Conn
	ctx context.Context
	id  string
}

func (c *client) writeString(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// pause reports whether the crowd still stays after the given time.
func (c *client) pause(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// crowd is many clients that behave alike. Each stays until its connection is closed or it has an answer, and comes back then.
type crowd struct {
	behavior
	rig   *rig
	ctx   context.Context
	leave context.CancelFunc
	wait  sync.WaitGroup
	// present is the number of clients that have sent all that they send, or were closed before, at least once.
	present atomic.Int64
	// closes and answers count connections that were closed without an answer, and those with one.
	closes, answers atomic.Int64
}

func gather(t *testing.T, r *rig, b behavior) *crowd {
	t.Helper()
	c := &crowd{behavior: b, rig: r}
	c.ctx, c.leave = context.WithCancel(context.Background())
	for n := range b.clients {
		c.wait.Go(func() { c.run(n) })
	}
	t.Cleanup(c.end)
	return c
}

// end makes all clients leave.
func (c *crowd) end() {
	c.leave()
	c.wait.Wait()
}

func (c *crowd) run(n int) {
	var once sync.Once
	arrived := func() { once.Do(func() { c.present.Add(1) }) }
	for visit := 0; c.ctx.Err() == nil; visit++ {
		c.visit(fmt.Sprintf("%s%d-%d", crowdPrefix, n, visit), arrived)
		select {
		case <-c.ctx.Done():
		case <-time.After(comeBackAfter):
		}
	}
}

// visit opens a connection, sends what the client sends, and stays.
func (c *crowd) visit(id string, arrived func()) {
	dialer := net.Dialer{}
	if c.doesNotRead {
		dialer.Control = smallWindow
	}
	conn, err := dialer.DialContext(c.ctx, "tcp", c.address(c.rig))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	visitor := &client{Conn: conn, ctx: c.ctx, id: id}
	// An instance may close the connection at any time, so that an error is no fault.
	_ = c.send(visitor)
	arrived()
	if c.doesNotRead {
		visitor.pause(unreadStay)
		return
	}
	if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
		c.answers.Add(1)
	} else if c.ctx.Err() == nil {
		c.closes.Add(1)
	}
}

// smallWindow makes a connection take in few bytes that aren't read.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadWindow)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// awaitPresent waits until all clients have been there.
func (c *crowd) awaitPresent(t *testing.T) {
	t.Helper()
	for ; time.Now().Before(c.rig.giveUpAt) && c.rig.lives(); time.Sleep(pollInterval) {
		if c.present.Load() == int64(c.clients) {
			return
		}
	}
	t.Logf("%d of %d clients have sent all that they send", c.present.Load(), c.clients)
}

// play lets a crowd come to an instance, and checks that an ordinary caller is served beside and after it, and that the process
// lives within its limits. prepare sets the servers up; it may be nil.
func play(t *testing.T, b behavior, prepare func(*standin.Server)) {
	t.Helper()
	r := startRig(t)
	if prepare != nil {
		for _, server := range r.servers {
			prepare(server)
		}
	}
	came := time.Now()
	c := gather(t, r, b)
	c.awaitPresent(t)
	r.answersOrdinary(t, "while the crowd stays")
	time.Sleep(time.Until(came.Add(minStay)))
	c.end()
	r.answersOrdinary(t, "after the crowd")
	t.Logf("the crowd came %d times, with %d answers and %d closed connections", c.present.Load()+c.answers.Load()+c.closes.Load(), c.answers.Load(), c.closes.Load())
	r.check(t)
}

// head returns the head of a request without the blank line that ends it. framing is the header that says how the body ends.
func (c *client) head(path, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n", path, standin.CallerHost, standin.HeaderRequestID, c.id, framing)
}

func contentLength(n int64) string { return fmt.Sprintf("Content-Length: %d", n) }

// filler is the content of bodies.
var filler = bytes.Repeat([]byte("x"), bodyLimit)

// sendBody sends the head of a request with a body of the given length, and then the first sent bytes of it in pieces.
func (c *client) sendBody(announced int64, sent, pieces int, between time.Duration) error {
	if err := c.writeString(c.head("/desk/crowd", contentLength(announced)) + "\r\n"); err != nil {
		return err
	}
	for piece := range pieces {
		from, to := sent*piece/pieces, sent*(piece+1)/pieces
		if _, err := c.Write(filler[from:to]); err != nil {
			return err
		}
		if between > 0 && !c.pause(between) {
			return c.ctx.Err()
		}
	}
	return nil
}

// chunkBlock is how many bytes of chunks are written at once, about.
const chunkBlock = 64 << 10

// sendChunks sends a request whose body comes in chunks of the given size, total bytes together, without the last chunk.
func (c *client) sendChunks(size, total int) error {
	if err := c.writeString(c.head("/desk/crowd", "Transfer-Encoding: chunked") + "\r\n"); err != nil {
		return err
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, filler[:size])
	perBlock := max(1, chunkBlock/len(chunk))
	block := strings.Repeat(chunk, perBlock)
	for left := total / size; left > 0; left -= perBlock {
		if err := c.writeString(block[:min(left, perBlock)*len(chunk)]); err != nil {
			return err
		}
	}
	return nil
}

func newReader(c *client) *bufio.Reader { return bufio.NewReader(c) }

// dial opens the connection of a single client, which the test closes.
func dial(t *testing.T, r *rig, id string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", r.front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, ctx: t.Context(), id: strings.ReplaceAll(id, " ", "-")}
}
