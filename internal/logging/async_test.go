package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter blocks each write until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestFullLogNeverBlocks guards against a slow or blocked log output stalling the daemon:
// with a full queue, lines must be dropped, counted and reported, without delay for writers.
func TestFullLogNeverBlocks(t *testing.T) {
	out := &slowWriter{release: make(chan struct{})}
	a := NewAsync(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	const lines = 5000
	for range lines {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write returned %d, %v; want the length of the line and no error", n, err)
		}
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v to write, want at most 1 s", lines, took)
	}
	// At most 1024 lines of 1 KiB fit into the queue (maxQueuedBytes), and as many can be in the
	// batch whose write blocks. The check allows 3000 kept lines.
	dropped := a.Dropped()
	if dropped < lines-3000 || dropped >= lines {
		t.Errorf("%d of %d lines of 1 KiB were dropped, want at least 2000 and not all", dropped, lines)
	}
	close(out.release)
	a.Close()
	if text := out.written.String(); !strings.Contains(text, `"msg":"Lines were dropped","lines":`) {
		t.Error("the log doesn't report the number of dropped lines")
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	for i := range 100 {
		_, _ = fmt.Fprintln(a, i)
	}
	a.Close()
	if n := strings.Count(out.String(), "\n"); n != 100 || a.Dropped() != 0 {
		t.Errorf("got %d lines, %d dropped; want 100 lines, none dropped", n, a.Dropped())
	}
}
