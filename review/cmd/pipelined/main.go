// Pipelined is a case of the review: a machine is stopped as planned while clients have sent two requests each on a
// connection, the second one before the answer to the first.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	platform "limpethub/platform/standin"
	"limpethub/review/lab"
)

const (
	machines = 3
	servers  = 3
	clients  = 6
	// work is how long the second request of a client runs.
	work = 2500 * time.Millisecond
	// sentAfter is when the requests are sent, after the SIGTERM.
	sentAfter = 1200 * time.Millisecond
	limit     = 60 * time.Second
)

func main() { lab.Main(limit, run) }

func run(ctx context.Context, c *lab.Case) (bool, error) {
	store, err := platform.NewStore()
	if err != nil {
		return false, err
	}
	c.AtEnd(store.Close)
	store.Write(platform.ConfigurationKey, platform.Document(1, "desk", platform.Pool{
		Service: "llm", MemoryMB: 200, AdapterSlots: 2, ModelMB: 90, Models: []string{"m1"},
	}))
	runs := &runs{c: c, ran: map[string]int{}}
	for n := range servers {
		if err := runs.addServer(store, n); err != nil {
			return false, err
		}
	}
	fleet, err := c.Machines(machines, store.Address())
	if err != nil {
		return false, err
	}
	if err := lab.StartAll(ctx, fleet); err != nil {
		return false, err
	}
	lab.Sleep(ctx, 3*time.Second)
	stopped := fleet[0]
	var conns []net.Conn
	for range clients {
		conn, err := net.Dial("tcp", stopped.Front())
		if err != nil {
			return false, err
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	if c.Trouble {
		c.Log("machine %s gets SIGTERM", stopped.Name())
		stopped.Signal(syscall.SIGTERM, true)
	}
	lab.Sleep(ctx, sentAfter)
	var wg sync.WaitGroup
	lost := make([]bool, clients)
	for n, conn := range conns {
		wg.Go(func() { lost[n] = runs.client(n, conn, stopped.Name()) })
	}
	wg.Wait()
	count := 0
	for _, l := range lost {
		if l {
			count++
		}
	}
	c.Log("%d of %d requests ran at a server, and their connection ended without an answer", count, clients)
	return count > 0, nil
}

// runs counts which requests ran.
type runs struct {
	c   *lab.Case
	mu  sync.Mutex
	ran map[string]int
}

func (r *runs) addServer(store *platform.Store, n int) error {
	s, err := platform.NewServer(store, platform.ServerOptions{ID: fmt.Sprintf("desk-%d", n), Service: "desk", Zone: fmt.Sprintf("z%d", n%3)})
	if err != nil {
		return err
	}
	r.c.AtEnd(s.Close)
	s.SetAnswer(func(_ http.ResponseWriter, request *http.Request) bool {
		id := request.Header.Get(platform.HeaderRequestID)
		r.mu.Lock()
		r.ran[id]++
		r.mu.Unlock()
		r.c.Log("server %s runs request %s", s.ID(), id)
		if strings.HasPrefix(id, "2") {
			time.Sleep(work)
		}
		return false
	})
	return nil
}

// client sends two requests at once and reads their answers. It reports whether the second one ran and got none.
func (r *runs) client(n int, conn net.Conn, machine string) (lost bool) {
	first, second := fmt.Sprintf("1%015x", n), fmt.Sprintf("2%015x", n)
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(conn, requestText(first)+requestText(second)); err != nil {
		r.c.Log("client %d could not send: %v", n, err)
		return false
	}
	r.c.Log("client %d has sent requests %s and %s to machine %s, on one connection", n, first, second, machine)
	reader := bufio.NewReader(conn)
	for _, id := range []string{first, second} {
		answer, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.ReadAll(answer.Body)
		}
		if err != nil {
			r.mu.Lock()
			ran := r.ran[id]
			r.mu.Unlock()
			r.c.Log("client %d: the connection ended without an answer to request %s, which ran %d times: %v", n, id, ran, err)
			return ran > 0
		}
		r.c.Log("client %d got status %d for request %s, Connection %q", n, answer.StatusCode, id, answer.Header.Get("Connection"))
	}
	return false
}

func requestText(id string) string {
	return "POST " + platform.SafePath + "x HTTP/1.1\r\nHost: " + platform.CallerHost + "\r\nRequest-Id: " + id +
		"\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello"
}
