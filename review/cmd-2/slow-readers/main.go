// Slow-readers is a case of the second review: clients read their answers slowly, and what the machines hold for them exceeds
// their memory.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpethub/platform/standin"
	"limpethub/review/lab"
)

const (
	machines = 2
	servers  = 12
	// memoryLimit is the site's memory_mb. The platform kills a process that exceeds it.
	memoryLimit  = 284 << 20
	memoryPoll   = 20 * time.Millisecond
	restartDelay = time.Second
	// readers is how many clients read slowly. With the ordinary ones they are 57: the site has 34, and 1.7 times as many in a burst.
	readers     = 47
	readersOver = 1500 * time.Millisecond
	// answerBytes is the length of an answer to them. The daemon passes answers of up to 16 MiB on.
	answerBytes = 12 << 20
	// readBytes are read by a slow client each readPause, from a small window.
	readBytes   = 16 << 10
	readPause   = 50 * time.Millisecond
	windowBytes = 64 << 10
	// ordinary is how many ordinary clients each machine has, on one kept connection each, and work how long a server
	// works for one of their requests.
	ordinary = 5
	work     = 400 * time.Millisecond
	deadline = 1500 * time.Millisecond
	// refusedPause is how long an ordinary client waits after a request that was not answered with 200.
	refusedPause = 200 * time.Millisecond
	patience     = 10 * time.Second
	limit        = 60 * time.Second
)

// configuration has the deadlines of the site's requests without models.
const configuration = `{"version":1,"routes":[
 {"name":"r-look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"session_affinity":false,"resumable":false}],
 "services":[{"name":"desk","health_path":"/health","max_connections":370,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func main() { lab.Main(limit, run) }

// outcome is what became of the ordinary requests of one machine.
type outcome struct {
	answered, refused int
	// lost are those that a server got and whose connection ended without an answer.
	lost []string
}

type scene struct {
	c     *lab.Case
	mu    sync.Mutex
	runs  map[string]bool
	ends  map[string]*outcome
	kills map[string]int
}

func run(ctx context.Context, c *lab.Case) (bool, error) {
	s := &scene{c: c, runs: map[string]bool{}, ends: map[string]*outcome{}, kills: map[string]int{}}
	fleet, err := s.start(ctx)
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	ordinaryCtx, stop := context.WithCancel(ctx)
	defer stop()
	for _, m := range fleet {
		s.ends[m.Name()] = &outcome{}
		go s.keepMemory(ctx, m)
	}
	lab.Sleep(ctx, lab.StableWindow+time.Second)
	for _, m := range fleet {
		for n := range ordinary {
			clients.Go(func() { s.ask(ordinaryCtx, m, n) })
		}
	}
	lab.Sleep(ctx, 2*time.Second)
	for n := range readers {
		clients.Go(func() { s.readSlowly(ctx, fleet[n%machines], n) })
		lab.Sleep(ctx, readersOver/readers)
	}
	lab.Sleep(ctx, 6*time.Second)
	stop()
	clients.Wait()
	return s.judge(fleet), nil
}

// start starts the store, the servers and the machines.
func (s *scene) start(ctx context.Context) ([]*lab.Machine, error) {
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	s.c.AtEnd(store.Close)
	store.Write(standin.ConfigurationKey, []byte(configuration))
	answer := bytes.Repeat([]byte("x"), answerBytes)
	for n := range servers {
		server, err := standin.NewServer(store, standin.ServerOptions{ID: fmt.Sprintf("desk-%d", n), Service: "desk", Zone: fmt.Sprintf("z%d", n%3)})
		if err != nil {
			return nil, err
		}
		s.c.AtEnd(server.Close)
		server.SetAnswer(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get(standin.HeaderRequestID)
			s.mu.Lock()
			s.runs[id] = true
			s.mu.Unlock()
			server.CountRun(id)
			w.Header().Set(standin.HeaderSeal, "seal-"+id)
			if strings.HasPrefix(id, "slow-") {
				w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
				_, _ = w.Write(answer)
				return true
			}
			time.Sleep(work)
			_, _ = io.WriteString(w, "answer to "+id)
			return true
		})
	}
	fleet, err := s.c.Machines(machines, store.Address())
	if err != nil {
		return nil, err
	}
	return fleet, lab.StartAll(ctx, fleet)
}

// keepMemory does what the platform does: it kills a process that exceeds the memory of its machine, and starts it again.
func (s *scene) keepMemory(ctx context.Context, m *lab.Machine) {
	peak, settings := int64(0), filepath.Join(s.c.Dir, m.Name()+".json")
	pid := 0
	for lab.Sleep(ctx, memoryPoll) {
		if pid == 0 {
			pid = processWith(settings)
			continue
		}
		used := residentBytes(pid)
		if used > peak+20<<20 {
			peak = used
			s.c.Log("machine %s: its process has %d MiB of memory, of %d", m.Name(), used>>20, memoryLimit>>20)
		}
		if used <= memoryLimit {
			continue
		}
		s.c.Log("machine %s: the platform kills the process, which exceeds the memory", m.Name())
		m.Signal(syscall.SIGKILL, true)
		s.mu.Lock()
		s.kills[m.Name()]++
		s.mu.Unlock()
		pid, peak = 0, 0
		if !lab.Sleep(ctx, restartDelay) || m.Start() != nil {
			return
		}
	}
}

// processWith returns the id of the process of ours that was started with a settings file; 0 if there is none.
func processWith(settings string) int {
	folders, _ := filepath.Glob("/proc/[0-9]*")
	for _, folder := range folders {
		line, err := os.ReadFile(filepath.Join(folder, "cmdline"))
		if err != nil || !bytes.Contains(line, []byte("\x00"+settings+"\x00")) {
			continue
		}
		if pid, err := strconv.Atoi(filepath.Base(folder)); err == nil {
			return pid
		}
	}
	return 0
}

// residentBytes returns the memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kib int64
	_, _ = fmt.Sscan(rest, &kib)
	return kib << 10
}

// ask sends ordinary requests to a machine, one after the other, on a kept connection.
func (s *scene) ask(ctx context.Context, m *lab.Machine, client int) {
	var conn net.Conn
	var answers *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", m.Front(), time.Second); err != nil {
				lab.Sleep(ctx, 50*time.Millisecond)
				continue
			}
			answers = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("ask-%s-%d-%d", m.Name(), client, n)
		answered, kept := s.askOnce(m, conn, answers, id)
		if !kept {
			_ = conn.Close()
			conn = nil
		}
		if !answered {
			lab.Sleep(ctx, refusedPause)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// askOnce sends one ordinary request. It reports whether it was answered with 200, and whether the connection can be kept.
func (s *scene) askOnce(m *lab.Machine, conn net.Conn, answers *bufio.Reader, id string) (answered, kept bool) {
	_ = conn.SetDeadline(time.Now().Add(patience))
	sent := s.c.Now()
	_, _ = fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, deadline.Milliseconds())
	answer, err := http.ReadResponse(answers, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	s.mu.Lock()
	ran, end := s.runs[id], s.ends[m.Name()]
	switch {
	case err != nil && ran:
		end.lost = append(end.lost, id)
	case err != nil:
	case answer.StatusCode == http.StatusOK:
		end.answered++
	default:
		end.refused++
	}
	s.mu.Unlock()
	if err != nil {
		s.c.Log("request %s, sent at %.3f s to machine %s, passed on to a server %t: the connection ends without an answer: %v", id, sent.Seconds(), m.Name(), ran, err)
		return false, false
	}
	return answer.StatusCode == http.StatusOK, !answer.Close
}

// readSlowly sends a request and reads its answer slowly, or at once without the disruption.
func (s *scene) readSlowly(ctx context.Context, m *lab.Machine, client int) {
	id := fmt.Sprintf("slow-%d", client)
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			if s.c.Trouble {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			}
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	conn, err := dialer.DialContext(ctx, "tcp", m.Front())
	if err != nil {
		s.c.Log("request %s to machine %s: %v", id, m.Name(), err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	sent := s.c.Now()
	_, _ = fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, deadline.Milliseconds())
	buffer, total := make([]byte, readBytes), 0
	if !s.c.Trouble {
		buffer = make([]byte, 1<<20)
	}
	for err == nil && total < answerBytes {
		n := 0
		n, err = conn.Read(buffer)
		total += n
		if s.c.Trouble {
			lab.Sleep(ctx, readPause)
		}
	}
	s.c.Log("request %s, sent at %.3f s to machine %s: %d KiB of its answer read in %.3f s; %v", id, sent.Seconds(), m.Name(), total>>10, (s.c.Now() - sent).Seconds(), err)
}

// lostAllowed is how many requests a machine may pass on and end without an answer.
const lostAllowed = 3

func (s *scene) judge(fleet []*lab.Machine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken := false
	for _, m := range fleet {
		end := s.ends[m.Name()]
		verdict := ""
		if s.kills[m.Name()] > 0 && len(end.lost) > lostAllowed {
			broken, verdict = true, "; LOST: more than 3"
		}
		s.c.Log("machine %s: %d kills for memory; ordinary requests: %d answered with 200, %d with another status, %d passed on to a server and ended without an answer%s",
			m.Name(), s.kills[m.Name()], end.answered, end.refused, len(end.lost), verdict)
	}
	return broken
}
